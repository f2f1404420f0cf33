"""The regimes: the load of a run, and the faults that occur during it."""

from dataclasses import dataclass

LOST_RATING_SHARE = 0.4
RATING_DRIFT = 0.13  # decline of the mean rating from the start to the end of a run
SLOWDOWN_FACTOR = 8.0  # on the times of a slow version
FAULTY_ANSWER_SHARE = 0.5  # of the answers of a degraded version


@dataclass(frozen=True)
class Regime:
    """The conditions of a run.

    ``load`` is the offered work relative to the capacity of versions of sufficient
    quality. With ``roll_out``, a new version is exposed to a share of the requests;
    with ``new_version_degrades`` it degrades at some time. With ``stable_drifts`` the
    ratings of the stable version decline steadily, with ``stable_slow`` it is slow in
    the middle third of the run. ``ratings_lost`` is the share of ratings that never
    arrive, ``with_history`` gives nodes ratings from before the run.
    """

    name: str
    load: float = 0.35
    new_version_degrades: bool = False
    stable_drifts: bool = False
    stable_slow: bool = False
    ratings_lost: float = 0.0
    with_history: bool = True
    roll_out: bool = True


REGIMES = {
    regime.name: regime
    for regime in (
        Regime("calm"),
        Regime("unknown", with_history=False, roll_out=False),
        Regime("load-85", load=0.85, roll_out=False),
        Regime("bad-version", new_version_degrades=True),
        Regime("drift", stable_drifts=True, roll_out=False),
        Regime("slow-version", stable_slow=True, roll_out=False),
        Regime("ratings-lost", ratings_lost=LOST_RATING_SHARE),
        Regime("bad+lost", new_version_degrades=True, ratings_lost=LOST_RATING_SHARE),
    )
}
