"""Assignment of keys to members by rendezvous hashing.

Every node computes the same owners from the same members, and when a member joins,
leaves or dies only the keys it owns are reassigned. The membership views of two nodes
may differ for seconds. Where two owners at the same time would do harm, the owner must
also hold a lease row, see ``controllers.leases``.
"""

from collections.abc import Iterable

import xxhash

from knapweedhinge.peers.members import Member
from knapweedhinge.routing.nodecapacity import strong_first

MAX_CACHED_KEYS = 20_000  # cached lookups; a full cache is emptied


def rendezvous_weight(vm: str, role: str, key: str) -> int:
    """Return the rendezvous hash of a VM for a key; the highest hash owns the key."""
    return xxhash.xxh3_64_intdigest(f"{role}\0{key}\0{vm}".encode())


def owners(
    members: Iterable[Member],
    role: str,
    key: str,
    count: int,
    *,
    distinct_failure_domains: bool = False,
    region: str | None = None,
    failure_domain: str | None = None,
    strong: bool = False,
) -> tuple[Member, ...]:
    """Return up to ``count`` owners of a key for a role, in order of preference.

    ``role`` names the task that the owners have; the owners of the same key for another
    role are chosen independently. Only active members are considered, and only those of
    ``region`` and ``failure_domain`` if given. With ``distinct_failure_domains`` a
    second owner in the same failure domain is chosen only if no other domain is left.
    With ``strong`` members below the median capacity of those considered come last.
    Costs one hash per member.
    """
    found = [
        member
        for member in members
        if member.active
        and region in (None, member.region)
        and failure_domain in (None, member.failure_domain)
    ]
    found.sort(key=lambda m: (-rendezvous_weight(m.vm, role, key), m.vm))
    if strong:
        found = strong_first(found, lambda member: member.capacity)
    if not distinct_failure_domains:
        return tuple(found[:count])
    return _distinct_domains_first(found, count)


def _distinct_domains_first(ranked: list[Member], count: int) -> tuple[Member, ...]:
    first, rest, domains = [], [], set()
    for member in ranked:
        target = rest if member.failure_domain in domains else first
        domains.add(member.failure_domain)
        target.append(member)
    return tuple((first + rest)[:count])


class Assignments:
    """Caches the owners of keys for the current active members.

    The cache is cleared when a member joins, restarts, leaves or dies, but not when it
    only refutes a suspicion.
    """

    def __init__(self):
        self._members: tuple[Member, ...] = ()
        self._processes: tuple = ()
        self._cache: dict[tuple, tuple[Member, ...]] = {}

    def update(self, members: tuple[Member, ...]) -> bool:
        """Set the active members and return whether any owner may have changed."""
        processes = tuple((member.vm, member.incarnation) for member in members)
        self._members = members
        if processes == self._processes:
            return False
        self._processes = processes
        self._cache.clear()
        return True

    def owners(
        self,
        role: str,
        key: str,
        count: int,
        *,
        distinct_failure_domains: bool = False,
        region: str | None = None,
        failure_domain: str | None = None,
        strong: bool = False,
    ) -> tuple[Member, ...]:
        """Return the owners of a key like the function ``owners``, from the cache."""
        cache_key = (
            role,
            key,
            count,
            distinct_failure_domains,
            region,
            failure_domain,
            strong,
        )
        found = self._cache.get(cache_key)
        if found is None:
            if len(self._cache) >= MAX_CACHED_KEYS:
                self._cache.clear()
            found = owners(
                self._members,
                role,
                key,
                count,
                distinct_failure_domains=distinct_failure_domains,
                region=region,
                failure_domain=failure_domain,
                strong=strong,
            )
            self._cache[cache_key] = found
        return found


def watchers(
    assignments: Assignments, endpoint: str, region: str
) -> tuple[Member, ...]:
    """Return the two members that watch an endpoint.

    They are in the given region and in different failure domains if possible.
    """
    return assignments.owners(
        "watcher", endpoint, 2, distinct_failure_domains=True, region=region
    )
