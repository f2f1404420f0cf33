from collections import Counter
from random import Random

import pytest

from knapweedhinge.core.codes import ResultCode
from knapweedhinge.routing.balance import (
    BalanceView,
    choose_endpoint,
    choose_service_endpoint,
)
from knapweedhinge.routing.choice import (
    ChoiceReason,
    ChoiceRequest,
    EndpointChoice,
    EndpointExclusion,
    NoEndpoint,
    ServiceRequest,
)
from knapweedhinge.routing.endpointindex import EndpointIndex
from knapweedhinge.routing.load import (
    EndpointState,
    EndpointView,
    LoadReport,
    WarmState,
)
from knapweedhinge.routing.prefix import PrefixIndex, prompt_blocks

NOW = 100.0


def endpoint(name, running=0, domain="a", region="r", **fields):
    report = LoadReport(running=running, reported_at=NOW - 1)
    fields.setdefault("versions", frozenset({"v1"}))
    return EndpointView(
        name, f"http://127.0.0.1/{name}", domain, region, report=report, **fields
    )


def request(**fields):
    return ChoiceRequest("v1", "a", "r", **fields)


def choose(endpoints, req=None, seed=1, **view):
    balance_view = BalanceView(EndpointIndex(endpoints), **view)
    return choose_endpoint(req or request(), balance_view, NOW, Random(seed))


@pytest.mark.parametrize(
    ("fields", "view", "req", "rule"),
    [
        ({"state": EndpointState.LEAVING}, {}, {}, EndpointExclusion.LEAVING),
        (
            {"domain": "b"},
            {"domains_out": frozenset("b")},
            {},
            EndpointExclusion.DOMAIN_OUT,
        ),
        ({}, {"isolated": frozenset({"e1"})}, {}, EndpointExclusion.ISOLATED),
        ({}, {}, {"tried": frozenset({"e1"})}, EndpointExclusion.TRIED),
        ({"warm_state": WarmState.COLD}, {}, {}, EndpointExclusion.COLD),
        ({}, {"unconfirmed": frozenset({"e1"})}, {}, EndpointExclusion.COLD),
        (
            {"warm_state": WarmState.RAMPING, "warm_limit": 2, "running": 2},
            {},
            {},
            EndpointExclusion.AT_WARM_LIMIT,
        ),
    ],
    ids=lambda value: value.value if isinstance(value, EndpointExclusion) else "",
)
def test_excluded_endpoint_is_never_chosen(fields, view, req, rule):
    excluded = endpoint("e1", **fields)
    answer = choose([excluded], request(**req), **view)
    assert isinstance(answer, NoEndpoint)
    assert [(count.exclusion, count.count) for count in answer.exclusions] == [
        (rule, 1)
    ]
    assert answer.code is ResultCode.NO_ENDPOINT
    for seed in range(50):
        busy = endpoint("e2", running=500)
        assert choose([excluded, busy], request(**req), seed, **view).endpoint is busy


def test_dead_endpoint_is_not_indexed():
    answer = choose([endpoint("e1", state=EndpointState.DEAD)])
    assert isinstance(answer, NoEndpoint)


def test_single_usable_endpoint_among_many_is_found():
    leaving = [endpoint(f"e{i}", state=EndpointState.LEAVING) for i in range(500)]
    only = endpoint("usable", running=50)
    answer = choose([*leaving, only])
    assert answer.endpoint is only
    assert answer.reason is ChoiceReason.ONLY_ONE


def test_cold_endpoint_takes_work_only_with_a_permit_and_is_listed():
    cold = endpoint("cold", warm_state=WarmState.COLD)
    warm = endpoint("warm", running=3)
    without = choose([cold, warm])
    assert (without.endpoint.id, without.cold) == ("warm", ("cold",))
    with_permit = choose([cold, warm], request(permits=frozenset({"cold"})))
    assert with_permit.endpoint.id == "cold"
    assert with_permit.needs_permit


def test_endpoint_with_cached_prefix_wins_until_its_queue_costs_more():
    blocks = prompt_blocks("v1", b"oak" * 4000)
    prefixes = PrefixIndex()
    prefixes.dispatched("owner", blocks)
    req = request(prompt_blocks=blocks, prompt_tokens=4000)
    others = [endpoint(f"e{i}") for i in range(200)]
    answer = choose([*others, endpoint("owner")], req, prefixes=prefixes)
    assert (answer.endpoint.id, answer.reason) == ("owner", ChoiceReason.PREFIX)
    answer = choose([*others, endpoint("owner", running=90)], req, prefixes=prefixes)
    assert answer.endpoint.id != "owner"


def test_near_domain_wins_among_equals():
    endpoints = [endpoint("far", domain="b", region="s"), endpoint("mid", domain="b")]
    assert choose([*endpoints, endpoint("near")]).endpoint.id == "near"
    assert choose(endpoints).endpoint.id == "mid"


def test_returning_domain_takes_its_share():
    endpoints = [endpoint("a1"), endpoint("b1", domain="b")]
    req = ChoiceRequest("v1", "b", "r")
    view = BalanceView(EndpointIndex(endpoints), domain_shares={"b": 0.2})
    rng = Random(3)
    counts = Counter(
        choose_endpoint(req, view, NOW, rng).endpoint.id for _ in range(2000)
    )
    assert 320 < counts["b1"] < 480
    alone = BalanceView(EndpointIndex(endpoints[1:]), domain_shares={"b": 0.0})
    assert choose_endpoint(req, alone, NOW, rng).endpoint.id == "b1"


def test_dispatches_since_the_report_spread_a_burst():
    endpoints = [endpoint(f"e{i}") for i in range(4)]
    view = BalanceView(EndpointIndex(endpoints))
    rng = Random(5)
    for _ in range(80):
        answer = choose_endpoint(request(), view, NOW, rng)
        view.ledger.dispatched(answer.endpoint.id, NOW)
    assert {view.ledger.in_flight(candidate.id) for candidate in endpoints} == {20}


def test_service_choice_and_index_replace():
    index = EndpointIndex([endpoint("s1", service="booking", versions=frozenset())])
    renewed = index.replace(endpoint("s1", running=9, service="booking"))
    req = ServiceRequest("booking", "a", "r")
    answer = choose_service_endpoint(req, BalanceView(renewed), NOW, Random(1))
    assert isinstance(answer, EndpointChoice)
    assert answer.chosen.load == 9
    gone = renewed.replace(endpoint("s1", service=None))
    answer = choose_service_endpoint(req, BalanceView(gone), NOW, Random(1))
    assert isinstance(answer, NoEndpoint)
