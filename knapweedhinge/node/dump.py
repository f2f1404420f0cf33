"""Describe the whole state of a node as JSON-like values, for operators."""

from dataclasses import asdict

import msgspec


def dump_node(node) -> dict:
    """Return the state of every component of a node, without secrets.

    Names that end in ``_s`` are in seconds.
    """
    snapshot = node.state.current
    configuration = snapshot.configuration
    now = node.clock()
    return {
        "vm": node.identity.vm,
        "incarnation": node.identity.incarnation,
        "phase": snapshot.phase,
        "revision": configuration.revision if configuration else None,
        "confirmed_age_s": now - snapshot.configured.as_of,
        "newest_revision_heard": snapshot.configured.newest_known,
        "endpoints": [
            dump_endpoint(view) for view in snapshot.endpoints.index.by_id.values()
        ],
        "addresses": [asdict(address) for address in snapshot.addresses],
        "bills_unflushed": node.ctx.bills.unflushed,
        "bills_lost": node.ctx.bills.lost,
        "bills_uncopied": node.ctx.bills.uncopied,
        "bills_held": node.bill_replicator.held_copies.count,
        "claims_pending": node.ctx.claims.pending,
        "reserved_keys_left": node.ctx.reserved.left,
        "claims_dropped": node.ctx.claims.dropped,
        "claim_bodies_dropped": node.ctx.claims.bodies_dropped,
        "platform": asdict(node.platform.state(now)),
        "leases": [
            dump_lease(keeper, now) for keeper in node.permit_coordinator.leases
        ],
        "peers": msgspec.to_builtins(node.peer_sync.peers.state(now)),
    }


def dump_lease(keeper, now: float) -> dict:
    """Return the state of a lease that this node holds, held or tried to acquire."""
    lease = keeper.lease
    return {
        "name": lease.name,
        "held": lease.is_held(now),
        "fencing": lease.fencing,
        "row": asdict(lease.row) if lease.row else None,
        "writes": keeper.writes,
        "reads": keeper.reads,
    }


def dump_endpoint(view) -> dict:
    """Return this node's view of one endpoint."""
    return msgspec.to_builtins(view)
