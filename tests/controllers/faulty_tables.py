"""In-memory table service behind the real client, for tests with injected faults.

Each call of the client is suspended until the test answers it or makes it fail.
"""

import types
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import msgspec

from knapweedhinge.backing import TableClient, Write
from knapweedhinge.backing.channel import Answer, LostAnswerError
from knapweedhinge.conf import PlatformSettings
from knapweedhinge.core.exceptions import PlatformUnavailableError
from knapweedhinge.test.tablestore import TableStore


class Fault(Enum):
    """What goes wrong with a write; a read fails as with DOWN for all but NONE."""

    NONE = "none"
    DOWN = "down"
    LOST_AFTER = "lost after the effect"
    LOST_BEFORE = "lost before the effect"
    LATE = "lost, and the effect comes later"


@dataclass(frozen=True)
class Call:
    path: str
    params: dict | None
    data: bytes | None

    @property
    def writes(self):
        """Return whether this is a call that writes rows."""
        return self.path.endswith("/write")


@types.coroutine
def _suspend(call):
    return (yield call)


class SteppedChannel:
    """Channel that suspends at each call until the test answers it."""

    def __init__(self):
        self.cfg = PlatformSettings(url="http://127.0.0.1:1")
        self.settled = 0
        self.unsettled = 0

    async def call(self, method, path, *, bucket=None, params=None, data=None):
        return await _suspend(Call(path, params, data))

    async def read(self, path, *, bucket=None, params=None, data=None):
        return await _suspend(Call(path, params, data))

    async def pause(self, attempt):
        return None


class SteppedTables(TableClient):
    def __init__(self):
        self._channel = SteppedChannel()
        self._reads = None
        self._writes = None


@dataclass
class Service:
    """In-memory table service.

    ``late`` holds writes that take effect late, and ``lost`` counts writes whose answer
    was lost.
    """

    store: TableStore = field(default_factory=TableStore)
    late: list[Call] = field(default_factory=list)
    lost: int = 0

    def execute(self, call: Call) -> Answer:
        if call.path.endswith("/scan"):
            params = {**call.params, "limit": int(call.params["limit"])}
            return _answer({"rows": self.store.scan(**params)})
        body = msgspec.json.decode(call.data)
        if call.path.endswith("/read"):
            return _answer({"rows": [self.store.get(**key) for key in body["keys"]]})
        writes = tuple(msgspec.convert(write, Write) for write in body["writes"])
        return _answer({"outcomes": self.store.write(writes, body["atomic"])})


def _answer(value) -> Answer:
    return Answer(200, msgspec.json.encode(value))


class Operation:
    """A coroutine that the test advances one call at a time."""

    def __init__(self, coroutine, service: Service):
        self.done = False
        self.result: Any = None
        self.error: Exception | None = None
        self._coroutine = coroutine
        self._service = service
        self._call = None
        self._resume(lambda: coroutine.send(None))

    @property
    def at_write(self) -> bool:
        return not self.done and self._call.writes

    def advance(self, fault: Fault = Fault.NONE) -> None:
        """Answer the suspended call, or inject a fault; run to the next call."""
        call = self._call
        if fault is Fault.NONE:
            answer = self._service.execute(call)
            self._resume(lambda: self._coroutine.send(answer))
            return
        if fault is Fault.DOWN or not call.writes:
            self._throw(PlatformUnavailableError("down"))
            return
        self._service.lost += 1
        if fault is Fault.LOST_AFTER:
            self._service.execute(call)
        if fault is Fault.LATE:
            self._service.late.append(call)
        self._throw(LostAnswerError("lost"))

    def run_on(self, faults=(), *, until_settling: bool = False) -> None:
        """Run to the end, injecting the faults into the writes in order.

        With ``until_settling`` stop at the first read after a fault, by which the
        client finds out whether the write took effect.
        """
        faults = list(faults)
        while not self.done:
            faulty = bool(faults) and self._call.writes
            self.advance(faults.pop(0) if faulty else Fault.NONE)
            if until_settling and faulty and not self.done and not self._call.writes:
                return

    def crash(self) -> None:
        self.done = True
        self._coroutine.close()

    def _throw(self, exc: Exception) -> None:
        self._resume(lambda: self._coroutine.throw(exc))

    def _resume(self, step) -> None:
        try:
            self._call = step()
        except StopIteration as stop:
            self.done, self.result = True, stop.value
        except Exception as exc:
            self.done, self.error = True, exc


def run(coroutine, service: Service):
    """Run a coroutine without faults and return its result."""
    operation = Operation(coroutine, service)
    while not operation.done:
        operation.advance()
    if operation.error:
        raise operation.error
    return operation.result
