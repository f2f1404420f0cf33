"""Typed changes of the configuration, made by operators or voted on by members.

The chain of accepted revisions, the HTTP interface for operators and the command line
share these classes.
"""

from dataclasses import dataclass, field

from knapweedhinge.conf.cooperative import (
    ClassOfWork,
    Configuration,
    FailureDomain,
    Organisation,
    Service,
    Version,
    VotedLimits,
    VotingRules,
)
from knapweedhinge.conf.fields import Format, setting


@dataclass(frozen=True)
class FoundCooperative:
    """Start the chain of revisions with a complete configuration."""

    configuration: Configuration = setting("The first configuration.")


@dataclass(frozen=True)
class PutOrganisation:
    """Add an organisation, or replace the one with the same id."""

    value: Organisation = setting("The organisation.")


@dataclass(frozen=True)
class RemoveOrganisation:
    """Remove an organisation; its keys stop working."""

    organisation: str = setting("Id of the organisation.", text_format=Format.ID)


@dataclass(frozen=True)
class SetOrganisationLimits:
    """Set the versions and services an organisation may use, and its spending limit."""

    organisation: str = setting("Id of the organisation.", text_format=Format.ID)
    allowed_versions: tuple[str, ...] = setting(
        "Model versions that the organisation allows."
    )
    allowed_services: tuple[str, ...] = setting("Plain services it may call.")
    cost_limit_micros_per_day: int = setting(
        "Spending limit, 0 for none.", default=0, minimum=0, unit="micros/day"
    )


@dataclass(frozen=True)
class RotateKey:
    """Add a bearer key of an organisation and remove its older keys but the newest."""

    organisation: str = setting("Id of the organisation.", text_format=Format.ID)
    key_sha256: str = setting("Hex SHA-256 of the new key.", text_format=Format.SHA256)


@dataclass(frozen=True)
class RetireKey:
    """Remove a bearer key of an organisation, which must have another valid key."""

    organisation: str = setting("Id of the organisation.", text_format=Format.ID)
    key_sha256: str = setting(
        "Hex SHA-256 of the key to remove.", text_format=Format.SHA256
    )


@dataclass(frozen=True)
class RotateOperatorKey:
    """Add an operator key and remove the older keys but the newest."""

    key_sha256: str = setting("Hex SHA-256 of the new key.", text_format=Format.SHA256)


@dataclass(frozen=True)
class PutVersion:
    """Add a version or replace the one with its id; a withdrawn one stays withdrawn."""

    value: Version = setting("The version.")


@dataclass(frozen=True)
class WithdrawVersion:
    """Stop all new work on a version for good, and roll back its roll-out."""

    version: str = setting("Version to withdraw.", text_format=Format.ID)


@dataclass(frozen=True)
class PutClass:
    """Add a class of work, or replace the one with the same id."""

    value: ClassOfWork = setting("The class of work.")


@dataclass(frozen=True)
class SetClassTargets:
    """Set the quality and latency targets of a class."""

    class_of_work: str = setting("Id of the class.", text_format=Format.ID)
    quality_target: float = setting("Mean rating to reach.", minimum=0, maximum=1)
    first_token_s: float = setting(
        "Target of the time to the first token at the 95th percentile.",
        minimum=0,
        unit="s",
    )
    between_tokens_s: float = setting(
        "Target of the gap between tokens at the 95th percentile.", minimum=0, unit="s"
    )
    deadline_s: float = setting(
        "Longest time to the end of an answer.", minimum=0.001, unit="s"
    )


@dataclass(frozen=True)
class SetClassLimits:
    """Set the voted limits of a class."""

    class_of_work: str = setting("Id of the class.", text_format=Format.ID)
    cost_limit_micros: int = setting(
        "Cost limit for one request, 0 for none.", minimum=0, unit="micros"
    )
    max_exposure: float = setting(
        "Largest share of requests on a version under roll-out.", minimum=0, maximum=1
    )


@dataclass(frozen=True)
class PutService:
    """Add a plain service, or replace the one with the same id."""

    value: Service = setting("The plain service.")


@dataclass(frozen=True)
class PutFailureDomain:
    """Add a failure domain, or replace the one with the same id."""

    value: FailureDomain = setting("The failure domain.")


@dataclass(frozen=True)
class SetFailureDomain:
    """Take a failure domain out of service, or bring it back."""

    failure_domain: str = setting("Id of the failure domain.", text_format=Format.ID)
    out: bool = setting("Whether it receives no new work.")


@dataclass(frozen=True)
class SetLimits:
    """Replace the limits that hold for the whole co-operative."""

    limits: VotedLimits = setting("The limits.")


@dataclass(frozen=True)
class SetVotingRules:
    """Replace the rules by which members accept a proposal."""

    voting: VotingRules = setting("The voting rules.")


@dataclass(frozen=True)
class StartRollOut:
    """Start a roll-out: give a new version a share of a stable version's sessions."""

    id: str = setting("Identifier of the roll-out.", text_format=Format.ID)
    version: str = setting("The new version.", text_format=Format.ID)
    stable: str = setting("The version it may replace.", text_format=Format.ID)
    exposure: float = setting(
        "Share of sessions on the new version.", minimum=0, maximum=1
    )
    max_unrated: int = setting(
        "Most answers of the new version that may still lack a rating.",
        default=50,
        minimum=1,
    )


@dataclass(frozen=True)
class AdvanceRollOut:
    """Change the share of sessions that a roll-out gives to the new version."""

    id: str = setting("Identifier of the roll-out.", text_format=Format.ID)
    exposure: float = setting(
        "Share of sessions on the new version.", minimum=0, maximum=1
    )


@dataclass(frozen=True)
class FinishRollOut:
    """Finish a roll-out: replace the stable version by the new one."""

    id: str = setting("Identifier of the roll-out.", text_format=Format.ID)


@dataclass(frozen=True)
class RollBackRollOut:
    """End a roll-out and return all sessions to the stable version."""

    id: str = setting("Identifier of the roll-out.", text_format=Format.ID)


@dataclass(frozen=True)
class UnknownChange:
    """A change of a type that only newer nodes know; ``raw`` is its parsed JSON."""

    type_name: str
    raw: dict = field(default_factory=dict)


KnownChange = (
    FoundCooperative
    | PutOrganisation
    | RemoveOrganisation
    | SetOrganisationLimits
    | RotateKey
    | RetireKey
    | RotateOperatorKey
    | PutVersion
    | WithdrawVersion
    | PutClass
    | SetClassTargets
    | SetClassLimits
    | PutService
    | PutFailureDomain
    | SetFailureDomain
    | SetLimits
    | SetVotingRules
    | StartRollOut
    | AdvanceRollOut
    | FinishRollOut
    | RollBackRollOut
)
Change = KnownChange | UnknownChange
