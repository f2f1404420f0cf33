"""One attempt of a call at one endpoint."""

from dataclasses import replace
from typing import TYPE_CHECKING

from knapweedhinge.controllers.fleet import EndpointGone
from knapweedhinge.core.codes import ResultCode, RunState
from knapweedhinge.core.exceptions import EndpointError, RefusedError
from knapweedhinge.filters.relay.admit import admit_again
from knapweedhinge.filters.relay.evidence import Evidence
from knapweedhinge.filters.relay.placing import find_place, prompt_blocks_of
from knapweedhinge.filters.relay.types import AnswerHead, HeadVerdict, Send
from knapweedhinge.http1 import ConnectFailedError, PoolFullError
from knapweedhinge.routing.load import EndpointView
from knapweedhinge.routing.patience import patience_s
from knapweedhinge.routing.placement import version_of
from knapweedhinge.routing.releases import may_use

if TYPE_CHECKING:
    from knapweedhinge.filters.relay.run import RelayRun

DEFAULT_CONNECTIONS = 64  # for a service whose catalog entry is missing
MAX_BODY_BYTES = 16 * 1024 * 1024  # a whole answer held in memory


class Run:
    """A call at an endpoint; exactly one of its endings takes effect."""

    def __init__(
        self, owner: "RelayRun", endpoint: EndpointView, blocks: tuple[int, ...]
    ):
        self.endpoint = endpoint
        self.head: AnswerHead | None = None
        self._owner = owner
        self._ctx = owner.ctx
        self._blocks = blocks
        self._channel = None
        self._pool = None
        self._open = True
        self._began = self._ctx.clock()
        self.sent = False
        self._size = owner.size
        self._version = version_of(endpoint)
        self._fresh_tokens = owner.fresh_tokens(endpoint, blocks)
        work = owner.work(endpoint, self._fresh_tokens)
        self._read_s, self._work_s = work.read_s, work.total_s
        self._evidence = Evidence(owner, endpoint, self._began)
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
        self._channel = await self._pool.acquire(
            now, unrepeatable=not req.route.may_run_again
        )
        now = ctx.clock()
        self._check_again(now)
        req = owner.req
        if not ctx.fleet.admit_cold(self.endpoint.id, now):
            raise self._error("the endpoint is cold", ResultCode.NO_ENDPOINT)
        self._channel.set_deadline(req.deadline_at)
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
        self._evidence.piece(now)
        self._ctx.health.served(self.endpoint.id, now)
        if self._evidence.pieces == 1:
            self._ctx.loads.ended(self.endpoint.id, self._read_s)
            self._work_s -= self._read_s
            self._learn_speed()

    def succeeded(self) -> None:
        """End with a good and whole answer."""
        if not self._open:
            return
        now, kind = self._ctx.clock(), (self._owner.req.route.name, self._size)
        first_s = self._evidence.first_s or now - self._began
        self._ctx.health.answered(self.endpoint.id, kind, first_s, now)
        self._ctx.quarantine.completed(self._owner.req.fingerprint, now)
        self._evidence.good(first_s)
        self._close("ok")

    def ended(self, *, bad: bool) -> None:
        """End with an answer of the endpoint's own that isn't a success."""
        if not self._open:
            return
        if bad:
            self._ctx.health.failed(
                self.endpoint.id, self._ctx.clock(), unreachable=False
            )
        if bad:
            self._evidence.bad()
        else:
            self._evidence.good(None)
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
            self._evidence.silent()
        elif exc.run_state is not RunState.NOT_RUN:
            self._evidence.bad()
        if self.sent and exc.code is ResultCode.ANSWER_TRUNCATED:
            self._ctx.suspect_crash(self.endpoint)
        self._close(f"{exc.code.number} {exc.message}")

    def dropped(self, why: str) -> None:
        """End early because another model is asked."""
        if self._open:
            self.piece()
            self._evidence.good(None)
            self._close(why)

    def abandoned(self) -> None:
        """End because nobody waits for the answer any more."""
        if self._open:
            self._evidence.left()
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
            self.endpoint, self._read_s, first=not self._evidence.pieces
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
                self._evidence.first_s,
            )

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
                **self._evidence.logged(),
                "outcome": outcome,
            }
        )


async def open_run(owner: "RelayRun") -> Run:
    """Return a run whose answer has begun; raise EndpointError if that failed."""
    blocks = prompt_blocks_of(owner)
    chosen = await find_place(owner, blocks)
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
