"""Checks of organisations, failure domains and voting rules."""

from collections.abc import Iterator

from knapweedhinge.conf import Configuration, Organisation
from knapweedhinge.core.checks.messages import CheckMessage, Tag, message
from knapweedhinge.core.checks.registry import register


@register(Tag.ORGANISATIONS, needs=("configuration",))
def check_allowed_work(cfg: Configuration) -> Iterator[CheckMessage]:
    """Check that each organisation may use a class of work or a service."""
    served = {
        version for class_of_work in cfg.classes for version in class_of_work.versions
    }
    for index, organisation in enumerate(cfg.organisations):
        if served & set(organisation.allowed_versions):
            continue
        short_id = "W101" if organisation.allowed_services else "E101"
        yield message(
            short_id,
            f"organisations[{index}].allowed_versions",
            f"{organisation.id} allows no version of any class of work.",
            "Allow a version that a class lists.",
        )


@register(Tag.ORGANISATIONS, Tag.KEYS, needs=("configuration",))
def check_bearer_keys(cfg: Configuration) -> Iterator[CheckMessage]:
    """Check that each organisation has a bearer key that no other one has."""
    owners: dict[str, Organisation] = {}
    for index, organisation in enumerate(cfg.organisations):
        path = f"organisations[{index}].key_sha256"
        if not organisation.key_sha256:
            text = f"{organisation.id} has no key and can't call."
            yield message("W102", path, text, "Add the SHA-256 of a bearer key.")
        for digest in organisation.key_sha256:
            owner = owners.setdefault(digest, organisation)
            if owner is not organisation:
                text = f"{organisation.id} has a key of {owner.id}."
                yield message("E102", path, text, "Give each organisation its own key.")


@register(Tag.KEYS, needs=("configuration",))
def check_operator_keys(cfg: Configuration) -> Iterator[CheckMessage]:
    """Check that there is an operator key and that no organisation uses it."""
    path = "operator_key_sha256"
    if not cfg.operator_key_sha256:
        text = "There is no operator key, so nobody can change the configuration."
        yield message("E103", path, text, "Add the SHA-256 of an operator key.")
    for organisation in cfg.organisations:
        if set(cfg.operator_key_sha256) & set(organisation.key_sha256):
            text = f"The operator key is a key of {organisation.id} too."
            yield message("E104", path, text, "Use different keys.")


@register(Tag.FAILURE_DOMAINS, needs=("configuration",))
def check_failure_domains(cfg: Configuration) -> Iterator[CheckMessage]:
    """Check that at least one failure domain is in service."""
    if not cfg.failure_domains:
        text = "There is no failure domain."
        yield message("E105", "failure_domains", text, "Add one.")
    elif all(domain.out for domain in cfg.failure_domains):
        text = "Every failure domain is out, so all requests are refused."
        yield message("W103", "failure_domains", text, "Bring one back.")


@register(Tag.VOTING, needs=("configuration",))
def check_voting(cfg: Configuration) -> Iterator[CheckMessage]:
    """Check that a proposal can't be accepted without a ballot."""
    if cfg.voting.quorum == 0:
        yield message(
            "E106",
            "voting.quorum",
            "A proposal would be accepted without any ballot.",
            "Set the share of organisations that must vote above 0.",
        )
