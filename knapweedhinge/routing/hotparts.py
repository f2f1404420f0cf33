"""Tell which engines are hot, so that common prompt parts spread to further ones.

Designed for a few prompt parts that make up much of the traffic. All nodes prefer the
same engine for a part, since it is cached there; the engine of a part that many calls
share gets more than it can do. While it is hot, nodes prefer further engines as well,
in an order that all of them agree on. All see the same sums of work, so they find the
same engines hot.
"""

from collections.abc import Mapping

# Most engines preferred for a part: each one caches it at the cost of another prefill.
MAX_PREFERRED = 3
# An engine is hot above this multiple of the mean outstanding work of its service, and
# this many seconds more; it stays hot down to the lower ones.
HOT_RATIO, HOT_EXCESS_S = 2.0, 0.5
COOL_RATIO, COOL_EXCESS_S = 1.25, 0.25


def hot_engines(work_s: Mapping[str, float], was_hot: frozenset[str]) -> frozenset[str]:
    """Return the ids of the engines that are hot.

    ``work_s`` is the outstanding work by id of all engines of a service, in seconds;
    ``was_hot`` are those that were hot before.
    """
    if not work_s:
        return frozenset()
    mean_s = sum(work_s.values()) / len(work_s)
    hot_s = HOT_RATIO * mean_s + HOT_EXCESS_S
    cool_s = COOL_RATIO * mean_s + COOL_EXCESS_S
    return frozenset(
        engine_id
        for engine_id, seconds in work_s.items()
        if seconds > (cool_s if engine_id in was_hot else hot_s)
    )
