"""Exchange tables of counts among the nodes of a region through their aggregator.

The tables travel with the reports of outstanding work (``loadtracker``). A node that
gets no sums estimates the fleet's from its own part.
"""

from collections.abc import Callable, Mapping

from knapweedhinge.routing.fleetsums import (
    FREQUENT,
    MAX_REPORTED,
    MAX_SUM,
    FleetTable,
    Section,
    Table,
    add_tables,
    bounded_table,
    checked_table,
    without,
)

# Seconds after which a node's report, or the aggregator's sums, are ignored.
REPORT_MAX_AGE_S = 3.0
# Sections of one message; further ones are not added up.
MAX_SECTIONS = 16

Sections = Mapping[int, Mapping[int, tuple[int, ...]]]
# Returns a node's own table at a time in seconds on its monotonic clock.
OwnTable = Callable[[float], Table]


class FleetSums:
    """This node's part of each section, and the others' as last summed up.

    ``now`` is in seconds on the node's monotonic clock.
    """

    def __init__(self):
        self._own: dict[int, OwnTable] = {}
        self._reported: dict[int, Table] = {}
        self._others: dict[int, Table] = {}
        self._nodes = 1
        self._taken_at: dict[int, float] = {}

    def add_section(self, section: Section, own: OwnTable) -> None:
        """Report the table that ``own`` returns with each report from now on."""
        self._own[section] = own

    def report(self, now: float, *, complete: bool = True) -> Sections:
        """Return this node's part of sections, to send to the aggregator.

        Without ``complete``, those are left out that are exchanged less often.
        """
        reported = {
            section: bounded_table(own(now))
            for section, own in self._own.items()
            if complete or section in FREQUENT
        }
        self._reported |= reported
        return {number: table for number, table in reported.items() if table}

    def take(self, sections: Sections, nodes: int, now: float) -> None:
        """Set the others' part from sums over ``nodes`` nodes.

        Raise ValueError, and change nothing, if a table that this node uses is
        malformed. Unknown sections are skipped, and those that are missing stay as
        they are: not all are sent each time, and an aggregator of an earlier release
        sends none, which says nothing about the others.
        """
        others = {}
        for section in self._own:
            if section in sections:
                table = checked_table(sections[section], MAX_SUM)
                others[section] = without(table, self._reported.get(section, {}))
        self._others |= others
        self._taken_at |= dict.fromkeys(others, now)
        if others:
            self._nodes = max(1, nodes)

    def table(self, section: Section, now: float, nodes: int) -> FleetTable:
        """Return a section as of ``now``; ``nodes`` is the number of active nodes.

        Without recent sums the fleet is taken for ``nodes`` times this node.
        """
        own = self._own[section](now) if section in self._own else {}
        age_s = now - self._taken_at.get(section, float("-inf"))
        if age_s > REPORT_MAX_AGE_S:
            return FleetTable({}, own, age_s, nodes, scale=float(max(1, nodes)))
        return FleetTable(self._others.get(section, {}), own, age_s, self._nodes)


def checked_sections(sections: Sections) -> dict[int, Table]:
    """Return the sections of a node's report; raise ValueError for a malformed one."""
    if len(sections) > MAX_SECTIONS:
        raise ValueError(f"{len(sections)} sections, {MAX_SECTIONS} allowed")
    return {
        number: checked_table(table, MAX_REPORTED) for number, table in sections.items()
    }


def sum_sections(
    reports: list[dict[int, Table]], *, complete: bool = True
) -> dict[int, Table]:
    """Return the sums of sections in the reports, each with a bounded size.

    Without ``complete``, those are left out that are exchanged less often.
    """
    numbers = sorted(
        {
            number
            for report in reports
            for number in report
            if complete or number in FREQUENT
        }
    )
    return {
        number: bounded_table(add_tables(report.get(number, {}) for report in reports))
        for number in numbers[:MAX_SECTIONS]
    }
