import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from knapweedhinge.routing.statistics import Statistics, StatisticsDelta, StatisticsSeed
from tests.routing.samples import record


def mean_of(statistics, now):
    return statistics.view(now).of("draft", "mid").rating.mean


@given(st.data())
@settings(derandomize=True, deadline=None, max_examples=60)
def test_merge_is_commutative_and_idempotent(data):
    nodes = [Statistics(f"n{i}") for i in range(3)]
    messages = []
    for step in range(8):
        node = data.draw(st.sampled_from(nodes))
        record(node, "mid", data.draw(st.floats(0.1, 0.9)), count=3, now=float(step))
        messages.append(msgspec.msgpack.encode(node.delta(float(step))))
    final = [msgspec.msgpack.encode(node.delta(8.0)) for node in nodes]
    order = data.draw(st.permutations(messages + messages + final + final))
    receiver = Statistics("receiver")
    for message in order:
        delta = msgspec.msgpack.decode(message, type=StatisticsDelta)
        receiver.merge(delta, 8.0)
    whole = Statistics("whole")
    for message in final:
        delta = msgspec.msgpack.decode(message, type=StatisticsDelta)
        whole.merge(delta, 8.0)
    merged = receiver.view(8.0).of("draft", "mid").rating
    expected = whole.view(8.0).of("draft", "mid").rating
    assert merged.size == pytest.approx(expected.size)
    assert merged.mean == pytest.approx(expected.mean)


def test_old_evidence_has_less_weight_and_is_dropped():
    statistics = Statistics("n1")
    record(statistics, "mid", 0.5, count=100, now=0.0)
    record(statistics, "mid", 0.9, count=100, now=3600.0)
    assert mean_of(statistics, 3600.0) == pytest.approx((0.5 + 2 * 0.9) / 3)
    assert mean_of(statistics, 3 * 3600.0) == pytest.approx((0.5 + 2 * 0.9) / 3)
    assert statistics.view(100 * 3600.0).evidence == {}


@pytest.mark.parametrize(("recent", "expected"), [(0.6, 0.6), (0.9, 0.9), (0.895, 0.9)])
def test_a_decline_is_detected_at_once_and_noise_is_not(recent, expected):
    statistics = Statistics("n1")
    record(statistics, "mid", 0.9, count=400, now=0.0)
    record(statistics, "mid", recent, count=20, now=2400.0)
    assert mean_of(statistics, 2400.0) == pytest.approx(expected, abs=0.02)


def test_changes_hold_only_what_is_new_since_the_last_call():
    node, peer = Statistics("n1"), Statistics("peer")
    record(node, "mid", 0.9, count=10)
    record(node, "best", 0.9, count=10)
    assert {row.key.plan for row in node.changes(0.0).quality} == {"mid", "best"}
    record(node, "mid", 0.5, count=10)
    changes = node.changes(0.0)
    assert {row.key.plan for row in changes.quality} == {"mid"}
    assert node.changes(0.0) == StatisticsDelta()
    peer.merge(changes, 0.0)
    assert mean_of(peer, 0.0) == mean_of(node, 0.0)


def test_rows_of_sealed_buckets_are_ignored():
    peer = Statistics("peer")
    record(peer, "mid", 0.9, count=1, now=0.0)
    delta = peer.delta(0.0)
    late = Statistics("n1")
    assert late.merge(delta, 10 * 3600.0) == 0
    assert late.view(10 * 3600.0).evidence == {}


def test_starting_node_adopts_folded_ratings_once_and_keeps_its_own():
    old = Statistics("old")
    record(old, "mid", 0.9, count=50, now=0.0)
    fresh = Statistics("fresh")
    record(fresh, "mid", 0.6, count=10, now=3600.0)
    old.merge(fresh.delta(3600.0), 3600.0)
    seed = msgspec.msgpack.encode(old.seed(3600.0))
    for _ in range(2):
        fresh.adopt(msgspec.msgpack.decode(seed, type=StatisticsSeed))
    merged = fresh.view(3600.0).of("draft", "mid").rating
    expected = old.view(3600.0).of("draft", "mid").rating
    assert merged.size == pytest.approx(expected.size)
    assert merged.mean == pytest.approx(expected.mean)


def test_latency_percentile_covers_a_spread():
    statistics = Statistics("n1")
    record(statistics, "mid", 0.9, count=90, first_s=0.2)
    record(statistics, "mid", 0.9, count=10, first_s=2.0)
    latency = statistics.view(0.0).of("draft", "mid").first_token
    assert latency.p50_s < 0.3
    assert latency.p95_s > 0.6
