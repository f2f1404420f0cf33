"""The whole state of a node as JSON-like values, for operators."""

from dataclasses import asdict

import msgspec


def dump_node(node) -> dict:
    """Return the state of every part of a node, without secrets."""
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
        "bills_held": node.keeping.held.count,
        "claims_pending": node.ctx.claims.pending,
        "reserved_keys_left": node.ctx.reserved.left,
        "claims_dropped": node.ctx.claims.dropped,
        "claim_bodies_dropped": node.ctx.claims.bodies_dropped,
        "platform": asdict(node.platform.state(now)),
        "leases": [dump_lease(one, now) for one in node.permitting.leases],
        "peers": msgspec.to_builtins(node.peering.peers.state(now)),
    }


def dump_lease(keeper, now: float) -> dict:
    """Return how a lease stands that this node holds or held."""
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
    """Return what is known of one endpoint."""
    return msgspec.to_builtins(view)
