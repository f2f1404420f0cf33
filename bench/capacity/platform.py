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
            "a row changes on join and on leave; a node chosen by rendezvous hashing "
            "deletes the row of a dead VM",
        ),
        PlatformLoad(
            "roster audit",
            2 / 600,
            0.0,
            "one node reads two pages of rows every ten minutes",
        ),
        PlatformLoad(
            "polls for a new revision of the configuration",
            readers / 0.5,
            0.0,
            f"{readers} readers, every 0.5 s",
        ),
        PlatformLoad(
            "changes of configuration",
            t.CHANGES_PER_DAY / t.DAY_S * (readers + 2),
            2 * t.CHANGES_PER_DAY / t.DAY_S,
            "each reader reads the new revision; the proposal and its acceptance are "
            "written",
        ),
        PlatformLoad(
            "list of VMs",
            readers / 1.0,
            0.0,
            "only the configuration readers read it, every second",
        ),
        PlatformLoad(
            "claims",
            0.0,
            t.BATCHED_CLAIM_WRITES_PER_S,
            "each shard writes them in batches (group commit) that grow with the load",
        ),
        PlatformLoad(
            "bills",
            0.0,
            t.NODES / t.BILL_WRITE_INTERVAL_S,
            f"each node writes one object every {t.BILL_WRITE_INTERVAL_S:.0f} s",
        ),
        PlatformLoad(
            "leases",
            0.0,
            float(t.CLAIM_SHARDS + t.REGIONS),
            "one for each shard of claims and one for the permit owner of each region, "
            "renewed every second",
        ),
    )
