"""Checks of roll-outs, which move traffic gradually to a new version."""

from collections import Counter
from collections.abc import Iterator

from knapweedhinge.conf import Configuration, RollOut
from knapweedhinge.core.checks.messages import CheckMessage, Tag, message
from knapweedhinge.core.checks.registry import register

RUNNING = "running"  # state of a roll-out that is neither finished nor rolled back


@register(Tag.ROLL_OUTS, needs=("configuration",))
def check_roll_outs(cfg: Configuration) -> Iterator[CheckMessage]:
    """Check the versions and the exposure of each running roll-out."""
    for index, roll_out in enumerate(cfg.roll_outs):
        if roll_out.state == RUNNING:
            yield from _check_versions(cfg, roll_out, f"roll_outs[{index}]")
            yield from _check_exposure(cfg, roll_out, f"roll_outs[{index}]")


@register(Tag.ROLL_OUTS, needs=("configuration",))
def check_overlap(cfg: Configuration) -> Iterator[CheckMessage]:
    """Check that no version is part of two running roll-outs."""
    running = [roll_out for roll_out in cfg.roll_outs if roll_out.state == RUNNING]
    uses = Counter(
        name for roll_out in running for name in {roll_out.version, roll_out.stable}
    )
    for version_id in sorted(name for name, count in uses.items() if count > 1):
        text = f"{version_id} is part of two running roll-outs."
        yield message("E123", "roll_outs", text, "Finish one of them first.")


def _check_versions(
    cfg: Configuration, roll_out: RollOut, path: str
) -> Iterator[CheckMessage]:
    if roll_out.version == roll_out.stable:
        text = f"{roll_out.id} replaces {roll_out.stable} with itself."
        yield message("E121", f"{path}.version", text, "Name the new version.")
    for name in ("version", "stable"):
        version = cfg.version(getattr(roll_out, name))
        if version and version.withdrawn:
            text = f"{roll_out.id} uses {version.id}, which is withdrawn."
            yield message("E122", f"{path}.{name}", text, "Roll it back.")


def _check_exposure(
    cfg: Configuration, roll_out: RollOut, path: str
) -> Iterator[CheckMessage]:
    for class_of_work in cfg.classes:
        if (
            roll_out.version in class_of_work.versions
            and roll_out.exposure > class_of_work.max_exposure
        ):
            yield message(
                "W121",
                f"{path}.exposure",
                f"{roll_out.id} sets an exposure of {roll_out.exposure};"
                f" {class_of_work.id} allows at most {class_of_work.max_exposure}.",
                "The lower of the two applies.",
            )
