"""A valid configuration with three organisations, shared by the tests."""

from knapweedhinge.conf import (
    ClassOfWork,
    Configuration,
    FailureDomain,
    Organisation,
    Version,
)

KEYS = tuple(f"{n:064x}" for n in range(10))
ORGANISATIONS = ("taller", "binh-minh", "carpinteria")

CONFIGURATION = Configuration(
    organisations=tuple(
        Organisation(name, (KEYS[n],), allowed_versions=("oak@1", "oak@2"))
        for n, name in enumerate(ORGANISATIONS)
    ),
    versions=tuple(
        Version(name, "oak", 10, 20) for name in ("oak@1", "oak@2", "pine@1")
    ),
    classes=(ClassOfWork("draft", 0.8, ("oak@1", "oak@2"), max_exposure=0.2),),
    failure_domains=(
        FailureDomain("sj-1", "central"),
        FailureDomain("sj-2", "central"),
    ),
)
