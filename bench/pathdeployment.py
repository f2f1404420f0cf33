"""Configuration of the small deployment that ``bench.path`` measures."""

from knapweedhinge.backing.types import Vm
from knapweedhinge.conf import (
    ClassOfWork,
    Configuration,
    FailureDomain,
    Organisation,
    Version,
)
from knapweedhinge.test.fleet import IP, bearer_key, key_sha256

VERSION = "bench@1"
DOMAINS = ("bench-a", "bench-b")


def configuration() -> Configuration:
    """Return a configuration with one organisation, one class and one version."""
    return Configuration(
        organisations=(
            Organisation(
                id="bench",
                key_sha256=(key_sha256(bearer_key("bench")),),
                allowed_versions=(VERSION,),
            ),
        ),
        versions=(
            Version(
                id=VERSION,
                model="bench",
                input_micros_per_1k=1,
                output_micros_per_1k=1,
                prior_quality=0.9,
            ),
        ),
        classes=(
            ClassOfWork(
                id="bench", quality_target=0.5, versions=(VERSION,), first_token_s=5.0
            ),
        ),
        failure_domains=tuple(
            FailureDomain(id=domain, region="bench") for domain in DOMAINS
        ),
    )


def node_settings(platform_url: str, domain: str) -> dict:
    """Return the settings file of the node of a failure domain, as a mapping."""
    return {
        "listen": {
            "vm": f"node-{domain}",
            "ip": IP,
            "port": 0,
            "failure_domain": domain,
            "region": "bench",
        },
        "platform": {"url": platform_url},
        "keys": {"token_keys": ["bench-token-key"], "peer_keys": ["bench-peer-key"]},
        "log": {"level": "WARNING"},
    }


def vms(engines) -> tuple[Vm, ...]:
    """Return the VM list with the engines, which are running processes."""
    return tuple(
        Vm(
            engine.ready["name"],
            IP,
            engine.ready["port"],
            role="endpoint",
            kind="engine",
            failure_domain=DOMAINS[0],
            region="bench",
        )
        for engine in engines
    )
