"""The configuration that members vote on; each revision is one immutable value.

The members are the organisations of the co-operative, which share the models and plain
services. Micros are millionths of the currency unit.
"""

from dataclasses import dataclass
from functools import cached_property

from knapweedhinge.conf.fields import Format, setting


@dataclass(frozen=True)
class Organisation:
    """A member firm, with its keys and with what it may use and spend."""

    id: str = setting(
        "Identifier that is used in bills and logs.", text_format=Format.ID
    )
    key_sha256: tuple[str, ...] = setting(
        "Hex SHA-256 of each valid bearer key; two while a key is rotated.",
        text_format=Format.SHA256,
    )
    name: str = setting("Display name.", default="")
    large: bool = setting("Whether it sends a large part of the load.", default=False)
    weight: float = setting(
        "Weight of its share under overload, relative to others.",
        default=1.0,
        minimum=0.01,
    )
    allowed_versions: tuple[str, ...] = setting(
        "Model versions that the organisation allows.", default=(), refers_to="versions"
    )
    allowed_services: tuple[str, ...] = setting(
        "Plain services the organisation may call.", default=(), refers_to="services"
    )
    cost_limit_micros_per_day: int = setting(
        "Voted spending limit, 0 for none.", default=0, minimum=0, unit="micros/day"
    )


@dataclass(frozen=True)
class Version:
    """One version of a language model."""

    id: str = setting("Identifier, for example ``oak-large@3``.", text_format=Format.ID)
    model: str = setting("The model this is a version of.")
    input_micros_per_1k: int = setting(
        "Price of 1,000 prompt tokens.", minimum=0, unit="micros"
    )
    output_micros_per_1k: int = setting(
        "Price of 1,000 generated tokens.", minimum=0, unit="micros"
    )
    prior_quality: float = setting(
        "Mean rating assumed before there is any evidence.",
        default=0.5,
        minimum=0,
        maximum=1,
    )
    withdrawn: bool = setting("Whether it receives no new work.", default=False)


@dataclass(frozen=True)
class ClassOfWork:
    """A class of work and its targets; clients send its id as the model name."""

    id: str = setting(
        "Identifier, for example ``design-draft``.", text_format=Format.ID
    )
    quality_target: float = setting(
        "Mean rating that the class must reach.", minimum=0, maximum=1
    )
    versions: tuple[str, ...] = setting(
        "Versions that may serve the class.", refers_to="versions"
    )
    first_token_s: float = setting(
        "Target of the time to the first token at the 95th percentile.",
        default=0.71,
        minimum=0,
        unit="s",
    )
    between_tokens_s: float = setting(
        "Target of the gap between tokens at the 95th percentile.",
        default=0.033,
        minimum=0,
        unit="s",
    )
    deadline_s: float = setting(
        "Longest time to the end of an answer.", default=60.0, minimum=0.001, unit="s"
    )
    cost_limit_micros: int = setting(
        "Voted cost limit for one request, 0 for none.",
        default=0,
        minimum=0,
        unit="micros",
    )
    priority: int = setting(
        "Priority sent to engines; higher goes first.", default=0, minimum=0, maximum=9
    )
    max_exposure: float = setting(
        "Largest share of requests on a version under roll-out.",
        default=0.1,
        minimum=0,
        maximum=1,
    )
    expected_output_tokens: int = setting(
        "Typical length of an answer.", default=200, minimum=1, unit="tokens"
    )


@dataclass(frozen=True)
class Route:
    """One route of a plain service."""

    method: str = setting(
        "HTTP method, ``*`` for any.",
        choices=("*", "DELETE", "GET", "HEAD", "PATCH", "POST", "PUT"),
    )
    path: str = setting(
        "Path below the service without leading ``/``; a final ``*`` matches any rest.",
        text_format=Format.PATH,
    )
    idempotent: bool = setting("Whether it is safe to repeat a call.", default=False)
    may_be_empty: bool = setting(
        "Whether an empty response body is complete.", default=True
    )
    deadline_s: float = setting(
        "Longest time to the end of the response.",
        default=10.0,
        minimum=0.001,
        unit="s",
    )
    require_key: bool = setting(
        "Whether a call that is not idempotent needs an Idempotency-Key.",
        default=True,
    )
    micros_per_call: int = setting(
        "Price of one call.", default=0, minimum=0, unit="micros"
    )


@dataclass(frozen=True)
class Service:
    """A plain service beside the model engines."""

    id: str = setting(
        "Identifier, which is the first segment of its URL path.",
        text_format=Format.NAME,
    )
    routes: tuple[Route, ...] = setting("Routes; the first one that matches is used.")


@dataclass(frozen=True)
class FailureDomain:
    """A zone that can fail or be taken out as a whole."""

    id: str = setting("Identifier.", text_format=Format.ID)
    region: str = setting("Region of the failure domain.", text_format=Format.ID)
    out: bool = setting(
        "Whether operators have taken it out of service.", default=False
    )


@dataclass(frozen=True)
class RollOut:
    """A roll-out, which gives a new version a share of a stable version's sessions."""

    id: str = setting("Identifier.", text_format=Format.ID)
    version: str = setting("The new version.", refers_to="versions")
    stable: str = setting("The version it may replace.", refers_to="versions")
    exposure: float = setting(
        "Share of sessions on the new version.", default=0.0, minimum=0, maximum=1
    )
    state: str = setting(
        "State of the roll-out.",
        default="running",
        choices=("running", "finished", "rolled-back"),
    )
    max_unrated: int = setting(
        "Most answers of the new version that may still lack a rating.",
        default=50,
        minimum=1,
    )


@dataclass(frozen=True)
class VotedLimits:
    """Limits that hold for the whole co-operative."""

    retry_share: float = setting(
        "Largest share of traffic that may be retries.",
        default=0.1,
        minimum=0,
        maximum=1,
    )
    exploration_share: float = setting(
        "Largest share of requests spent on gathering evidence of quality.",
        default=0.02,
        minimum=0,
        maximum=1,
    )
    quality_confidence: float = setting(
        "Confidence level of the bounds on quality.",
        default=0.95,
        minimum=0.5,
        maximum=0.9999,
    )
    stale_region_serve_s: float = setting(
        "How long a region that is cut off from the others keeps serving.",
        default=3.0,
        minimum=0,
        maximum=4,
        unit="s",
    )
    cold_concurrency: int = setting(
        "Most concurrent requests on an endpoint in cold start.", default=1, minimum=1
    )
    quarantine_s: float = setting(
        "How long a request that crashed endpoints is refused.",
        default=3600.0,
        minimum=1,
        unit="s",
    )


@dataclass(frozen=True)
class VotingRules:
    """How members accept a proposal."""

    quorum: float = setting(
        "Share of organisations that must vote.", default=0.5, minimum=0, maximum=1
    )
    majority: float = setting(
        "Share of ballots that must agree.", default=0.5, minimum=0, maximum=1
    )
    open_s: float = setting(
        "How long a proposal is open for votes.", default=86_400.0, minimum=1, unit="s"
    )


@dataclass(frozen=True)
class Configuration:
    """One accepted revision of the configuration that the members agreed on."""

    organisations: tuple[Organisation, ...] = setting("Member firms.")
    versions: tuple[Version, ...] = setting("Model versions.")
    classes: tuple[ClassOfWork, ...] = setting("Classes of work.")
    failure_domains: tuple[FailureDomain, ...] = setting("Failure domains.")
    services: tuple[Service, ...] = setting("Plain services.", default=())
    roll_outs: tuple[RollOut, ...] = setting("Roll-outs.", default=())
    limits: VotedLimits = setting("Voted limits.", factory=VotedLimits)
    voting: VotingRules = setting("Voting rules.", factory=VotingRules)
    operator_key_sha256: tuple[str, ...] = setting(
        "Hex SHA-256 of each valid operator key.", default=(), text_format=Format.SHA256
    )
    revision: int = setting(
        "Number of the revision; the table service assigns it.", default=0, minimum=0
    )

    def organisation(self, organisation_id: str) -> Organisation | None:
        """Return the organisation with this id, or None."""
        return self._by_id["organisations"].get(organisation_id)

    def organisation_of_key(self, key_sha256: str) -> Organisation | None:
        """Return the organisation whose key has this SHA-256 digest, or None."""
        return self._by_key.get(key_sha256)

    def version(self, version_id: str) -> Version | None:
        """Return the model version with this id, or None."""
        return self._by_id["versions"].get(version_id)

    def class_of_work(self, class_id: str) -> ClassOfWork | None:
        """Return the class of work with this id, or None."""
        return self._by_id["classes"].get(class_id)

    def service(self, service_id: str) -> Service | None:
        """Return the plain service with this id, or None."""
        return self._by_id["services"].get(service_id)

    def failure_domain(self, domain_id: str) -> FailureDomain | None:
        """Return the failure domain with this id, or None."""
        return self._by_id["failure_domains"].get(domain_id)

    @cached_property
    def domains_out(self) -> frozenset[str]:
        """Return the ids of the failure domains that operators took out of service."""
        return frozenset(domain.id for domain in self.failure_domains if domain.out)

    @cached_property
    def _by_id(self) -> dict[str, dict]:
        names = ("organisations", "versions", "classes", "services", "failure_domains")
        return {name: {item.id: item for item in getattr(self, name)} for name in names}

    @cached_property
    def _by_key(self) -> dict[str, Organisation]:
        return {
            digest: organisation
            for organisation in self.organisations
            for digest in organisation.key_sha256
        }
