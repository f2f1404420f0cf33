import json
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from functools import partial
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from threading import Thread

import pytest

from knapweedhinge.core.management import main
from knapweedhinge.core.management.discovery import command_names


@dataclass(frozen=True)
class ReceivedRequest:
    method: str
    path: str
    headers: dict
    body: object


@dataclass
class FakeNode:
    """Answer each method and path with a scripted status, body and headers.

    The script "hang up" closes the connection without an answer. ``seen`` holds the
    requests received.
    """

    answers: dict = field(default_factory=dict)
    seen: list = field(default_factory=list)
    address: str = ""


class Handler(BaseHTTPRequestHandler):
    def __init__(self, fake, *args):
        self.fake = fake
        super().__init__(*args)

    def do_GET(self):
        self.answer()

    def do_POST(self):
        self.answer()

    def answer(self):
        raw = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        body = json.loads(raw) if raw else None
        self.fake.seen.append(
            ReceivedRequest(self.command, self.path, dict(self.headers), body)
        )
        scripted = self.fake.answers.get((self.command, self.path))
        if scripted == "hang up":
            return
        status, answer, *headers = scripted or (404, {"error": {"code": 1021}})
        self.send_response(status)
        for name, value in (headers or [{}])[0].items():
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(json.dumps(answer).encode())

    def log_message(self, *args):
        pass


@contextmanager
def running(fake):
    with ThreadingHTTPServer(("127.0.0.1", 0), partial(Handler, fake)) as server:
        fake.address = f"127.0.0.1:{server.server_port}"
        thread = Thread(target=server.serve_forever, args=(0.01,), daemon=True)
        thread.start()
        yield fake
        server.shutdown()
        thread.join()


@pytest.fixture
def start_node():
    with ExitStack() as stack:
        yield lambda answers: stack.enter_context(running(FakeNode(answers)))


@pytest.fixture
def run(capsys, monkeypatch):
    """Run a command line and return its exit code, output and errors."""
    for name in ("NODES", "OPERATOR_KEY", "ORGANISATION_KEY"):
        monkeypatch.delenv(f"KNAPWEEDHINGE_{name}", raising=False)

    def run_command(*argv):
        code = main([str(argument) for argument in argv])
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    return run_command


@pytest.fixture(params=command_names())
def command_name(request):
    return request.param
