"""A raw HTTP/1.1 client of the nodes, as a caller of the platform behaves."""

import asyncio
from dataclasses import dataclass, field

import httptools

HOST = "api.example"
KEY = "key-of-acme"


@dataclass
class Reply:
    """Response as received; ``whole`` tells whether it ended as its framing says."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False
    end: str = ""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        self.headers[name.decode().lower()] = value.decode()

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """Note that the response is complete."""
        self.whole = True


def request(
    path: str,
    request_id: str,
    *,
    body: bytes = b"",
    method: str = "POST",
    deadline_ms: int = 3000,
    headers: tuple[str, ...] = (),
) -> bytes:
    """Return a caller's request as bytes."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Knapweedhinge-Request-Id: {request_id}",
        f"Knapweedhinge-Deadline-Ms: {deadline_ms}",
        f"Authorization: Bearer {KEY}",
        *headers,
    ]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def ask(port: int, data: bytes, timeout_s: float = 5.0) -> Reply:
    """Send a request on a new connection and return the response, complete or not.

    ``end`` of the response says how it ended if it is not complete.
    """
    reply = Reply()
    parser = httptools.HttpResponseParser(reply)
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(data)
            while not reply.whole:
                chunk = await reader.read(65536)
                if not chunk:
                    reply.end = "closed"
                    break
                parser.feed_data(chunk)
                reply.status = reply.status or parser.get_status_code()
    except TimeoutError:
        reply.end = "timeout"
    except OSError as exc:
        reply.end = type(exc).__name__
    finally:
        if writer is not None:
            writer.close()
    return reply
