"""Grant and request permits for work on cold endpoints, through peers and leases.

A permit bounds how many requests run on an endpoint during its cold start. For each
region one node, which holds a lease in the platform, grants them.
"""

import asyncio
from dataclasses import dataclass

import msgspec

from knapweedhinge.backing import TableClient
from knapweedhinge.conf import NodeSettings, VotedLimits
from knapweedhinge.controllers.endpoints import StatusRead
from knapweedhinge.controllers.leases import Lease, LeaseKeeper
from knapweedhinge.controllers.permits import OwnedPermits
from knapweedhinge.core.exceptions import EndpointError, PeerError
from knapweedhinge.core.periodic import PeriodicTasks
from knapweedhinge.endpoints.types import EndpointStatus
from knapweedhinge.filters import Context
from knapweedhinge.peers import Member, Peers
from knapweedhinge.routing.coldstart import PERMIT_RETRY_S
from knapweedhinge.routing.load import EndpointState, EndpointView, WarmState
from knapweedhinge.routing.permits import (
    Denial,
    PermitDenial,
    PermitGrant,
    PermitRelease,
    PermitRequest,
)

PERMIT_ROLE = "permits"
ANY_REGION = "any"  # stands in the lease's name for endpoints without a region
# Peer methods.
PERMIT_METHOD = "permit"
RELEASE_METHOD = "permit-release"
# A lease is renewed from a third of its term on. Several checks fall into the rest of
# the term, so that the lease isn't lost when one renewal fails.
LEASE_CHECKS_PER_TERM = 6


class _PermitReply(msgspec.Struct, array_like=True, frozen=True):
    """Encode a grant or a denial; without a ``reason`` the permit is granted."""

    request_id: str
    endpoint_id: str = ""
    incarnation: str = ""
    reason: Denial | None = None
    retry_after_s: float = 0.0


@dataclass(frozen=True)
class RegionPermits:
    """Hold the permits of a region's cold endpoints and the lease to grant them."""

    keeper: LeaseKeeper
    owned: OwnedPermits


class PermitCoordinator:
    """Grant permits of the regions assigned to this node, request others from peers.

    The owner of a permit is the node that grants those of the endpoint's region.
    """

    def __init__(
        self, ctx: Context, peers: Peers, tables: TableClient, incarnation: str
    ):
        self._ctx = ctx
        self._peers = peers
        self._tables = tables
        self._incarnation = incarnation
        self._permits_by_region: dict[str, RegionPermits] = {}
        self._release_tasks: set[asyncio.Task] = set()
        self._leaving = False
        peers.handle(PERMIT_METHOD, self._handle_request)
        peers.handle(RELEASE_METHOD, self._handle_release)
        ctx.permits.connect(self.request_permit, self.send_release)
        ctx.state.endpoint_events.subscribe(self._record_status)

    @property
    def leases(self) -> tuple[LeaseKeeper, ...]:
        """Return the keepers of leases whose row this node has read, for dumps."""
        keepers = [permits.keeper for permits in self._permits_by_region.values()]
        return tuple(keeper for keeper in keepers if keeper.lease.row is not None)

    def start(self, tasks: PeriodicTasks) -> None:
        """Start the periodic lease checks and polls of cold endpoints."""
        cfg = self._cfg
        tasks.start(self.keep_leases, cfg.leases.term_s / LEASE_CHECKS_PER_TERM)
        tasks.start(self.read_cold, cfg.endpoints.status_s)

    async def stop(self) -> None:
        """Release the leases, so that successors needn't wait for their expiry."""
        self._leaving = True
        await self.keep_leases()

    async def keep_leases(self) -> None:
        """Acquire, renew or release the lease of each region with known endpoints."""
        by_id = self._ctx.state.current.endpoints.index.by_id
        regions = {
            view.region for view in by_id.values()
        } | self._permits_by_region.keys()
        checks = [self._check_lease(region) for region in sorted(regions)]
        await asyncio.gather(*checks)

    async def read_cold(self) -> None:
        """Poll the status of the cold endpoints whose permits this node grants."""
        now = self._ctx.clock()
        held = {
            region: permits
            for region, permits in self._permits_by_region.items()
            if permits.keeper.lease.is_held(now)
        }
        by_id = self._ctx.state.current.endpoints.index.by_id
        polls = [
            self._poll_status(view, held[view.region])
            for view in by_id.values()
            if view.region in held and _is_cold(view, held[view.region])
        ]
        await asyncio.gather(*polls)

    async def request_permit(self, req: PermitRequest) -> PermitGrant | PermitDenial:
        """Request a permit from the node that grants those of the endpoint.

        Return a denial if no such node is known; raise PeerError if the call fails.
        """
        view = self._ctx.state.current.endpoints.get(req.endpoint_id)
        owner = self._owner(view.region) if view else None
        if owner is None:
            return PermitDenial(req.id, Denial.NOT_OWNER, PERMIT_RETRY_S)
        payload = msgspec.msgpack.encode(req)
        timeout_s = self._cfg.permits.start_s
        data = await self._peers.call(owner.vm, PERMIT_METHOD, payload, timeout_s)
        try:
            reply = msgspec.msgpack.decode(data, type=_PermitReply)
        except msgspec.MsgspecError as exc:
            raise PeerError(f"malformed permit reply from {owner.vm}") from exc
        if reply.reason is None:
            return PermitGrant(reply.request_id, reply.endpoint_id, reply.incarnation)
        return PermitDenial(reply.request_id, reply.reason, reply.retry_after_s)

    def send_release(self, release: PermitRelease) -> None:
        """Send a permit's release to its owner, in the background.

        If the message is lost, the owner's later reads of the endpoint's status correct
        its count.
        """
        task = asyncio.create_task(self._call_release(release))
        self._release_tasks.add(task)
        task.add_done_callback(self._release_tasks.discard)

    @property
    def _cfg(self) -> NodeSettings:
        return self._ctx.settings

    @property
    def _limits(self) -> VotedLimits:
        return self._ctx.state.current.configuration.limits

    def _owner(self, region: str) -> Member | None:
        """Return the node that should grant the permits of a region's endpoints.

        This is a node of the region, or of any region if that one has none.
        """
        find = self._peers.assignments.owners
        found = find(PERMIT_ROLE, region, 1, region=region) or find(
            PERMIT_ROLE, region, 1
        )
        return found[0] if found else None

    async def _check_lease(self, region: str) -> None:
        owner = self._owner(region)
        wanted = owner is not None and owner.vm == self._peers.me.vm
        wanted = wanted and not self._leaving
        await self._permits_of_region(region).keeper.keep(wanted)

    def _permits_of_region(self, region: str) -> RegionPermits:
        """Return the permits of a region, which are created at first use."""
        region_permits = self._permits_by_region.get(region)
        if region_permits is None:
            region_permits = self._permits_by_region[region] = self._new_region_permits(
                region
            )
        return region_permits

    def _new_region_permits(self, region: str) -> RegionPermits:
        name = f"{PERMIT_ROLE}/{region or ANY_REGION}"
        lease = Lease(name, self._incarnation, self._peers.me.vm)
        cfg = self._cfg
        keeper = LeaseKeeper(lease, self._tables, cfg.leases, self._ctx.clock)
        return RegionPermits(keeper, OwnedPermits(cfg.permits))

    async def _poll_status(
        self, view: EndpointView, region_permits: RegionPermits
    ) -> None:
        try:
            status = await self._ctx.engines.status(view, self._ctx.clock())
        except EndpointError:
            return
        self._observe(status, region_permits)

    def _record_status(self, event: object) -> None:
        """Record an endpoint's status, whoever grants its permits.

        A node that takes over the permits later then knows the endpoint's state.
        """
        if not isinstance(event, StatusRead):
            return
        view = self._ctx.state.current.endpoints.get(event.status.endpoint_id)
        if view is not None:
            self._observe(event.status, self._permits_of_region(view.region))

    def _observe(self, status: EndpointStatus, region_permits: RegionPermits) -> None:
        now = self._ctx.clock()
        region_permits.owned.observed(
            status, region_permits.keeper.lease, self._limits, now
        )

    async def _call_release(self, release: PermitRelease) -> None:
        view = self._ctx.state.current.endpoints.get(release.endpoint_id)
        owner = self._owner(view.region) if view else None
        if owner is None:
            return
        payload = msgspec.msgpack.encode(release)
        timeout_s = self._cfg.permits.start_s
        try:
            await self._peers.call(owner.vm, RELEASE_METHOD, payload, timeout_s)
        except PeerError:
            self._ctx.metrics.count("permit_releases", "lost")

    async def _handle_request(self, caller: Member, payload: bytes) -> bytes:
        req = _decode(payload, PermitRequest)
        region_permits = self._permits_of_endpoint(req.endpoint_id)
        if region_permits is None:
            answer = PermitDenial(req.id, Denial.NOT_OWNER, PERMIT_RETRY_S)
        else:
            now = self._ctx.clock()
            answer = region_permits.owned.answer(req, region_permits.keeper.lease, now)
        return msgspec.msgpack.encode(_to_reply(answer))

    async def _handle_release(self, caller: Member, payload: bytes) -> bytes:
        release = _decode(payload, PermitRelease)
        region_permits = self._permits_of_endpoint(release.endpoint_id)
        if region_permits is not None:
            region_permits.owned.released(release, self._limits)
        return b""

    def _permits_of_endpoint(self, endpoint_id: str) -> RegionPermits | None:
        """Return the permits that cover an endpoint, None if it isn't known here."""
        view = self._ctx.state.current.endpoints.get(endpoint_id)
        return self._permits_by_region.get(view.region) if view else None


def _is_cold(view: EndpointView, region_permits: RegionPermits) -> bool:
    if view.state is EndpointState.DEAD:
        return False
    return view.warm_state is WarmState.COLD or view.id in region_permits.owned.cold


def _decode(payload: bytes, kind: type):
    try:
        return msgspec.msgpack.decode(payload, type=kind)
    except msgspec.MsgspecError as exc:
        raise PeerError(f"malformed {kind.__name__}") from exc


def _to_reply(answer: PermitGrant | PermitDenial) -> _PermitReply:
    match answer:
        case PermitGrant():
            return _PermitReply(
                answer.request_id, answer.endpoint_id, answer.incarnation
            )
        case PermitDenial():
            return _PermitReply(
                answer.request_id,
                reason=answer.reason,
                retry_after_s=answer.retry_after_s,
            )
