"""One attempt of a call at one endpoint."""

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from knapweedhinge.controllers.fleet import EndpointGone
from knapweedhinge.core.codes import ResultCode, RunState
from knapweedhinge.core.exceptions import EndpointError, RefusedError
from knapweedhinge.filters.relay.admit import admit_again
from knapweedhinge.filters.relay.types import AnswerHead, HeadVerdict, Send
from knapweedhinge.http1 import ConnectFailedError, PoolFullError
from knapweedhinge.routing.load import EndpointView
from knapweedhinge.routing.patience import patience_s
from knapweedhinge.routing.placement import (
    NoPlace,
    Placement,
    PlacementRequest,
    PlacementView,
    place,
    version_of,
)
from knapweedhinge.routing.prefix import part_blocks
from knapweedhinge.routing.releases import may_use, trial_share
from knapweedhinge.routing.releaseverdict import (
    CallKind,
    LogTimes,
    Tally,
    crowding_band,
    is_crowded,
    log_times,
    pace_s,
)

if TYPE_CHECKING:
    from knapweedhinge.filters.relay.run import RelayRun

# Part of the latency objective that a call waits for an endpoint to come free; one
# held longer is served elsewhere sooner if it is told to come back.
HOLD = 0.125
HOLD_STEPS = 5  # looks at the endpoints within that time
DEFAULT_CONNECTIONS = 64  # for a service whose catalog entry is missing
MAX_BODY_BYTES = 16 * 1024 * 1024  # a whole answer held in memory
DEFAULT_USUAL_S = 0.3  # time to a first piece before any was seen


class Run:
    """A call at an endpoint; exactly one of its endings takes effect."""

    def __init__(
        self, owner: "RelayRun", endpoint: EndpointView, blocks: tuple[int, ...]
    ):
        self.endpoint = endpoint
        self.head: AnswerHead | None = None
        self.pieces = 0
        self._owner = owner
        self._ctx = owner.ctx
        self._blocks = blocks
        self._channel = None
        self._pool = None
        self._open = True
        self._began = self._ctx.clock()
        self._first_at: float | None = None
        self._last_at = self._began
        self.sent = False
        self._size = owner.size
        self._version = version_of(endpoint)
        self._fresh_tokens = owner.fresh_tokens(endpoint, blocks)
        work = owner.work(endpoint, self._fresh_tokens)
        self._reading_s = work.read_s
        self._read_s, self._work_s = work.read_s, work.total_s
        self._met_work_s = self._ctx.loads.work_s(endpoint.id)
        self._call_kind = CallKind(
            owner.req.route.name, self._size, crowding_band(self._met_work_s)
        )
        self._was_cold = self._ctx.fleet.is_cold(endpoint.id, self._began)
        self._ctx.loads.began(endpoint.id, self._work_s)
        self._ctx.releases.began(owner.req.service, self._version)
        self._ctx.quarantine.started(endpoint, owner.req.fingerprint)

    async def send(self) -> None:
        """Send the call and read the head of its answer."""
        ctx, owner, req = self._ctx, self._owner, self._owner.req
        service = ctx.fleet.view.catalog.services.get(req.service)
        most = service.max_connections if service else DEFAULT_CONNECTIONS
        self._pool = ctx.pools.get(self.endpoint, most, ctx.fleet.nodes)
        now = ctx.clock()
        self._channel = await self._pool.acquire(now, once=not req.route.may_run_again)
        now = ctx.clock()
        self._check_again(now)
        req = owner.req
        if not ctx.fleet.admit_cold(self.endpoint.id, now):
            raise self._error("the endpoint is cold", ResultCode.NO_ENDPOINT)
        self._channel.fail_at(req.deadline_at)
        send = Send(
            endpoint_id=self.endpoint.id,
            organisation=req.organisation.name if req.organisation else "",
            left_s=req.deadline_at - now,
            model=self._size,
            rank=req.rank,
            after_event=owner.last_event,
        )
        self.sent = True
        owner.runs += 1
        self._channel.send(
            ctx.codec.encode(req.call, send),
            ctx.codec.is_mine(req.call),
            head_only=req.call.method == "HEAD",
        )
        if self._blocks:
            ctx.prefixes.dispatched(self.endpoint.id, self._blocks)
        await self._patiently(head=True)
        self.head = ctx.codec.decode(await self._channel.head())
        self._judge_head()

    async def read(self) -> bytes:
        """Return the next bytes of the body.

        Raise EndpointError when the endpoint is silent for long and the call may go
        on elsewhere; where it may not, silence lasts until the deadline.
        """
        await self._patiently()
        return await self._channel.read()

    async def read_all(self) -> bytes:
        """Return the whole body."""
        chunks, size = [], 0
        while data := await self._channel.read():
            chunks.append(data)
            size += len(data)
            if size > MAX_BODY_BYTES:
                raise EndpointError(
                    f"a body of more than {MAX_BODY_BYTES} bytes",
                    code=ResultCode.ANSWER_TRUNCATED,
                )
        self.piece()
        return b"".join(chunks)

    def piece(self) -> None:
        """Note that a piece of the answer arrived."""
        now = self._ctx.clock()
        self.pieces += 1
        self._last_at = now
        self._ctx.health.served(self.endpoint.id, now)
        if self._first_at is None:
            self._first_at = now
            self._ctx.loads.ended(self.endpoint.id, self._read_s)
            self._work_s -= self._read_s
            self._learn_speed()

    def succeeded(self) -> None:
        """End with a good and whole answer."""
        if not self._open:
            return
        now, kind = self._ctx.clock(), self._kind()
        first_s = (self._first_at or now) - self._began
        self._ctx.health.answered(self.endpoint.id, kind, first_s, now)
        self._ctx.quarantine.completed(self._owner.req.fingerprint, now)
        self._count(first_s, bad=False)
        self._close("ok")

    def ended(self, *, bad: bool) -> None:
        """End with an answer of the endpoint's own that isn't a success."""
        if not self._open:
            return
        if bad:
            self._ctx.health.failed(
                self.endpoint.id, self._ctx.clock(), unreachable=False
            )
        self._count(None, bad=bad)
        self._close(f"status {self.head.status}")

    def failed(self, exc: EndpointError) -> None:
        """End without a usable answer."""
        if not self._open:
            return
        exc.endpoint_id = self.endpoint.id
        now = self._ctx.clock()
        if not isinstance(exc, PoolFullError):
            unreachable = isinstance(exc, ConnectFailedError)
            self._ctx.health.failed(self.endpoint.id, now, unreachable=unreachable)
        if exc.code is ResultCode.ENDPOINT_TIMEOUT:
            answers = int(not is_crowded(self._call_kind))
            self._tell(Tally(answers, silent=answers, paces=self._paces()))
        elif exc.run_state is not RunState.NOT_RUN:
            self._count(None, bad=True)
        if self.sent and exc.code is ResultCode.ANSWER_TRUNCATED:
            self._ctx.suspect_crash(self.endpoint)
        self._close(f"{exc.code.number} {exc.message}")

    def dropped(self, why: str) -> None:
        """End early because another model is asked."""
        if self._open:
            self.piece()
            self._count(None, bad=False)
            self._close(why)

    def abandoned(self) -> None:
        """End because nobody waits for the answer any more."""
        if self._open:
            self._tell(Tally(paces=self._paces()))
            self._close("abandoned")

    def _check_again(self, now: float) -> None:
        """Look once more, right before the bytes go out, at what may not be stale."""
        owner, view = self._owner, self._ctx.fleet.view
        if now >= owner.req.deadline_at:
            raise RefusedError(code=ResultCode.DEADLINE_UNMEETABLE)
        if not owner.sent_bytes:  # a stream that the caller has begun to read goes on
            owner.req = admit_again(owner.req, view)
        req = owner.req
        known = view.endpoints.by_id.get(self.endpoint.id)
        gone = known is None or known.state is not self.endpoint.state
        out = self.endpoint.failure_domain in view.domains_out
        closed = not may_use(view.release(req.service), self._version)
        if gone or out or closed:
            raise self._error("the endpoint is taken out", ResultCode.NO_ENDPOINT)

    def _judge_head(self) -> None:
        head = self.head
        if head.cold_s:
            self._ctx.fleet.heard_cold(self.endpoint.id, head.cold_s, self._ctx.clock())
        match head.verdict:
            case HeadVerdict.NOT_RUN:
                raise self._error(
                    f"refused with {head.status}", ResultCode.ENDPOINT_REFUSED
                )
            case HeadVerdict.OTHER_ENDPOINT:
                self._ctx.fleet.apply(EndpointGone(self.endpoint.id), self._ctx.clock())
                raise self._error(
                    "another endpoint has its address", ResultCode.ENDPOINT_REFUSED
                )
            case HeadVerdict.INVALID:
                raise EndpointError(
                    f"status {head.status} without the endpoint's mark",
                    code=ResultCode.ANSWER_CROSSED,
                )

    async def _patiently(self, *, head: bool = False) -> None:
        """Return when the next piece is there; raise EndpointError to go elsewhere."""
        began = self._ctx.clock()
        silence = self._owner.silence(
            self.endpoint, self._reading_s, first=not self.pieces
        )
        while silence is not None:
            until = began + patience_s(silence)
            if await self._channel.arrives_by(until, head=head):
                return
            served = self._ctx.health.served_at(self.endpoint.id) > began
            silence = replace(silence, others_served=served)
            if began + patience_s(silence) > self._ctx.clock():
                continue
            if not self._owner.may_go_elsewhere():
                return
            raise EndpointError(
                f"silent for {self._ctx.clock() - began:.2f} s",
                code=ResultCode.ENDPOINT_TIMEOUT,
            )

    def _learn_speed(self) -> None:
        service = self._owner.service
        if self._blocks and service is not None:
            self._ctx.speeds.answered(
                service,
                self._size or self._owner.req.call.model,
                self._fresh_tokens,
                self._first_at - self._began,
            )

    def _kind(self) -> tuple[str, str]:
        return self._owner.req.route.name, self._size

    def _count(self, first_s: float | None, *, bad: bool) -> None:
        timed = None if bad or self._was_cold else first_s
        self._tell(Tally(1, int(bad), firsts=log_times(timed), paces=self._paces()))

    def _paces(self) -> LogTimes:
        """Return the pace of the pieces; a cold endpoint's says nothing of others."""
        if self._first_at is None or self._was_cold:
            return LogTimes()
        return log_times(pace_s(self.pieces, self._last_at - self._first_at))

    def _tell(self, tally: Tally) -> None:
        """Tell what the call says of the release.

        A call that failed before tells more of itself: some fail wherever they run.
        """
        if self._owner.attempts:
            tally = Tally(firsts=tally.firsts, paces=tally.paces)
        self._ctx.releases.answered(
            self._owner.req.service, self._version, self._call_kind, tally
        )

    def _first_ms(self) -> int | None:
        if self._first_at is None:
            return None
        return round((self._first_at - self._began) * 1000)

    def _error(self, message: str, code: ResultCode) -> EndpointError:
        return EndpointError(
            message,
            code=code,
            endpoint_id=self.endpoint.id,
            run_state=RunState.NOT_RUN,
        )

    def _close(self, outcome: str) -> None:
        self._open = False
        now = self._ctx.clock()
        req = self._owner.req
        self._ctx.loads.ended(self.endpoint.id, self._work_s)
        self._ctx.releases.ended(req.service, self._version)
        self._ctx.quarantine.ended(self.endpoint, req.fingerprint)
        if self._channel is not None:
            self._pool.release(self._channel, now)
        self._owner.story.attempts.append(
            {
                "endpoint": self.endpoint.id,
                "version": self._version,
                "model": self._size,
                "ms": round((now - self._began) * 1000),
                "work_ms": round(self._met_work_s * 1000),
                "first_ms": self._first_ms(),
                "pieces": self.pieces,
                "outcome": outcome,
            }
        )


async def open_run(owner: "RelayRun") -> Run:
    """Return a run whose answer has begun; raise EndpointError if that failed."""
    blocks = _blocks(owner)
    chosen = await _find_place(owner, blocks)
    run = Run(owner, chosen.chosen.endpoint, blocks)
    try:
        await run.send()
    except EndpointError as exc:
        if run.sent and exc.run_state is RunState.NOT_RUN:
            owner.runs -= 1
        run.failed(exc)
        raise
    except BaseException:
        run.abandoned()
        raise
    return run


def _blocks(owner: "RelayRun") -> tuple[int, ...]:
    call = owner.req.call
    if not call.parts:
        return ()
    return part_blocks(owner.size or call.model, tuple(p.id for p in call.parts))


async def _find_place(owner: "RelayRun", blocks: tuple[int, ...]) -> Placement:
    """Return a place, waiting a little for one; raise RefusedError without."""
    ctx, req = owner.ctx, owner.req
    hold_s = HOLD * req.route.objective_s
    began = ctx.clock()
    while True:
        now = ctx.clock()
        wanted = PlacementRequest(
            service=req.service,
            session=req.call.session or req.call.request_id,
            blocks=blocks,
            part_tokens=tuple(part.tokens for part in req.call.parts),
            tried=owner.tried,
        )
        found = place(wanted, placement_view(owner, now), now, ctx.rng)
        if isinstance(found, Placement):
            return found
        if now - began >= hold_s or now + hold_s / HOLD_STEPS >= req.deadline_at:
            raise _no_place(found)
        await asyncio.sleep(hold_s / HOLD_STEPS)


def placement_view(owner: "RelayRun", now: float) -> PlacementView:
    """Return what placing looks at, as of now."""
    ctx, req = owner.ctx, owner.req
    view, listen = ctx.fleet.view, ctx.settings.listen
    kind = req.route.name, owner.size
    return PlacementView(
        endpoints=view.endpoints,
        work_s=ctx.loads.work_s,
        prefixes=ctx.prefixes,
        failure_domain=listen.failure_domain,
        region=listen.region,
        healths=ctx.health.healths,
        domains_out=view.domains_out,
        cold_refused=ctx.fleet.cold_refused(now),
        doubtful=ctx.fleet.doubtful(),
        full=ctx.pools.full_ids(),
        release=view.release(req.service),
        trial_share=trial_share(ctx.settings.promises.exposure),
        usual_s=ctx.health.usual_s(kind, DEFAULT_USUAL_S),
    )


def least_crowding_s(owner: "RelayRun") -> float:
    """Return what a call would lose to crowding at its best place now."""
    ctx, now = owner.ctx, owner.ctx.clock()
    wanted = PlacementRequest(
        owner.req.service, owner.req.call.session or owner.req.call.request_id
    )
    found = place(wanted, placement_view(owner, now), now, ctx.rng)
    return found.chosen.crowding_s if isinstance(found, Placement) else 0.0


def _no_place(found: NoPlace) -> RefusedError:
    return RefusedError(
        found.reason, code=found.code, retry_after_s=found.retry_after_s
    )
