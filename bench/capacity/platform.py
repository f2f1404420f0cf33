"""Rates of reads and writes on the platform at the target size."""

from dataclasses import dataclass

from bench.capacity import target as t


@dataclass(frozen=True)
class PlatformLoad:
    """Reads and writes a second for one cause, by all nodes together."""

    cause: str
    reads_per_s: float
    writes_per_s: float
    mechanism: str


def platform_loads() -> tuple[PlatformLoad, ...]:
    """Return the load of each cause, with the mechanism that stays within budget."""
    joins = (t.FAILURES_PER_DAY + t.RESTARTS_PER_DAY) / t.DAY_S
    readers = 2 * t.FAILURE_DOMAINS
    return (
        PlatformLoad(
            "roster: joins, leaves, rows of dead VMs",
            3 * joins,
            2 * joins,
            "a row on join and on leave; the rendezvous owner deletes a dead one",
        ),
        PlatformLoad(
            "roster audit", 2 / 600, 0.0, "one owner, every ten minutes, two pages"
        ),
        PlatformLoad(
            "head of the configuration",
            readers / 0.5,
            0.0,
            f"{readers} readers, every 0.5 s",
        ),
        PlatformLoad(
            "changes of configuration",
            t.CHANGES_PER_DAY / t.DAY_S * (readers + 2),
            2 * t.CHANGES_PER_DAY / t.DAY_S,
            "each reader reads a new revision; proposal and acceptance are written",
        ),
        PlatformLoad(
            "list of VMs", readers / 1.0, 0.0, "the readers only, every second"
        ),
        PlatformLoad(
            "claims",
            0.0,
            t.BATCHED_CLAIM_WRITES_PER_S,
            "group commit in shards; the batch grows with the load",
        ),
        PlatformLoad(
            "bills",
            0.0,
            t.NODES / t.BILL_WRITE_INTERVAL_S,
            f"one object a node every {t.BILL_WRITE_INTERVAL_S:.0f} s",
        ),
        PlatformLoad(
            "leases",
            0.0,
            float(t.CLAIM_SHARDS + t.REGIONS),
            "renewed each second, one a shard and a permit owner a region",
        ),
    )
