"""Client of the platform's object store, whose objects never change once stored."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import aiohttp

from knapweedhinge.backing.breaker import Breaker
from knapweedhinge.backing.budget import CallBudget
from knapweedhinge.backing.channel import (
    Answer,
    BreakerOpenError,
    Channel,
    ChannelState,
    LostAnswerError,
    expect_status,
)
from knapweedhinge.conf.node import PlatformSettings
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import (
    PlatformError,
    PlatformUnavailableError,
    WriteUnsettledError,
)


@dataclass(frozen=True)
class _Names:
    names: tuple[str, ...]


class ObjectClient:
    """Store, read and list objects by name."""

    def __init__(
        self,
        cfg: PlatformSettings,
        session: aiohttp.ClientSession,
        breaker: Breaker,
        clock: Callable[[], float],
        *,
        rng: Random | None = None,
        budget: CallBudget | None = None,
    ):
        rng = rng or Random()
        self._channel = Channel("objects", cfg, session, breaker, clock, rng)
        self._reads = budget.reads if budget else None
        self._writes = budget.writes if budget else None

    async def put_if_absent(self, name: str, data: bytes) -> bool:
        """Store an object; return False if it already existed with the same bytes.

        After a lost response the same put is sent again, which is harmless because
        the store never overwrites an object. If the object then exists with the same
        bytes, it counts as stored by the lost call, and True is returned.

        Raises PlatformError OBJECT_EXISTS if the name holds other bytes,
        PlatformUnavailableError or PlatformError PLATFORM_RATE_LIMITED if nothing was
        stored and WriteUnsettledError if the outcome can't be determined.

        If the name exists, its bytes are read and compared. A failure of that read is
        raised as PlatformUnavailableError, PlatformError PLATFORM_RATE_LIMITED or
        LostAnswerError, although a lost call may have stored the object.
        """
        maybe_stored = False
        for attempt in range(1, self._channel.cfg.attempts + 1):
            last = attempt == self._channel.cfg.attempts
            try:
                answer = await self._put(name, data)
            except LostAnswerError:
                maybe_stored = True
            except PlatformError as exc:
                if not maybe_stored and (last or not _is_retryable(exc)):
                    raise
            else:
                return await self._resolve_put(answer, name, data, maybe_stored)
            await self._channel.pause(attempt)
        self._channel.unsettled += 1
        raise WriteUnsettledError(f"object {name}: cannot tell whether it was stored")

    async def get(self, name: str) -> bytes | None:
        """Return the bytes of an object, or None if it doesn't exist."""
        answer = await self._channel.read(
            "/v1/object", bucket=self._reads, params={"name": name}
        )
        if expect_status(answer, 200, 404).status == 404:
            return None
        return answer.body

    async def list(self, prefix: str, after: str = "") -> tuple[str, ...]:
        """Return a page of names that start with ``prefix`` and sort after ``after``.

        Names are in ascending order. The service limits the size of a page; an empty
        page means that there are no more names.
        """
        params = {"prefix": prefix, "after": after}
        answer = await self._channel.read(
            "/v1/objects", bucket=self._reads, params=params
        )
        return expect_status(answer, 200).decode(_Names).names

    def state(self, now: float) -> ChannelState:
        """Return the counters and the breaker state, for the state dump."""
        return self._channel.state(now)

    async def _put(self, name: str, data: bytes) -> Answer:
        answer = await self._channel.call(
            "POST",
            "/v1/object",
            bucket=self._writes,
            params={"name": name},
            data=data,
            headers={"If-None-Match": "*"},
        )
        return expect_status(answer, 201, 412)

    async def _resolve_put(
        self, answer: Answer, name: str, data: bytes, maybe_stored: bool
    ) -> bool:
        if answer.status == 201:
            return True
        if await self.get(name) != data:
            raise PlatformError(
                f"object {name} already exists with other content",
                code=ResultCode.OBJECT_EXISTS,
            )
        self._channel.settled += maybe_stored
        return maybe_stored


def _is_retryable(exc: PlatformError) -> bool:
    if isinstance(exc, BreakerOpenError):
        return False
    return isinstance(exc, PlatformUnavailableError)
