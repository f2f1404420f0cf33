"""Small configurations for tests of routing."""

from knapweedhinge.conf.cooperative import (
    ClassOfWork,
    Configuration,
    Organisation,
    RollOut,
    Version,
    VotedLimits,
)
from knapweedhinge.routing.records import AnswerRecord, Outcome, RatingRecord
from knapweedhinge.routing.statistics import Statistics

CHEAP = Version("cheap", "oak", 10, 20, prior_quality=0.7)
MID = Version("mid", "oak", 30, 60, prior_quality=0.8)
BEST = Version("best", "oak", 100, 300, prior_quality=0.9)
NEW = Version("new", "oak", 30, 60, prior_quality=0.8)


def configuration(
    *,
    versions=(CHEAP, MID, BEST, NEW),
    allowed=("cheap", "mid", "best", "new"),
    in_class=("cheap", "mid", "best", "new"),
    roll_outs=(),
    limits=None,
    **class_fields,
):
    fields = {"quality_target": 0.8, "first_token_s": 2.0, "deadline_s": 60.0}
    work_class = ClassOfWork("draft", versions=in_class, **(fields | class_fields))
    return Configuration(
        organisations=(Organisation("org", ("00",), allowed_versions=allowed),),
        versions=versions,
        classes=(work_class,),
        services=(),
        failure_domains=(),
        roll_outs=roll_outs,
        limits=limits or VotedLimits(),
        revision=7,
    )


def roll_out(exposure=0.1, **fields):
    return RollOut("r1", "new", "mid", exposure=exposure, **fields)


def record(
    statistics,
    plan,
    quality,
    *,
    count=400,
    now=0.0,
    first_s=0.2,
    total_s=2.0,
    prompt_bin=0,
):
    """Record answers whose ratings alternate around ``quality``."""
    tokens = (100, 1000, 8000)[prompt_bin]
    for i in range(count):
        answer = AnswerRecord(
            "draft", plan, tokens, Outcome.COMPLETED, first_s, total_s, 200, 5.0
        )
        statistics.record_answer(answer, now)
        rating = quality + (0.05 if i % 2 else -0.05)
        statistics.record_rating(RatingRecord("draft", plan, tokens, rating), now)


def statistics_of(qualities, now=0.0, **fields):
    statistics = Statistics("n1")
    for plan, quality in qualities.items():
        record(statistics, plan, quality, now=now, **fields)
    return statistics
