"""Checks of VMs and endpoints against the configuration."""

from collections import Counter
from collections.abc import Iterator

from knapweedhinge.conf import Configuration, Deployment, EndpointSpec, NodeSettings
from knapweedhinge.conf.deployment import ENGINE
from knapweedhinge.core.checks.messages import CheckMessage, Tag, message
from knapweedhinge.core.checks.registry import register


@register(Tag.NODE, Tag.FAILURE_DOMAINS, needs=("node", "configuration"))
def check_node_location(
    node: NodeSettings, cfg: Configuration
) -> Iterator[CheckMessage]:
    """Check that the node's failure domain is configured and lies in its region."""
    listen = node.listen
    domain = cfg.failure_domain(listen.failure_domain)
    path = "listen.failure_domain"
    if domain is None:
        text = f"The configuration has no failure domain {listen.failure_domain}."
        yield message("E201", path, text, "Add it, or correct the node's settings.")
    elif domain.region != listen.region:
        text = f"{domain.id} lies in {domain.region}, not in {listen.region}."
        yield message("E202", path, text, "Correct the node's region.")


@register(Tag.DEPLOYMENT, Tag.FAILURE_DOMAINS, needs=("configuration", "deployment"))
def check_locations(
    cfg: Configuration, deployment: Deployment
) -> Iterator[CheckMessage]:
    """Check that VMs and endpoints lie in configured failure domains."""
    for name in ("entry_vms", "endpoints"):
        for index, item in enumerate(getattr(deployment, name)):
            if cfg.failure_domain(item.failure_domain) is None:
                path = f"{name}[{index}].failure_domain"
                text = f"The configuration has no failure domain {item.failure_domain}."
                yield message("E203", path, text, "Name a configured failure domain.")


@register(Tag.DEPLOYMENT, needs=("configuration", "deployment"))
def check_endpoints(
    cfg: Configuration, deployment: Deployment
) -> Iterator[CheckMessage]:
    """Check that each endpoint runs a version or service that is configured."""
    for index, endpoint in enumerate(deployment.endpoints):
        path = f"endpoints[{index}]"
        hosted = hosted_ids(endpoint)
        if not hosted:
            text = f"{endpoint.id} runs nothing."
            yield message("E204", path, text, "Name its versions or its service.")
        for name in hosted:
            if not _is_known(cfg, endpoint, name):
                text = (
                    f"{endpoint.id} runs {name}, which the configuration doesn't list."
                )
                yield message(
                    "E205",
                    path,
                    text,
                    "Correct the id, or add it to the configuration.",
                )


@register(Tag.DEPLOYMENT, needs=("configuration", "deployment"))
def check_redundancy(
    cfg: Configuration, deployment: Deployment
) -> Iterator[CheckMessage]:
    """Check that offered versions and services run in at least two failure domains."""
    offered = {
        version for class_of_work in cfg.classes for version in class_of_work.versions
    }
    offered |= {service.id for service in cfg.services}
    domains_by_id = {
        name: {
            endpoint.failure_domain
            for endpoint in deployment.endpoints
            if name in hosted_ids(endpoint)
        }
        for name in sorted(offered)
    }
    for name, domains in domains_by_id.items():
        if not domains:
            text = f"No endpoint runs {name}."
            yield message("W201", "endpoints", text, "Add one, or stop offering it.")
        elif len(domains) == 1:
            text = f"{name} runs only in {next(iter(domains))}."
            yield message(
                "W202", "endpoints", text, "Run it in a second failure domain too."
            )


@register(Tag.DEPLOYMENT, needs=("deployment",))
def check_addresses(deployment: Deployment) -> Iterator[CheckMessage]:
    """Check that no two listeners of the VMs share an address and port."""
    used = Counter(
        (vm.ip, port)
        for vm in deployment.entry_vms
        for port in (vm.port, vm.peer_port)
        if port
    )
    for (ip, port), count in used.items():
        if count > 1:
            text = f"{ip}:{port} is used {count} times."
            yield message("E206", "entry_vms", text, "Choose another port, or 0.")


def hosted_ids(endpoint: EndpointSpec) -> tuple[str, ...]:
    """Return the ids of the versions, or of the service, that an endpoint runs."""
    if endpoint.kind == ENGINE:
        return endpoint.versions
    return (endpoint.service,) if endpoint.service else ()


def _is_known(cfg: Configuration, endpoint: EndpointSpec, name: str) -> bool:
    if endpoint.kind == ENGINE:
        return cfg.version(name) is not None
    return cfg.service(name) is not None
