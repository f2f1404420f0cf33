"""A part of prompts that crashes engines is blamed, sound parts beside it are not."""

import random
from itertools import combinations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from knapweedhinge.conf.cooperative import VotedLimits
from knapweedhinge.routing.crashes import CutCall
from knapweedhinge.routing.promptquarantine import (
    MAX_ANSWERED,
    MAX_CRASHES,
    MAX_PARTS_PER_CALL,
    PRESUMED_SOUND_S,
    RECENT_ANSWER_S,
    PromptQuarantine,
    part_key,
)

LIMITS = VotedLimits(quarantine_s=3600.0)
NOW = 100.0


def crash(at: float, *calls: str):
    """Return a crash at a time; a call such as "1:fd" has number 1 and parts f, d."""
    unanswered = frozenset(
        CutCall(number, tuple(parts))
        for number, _, parts in (call.partition(":") for call in calls)
    )
    return at, unanswered


def quarantine(*records) -> PromptQuarantine:
    """Return a quarantine after crashes and answers, such as (at, "fd"), in order."""
    prompts = PromptQuarantine()
    for number, (at, what) in enumerate(records):
        if isinstance(what, str):
            prompts.answered(tuple(what), at)
        else:
            prompts.add_crash(f"e{number}/1", what, at)
    return prompts


THREE = (crash(1, "1:fd"), crash(2, "2:fd"), crash(3, "3:fd"))
CASES = {
    # records, parts of a call, whether it is refused
    "too few crashes": (THREE[:2], "fd", False),
    "all shared parts": (THREE, "fd", True),
    "one of the shared parts": (THREE, "d", False),
    "the rest was answered": ((*THREE, (4, "f")), "xd", True),
    "only the sound part": ((*THREE, (4, "f")), "fx", False),
    "with another sound part": ((*THREE, crash(4, "4:gd")), "hd", True),
    "the part was answered": ((*THREE, (4, "d")), "d", False),
    "answered, then three crashes": (
        ((0.5, "d"), *(crash(n, f"{n}:d") for n in (31, 32, 33))),
        "d",
        True,
    ),
    "news of an earlier answer": ((*THREE, (0.5, "fd")), "fd", True),
    "news of an answer between": ((*THREE, (2.5, "fd")), "fd", False),
    "answered, then two crashes": (
        (*THREE, (4, "fd"), crash(5, "5:d"), crash(6, "6:d")),
        "d",
        False,
    ),
    "one call repeated": (
        (crash(1, "1:fd"), crash(2, "1:fd"), crash(3, "1:fd")),
        "fd",
        False,
    ),
    "beside a sound call each time": (
        (
            crash(1, "1:fd", "7:g"),
            crash(2, "2:fd", "8:g"),
            crash(3, "3:fd", "9:g"),
            crash(4, "4:d"),
        ),
        "g",
        False,
    ),
    "explained by another part": (
        (
            crash(1, "1:d", "7:g"),
            crash(2, "2:d", "8:g"),
            crash(3, "3:d", "9:g"),
            crash(4, "4:d"),
        ),
        "gx",
        False,
    ),
    "two parts at fault": (
        (
            *(crash(n, f"{n}:d") for n in range(4)),
            *(crash(n, f"{n}:e") for n in range(5, 8)),
        ),
        "e",
        True,
    ),
    "equal crashes, but answered before": (
        ((0.5, "a"), *(crash(n, f"{n}:ad", f"{n}0:a") for n in (31, 32, 33))),
        "ax",
        False,
    ),
    "equal crashes, never alone": (
        tuple(crash(n, f"{n}:ad", f"{n}0:a") for n in (1, 2, 3)),
        "ax",
        False,
    ),
    "equal crashes, together": (
        tuple(crash(n, f"{n}:ad", f"{n}0:a") for n in (1, 2, 3)),
        "axd",
        True,
    ),
    "recently answered before": (((0, "d"), *THREE), "d", False),
    "recently answered, five crashes": (
        ((0, "d"), *(crash(n, f"{n}:d") for n in range(1, 6))),
        "d",
        True,
    ),
}


@pytest.mark.parametrize("records,parts,refused", CASES.values(), ids=CASES)
def test_which_parts_are_blamed(records, parts, refused):
    now = 10.0 if records[0][0] == 0 else NOW
    found = quarantine(*records).blamed(tuple(parts), LIMITS, now)
    assert bool(found) is refused


def test_crashes_with_another_explanation_count_for_no_part():
    prompts, excused = quarantine(*THREE), frozenset({"e0/1"})
    assert prompts.blamed(("f", "d"), LIMITS, NOW)
    assert not prompts.blamed(("f", "d"), LIMITS, NOW, excused)
    assert not prompts.explained(LIMITS, NOW, excused)


@pytest.mark.parametrize("count,suspected", [(1, set()), (2, {"e0/1", "e1/1"})])
def test_a_part_is_suspected_of_two_crashes_or_more(count, suspected):
    assert quarantine(*THREE[:count]).suspected_crashes() == suspected


def test_a_blame_expires_with_its_crashes():
    prompts = quarantine(*THREE)
    assert prompts.blamed(("f", "d"), LIMITS, 3600.0)
    assert not prompts.blamed(("f", "d"), LIMITS, 3602.0)


def test_parts_answered_just_now_are_no_suspects():
    prompts = quarantine((5.0, "f"))
    assert prompts.suspects(("f", "d"), 5.0 + PRESUMED_SOUND_S) == ("d",)
    assert prompts.suspects(("f", "d"), 5.1 + PRESUMED_SOUND_S) == ("f", "d")


def test_only_parts_that_peers_may_suspect_are_told_to_them():
    prompts = quarantine(crash(1, "1:fd"), crash(2, "2:fe"))
    assert prompts.answered(("f", "d", "e"), 3.0) == ("f",)
    assert prompts.answered(("f", "d", "e"), 4.0) == ()


def test_evidence_is_bounded():
    prompts = PromptQuarantine()
    for number in range(MAX_CRASHES + 50):
        calls = frozenset({CutCall(str(number), (f"p{number}", "d"))})
        prompts.add_crash(f"e{number}", calls, float(number))
    assert len(prompts._crashes) == MAX_CRASHES
    assert len(prompts._strikes) == MAX_CRASHES + 1
    many = tuple(f"a{number}" for number in range(MAX_ANSWERED + 50))
    prompts.answered(many, 5_000.0)
    assert len(prompts._answered_at) == MAX_ANSWERED
    assert len(prompts.suspects(tuple(map(str, range(100))), NOW)) == MAX_PARTS_PER_CALL


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("in_flight", [2, 8])
def test_sound_calls_are_not_refused_in_random_traffic(seed, in_flight):
    """Engines run calls of three wide, twenty narrow and one fatal part."""
    rng = random.Random(seed)
    prompts, now, refused, fatal_crashes, sound = PromptQuarantine(), 0.0, 0, 0, 0
    for number in range(4_000):
        now += rng.expovariate(6.0)
        wide, narrow = f"w{rng.randrange(3)}", f"n{rng.randrange(20)}"
        parts = (wide, "fatal") if rng.random() < 0.15 else (wide, narrow)
        if prompts.blamed(parts, LIMITS, now):
            refused += "fatal" not in parts
            continue
        if "fatal" not in parts:
            sound += 1
            prompts.answered(parts, now)
            continue
        fatal_crashes += 1
        beside = (
            (f"w{rng.randrange(3)}", f"n{rng.randrange(20)}") for _ in range(in_flight)
        )
        calls = [parts, *(c for c in beside if not prompts.blamed(c, LIMITS, now))]
        unanswered = frozenset(
            CutCall(f"{number}.{index}", prompts.suspects(call, now))
            for index, call in enumerate(calls)
        )
        prompts.add_crash(f"e{number}", unanswered, now)
    assert fatal_crashes <= 5
    assert refused <= 0.01 * sound


def test_keys_of_parts_differ_by_service():
    assert part_key("a", "x") == part_key("a", "x")
    assert part_key("a", "x") != part_key("b", "x")
    assert part_key("ab", "x") != part_key("a", "bx")
    assert RECENT_ANSWER_S > PRESUMED_SOUND_S


PARTS = st.text("abcd", min_size=1, max_size=3)
CALLS = st.builds(
    lambda number, parts: CutCall(str(number), tuple(sorted({*parts}))),
    st.integers(0, 4),
    PARTS,
)
CRASHES = st.tuples(
    st.floats(0, 20), st.integers(0, 7), st.frozensets(CALLS, min_size=1, max_size=3)
)
ANSWERS = st.tuples(st.floats(0, 20), PARTS)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(
    st.lists(CRASHES, max_size=10, unique_by=lambda crash: crash[1]),
    st.lists(ANSWERS, max_size=6),
    st.randoms(use_true_random=False),
)
def test_the_order_in_which_news_arrives_does_not_matter(crashes, answers, rng):
    news = [*crashes, *answers]
    blames = []
    for _ in range(2):
        rng.shuffle(news)
        prompts = PromptQuarantine()
        for at, *what in news:
            if len(what) == 2:
                prompts.add_crash(f"e{what[0]}", what[1], at)
            else:
                prompts.answered(tuple(what[0]), at)
        blames.append(
            {
                parts: prompts.blamed(parts, LIMITS, 100.0)
                for size in (1, 2, 3, 4)
                for parts in combinations("abcd", size)
            }
        )
    assert blames[0] == blames[1]
