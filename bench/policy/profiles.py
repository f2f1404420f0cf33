"""The two simulated deployments: configuration, versions and load.

Policies see the configuration, but not the true behaviour of the versions.
"""

from dataclasses import dataclass

from knapweedhinge.conf.cooperative import (
    ClassOfWork,
    Configuration,
    Organisation,
    RollOut,
    Version,
    VotedLimits,
)

NEW = "oak-medium@2"
STABLE = "oak-medium@1"
CHEAP = "oak-small@1"
BEST = "oak-large@1"
ROLL_OUT = "oak-medium-2"
ORGANISATIONS = 10


@dataclass(frozen=True)
class VersionBehaviour:
    """The true behaviour of a version.

    ``quality`` is the mean rating by class, ``slots`` the number of requests it can run
    at once, ``first_s`` the time to the first token for an empty prompt and ``token_s``
    the time of each token. ``output_factor`` scales the length of answers.
    """

    version: str
    quality: tuple[float, float]
    slots: int
    first_s: float
    token_s: float
    output_factor: float = 1.0
    failure_rate: float = 0.01


@dataclass(frozen=True)
class Profile:
    """A deployment: its configuration, the behaviour of its versions and its load.

    ``prompt_tokens`` and ``output_tokens`` are medians by class; ``shares`` are the
    classes' shares of requests, ``session_length`` the mean requests of a session and
    ``session_share`` the share of requests that belong to one.
    """

    name: str
    cfg: Configuration
    behaviours: tuple[VersionBehaviour, ...]
    shares: tuple[float, float]
    prompt_tokens: tuple[int, int]
    output_tokens: tuple[int, int]
    session_length: float
    session_share: float

    def behaviour(self, version: str) -> VersionBehaviour:
        """Return the true behaviour of a version."""
        return next(item for item in self.behaviours if item.version == version)


VERSIONS = (
    Version(CHEAP, "oak-small", 10, 30, prior_quality=0.7),
    Version(STABLE, "oak-medium", 40, 120, prior_quality=0.8),
    Version(NEW, "oak-medium", 32, 96, prior_quality=0.8),
    Version(BEST, "oak-large", 150, 600, prior_quality=0.9),
)
IDS = tuple(version.id for version in VERSIONS)


def _configuration(classes: tuple[ClassOfWork, ...]) -> Configuration:
    organisations = tuple(
        Organisation(f"org-{i}", ("00",), large=i == 0, allowed_versions=IDS)
        for i in range(ORGANISATIONS)
    )
    return Configuration(
        organisations=organisations,
        versions=VERSIONS,
        classes=classes,
        failure_domains=(),
        roll_outs=(RollOut(ROLL_OUT, NEW, STABLE, exposure=0.1),),
        limits=VotedLimits(),
    )


def _class(class_id: str, target: float, first_s: float, deadline_s: float):
    return ClassOfWork(
        class_id,
        quality_target=target,
        first_token_s=first_s,
        deadline_s=deadline_s,
        versions=IDS,
        max_exposure=0.1,
    )


PROFILES = {
    "guanacaste": Profile(
        name="guanacaste",
        cfg=_configuration(
            (
                _class("design-draft", 0.80, 30.0, 180.0),
                _class("customer-reply", 0.72, 10.0, 60.0),
            )
        ),
        behaviours=(
            VersionBehaviour(CHEAP, (0.66, 0.78), 32, 0.15, 0.012, 1.1),
            VersionBehaviour(STABLE, (0.85, 0.87), 48, 0.25, 0.020),
            VersionBehaviour(NEW, (0.86, 0.88), 12, 0.25, 0.020),
            VersionBehaviour(BEST, (0.93, 0.94), 32, 0.50, 0.033),
        ),
        shares=(0.4, 0.6),
        prompt_tokens=(900, 300),
        output_tokens=(800, 150),
        session_length=4.0,
        session_share=0.6,
    ),
    "binh-minh": Profile(
        name="binh-minh",
        cfg=_configuration(
            (
                _class("diagnosis", 0.80, 0.71, 20.0),
                _class("parts-summary", 0.72, 0.71, 10.0),
            )
        ),
        behaviours=(
            VersionBehaviour(CHEAP, (0.66, 0.78), 16, 0.12, 0.010, 1.1),
            VersionBehaviour(STABLE, (0.85, 0.87), 24, 0.20, 0.015),
            VersionBehaviour(NEW, (0.86, 0.88), 8, 0.20, 0.015),
            VersionBehaviour(BEST, (0.93, 0.94), 16, 0.35, 0.025),
        ),
        shares=(0.5, 0.5),
        prompt_tokens=(600, 1200),
        output_tokens=(300, 120),
        session_length=5.0,
        session_share=0.7,
    ),
}
