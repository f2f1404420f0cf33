"""Search over answers on a kept connection: each call gets its own answer or an error.

Answers are framed in each way, cut anywhere, preceded or followed by answers to other
calls, and arrive in any segments.
"""

import asyncio
from dataclasses import dataclass

from hypothesis import given, settings
from hypothesis import strategies as st

from knapweedhinge.http1 import TransportError
from knapweedhinge.http1.channel import Channel


class FakeTransport:
    """Transport that remembers whether it was closed, and what it couldn't write."""

    def __init__(self):
        self.closing = False
        self.unwritten = 0

    def get_write_buffer_size(self) -> int:
        return self.unwritten

    def get_extra_info(self, name):
        return None

    def is_closing(self) -> bool:
        return self.closing

    def write(self, data: bytes) -> None:
        assert not self.closing

    def abort(self) -> None:
        self.closing = True

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass


@dataclass(frozen=True)
class Sent:
    """What a server sends for one call.

    ``framing`` is "length", "chunks" or "close". ``before`` and ``after`` are numbers
    of other calls whose answers it sends too. ``kept`` is how much of its own answer
    is sent, from 0 to 1; then the connection ends, in an orderly way or by a reset.
    ``unread`` is how many bytes of the call the server leaves unread.
    """

    framing: str
    body: bytes
    before: tuple[int, ...]
    after: tuple[int, ...]
    kept: float
    reset: bool
    segment: int
    unread: int

    def answer(self, number: int) -> bytes:
        head = b"HTTP/1.1 200 OK\r\nId: %d\r\n" % number
        match self.framing:
            case "length":
                return head + b"Content-Length: %d\r\n\r\n" % len(self.body) + self.body
            case "chunks":
                chunk = b"%x\r\n%s\r\n" % (len(self.body), self.body)
                chunks = chunk * bool(self.body) + b"0\r\n\r\n"
                return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks
        return head + b"\r\n" + self.body

    @property
    def ends_connection(self) -> bool:
        return self.kept < 1 or self.framing == "close"

    def data(self, number: int) -> bytes:
        """Return all bytes that are sent for the call with this number."""
        own = self.answer(number)
        own = own[: int(self.kept * len(own))] if self.kept < 1 else own
        after = () if self.ends_connection else self.after
        before, after = (
            b"".join(map(other_answer, numbers)) for numbers in (self.before, after)
        )
        return before + own + after


def other_answer(number: int) -> bytes:
    """Return an answer to another call, which has a number above 100."""
    return b"HTTP/1.1 200 OK\r\nId: 1%02d\r\nContent-Length: 5\r\n\r\nother" % number


OTHERS = st.lists(st.integers(0, 9), max_size=2).map(tuple)
SENT = st.builds(
    Sent,
    framing=st.sampled_from(["length", "chunks", "close"]),
    body=st.binary(max_size=40),
    before=OTHERS,
    after=OTHERS,
    kept=st.one_of(st.just(1.0), st.floats(0, 0.999)),
    reset=st.booleans(),
    segment=st.integers(1, 60),
    unread=st.sampled_from([0, 0, 0, 5]),
)


async def call(channel: Channel, transport: FakeTransport, number: int, sent: Sent):
    """Send a call, feed what the server sends; return the body, None for an error."""
    wanted = b"%d" % number
    channel.send(b"GET / HTTP/1.1\r\n\r\n", lambda found: dict(found)[b"Id"] == wanted)
    transport.unwritten = sent.unread
    data = sent.data(number)
    for start in range(0, len(data), sent.segment):
        if not transport.closing:
            channel.data_received(data[start : start + sent.segment])
    if sent.ends_connection or transport.closing:
        if not (sent.reset or transport.closing):
            channel.eof_received()
        transport.closing = True
        channel.connection_lost(ConnectionResetError() if sent.reset else None)
    try:
        async with asyncio.timeout(1.0):
            await channel.head()
            body = b""
            while chunk := await channel.read():
                body += chunk
            return body
    except TransportError:
        return None


@settings(max_examples=400, derandomize=True, deadline=None)
@given(st.lists(SENT, min_size=1, max_size=4))
def test_a_call_gets_its_own_whole_answer_or_an_error(all_sent):
    async def run():
        channel, transport = Channel(lambda closed: None), FakeTransport()
        channel.connection_made(transport)
        for number, sent in enumerate(all_sent):
            body = await call(channel, transport, number, sent)
            unclean = sent.reset or sent.unread
            whole = sent.kept == 1 and not (sent.framing == "close" and unclean)
            if whole:
                assert body == sent.body
            elif body is not None:
                # Nothing tells that an answer is cut which ends with its connection.
                assert sent.framing == "close" and not unclean
                assert sent.body.startswith(body)
            usable = channel.finish()
            if sent.before or sent.after or sent.ends_connection:
                assert not usable
            if not usable:
                break

    asyncio.run(run())
