"""An emulated roster table, shared over HTTP by the nodes of all processes."""

from dataclasses import dataclass
from typing import Any

import aiohttp
from aiohttp import web

from knapweedhinge.core.exceptions import PlatformUnavailableError, RowConflictError


@dataclass(frozen=True)
class Row:
    """A row of the table: its key and its JSON value."""

    key: str
    value: Any


class TableServer:
    """HTTP server that holds the rows and counts reads and writes."""

    def __init__(self):
        self.rows: dict[str, Any] = {}
        self.reads = 0
        self.writes = 0
        self._runner: web.AppRunner | None = None

    async def start(self) -> int:
        """Listen on a free port of the loopback interface and return the port."""
        app = web.Application()
        app.router.add_get("/rows", self._scan)
        app.router.add_put("/rows", self._insert)
        app.router.add_delete("/rows", self._delete)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        return self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Stop the server."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _scan(self, request: web.Request) -> web.Response:
        self.reads += 1
        after, limit = request.query["after"], int(request.query["limit"])
        keys = sorted(key for key in self.rows if key > after)[:limit]
        return web.json_response([[key, self.rows[key]] for key in keys])

    async def _insert(self, request: web.Request) -> web.Response:
        self.writes += 1
        key = request.query["key"]
        if key in self.rows:
            return web.Response(status=409)
        self.rows[key] = await request.json()
        return web.Response()

    async def _delete(self, request: web.Request) -> web.Response:
        self.writes += 1
        self.rows.pop(request.query["key"], None)
        return web.Response()


class HttpTable:
    """Client of ``TableServer`` with the table operations that peers use.

    The server has only one table and no versions of rows, so the arguments ``table``,
    ``prefix``, ``expected_version`` and ``write_id`` are ignored.
    """

    def __init__(self, port: int, session: aiohttp.ClientSession):
        self._url = f"http://127.0.0.1:{port}/rows"
        self._session = session

    async def insert(self, table: str, key: str, value: Any, write_id: str) -> None:
        """Insert a row; raises ``RowConflictError`` if its key exists."""
        params = {"key": key}
        async with self._session.put(self._url, params=params, json=value) as reply:
            if reply.status == 409:
                raise RowConflictError(key)

    async def delete(
        self, table: str, key: str, expected_version: int | None, write_id: str
    ) -> None:
        """Delete a row, if it exists."""
        async with self._session.delete(self._url, params={"key": key}):
            return

    async def scan(
        self, table: str, prefix: str, after: str, limit: int
    ) -> tuple[Row, ...]:
        """Return up to ``limit`` rows with a key greater than ``after``.

        Raises ``PlatformUnavailableError`` if the server can't be reached.
        """
        params = {"after": after, "limit": str(limit)}
        try:
            async with self._session.get(self._url, params=params) as reply:
                return tuple(Row(*pair) for pair in await reply.json())
        except aiohttp.ClientError as exc:
            raise PlatformUnavailableError(str(exc)) from None
