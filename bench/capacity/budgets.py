"""Page sections that compare the costs of roles with the budgets."""

from bench.capacity import target as t
from bench.capacity.figures import Figure, derived, kilobytes, megabytes, percent
from bench.capacity.role import Load, Role
from bench.capacity.text import wrap
from knapweedhinge.peers.traffic import CALL_OVERHEAD_BYTES


def _cells(load: Load) -> str:
    return (
        f"{load.calls_per_s.show('{:.1f}')} | {kilobytes(load.bytes_per_s)} "
        f"| {percent(load.cpu_s)} | {megabytes(load.memory_bytes)}"
    )


def roles_section(roles: tuple[Role, ...]) -> str:
    """Return the section with the costs and the verdict for each role."""
    rows = [
        "| role | held by | mechanism | state | calls/s | traffic/s | CPU | memory "
        "| verdict |",
        "| --- | --- | --- | --- | ---: | ---: | ---: | ---: | --- |",
    ]
    for role in roles:
        rows.append(
            f"| {role.name} | {role.holders} | {role.mechanism} | {role.state} "
            f"| {_cells(role.load)} | {_verdict(role, role.load)} |"
        )
        if role.planned:
            rows.append(
                f"| ... with the change below | | | | {_cells(role.planned)} "
                f"| {_verdict(role, role.planned)} |"
            )
    return (
        f"## By role, at {t.NODES} nodes\n\n"
        + wrap(
            "The costs are those of a node that holds the role, in addition to the "
            'costs of "every node". "Load not run" marks a role whose mechanism exists '
            "but whose load at this size was not run; its costs are unit costs times "
            "assumed rates. Evidence is a node's sums of the ratings, costs and "
            "latencies that roll-outs are decided on, a cut tells all nodes that a "
            "version was found bad, and a stamp is the time at which a reader found "
            "its revision to be the newest. The data path of entry and the answers to "
            "callers are not control traffic and don't count against the budget."
        )
        + "\n\n"
        + "\n".join(rows)
    )


def _verdict(role: Role, load: Load) -> str:
    if not role.is_control:
        return "not control traffic"
    verdict = _against_budget(load)
    return verdict if role.built else f"{verdict}; load not run"


def _against_budget(load: Load) -> str:
    over = [text for text in (_over_cpu(load), _over_bytes(load)) if text]
    return "; ".join(over) if over else "within budget"


def _over_cpu(load: Load) -> str:
    value = load.cpu_s.value
    if value is None or value <= t.BUDGET_CPU:
        return ""
    return f"CPU {value / t.BUDGET_CPU:.1f} times the budget"


def _over_bytes(load: Load) -> str:
    value = load.bytes_per_s.value
    if value is None or value <= t.BUDGET_BYTES_PER_S:
        return ""
    return f"traffic {value / t.BUDGET_BYTES_PER_S:.1f} times the budget"


def sum_section(roles: tuple[Role, ...]) -> str:
    """Return the section with the total costs of one node that holds many roles."""
    held = [role for role in roles if role.is_control]
    ordinary = [role for role in held if "shards" not in role.holders]
    rows = [
        "| a node that holds | traffic/s | CPU | memory | verdict |",
        "| --- | ---: | ---: | ---: | --- |",
    ]
    for name, loads in (
        ("what every node does", [held[0].load]),
        ("every role, as it is now", [role.load for role in held]),
        ("every role, changed as below", [role.planned or role.load for role in held]),
        (
            "every role but claim writer, changed as below",
            [role.planned or role.load for role in ordinary],
        ),
    ):
        total = _total(loads)
        rows.append(
            f"| {name} | {kilobytes(total.bytes_per_s)} | {percent(total.cpu_s)} "
            f"| {megabytes(total.memory_bytes)} | {_against_budget(total)} |"
        )
    return (
        "## Sum on one node\n\n"
        + wrap(
            "Stamps and evidence cost every node, not only the nodes that publish "
            "them, so they count here. One node in fifteen writes claims, one in "
            "thirty reads the configuration. The data path and the answers to callers "
            "don't count. The "
            f"budgets are {t.BUDGET_BYTES_PER_S / 1000:.0f} KB/s, "
            f"{100 * t.BUDGET_CPU:.1f}% and {t.BUDGET_MEMORY_BYTES // 2**20} MB."
        )
        + "\n\n"
        + "\n".join(rows)
        + "\n\n"
        + wrap(
            "Where the last line is over the budget, the next step is to save the "
            f"overhead of a call ({CALL_OVERHEAD_BYTES} B with headers): beacons and "
            "bill copies need no answer and could be sent as datagrams."
        )
    )


def _total(loads: list[Load]) -> Load:
    def add(name: str) -> Figure:
        values = [getattr(load, name).value for load in loads]
        return derived(sum(value for value in values if value is not None))

    return Load(
        add("calls_per_s"), add("bytes_per_s"), add("cpu_s"), add("memory_bytes")
    )


def changes_section(roles: tuple[Role, ...]) -> str:
    """Return the section with the changes that roles over budget need."""
    items = []
    for role in roles:
        if role.planned is None:
            continue
        before, after = role.load, role.planned
        text = (
            f"- **{role.name}**: {kilobytes(before.bytes_per_s)} a second and "
            f"{percent(before.cpu_s)} of a core become {kilobytes(after.bytes_per_s)} "
            f"and {percent(after.cpu_s)} if {role.change_needed}."
        )
        items.append(wrap(text, "  "))
    return "## What has to change before that size\n\n" + "\n".join(items)
