"""Checks of classes of work and the model versions that may serve them."""

from collections.abc import Iterator

from knapweedhinge.conf import ClassOfWork, Configuration, Organisation, Version
from knapweedhinge.core.checks.messages import CheckMessage, Tag, message
from knapweedhinge.core.checks.registry import register

TOKENS_PER_PRICE_UNIT = 1_000  # prices of versions are given for this many tokens


@register(Tag.CLASSES, needs=("configuration",))
def check_versions(cfg: Configuration) -> Iterator[CheckMessage]:
    """Check that at least one organisation can use each class."""
    for index, class_of_work in enumerate(cfg.classes):
        if not any(
            usable_versions(cfg, class_of_work, organisation)
            for organisation in cfg.organisations
        ):
            yield message(
                "E111",
                f"classes[{index}].versions",
                f"No organisation allows a version of {class_of_work.id}"
                " that isn't withdrawn.",
                "Add a version, or let organisations allow one.",
            )


@register(Tag.CLASSES, needs=("configuration",))
def check_quality(cfg: Configuration) -> Iterator[CheckMessage]:
    """Check that an allowed version is expected to reach each quality target.

    Ratings may show a version to be better than its prior, so this is a warning.
    """
    for index, class_of_work in enumerate(cfg.classes):
        below_target = _organisations_below_target(cfg, class_of_work)
        if below_target:
            yield message(
                "W111",
                f"classes[{index}].quality_target",
                f"No version that {', '.join(below_target)} may use for"
                f" {class_of_work.id} is expected to reach"
                f" {class_of_work.quality_target}.",
                "Lower the target, or let them allow a better version.",
            )


@register(Tag.CLASSES, needs=("configuration",))
def check_cost_limit(cfg: Configuration) -> Iterator[CheckMessage]:
    """Check that a typical answer of the cheapest version is within the cost limit."""
    for index, class_of_work in enumerate(cfg.classes):
        costs = [
            output_cost_micros(class_of_work, version)
            for version in _active_versions(cfg, class_of_work)
        ]
        if (
            class_of_work.cost_limit_micros
            and costs
            and min(costs) > class_of_work.cost_limit_micros
        ):
            yield message(
                "E112",
                f"classes[{index}].cost_limit_micros",
                f"A typical answer of {class_of_work.id} costs at least"
                f" {min(costs):.0f} micros, over the limit of"
                f" {class_of_work.cost_limit_micros}.",
                "Raise the limit, or add a cheaper version.",
            )


@register(Tag.CLASSES, needs=("configuration",))
def check_deadline(cfg: Configuration) -> Iterator[CheckMessage]:
    """Check that a typical answer at the latency targets ends before the deadline."""
    for index, class_of_work in enumerate(cfg.classes):
        path = f"classes[{index}].deadline_s"
        typical_s = (
            class_of_work.first_token_s
            + class_of_work.expected_output_tokens * class_of_work.between_tokens_s
        )
        if class_of_work.first_token_s >= class_of_work.deadline_s:
            text = f"{class_of_work.id} may time out before its first token is due."
            yield message("E113", path, text, "Raise deadline_s above first_token_s.")
        elif typical_s > class_of_work.deadline_s:
            text = f"A typical answer of {class_of_work.id} may take {typical_s:.1f} s."
            yield message(
                "W112", path, text, "Raise deadline_s, or lower between_tokens_s."
            )


def usable_versions(
    cfg: Configuration, class_of_work: ClassOfWork, organisation: Organisation
) -> tuple[Version, ...]:
    """Return the versions of a class that an organisation allows, none withdrawn."""
    return tuple(
        version
        for version in _active_versions(cfg, class_of_work)
        if version.id in organisation.allowed_versions
    )


def output_cost_micros(class_of_work: ClassOfWork, version: Version) -> float:
    """Return the price of a typical answer in micros, without that of its prompt."""
    tokens = class_of_work.expected_output_tokens
    return tokens * version.output_micros_per_1k / TOKENS_PER_PRICE_UNIT


def _active_versions(
    cfg: Configuration, class_of_work: ClassOfWork
) -> tuple[Version, ...]:
    """Return the versions of a class that are configured and not withdrawn."""
    known = (cfg.version(version_id) for version_id in class_of_work.versions)
    return tuple(version for version in known if version and not version.withdrawn)


def _organisations_below_target(
    cfg: Configuration, class_of_work: ClassOfWork
) -> list[str]:
    return [
        organisation.id
        for organisation in cfg.organisations
        if (usable := usable_versions(cfg, class_of_work, organisation))
        and max(version.prior_quality for version in usable)
        < class_of_work.quality_target
    ]
