"""HTTP calls to one service of the platform.

Each call passes the service's circuit breaker and, if given, a token bucket that limits
the call rate.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

import aiohttp
import msgspec

from knapweedhinge.backing.breaker import Breaker, BreakerState
from knapweedhinge.backing.budget import TokenBucket
from knapweedhinge.conf.node import PlatformSettings
from knapweedhinge.core.bodies import read_body
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import PlatformError, PlatformUnavailableError
from knapweedhinge.core.jsondecode import decode_json

BASE_BACKOFF_S = 0.02  # the pause after attempt n is at most 2**n times this
MAX_BACKOFF_S = 0.5  # longest pause before a retry
DEFAULT_RETRY_AFTER_S = 1.0  # for a 429 response without a usable Retry-After
NOT_EXECUTED_STATUS = 503  # the service promises that it did not execute the call


class LostAnswerError(PlatformError):
    """No usable response arrived, so the call may or may not have taken effect."""

    default_code = ResultCode.PLATFORM_TIMEOUT


class BreakerOpenError(PlatformUnavailableError):
    """The circuit breaker is open, so no call was sent."""


@dataclass(frozen=True)
class Answer:
    """Status and body of a response with a status below 500 other than 429."""

    status: int
    body: bytes

    def decode(self, expected_type: Any) -> Any:
        """Return the JSON body as ``expected_type``; unknown fields are ignored.

        Raises PlatformError PLATFORM_PROTOCOL if the body doesn't have that form.
        """
        try:
            return decode_json(self.body, expected_type)
        except msgspec.MsgspecError as exc:
            raise PlatformError(
                f"malformed response: {exc}", code=ResultCode.PLATFORM_PROTOCOL
            ) from exc


@dataclass(frozen=True)
class ChannelState:
    """Counters of one service since the node started, for the state dump.

    ``calls`` counts the calls that were sent, retries included; ``failures`` those
    that failed or got no usable response, ``lost`` those of them whose effect is
    unknown. ``settled`` counts the batches of writes and object puts whose outcome was
    found by a read after a lost response, ``unsettled`` those whose outcome stayed
    unknown.
    """

    service: str
    calls: int
    failures: int
    lost: int
    settled: int
    unsettled: int
    breaker: BreakerState


class Channel:
    """Call one service, with a timeout, and classify its responses.

    ``settled`` and ``unsettled`` are counted by the clients that use the channel.
    """

    def __init__(
        self,
        service: str,
        cfg: PlatformSettings,
        session: aiohttp.ClientSession,
        breaker: Breaker,
        clock: Callable[[], float],
        rng: Random,
    ):
        self.cfg = cfg
        self.breaker = breaker
        self.settled = 0
        self.unsettled = 0
        self._service = service
        self._session = session
        self._clock = clock
        self._rng = rng
        self._timeout = aiohttp.ClientTimeout(total=cfg.timeout_s)
        self._calls = 0
        self._failures = 0
        self._lost = 0

    async def call(
        self,
        method: str,
        path: str,
        *,
        bucket: TokenBucket | None = None,
        params: dict[str, str] | None = None,
        data: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Make one call, without retries.

        Raises PlatformUnavailableError if the service certainly did not execute it,
        LostAnswerError if that is unknown, and PlatformError PLATFORM_RATE_LIMITED if
        this node or the service limits the rate.
        """
        if self.breaker.retry_after_s(self._clock()):
            raise self._breaker_open_error()
        await self._wait_for_budget(bucket)
        ticket = self.breaker.admit(self._clock())
        if ticket is None:
            raise self._breaker_open_error()
        self._calls += 1
        try:
            answer = await self._exchange(method, path, params, data, headers)
        except (LostAnswerError, PlatformUnavailableError):
            self._failures += 1
            self.breaker.fail(ticket, self._clock())
            raise
        except PlatformError:
            self.breaker.succeed(ticket)
            raise
        except BaseException:
            self.breaker.release(ticket)
            raise
        self.breaker.succeed(ticket)
        return answer

    async def read(
        self,
        path: str,
        *,
        bucket: TokenBucket | None = None,
        params: dict[str, str] | None = None,
        data: bytes | None = None,
    ) -> Answer:
        """Make a read-only call, with the retries and errors of ``repeat``."""
        method = "GET" if data is None else "POST"
        return await self.repeat(method, path, bucket=bucket, params=params, data=data)

    async def repeat(self, method: str, path: str, **options: Any) -> Answer:
        """Make an idempotent call, up to ``attempts`` times with jittered backoff.

        Raises what ``call`` raises. Rate limits and an open breaker are not retried.
        """
        for attempt in range(1, self.cfg.attempts):
            try:
                return await self.call(method, path, **options)
            except BreakerOpenError:
                raise
            except (LostAnswerError, PlatformUnavailableError):
                await self.pause(attempt)
        return await self.call(method, path, **options)

    async def pause(self, attempt: int) -> None:
        """Sleep a random time before a retry; its bound doubles with each attempt."""
        bound = min(MAX_BACKOFF_S, BASE_BACKOFF_S * 2**attempt)
        await asyncio.sleep(self._rng.uniform(0, bound))

    def state(self, now: float) -> ChannelState:
        """Return the counters and the breaker state, for the state dump."""
        return ChannelState(
            service=self._service,
            calls=self._calls,
            failures=self._failures,
            lost=self._lost,
            settled=self.settled,
            unsettled=self.unsettled,
            breaker=self.breaker.state(now),
        )

    def _breaker_open_error(self) -> BreakerOpenError:
        return BreakerOpenError(
            f"{self._service}: circuit breaker is open",
            retry_after_s=self.breaker.retry_after_s(self._clock()),
        )

    async def _wait_for_budget(self, bucket: TokenBucket | None) -> None:
        if bucket is None:
            return
        wait_s = bucket.reserve(self._clock(), self.cfg.timeout_s)
        if wait_s is None:
            raise PlatformError(
                f"{self._service}: this node's share of the call rate is used up",
                code=ResultCode.PLATFORM_RATE_LIMITED,
                retry_after_s=self.cfg.timeout_s,
            )
        if wait_s:
            await asyncio.sleep(wait_s)

    async def _exchange(self, method, path, params, data, headers) -> Answer:
        try:
            async with self._session.request(
                method,
                self.cfg.url.rstrip("/") + path,
                params=params,
                data=data,
                headers=headers,
                timeout=self._timeout,
                allow_redirects=False,
            ) as resp:
                body = await read_body(resp)
        except aiohttp.ClientConnectorError as exc:
            raise PlatformUnavailableError(f"{self._service}: {exc}") from exc
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            self._lost += 1
            raise LostAnswerError(f"{self._service}: {exc!r}") from exc
        return self._classify(resp, body)

    def _classify(self, resp: aiohttp.ClientResponse, body: bytes) -> Answer:
        if resp.status == 429:
            raise PlatformError(
                f"{self._service}: rate limit exceeded",
                code=ResultCode.PLATFORM_RATE_LIMITED,
                retry_after_s=_retry_after_s(resp),
            )
        if resp.status == NOT_EXECUTED_STATUS:
            raise PlatformUnavailableError(
                f"{self._service}: HTTP status {resp.status}"
            )
        if resp.status >= 500:
            self._lost += 1
            raise LostAnswerError(f"{self._service}: HTTP status {resp.status}")
        return Answer(resp.status, body)


def expect_status(answer: Answer, *statuses: int) -> Answer:
    """Return the response if its status is one of ``statuses``.

    Raises PlatformError PLATFORM_PROTOCOL otherwise.
    """
    if answer.status in statuses:
        return answer
    raise PlatformError(
        f"unexpected HTTP status {answer.status}", code=ResultCode.PLATFORM_PROTOCOL
    )


def _retry_after_s(resp: aiohttp.ClientResponse) -> float:
    try:
        return max(0.0, float(resp.headers["Retry-After"]))
    except (KeyError, ValueError):
        return DEFAULT_RETRY_AFTER_S
