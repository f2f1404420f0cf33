"""Rates of CPU time, calls and bytes per node, averaged over a time window."""

from dataclasses import dataclass
from enum import StrEnum

from bench.control.cluster import Cluster, Shape


class Scope(StrEnum):
    """The nodes that a window averages over: all, or those alone in their process."""

    ALL = "all"
    ALONE = "alone"


@dataclass(frozen=True)
class Window:
    """Mean rates per second and node during one window.

    Nodes that share a process share its wake-ups, so only nodes alone in their process
    show the full cost of a node.

    ``seconds`` is the length of the window and ``cpu_s`` the CPU seconds a second.
    ``calls`` and ``call_bytes`` include calls made and calls served, by cause;
    ``topic_bytes`` are the bytes of pushed entries, by topic. ``links`` is the mean
    number of open links of a node, and ``events_per_s`` the rate of the generated load
    in the whole fleet.
    """

    name: str
    scope: Scope
    nodes: int
    regions: int
    seconds: float
    cpu_s: float
    calls: dict[str, float]
    call_bytes: dict[str, float]
    topic_bytes: dict[str, float]
    links: float
    events_per_s: float = 0.0

    @property
    def calls_per_s(self) -> float:
        """Return the rate of calls of all causes."""
        return sum(self.calls.values())

    @property
    def bytes_per_s(self) -> float:
        """Return the rate of bytes of all causes."""
        return sum(self.call_bytes.values())


async def observe(
    cluster: Cluster, name: str, work, events_per_s: float = 0.0
) -> tuple[Window, Window]:
    """Await ``work``, a coroutine, and return two windows of that time.

    The first averages over all nodes, the second over those alone in their process.
    """
    before = await cluster.samples()
    await work
    after = await cluster.samples()
    pairs = list(zip(before, after, strict=True))
    shape = cluster.shape
    return (
        _difference(shape, name, Scope.ALL, pairs, events_per_s),
        _difference(shape, name, Scope.ALONE, pairs[: shape.nodes_alone], events_per_s),
    )


def _difference(
    shape: Shape, name: str, scope: Scope, pairs: list, events_per_s: float
) -> Window:
    seconds = sum(b["at"] - a["at"] for a, b in pairs) / len(pairs)
    nodes = [(vm, a, b["nodes"][vm]) for a, b in pairs for vm in b["nodes"]]
    per_node_second = 1 / (seconds * len(nodes))
    calls, call_bytes, topics = {}, {}, {}
    for vm, sample, node in nodes:
        earlier = sample["nodes"][vm]
        _add_counts(
            calls, call_bytes, earlier["counts"], node["counts"], per_node_second
        )
        _add_topics(topics, earlier["topics"], node["topics"], per_node_second)
    return Window(
        name=name,
        scope=scope,
        nodes=shape.nodes,
        regions=shape.regions,
        seconds=seconds,
        cpu_s=sum(b["cpu_s"] - a["cpu_s"] for a, b in pairs) * per_node_second,
        calls=calls,
        call_bytes=call_bytes,
        topic_bytes=topics,
        links=sum(node["linked"] for _, _, node in nodes) / len(nodes),
        events_per_s=events_per_s,
    )


def _add_counts(
    calls: dict, call_bytes: dict, before: dict, after: dict, per_node_second: float
):
    for cause, count in after.items():
        earlier = before.get(cause, dict.fromkeys(count, 0))
        made = count["sent"] + count["received"] - earlier["sent"] - earlier["received"]
        size = count["sent_bytes"] + count["received_bytes"]
        size -= earlier["sent_bytes"] + earlier["received_bytes"]
        calls[cause] = calls.get(cause, 0.0) + made * per_node_second
        call_bytes[cause] = call_bytes.get(cause, 0.0) + size * per_node_second


def _add_topics(topics: dict, before: dict, after: dict, per_node_second: float):
    for topic, pushed_bytes in after.items():
        pushed = (pushed_bytes - before.get(topic, 0)) * per_node_second
        topics[topic] = topics.get(topic, 0.0) + pushed
