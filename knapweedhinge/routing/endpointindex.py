"""Look up endpoints by id, version and service."""

from collections.abc import Iterable

from knapweedhinge.routing.load import EndpointState, EndpointView


class EndpointIndex:
    """An immutable index of endpoints.

    ``by_id`` maps ids to endpoints. ``by_version`` and ``by_service`` map to the ids of
    the endpoints that serve a version or a service, without dead ones.
    """

    def __init__(self, endpoints: Iterable[EndpointView] = ()):
        self.by_id = {endpoint.id: endpoint for endpoint in endpoints}
        self.by_version: dict[str, tuple[str, ...]] = {}
        self.by_service: dict[str, tuple[str, ...]] = {}
        self._index()

    def replace(self, endpoint: EndpointView) -> "EndpointIndex":
        """Return an index in which one endpoint is added or replaced."""
        copy = EndpointIndex()
        copy.by_id = {**self.by_id, endpoint.id: endpoint}
        old = self.by_id.get(endpoint.id)
        if old is not None and _index_keys(old) == _index_keys(endpoint):
            copy.by_version = self.by_version
            copy.by_service = self.by_service
        else:
            copy._index()
        return copy

    def _index(self) -> None:
        versions: dict[str, list[str]] = {}
        services: dict[str, list[str]] = {}
        for endpoint in self.by_id.values():
            if endpoint.state is EndpointState.DEAD:
                continue
            for version in endpoint.versions:
                versions.setdefault(version, []).append(endpoint.id)
            if endpoint.service is not None:
                services.setdefault(endpoint.service, []).append(endpoint.id)
        self.by_version = {key: tuple(ids) for key, ids in versions.items()}
        self.by_service = {key: tuple(ids) for key, ids in services.items()}


def _index_keys(endpoint: EndpointView):
    dead = endpoint.state is EndpointState.DEAD
    return dead, endpoint.versions, endpoint.service
