"""Snapshots of whole sessions: every byte that a caller sends and receives.

Request ids count up; the date, the server's name, ports and reserved keys are masked.
The sizes of chunks depend on timing, so the chunked transfer coding is decoded.
"""

import asyncio
import itertools
import json
import re
from dataclasses import dataclass, replace
from types import SimpleNamespace
from urllib.parse import urlsplit

import pytest

from knapweedhinge.conf import load_configuration, load_deployment
from knapweedhinge.http import parse
from knapweedhinge.test.fleet import bearer_key
from tests.conftest import EXAMPLES
from tests.http.conftest import QuickFleet

EXAMPLE = EXAMPLES / "guanacaste"
KEPT_ENDPOINTS = ("pine-small-1", "orders-1")
MASKS = (
    (r"Date: [^\r]*", "Date: DATE"),
    (r"Server: [^\r]*", "Server: SERVER"),
    (r'"port":\d+', '"port":PORT'),
    (r'Content-Length: \d+(?=[^<>]*"reserved_keys")', "Content-Length: LENGTH"),
    (r'"reserved_keys":\[[^]]*\]', '"reserved_keys":KEYS'),
)
CHUNKED = b"Transfer-Encoding: chunked"
CHAT = "POST /v1/chat/completions"


@dataclass(frozen=True)
class Exchange:
    """Describe one request.

    ``carry`` lists headers whose values come from earlier exchanges: for each its name
    and a pattern, whose first group in the transcript so far is the value.
    """

    line: str
    body: dict | None = None
    headers: tuple[tuple[str, str], ...] = ()
    carry: tuple[tuple[str, str], ...] = ()
    key: str = bearer_key("estanteria-guanacaste")


def chat(*, carry=(), headers=(), **fields) -> Exchange:
    messages = [{"role": "user", "content": "an oak shelf"}]
    body = {"model": "pine-small@12", "messages": messages, "max_tokens": 3}
    return Exchange(CHAT, body | fields, headers, carry)


def deposit(key: str, amount: int) -> Exchange:
    headers = (("Idempotency-Key", key),) if key else ()
    return Exchange("POST /services/orders/deposits", {"amount": amount}, headers)


TOKEN = ("X-Session-Token", r"X-Session-Token: (\S+)")
LAST_EVENT = ("Last-Event-ID", r"(?s).*id: (\S+:2)\n")
SESSIONS = {
    "addresses and models": [
        Exchange("GET /v1/addresses"),
        Exchange("GET /v1/models"),
        Exchange("GET /readyz"),
    ],
    "whole answer": [chat()],
    "streamed answer": [chat(stream=True)],
    "streamed answer with usage": [
        chat(stream=True, stream_options={"include_usage": True})
    ],
    "stream taken up again": [
        chat(stream=True),
        chat(stream=True, carry=(LAST_EVENT,)),
    ],
    "session": [
        chat(headers=(("X-Session-Id", "s1"),)),
        chat(carry=(TOKEN,)),
    ],
    "lookup": [Exchange("GET /services/orders/order-status/17")],
    "deposit": [
        deposit("k1", 5),
        deposit("k1", 5),
        deposit("k1", 6),
        deposit("", 5),
    ],
    "refusals": [
        Exchange("GET /v1/models", key="no-such-key"),
        chat(model="no-such-class"),
        chat(model="oak-large@3"),
        chat(stream=True, headers=(("Last-Event-ID", "a.b:1"),)),
        Exchange("GET /no/such/path"),
        Exchange("GET /v1/chat/completions"),
        Exchange("GET /services/orders/no-such-route"),
    ],
}


@pytest.fixture
async def fleet(monkeypatch):
    numbers = itertools.count(1)
    counting_uuid = SimpleNamespace(
        uuid4=lambda: SimpleNamespace(hex=f"request-{next(numbers)}")
    )
    monkeypatch.setattr(parse, "uuid", counting_uuid)
    configuration = load_configuration(EXAMPLE / "configuration.json")
    whole = load_deployment(EXAMPLE / "deployment.json")
    kept = tuple(
        endpoint for endpoint in whole.endpoints if endpoint.id in KEPT_ENDPOINTS
    )
    async with QuickFleet(configuration, replace(whole, endpoints=kept), 1) as running:
        yield running


def encode(exchange: Exchange, transcript: str) -> bytes:
    lines = [f"{exchange.line} HTTP/1.1", "Host: node", "Connection: close"]
    lines.append(f"Authorization: Bearer {exchange.key}")
    lines += [f"{name}: {value}" for name, value in exchange.headers]
    for name, pattern in exchange.carry:
        lines.append(f"{name}: {re.search(pattern, transcript)[1]}")
    data = b"" if exchange.body is None else json.dumps(exchange.body).encode()
    lines.append(f"Content-Length: {len(data)}")
    return "\r\n".join([*lines, "", ""]).encode() + data


def unchunk(data: bytes) -> bytes:
    """Decode a body in chunked transfer coding."""
    chunks = []
    while data:
        size, _, data = data.partition(b"\r\n")
        length = int(size, 16)
        chunks.append(data[:length])
        data = data[length + 2 :]
    return b"".join(chunks)


async def send(url: str, request: bytes) -> str:
    """Send a request on a new connection and return the whole answer as text."""
    address = urlsplit(url)
    reader, writer = await asyncio.open_connection(address.hostname, address.port)
    writer.write(request)
    head, _, body = (await reader.read(-1)).partition(b"\r\n\r\n")
    writer.close()
    body = unchunk(body) if CHUNKED in head else body
    return f"{head.decode()}\r\n\r\n{body.decode()}"


def mask(text: str) -> str:
    for pattern, replacement in MASKS:
        text = re.sub(pattern, replacement, text)
    return text


@pytest.mark.parametrize("name", SESSIONS)
async def test_session(fleet, snapshot, name):
    transcript = ""
    for exchange in SESSIONS[name]:
        request = encode(exchange, transcript)
        answer = await send(fleet.url, request)
        transcript += f">>> {request.decode()}\n<<< {answer}\n"
    assert mask(transcript).replace("\r\n", "\n").splitlines() == snapshot
