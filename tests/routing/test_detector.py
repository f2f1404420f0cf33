import random

import pytest

from knapweedhinge.routing.baselines import Baseline, baseline_of
from knapweedhinge.routing.detector import Detector
from knapweedhinge.routing.records import AnswerRecord, Outcome
from knapweedhinge.routing.sequential import ROLL_OUT_ALPHA, Stream, WatchKey
from knapweedhinge.routing.statistics import Statistics
from tests.routing.samples import configuration

KEY = WatchKey("new", "r1")
BASELINE = Baseline(failure=0.06, slow=0.25, bad=0.06, bad_rating=0.4, badness=0.25)
ANSWER_S = 2.0


def simulate_version(
    seed, *, answers=600, turns_at=10**9, failing=0.01, bad=0.0, slow=0.04
):
    """Simulate a version that turns bad at the answer with the index ``turns_at``.

    ``failing``, ``bad`` and ``slow`` are the shares of such answers from then on.
    Return the index of the answer at which the version was cut, and the cut; if it
    was not cut, ``answers`` and None.
    """
    rng = random.Random(seed)
    detector = Detector("n1")
    for i in range(answers):
        now = i * ANSWER_S
        turned = i >= turns_at
        failed = rng.random() < (failing if turned else 0.01)
        is_slow = rng.random() < (slow if turned else 0.04)
        cut = detector.observe_answer(KEY, failed, is_slow, BASELINE, now)
        if cut is None and not failed:
            is_bad = turned and rng.random() < bad
            rating = 0.1 if is_bad else rng.betavariate(8.5, 1.5)
            cut = detector.observe_rating(KEY, rating, BASELINE, now)
        if cut is not None:
            return i, cut
    return answers, None


@pytest.mark.parametrize(
    ("fault", "stream"),
    [
        ({"failing": 0.5}, Stream.FAILURE),
        ({"bad": 0.5}, Stream.BAD),
        ({"slow": 0.9}, Stream.SLOW),
    ],
)
@pytest.mark.parametrize("turns_at", [0, 300])
def test_bad_version_is_cut_within_50_of_its_answers(fault, stream, turns_at):
    for seed in range(10):
        at, cut = simulate_version(seed, turns_at=turns_at, **fault)
        assert cut is not None
        assert cut.stream is stream
        assert turns_at <= at < turns_at + 50


def test_healthy_version_is_cut_in_fewer_than_1_of_100_roll_outs():
    cuts = [simulate_version(seed, answers=400)[1] for seed in range(150)]
    assert sum(cut is not None for cut in cuts) == 0


def test_version_at_the_health_limit_is_cut_within_the_stated_rate():
    cuts = 0
    for seed in range(150):
        rng = random.Random(seed)
        detector = Detector("n1")
        found = None
        for i in range(300):
            failed = rng.random() < BASELINE.failure
            cut = detector.observe_answer(KEY, failed, False, BASELINE, float(i))
            found = found or cut
        cuts += found is not None
    assert cuts <= 150 * ROLL_OUT_ALPHA * 3


def test_evidence_of_several_nodes_adds_up_however_it_is_exchanged():
    whole = Detector("whole")
    nodes = [Detector(f"n{i}") for i in range(6)]
    reader = Detector("reader")
    found = None
    for i in range(40):
        now = i * 0.5
        node = nodes[i % 6]
        whole.observe_answer(KEY, True, False, BASELINE, now)
        alone = node.observe_answer(KEY, True, False, BASELINE, now)
        # The first two failures that a node sees don't suffice for a cut.
        assert alone is None or i >= 12
        for _ in range(2):
            cuts = reader.merge(node.own_rows(now), now)
            found = found or next(iter(cuts), None)
    assert found is not None
    assert found.answers < 10
    merged, expected = reader.verdict(KEY, now), whole.verdict(KEY, now)
    assert merged.answers == expected.answers == 40
    assert merged.log_evidence == pytest.approx(expected.log_evidence)


@pytest.mark.parametrize(
    ("failures", "answers", "lowest", "highest"),
    [(0, 0, 0.05, 0.1), (1, 1, 0.05, 0.12), (0, 500, 0.04, 0.06), (250, 500, 0.4, 0.6)],
)
def test_failure_baseline_follows_the_stable_version_unless_evidence_is_thin(
    failures, answers, lowest, highest
):
    statistics = Statistics("n1")
    for i in range(answers):
        outcome = Outcome.FAILED if i < failures else Outcome.COMPLETED
        statistics.record_answer(AnswerRecord("draft", "mid", 9, outcome), 0.0)
    work_class = configuration().classes[0]
    baseline = baseline_of(statistics.view(0.0), work_class, "mid", 0.8, 0.95)
    assert lowest <= baseline.failure <= highest
    assert baseline.badness >= 1 - work_class.quality_target
