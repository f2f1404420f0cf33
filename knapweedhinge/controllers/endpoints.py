"""Derive the state of endpoints from the VM list, status reports and failures.

It is for a node that routes by the voted configuration and reads the endpoints' status
itself; ``controllers.fleet`` is for a relay node, which reads their records.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from functools import singledispatch
from types import MappingProxyType

from knapweedhinge.backing.types import Vm
from knapweedhinge.endpoints.types import EndpointStatus
from knapweedhinge.routing.endpointindex import EndpointIndex
from knapweedhinge.routing.load import (
    EndpointKind,
    EndpointState,
    EndpointView,
    WarmState,
)

DEAD_AFTER_FAILURES = 3  # consecutive failures after which an endpoint is dead


@dataclass(frozen=True)
class VmsListed:
    """The VM list was read; endpoints that aren't on it are removed."""

    vms: tuple[Vm, ...]


@dataclass(frozen=True)
class StatusRead:
    """An endpoint answered a health check with its status."""

    status: EndpointStatus


@dataclass(frozen=True)
class StatusFailed:
    """An endpoint failed a health check, or the connection broke during a call."""

    endpoint_id: str


@dataclass(frozen=True)
class EndpointLeaving:
    """An endpoint is draining and takes no new calls."""

    endpoint_id: str


@dataclass(frozen=True)
class EndpointTable:
    """All known endpoints, and the consecutive failures of each by its id."""

    index: EndpointIndex = field(default_factory=EndpointIndex)
    failures: Mapping[str, int] = field(default_factory=lambda: MappingProxyType({}))

    def get(self, endpoint_id: str) -> EndpointView | None:
        """Return the endpoint with this id, or None if it isn't known."""
        return self.index.by_id.get(endpoint_id)

    def with_endpoint(self, view: EndpointView, failures: int) -> "EndpointTable":
        """Return a copy of the table with one endpoint and its failures replaced."""
        counts = MappingProxyType({**self.failures, view.id: failures})
        return EndpointTable(self.index.replace(view), counts)


@singledispatch
def fold(event, table: EndpointTable) -> EndpointTable:
    """Return the table that results from applying an event.

    Raise TypeError for an unknown kind of event.
    """
    raise TypeError(f"unsupported event type {type(event).__name__}")


@fold.register
def _(event: VmsListed, table: EndpointTable) -> EndpointTable:
    listed = [vm for vm in event.vms if vm.role == "endpoint"]
    views = [_view_from_vm(vm, table.get(vm.vm)) for vm in listed]
    counts = {view.id: table.failures.get(view.id, 0) for view in views}
    return EndpointTable(EndpointIndex(views), MappingProxyType(counts))


@fold.register
def _(event: StatusRead, table: EndpointTable) -> EndpointTable:
    status = event.status
    known = table.get(status.endpoint_id)
    if known is None:
        return table
    state = known.state
    if state is EndpointState.DEAD:
        state = EndpointState.LIVE
    view = replace(
        known,
        incarnation=status.incarnation,
        versions=status.versions,
        state=state,
        warm_state=WarmState.COLD if status.cold else WarmState.WARM,
        report=status.report,
    )
    return table.with_endpoint(view, failures=0)


@fold.register
def _(event: StatusFailed, table: EndpointTable) -> EndpointTable:
    known = table.get(event.endpoint_id)
    if known is None:
        return table
    count = table.failures.get(known.id, 0) + 1
    if count < DEAD_AFTER_FAILURES or known.state is EndpointState.LEAVING:
        return table.with_endpoint(known, count)
    dead = replace(known, state=EndpointState.DEAD, warm_state=WarmState.COLD)
    return table.with_endpoint(dead, count)


@fold.register
def _(event: EndpointLeaving, table: EndpointTable) -> EndpointTable:
    known = table.get(event.endpoint_id)
    if known is None:
        return table
    leaving = replace(known, state=EndpointState.LEAVING)
    return table.with_endpoint(leaving, table.failures.get(known.id, 0))


def _view_from_vm(vm: Vm, known: EndpointView | None) -> EndpointView:
    """Return the view of an endpoint, updated from its entry in the VM list.

    What was known is dropped when the address or failure domain changed, since the VM
    was then replaced. A new endpoint counts as dead until its first status report.
    """
    url = f"http://{vm.ip}:{vm.port}"
    if known is None or (known.url, known.failure_domain) != (url, vm.failure_domain):
        known = EndpointView(
            id=vm.vm,
            url=url,
            failure_domain=vm.failure_domain,
            region=vm.region,
            kind=EndpointKind(vm.kind),
            service=vm.service or None,
            state=EndpointState.DEAD,
            warm_state=WarmState.COLD,
        )
    if vm.state == "leaving":
        return replace(known, state=EndpointState.LEAVING)
    return known
