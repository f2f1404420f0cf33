"""Merging, pushing and repairing gossip entries."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from knapweedhinge.peers import topics
from knapweedhinge.peers.dissemination import Dissemination
from knapweedhinge.peers.entries import Entry, EntryStore
from knapweedhinge.peers.topics import (
    CONFIGURATION,
    CONFIRMED_REVISION,
    CUT,
    DOMAIN_BEACON,
)


def entry(key="k", version=1, payload=b"p", topic=CUT, published_at=0.0):
    return Entry(topic, key, version, "vm-000", 1, payload, published_at)


def node(vm, region="r"):
    return Dissemination(vm, 1, region)


def contents(dissemination, topic=CUT):
    return {e.key: (e.version, e.payload) for e in dissemination.store.entries(topic)}


@pytest.mark.parametrize(
    ("first", "second", "wins"),
    [
        (entry(version=1), entry(version=2), True),
        (entry(version=2), entry(version=1), False),
        (entry(payload=b"a"), entry(payload=b"b"), True),
        (entry(payload=b"b"), entry(payload=b"a"), False),
        (entry(), entry(), False),
    ],
)
def test_the_greater_version_then_the_greater_payload_wins(first, second, wins):
    store = EntryStore()
    store.merge(first, 0.0)
    assert store.merge(second, 0.0) is wins


@pytest.mark.parametrize(
    "refused",
    [
        entry(version=-1),
        entry(version=1 << 63),
        entry(key="k" * 257),
        entry(payload=b"x" * (topics.policy_of(CUT).max_payload_bytes + 1)),
        entry(
            topic=CONFIRMED_REVISION,
            published_at=-topics.CONFIRMED_REVISION_EXPIRY_S - 1,
        ),
    ],
)
def test_entries_out_of_bounds_are_refused(refused):
    store = EntryStore()
    assert not store.merge(refused, 0.0)
    assert store.size_bytes() == 0


def test_a_full_store_evicts_the_oldest_entry():
    store = EntryStore()
    limit = topics.policy_of(CUT).max_entries
    for index in range(limit + 10):
        store.merge(entry(key=str(index)), 0.0)
    assert len(store.entries(CUT)) == limit
    assert store.get(CUT, "0") is None
    assert store.evicted == 10


def test_expired_entries_are_dropped_and_not_accepted_again():
    store = EntryStore()
    old = entry(topic=CONFIRMED_REVISION, published_at=0.0)
    store.merge(old, 1.0)
    assert store.expire(topics.CONFIRMED_REVISION_EXPIRY_S + 1) == 1
    assert not store.merge(old, topics.CONFIRMED_REVISION_EXPIRY_S + 1)


def test_an_entry_is_queued_once_for_all_peers_but_its_sender():
    me = node("a")
    me.set_peers({"b": "r", "c": "r"})
    me.receive((entry(),), "b", 0.0)
    assert [e.key for e in me.next_batch("c")] == ["k"]
    assert me.next_batch("b") == me.next_batch("c") == ()


def test_an_entry_received_from_a_peer_is_not_sent_to_it():
    me = node("a")
    me.set_peers({"b": "r"})
    me.publish(CUT, "k", 1, b"p", 0.0)
    me.receive((entry(),), "b", 0.0)
    assert me.next_batch("b") == ()


def test_regional_topics_are_not_sent_to_other_regions():
    me = node("a")
    me.set_peers({"b": "r", "far": "s"})
    me.publish(DOMAIN_BEACON, "a", 1, b"fd", 0.0)
    assert len(me.next_batch("b")) == 1
    assert me.next_batch("far") == ()


def test_an_entry_at_the_hop_limit_is_not_forwarded():
    me = node("a")
    me.set_peers({"b": "r"})
    looping = Entry(CUT, "k", 1, "vm", 1, b"", 0.0, hops=32)
    assert me.receive((looping,), "c", 0.0).accepted
    assert me.next_batch("b") == ()


def test_a_refused_entry_is_neither_stored_nor_forwarded():
    me = node("a")
    me.set_peers({"b": "r"})
    me.set_validator(CUT, lambda found: False)
    assert me.receive((entry(),), "c", 0.0).refused == 1
    assert me.next_batch("b") == me.store.entries(CUT) == ()


def repair(first, second):
    """Run one anti-entropy repair between two nodes."""
    differing = second.differing_buckets(first.summary("r"), "r")
    for topic, theirs in differing.items():
        ours = first.store.buckets(topic)
        buckets = tuple(i for i in range(len(ours)) if ours[i] != theirs[i])
        difference = second.compare_stamps(
            topic, buckets, first.store.stamps(topic, buckets)
        )
        wanted = [first.store.get(topic, key) for key in difference.wanted]
        first.receive(difference.newer, "other", 0.0)
        second.receive(tuple(e for e in wanted if e), "one", 0.0)


publications = st.tuples(
    st.integers(0, 3),
    st.sampled_from(["x", "y", "z"]),
    st.integers(0, 3),
    st.sampled_from([b"", b"a", b"b"]),
    st.sampled_from([CUT, CONFIGURATION]),
)


@settings(derandomize=True, deadline=None, max_examples=100)
@given(st.lists(publications, max_size=25), st.randoms(use_true_random=False))
def test_stores_converge_by_repair_after_lost_and_reordered_pushes(steps, rng):
    nodes = [node(f"n{index}") for index in range(4)]
    for index, current in enumerate(nodes):
        current.set_peers({f"n{(index + 1) % 4}": "r", f"n{(index + 2) % 4}": "r"})
    in_flight = []
    for index, key, version, payload, topic in steps:
        nodes[index].publish(topic, key, version, payload, 0.0)
        for sender, current in enumerate(nodes):
            for target in range(4):
                in_flight.append((sender, target, current.next_batch(f"n{target}")))
        rng.shuffle(in_flight)
        for sender, target, batch in in_flight[: len(in_flight) // 2]:
            nodes[target].receive(batch, f"n{sender}", 0.0)
        in_flight = in_flight[len(in_flight) // 3 :]
    for _ in range(2):
        for index in range(4):
            repair(nodes[index], nodes[(index + 1) % 4])
    for topic in (CUT, CONFIGURATION):
        first = contents(nodes[0], topic)
        assert all(contents(current, topic) == first for current in nodes)
        newest = {}
        for _, key, version, payload, published_topic in steps:
            if published_topic == topic:
                newest[key] = max(newest.get(key, (-1, b"")), (version, payload))
        assert first == newest
