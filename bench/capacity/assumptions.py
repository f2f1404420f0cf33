"""The assumed figures that the page lists."""

from bench.capacity import target as t
from bench.capacity.figures import assumed


def assumptions() -> tuple[tuple[str, str], ...]:
    """Return the name and the formatted value of each assumed figure."""
    return (
        (
            "size of a change of configuration",
            assumed(t.CHANGE_BYTES).show("{:.0f}", "B"),
        ),
        (
            "network delay between regions, one way",
            assumed(1000 * t.ONE_WAY_BETWEEN_REGIONS_S).show("{:.0f}", "ms"),
        ),
        (
            "share of calls that may not be repeated",
            assumed(100 * t.CLAIMED_CALL_SHARE).show("{:.0f}", "%"),
        ),
        (
            "cold starts of a replica per day",
            assumed(t.COLD_STARTS_PER_REPLICA_DAY).show("{:.0f}"),
        ),
        ("size of a bill record", assumed(t.BILL_BYTES).show("{:.0f}", "B")),
        ("size of a claim with its answer", assumed(t.CLAIM_BYTES).show("{:.0f}", "B")),
        (
            "size of the evidence of a node",
            assumed(t.STATISTICS_BYTES).show("{:.0f}", "B"),
        ),
        (
            "size of a status answer of an endpoint",
            assumed(t.STATUS_BYTES).show("{:.0f}", "B"),
        ),
        ("number of callers that ask for addresses", assumed(t.CALLERS).show("{:.0f}")),
    )
