import hashlib
from functools import cache
from pathlib import Path

import pytest

from knapweedhinge.conf import (
    load_configuration,
    load_deployment,
    load_node_settings,
    validate,
)

EXAMPLES = Path(__file__).parents[2] / "examples"


@cache
def configuration(name):
    return load_configuration(EXAMPLES / name / "configuration.json")


SIZES = [
    # example, failure domains, engines, services, fewest and most entry VMs
    ("guanacaste", 4, 10, 4, 6, 7),
    ("binh-minh", 3, 5, 3, 6, 7),
]


@pytest.mark.parametrize("name,domains,engines,services,fewest,most", SIZES)
def test_example_has_the_sizes_of_its_deployment(
    name, domains, engines, services, fewest, most
):
    cfg = configuration(name)
    deployment = load_deployment(EXAMPLES / name / "deployment.json")
    kinds = [endpoint.kind for endpoint in deployment.endpoints]
    assert len(cfg.organisations) == 10
    assert 2 <= sum(organisation.large for organisation in cfg.organisations) <= 4
    assert len(cfg.failure_domains) == domains
    assert (kinds.count("engine"), kinds.count("service")) == (engines, services)
    assert fewest <= len(deployment.entry_vms) <= most
    assert validate(cfg) == ()


ROUTES = [
    # example, service, path, idempotent, may be empty
    ("guanacaste", "orders", "order-status/*", True, False),
    ("guanacaste", "orders", "deposits", False, False),
    ("guanacaste", "orders", "cut-orders", False, False),
    ("binh-minh", "bookings", "confirmations", False, False),
    ("binh-minh", "bookings", "charges", False, False),
    ("binh-minh", "bookings", "histories/*", True, True),
]


@pytest.mark.parametrize("name,service,path,idempotent,may_be_empty", ROUTES)
def test_example_routes(name, service, path, idempotent, may_be_empty):
    cfg = configuration(name)
    routes = {route.path: route for route in cfg.service(service).routes}
    assert routes[path].idempotent is idempotent
    assert routes[path].may_be_empty is may_be_empty
    assert routes[path].require_key


@pytest.mark.parametrize("name", ["guanacaste", "binh-minh"])
def test_example_keys_are_derived_from_ids(name):
    cfg = configuration(name)
    for organisation in cfg.organisations:
        digest = hashlib.sha256(f"{organisation.id}-key".encode()).hexdigest()
        assert organisation.key_sha256 == (digest,)
    digest = hashlib.sha256(b"operator-key").hexdigest()
    assert cfg.operator_key_sha256 == (digest,)


@pytest.mark.parametrize("name", ["guanacaste", "binh-minh"])
def test_failure_domains_of_an_example_exist(name):
    cfg = configuration(name)
    deployment = load_deployment(EXAMPLES / name / "deployment.json")
    node = load_node_settings(EXAMPLES / name / "node.json")
    used_domains = [node.listen.failure_domain]
    used_domains += [vm.failure_domain for vm in deployment.entry_vms]
    used_domains += [endpoint.failure_domain for endpoint in deployment.endpoints]
    assert all(cfg.failure_domain(domain) for domain in used_domains)
