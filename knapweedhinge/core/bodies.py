"""Read the body of an HTTP response into memory, up to a limit."""

import aiohttp

MAX_ANSWER_BYTES = 16 * 1024 * 1024  # of an answer that is read whole


class BodyTooLongError(aiohttp.ClientPayloadError):
    """A response body went on beyond the limit."""


async def read_body(
    resp: aiohttp.ClientResponse, max_bytes: int = MAX_ANSWER_BYTES
) -> bytes:
    """Return the whole body; close the connection and raise BodyTooLongError above."""
    chunks, size = [], 0
    async for chunk in resp.content.iter_any():
        size += len(chunk)
        if size > max_bytes:
            resp.close()
            raise BodyTooLongError(f"the body is longer than {max_bytes} bytes")
        chunks.append(chunk)
    return b"".join(chunks)
