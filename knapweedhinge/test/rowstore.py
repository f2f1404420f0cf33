"""Stand-in for the store of the users' platform, speaking its protocol.

This is the platform to which ``knapweedhinge.platform`` adapts.
"""

import asyncio
import base64
import time
from dataclasses import dataclass
from urllib.parse import parse_qs

import msgspec

from knapweedhinge.http1 import Exchange, Limits, Server

JSON_HEADERS = ((b"Content-Type", b"application/json"),)
MAX_FEED_WAIT_S = 30.0  # longest that a call of the feed stays open without changes
MAX_PAGE_ROWS = 500
# Tables that nodes may only read; operators and endpoints write them.
READ_ONLY_TABLES = frozenset({"op", "servers"})


@dataclass
class StoreFaults:
    """Faults of the store.

    ``mode`` is "ok", "busy" (answers 503), "many" (answers 429), "reset" (resets the
    connection) or "silent" (never answers). ``lose_writes`` is how many writes take
    effect without an answer, and ``slow_s`` the seconds before each answer.
    """

    mode: str = "ok"
    lose_writes: int = 0
    slow_s: float = 0.0


@dataclass(frozen=True)
class StoreCopy:
    """The rows of a store at one moment, with the history of their changes."""

    version: int
    rows: dict[tuple[str, str], tuple[int, bytes]]
    history: list[tuple[int, str, str, bytes | None]]


class RowStoreStandIn:
    """Rows of all tables, versioned by one counter, with a history of changes.

    ``rows`` maps table and key to version and value; ``history`` lists version, table,
    key and value of each change, None for a deleted row. A feed can start at version
    ``oldest_feed_version`` or later; earlier changes are no longer known. ``calls``
    lists the paths of all requests, ``page_rows`` limits the rows of an answer. ``era``
    is named in all answers and rises when the store returns from a copy; None stands
    for a store that names none. ``era_headers`` replace the header that names it.
    """

    def __init__(self):
        self.faults = StoreFaults()
        self.calls: list[str] = []
        self.page_rows = MAX_PAGE_ROWS
        self.version = 0
        self.rows: dict[tuple[str, str], tuple[int, bytes]] = {}
        self.history: list[tuple[int, str, str, bytes | None]] = []
        self.oldest_feed_version = 0
        self.era: int | None = None
        self.era_headers: list[bytes] | None = None
        self._changed = asyncio.Event()
        self._server = Server(self._handle, Limits)

    @property
    def address(self) -> str:
        """Return the address as ``ip:port``."""
        return f"127.0.0.1:{self._server.port}"

    async def start(self) -> None:
        """Start to listen on a free port."""
        await self._server.start("127.0.0.1", 0)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        await self._server.stop()

    def put(self, table: str, key: str, value: bytes | dict | None) -> int:
        """Write a row, or delete it if ``value`` is None; return the new version.

        Operators and endpoints write like this: without a condition, and also to
        READ_ONLY_TABLES.
        """
        data = msgspec.json.encode(value) if isinstance(value, dict) else value
        self.version += 1
        self._record_change(table, key, data)
        self._wake_feeds()
        return self.version

    def get(self, table: str, key: str) -> bytes | None:
        """Return a row's value, or None if it is absent."""
        found = self.rows.get((table, key))
        return found[1] if found else None

    def compact(self) -> None:
        """Drop the history, so that feeds from an older version are answered 410."""
        self.oldest_feed_version = self.version
        self.history.clear()
        self._wake_feeds()

    def copy(self) -> StoreCopy:
        """Return a copy of all rows, their history and the version."""
        return StoreCopy(self.version, dict(self.rows), list(self.history))

    def return_from(self, taken: StoreCopy) -> None:
        """Go back to a copy: later writes are gone, and the next era begins.

        Feeds from versions that the copy lacks are answered 410.
        """
        self.version = taken.version
        self.rows, self.history = dict(taken.rows), list(taken.history)
        self.era = (self.era or 0) + 1
        self._wake_feeds()

    def _record_change(self, table: str, key: str, value: bytes | None) -> None:
        self.history.append((self.version, table, key, value))
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = self.version, value

    def _wake_feeds(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, exchange: Exchange) -> None:
        path, _, query = exchange.target.decode().partition("?")
        self.calls.append(path)
        if self.faults.slow_s:
            await asyncio.sleep(self.faults.slow_s)
        match self.faults.mode:
            case "busy":
                return exchange.respond(503, self._headers(), b"{}")
            case "many":
                return exchange.respond(429, self._headers(), b"{}")
            case "reset":
                return exchange.abort()
            case "silent":
                await asyncio.sleep(3600)
        params = {key: values[0] for key, values in parse_qs(query).items()}
        match path:
            case "/knapweedhinge/rows-get":
                self._read(exchange, params)
            case "/knapweedhinge/rows-feed":
                await self._feed(exchange, params)
            case "/knapweedhinge/rows-tx":
                self._write(exchange)
            case _:
                exchange.respond(404, JSON_HEADERS, b"{}")
        return None

    def _read(self, exchange: Exchange, params: dict[str, str]) -> None:
        start_key, end_key = params.get("from", ""), params.get("to")
        limit = min(int(params.get("limit", self.page_rows)), self.page_rows)
        found = sorted(
            (key, *versioned)
            for (table, key), versioned in self.rows.items()
            if table == params["table"]
            and key >= start_key
            and (not end_key or key < end_key)
        )
        rows = [
            _row_body(params["table"], key, version, value)
            for key, version, value in found[:limit]
        ]
        self._answer(exchange, 200, rows=rows, hasMore=len(found) > limit)

    async def _feed(self, exchange: Exchange, params: dict[str, str]) -> None:
        since = int(params["sinceRev"])
        wait_ends_at = time.monotonic() + min(
            int(params.get("waitMs", 0)) / 1000, MAX_FEED_WAIT_S
        )
        while True:
            if since < self.oldest_feed_version or since > self.version:
                return self._answer(exchange, 410)
            newest: dict[str, dict] = {}
            for version, table, key, value in self.history:
                if version > since and table == params["table"]:
                    newest.pop(key, None)
                    newest[key] = _row_body(table, key, version, value)
            remaining_s = wait_ends_at - time.monotonic()
            if newest or remaining_s <= 0:
                return self._answer(exchange, 200, rows=list(newest.values()))
            try:
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _write(self, exchange: Exchange) -> None:
        body = msgspec.json.decode(exchange.body)
        entries = [*body.get("puts", ()), *body.get("delete", ())]
        if any(entry["table"] in READ_ONLY_TABLES for entry in entries):
            return self._answer(exchange, 403)
        conditions = body.get("ifRev", ())
        row_ids = [(entry["table"], entry["key"]) for entry in conditions]
        versions = [self.rows.get(name, (0, b""))[0] for name in row_ids]
        if versions != [condition["ver"] for condition in conditions]:
            rows = [
                _row_body(*name, *self.rows[name])
                for name in row_ids
                if name in self.rows
            ]
            return self._answer(exchange, 412, rows=rows)
        self.version += 1
        for entry in body.get("puts", ()):
            self._record_change(
                entry["table"], entry["key"], base64.b64decode(entry["value"])
            )
        for entry in body.get("delete", ()):
            self._record_change(entry["table"], entry["key"], None)
        self._wake_feeds()
        if self.faults.lose_writes:
            self.faults.lose_writes -= 1
            return exchange.abort()
        return self._answer(exchange, 200)

    def _answer(self, exchange: Exchange, status: int, **fields) -> None:
        body = {"ver": self.version, "nowMs": time.monotonic() * 1000, **fields}
        exchange.respond(status, self._headers(), msgspec.json.encode(body))

    def _headers(self) -> tuple[tuple[bytes, bytes], ...]:
        values = self.era_headers
        if values is None:
            values = [] if self.era is None else [b"%d" % self.era]
        return (*JSON_HEADERS, *((b"Store-Era", value) for value in values))


def _row_body(table: str, key: str, version: int, value: bytes | None) -> dict:
    body = {"table": table, "part": "", "key": key, "ver": version}
    if value is None:
        return {**body, "deleted": True}
    return {**body, "value": base64.b64encode(value).decode()}
