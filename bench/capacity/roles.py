"""The costs of each role for one node at the target size.

A mechanism as it is and its planned change are computed side by side; names with
``planned`` and the last texts of a role belong to the change.
"""

from bench.capacity import target as t
from bench.capacity.figures import derived, measured
from bench.capacity.role import Load, Role, load_of
from bench.capacity.units import (
    BEACON_HOLDERS,
    BEACON_INTERVAL_S,
    PathReport,
    PolicyReport,
    Units,
    beacons_per_s_at_target,
    call_bytes,
    piggyback_bytes_per_s,
)
from knapweedhinge.conf.node import PeerSettings
from knapweedhinge.peers.topology import ring_count

RINGS = ring_count(PeerSettings().fanout)
# Mean duration of a stream.
STREAM_S = t.TOKENS_PER_S / t.REQUESTS_PER_S * t.TOKEN_INTERVAL_S


def every_node(u: Units) -> Role:
    """Return the role of every node: membership and dissemination."""
    gateway_links = 2 * t.REGIONS * (t.REGIONS - 1) / t.NODES
    links = RINGS + gateway_links
    pushes_per_s = u.push_calls_per_s * links / RINGS
    beacon_bytes_per_s = piggyback_bytes_per_s(u, beacons_per_s_at_target(), 0)
    change_bytes_per_s = u.change_bytes * t.CHANGES_PER_DAY / t.DAY_S
    # Entries on members: three for a failure and two for a restart.
    member_entries_per_s = (3 * t.FAILURES_PER_DAY + 2 * t.RESTARTS_PER_DAY) / t.DAY_S
    member_bytes_per_s = u.entry_bytes * member_entries_per_s
    bytes_per_s = (
        pushes_per_s * call_bytes(0)
        + beacon_bytes_per_s
        + change_bytes_per_s
        + member_bytes_per_s
    )
    load = load_of(u, pushes_per_s, bytes_per_s, u.rss_bytes, u.node_cpu_s)
    return Role(
        "every node: membership and dissemination",
        f"all {t.NODES}",
        "rings within a region, two links for each pair of regions, beacons, pushes of "
        "entries, anti-entropy",
        f"{t.NODES} members, the configuration, live entries",
        load,
        True,
    )


def entry(u: Units, path: PathReport, policy: PolicyReport) -> Role:
    """Return the data path of a node, which isn't control traffic."""
    requests_per_s = t.REQUESTS_PER_S / t.NODES
    tokens_per_s = t.TOKENS_PER_S / t.NODES
    cpu = None
    if path.cpu_s_per_request is not None and path.cpu_s_per_1k_tokens is not None:
        cpu = path.cpu_s_per_request * requests_per_s
        cpu += path.cpu_s_per_1k_tokens * tokens_per_s / 1000
    streams = requests_per_s * STREAM_S
    memory = None
    if path.bytes_per_open_stream is not None:
        memory = path.bytes_per_open_stream * streams
    decision = _decision_us(policy)
    mechanism = "filter chain over one immutable snapshot"
    if decision is not None:
        mechanism += f"; a decision takes {measured(decision).show('{:.1f}', 'us')}"
    return Role(
        "entry (data path)",
        f"all {t.NODES}",
        mechanism,
        f"{derived(streams).show('{:.0f}')} open streams",
        Load(derived(requests_per_s), derived(None), derived(cpu), derived(memory)),
        True,
    )


def _decision_us(policy: PolicyReport) -> float | None:
    """Return the time of a decision, measured with the target's versions or more."""
    large_enough = [c for c in policy.decision_costs if c.versions >= t.VERSIONS]
    if not large_enough:
        return None
    return min(large_enough, key=lambda cost: cost.versions).decision_us


def watcher(u: Units) -> Role:
    """Return the role that polls endpoints and publishes their load.

    A batch of the planned change joins the reports of eight watchers, counted with a
    quarter of their size, and is sent and received.
    """
    watched_endpoints = 2 * t.REPLICAS / t.NODES
    region_nodes, region_replicas = t.NODES / t.REGIONS, t.REPLICAS / t.REGIONS
    polls_per_s = watched_endpoints / t.REPORT_PERIOD_S
    entries_per_s = region_nodes / t.REPORT_PERIOD_S
    report_bytes_per_s = piggyback_bytes_per_s(
        u, entries_per_s, watched_endpoints * t.REPORT_BYTES
    )
    poll_bytes_per_s = polls_per_s * t.STATUS_BYTES
    poll_cpu_share = polls_per_s * u.poll_cpu_s
    memory_bytes = region_replicas * 400  # 400 bytes for each replica
    used_replicas = t.VERSIONS * t.ENDPOINTS_USED_PER_VERSION  # by one node
    # Nodes of the region that use a given replica.
    users = region_nodes * min(1.0, used_replicas / region_replicas)
    planned_batches_per_s = users / t.REDUCED_REPORT_PERIOD_S / 8
    planned_report_bytes_per_s = (
        2
        * planned_batches_per_s
        * call_bytes(8 * watched_endpoints * t.REPORT_BYTES / 4)
    )
    planned_polls_per_s = watched_endpoints / 2 / t.REDUCED_REPORT_PERIOD_S
    planned = load_of(
        u,
        2 * planned_batches_per_s,
        planned_report_bytes_per_s + planned_polls_per_s * t.STATUS_BYTES,
        memory_bytes,
        planned_polls_per_s * u.poll_cpu_s,
    )
    return Role(
        "watcher of endpoints",
        f"two nodes for each replica, {watched_endpoints:.0f} replicas for each node",
        "chosen by rendezvous hashing, in two failure domains of the region; reports "
        "are pushed as entries within the region",
        f"load and cache digest of {region_replicas:.0f} replicas",
        load_of(
            u, 0, report_bytes_per_s + poll_bytes_per_s, memory_bytes, poll_cpu_share
        ),
        False,
        planned,
        f"only the first watcher polls, every {t.REDUCED_REPORT_PERIOD_S:.0f} s, and "
        "the second takes over when the first is silent; each node uses "
        f"{t.ENDPOINTS_USED_PER_VERSION} replicas of a version, and reports of eight "
        "watchers go in one batch through a relay, only to the nodes that use the "
        "replicas; between reports, nodes learn the load from answers",
    )


def permit_owner(u: Units) -> Role:
    """Return the role that grants permits for cold endpoints."""
    starts_per_s = t.REPLICAS * t.COLD_STARTS_PER_REPLICA_DAY / t.DAY_S
    calls_per_s = 2 * starts_per_s * t.COLD_REQUESTS_PER_START / t.REGIONS
    return Role(
        "permit owner",
        "one in each region",
        "holds the lease row of its region, which the node chosen by rendezvous "
        "hashing tries to acquire; grants no permit without it",
        f"permits of {t.REPLICAS / t.REGIONS:.0f} replicas",
        load_of(u, calls_per_s, calls_per_s * call_bytes(200), 10_000),
        True,
    )


def claim_writer(u: Units) -> Role:
    """Return the role that writes the claims of other nodes in batches."""
    claims_per_s = t.REQUESTS_PER_S * t.CLAIMED_CALL_SHARE
    calls_per_s = claims_per_s / 16  # shards as they are
    planned_calls_per_s = claims_per_s / t.CLAIM_SHARDS
    return Role(
        "claim writer",
        f"one for each of {t.CLAIM_SHARDS} shards",
        "chosen by rendezvous hashing, with a lease row for each shard; writes claims "
        "in batches (group commit)",
        "claims that wait for the next batch",
        load_of(u, calls_per_s, calls_per_s * call_bytes(t.CLAIM_BYTES), 1_000_000),
        False,
        load_of(
            u,
            planned_calls_per_s,
            planned_calls_per_s * call_bytes(t.CLAIM_BYTES),
            250_000,
        ),
        f"there are {t.CLAIM_SHARDS} shards instead of 16, which is one for each "
        "failure domain",
    )


def configuration_reader(u: Units) -> Role:
    """Return the role that polls the configuration and publishes its stamps."""
    readers = 2 * t.FAILURE_DOMAINS
    entry_bytes_per_s = piggyback_bytes_per_s(
        u, readers / t.STAMP_INTERVAL_S, t.STAMP_BYTES
    )
    region_beacons_per_s = BEACON_HOLDERS * t.REGIONS / BEACON_INTERVAL_S
    planned_bytes_per_s = 2 * u.copies * region_beacons_per_s * t.STAMP_BYTES
    poll_cpu_share = u.poll_cpu_s / t.STAMP_INTERVAL_S
    return Role(
        "configuration reader, and its stamps at every node",
        f"two in each failure domain, {readers} in all",
        "chosen by rendezvous hashing within the failure domain; stamps are pushed as "
        "entries, each with its age",
        "one revision and its stamp",
        load_of(u, 0, entry_bytes_per_s, 100_000, poll_cpu_share),
        False,
        load_of(u, 0, planned_bytes_per_s, 100_000, poll_cpu_share),
        "the nodes that publish a region's beacon are readers too, and the beacon "
        "carries the stamp instead of an entry of each reader",
    )


def statistics(u: Units) -> Role:
    """Return the role that exchanges evidence on quality, cost and latency."""
    entries_per_s = t.NODES / t.STATISTICS_PERIOD_S
    entry_bytes_per_s = piggyback_bytes_per_s(u, entries_per_s, t.STATISTICS_BYTES)
    planned_entry_bytes_per_s = piggyback_bytes_per_s(
        u, t.REGIONS / t.REGION_STATISTICS_PERIOD_S, t.STATISTICS_BYTES
    )
    planned_calls_per_s = t.NODES / t.REGIONS / t.REGION_STATISTICS_PERIOD_S
    planned_call_bytes_per_s = planned_calls_per_s * call_bytes(t.STATISTICS_BYTES)
    return Role(
        "roll-out controller, and its evidence at every node",
        f"one for each roll-out, {t.CONCURRENT_ROLL_OUTS} at once (a); one collector "
        "of evidence in each region",
        "evidence of each node incarnation is pushed as an entry; cuts are urgent "
        "entries",
        f"evidence on {t.VERSIONS} versions from {t.NODES} nodes",
        load_of(u, 0, entry_bytes_per_s, t.NODES * t.STATISTICS_BYTES * 3),
        True,
        load_of(
            u,
            planned_calls_per_s,
            planned_entry_bytes_per_s + planned_call_bytes_per_s,
            t.NODES * t.STATISTICS_BYTES * 3,
        ),
        "nodes send their evidence to the collector of their region every "
        f"{t.REGION_STATISTICS_PERIOD_S:.0f} s, which publishes one merged entry; cuts "
        "are still published at once",
    )


def bill_holder(u: Units) -> Role:
    """Return the role that holds copies of bills until they are flushed."""
    answers_per_s = t.REQUESTS_PER_S / t.NODES
    calls_per_s = 2 * answers_per_s  # a copy for each answer, sent and received
    planned_calls_per_s = 2 / t.BILL_BATCH_S
    memory_bytes = 2 * answers_per_s * t.BILL_WRITE_INTERVAL_S * t.BILL_BYTES * 4
    return Role(
        "holder of bill copies",
        f"all {t.NODES}, each for one peer in another failure domain",
        "a node sends the copy in a call before the end of an answer; if the node "
        "dies, the holder writes its bills",
        "bills of one node that are not written yet",
        load_of(u, calls_per_s, calls_per_s * call_bytes(t.BILL_BYTES), memory_bytes),
        False,
        load_of(
            u,
            planned_calls_per_s,
            planned_calls_per_s * call_bytes(0)
            + 2 * answers_per_s * t.BILL_COMPRESSED_BYTES,
            memory_bytes,
        ),
        f"copies of {t.BILL_BATCH_S * 1000:.0f} ms go in one call, compressed to "
        f"{t.BILL_COMPRESSED_BYTES} B a record (a); the end of an answer waits half of "
        "this time on average",
    )


def directory(u: Units) -> Role:
    """Return the role that answers callers who ask for node addresses.

    Each caller asks every 5 s; a call has 400 bytes besides the addresses.
    """
    requests_per_s = t.CALLERS / 5.0 / t.NODES
    full_bytes_per_s = requests_per_s * (t.NODES * t.ADDRESS_BYTES + 400)
    planned_bytes_per_s = requests_per_s * (t.ADDRESSES_GIVEN * t.ADDRESS_BYTES + 400)
    return Role(
        "directory (to callers)",
        f"all {t.NODES}",
        "addresses from the membership view, those of the own failure domain first",
        f"{t.NODES} addresses",
        load_of(u, 0, full_bytes_per_s, 200_000, requests_per_s * u.poll_cpu_s),
        True,
        load_of(u, 0, planned_bytes_per_s, 200_000, requests_per_s * u.poll_cpu_s),
        f"an answer lists {t.ADDRESSES_GIVEN} addresses instead of all",
    )


def roles(u: Units, path: PathReport, policy: PolicyReport) -> tuple[Role, ...]:
    """Return all roles; the first is that of every node."""
    return (
        every_node(u),
        entry(u, path, policy),
        watcher(u),
        permit_owner(u),
        claim_writer(u),
        configuration_reader(u),
        statistics(u),
        bill_holder(u),
        directory(u),
    )
