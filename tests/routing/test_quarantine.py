from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from knapweedhinge.conf.cooperative import VotedLimits
from knapweedhinge.routing.crashes import (
    MAX_CRASHES,
    Clearance,
    Crash,
    CrashEvidence,
    QuarantineEntries,
    Trial,
    fingerprint,
)
from knapweedhinge.routing.quarantine import (
    MAX_RETRIAL_SPAN_S,
    MAX_TRIAL_S,
    RETRIAL_BACKOFF,
    Quarantine,
    Standing,
)

LIMITS = VotedLimits(quarantine_s=3600.0)
# The platform allows so many retries later than this after a request's third crash.
CONTACT_S = 3.0
MAX_LATE_RETRIES = 3
ENDPOINTS = 10


def crash(number, names, at=0.0, answering=""):
    names, answering = frozenset(names), frozenset(answering)
    return Crash(f"e{number}", "i1", at, names, answering=answering)


def standing(records, name="p", now=60.0):
    quarantine = Quarantine()
    for record in records:
        if isinstance(record, Crash):
            quarantine.evidence.add_crash(record)
        elif isinstance(record, Clearance):
            quarantine.evidence.add_clearance(record)
        else:
            quarantine.evidence.add_trial(record)
    return quarantine.verdict(name, LIMITS, ENDPOINTS, now).standing


BURST = [crash(number, [f"x{number}"], 40.0) for number in range(5, 8)]


@pytest.mark.parametrize(
    ("records", "now", "expected"),
    [
        ([], 60.0, Standing.NORMAL),
        ([crash(1, "pab")], 60.0, Standing.ALONE),
        ([crash(1, "pab"), Trial("p", 5.0)], 60.0, Standing.ON_TRIAL),
        ([crash(1, "pab"), Trial("p", 5.0)], 6.0 + MAX_TRIAL_S, Standing.ALONE),
        ([crash(1, "pab"), Trial("p", 5.0, True)], 60.0, Standing.ALONE),
        ([crash(1, "pab"), crash(2, "p", 40.0)], 60.0, Standing.QUARANTINED),
        ([crash(n, "p", n, "p") for n in (1, 2)], 60.0, Standing.ALONE),
        ([crash(n, "p", n, "p") for n in (1, 2, 3)], 60.0, Standing.QUARANTINED),
        ([crash(1, "p"), crash(2, "p", 1, "p")], 60.0, Standing.ALONE),
        (
            [crash(1, "p"), crash(1, "p", 0, "p"), crash(2, "p")],
            60.0,
            Standing.QUARANTINED,
        ),
        ([crash(n, "pa", n, "a") for n in (1, 2)], 60.0, Standing.QUARANTINED),
        (
            [crash(1, "pa"), crash(2, "pa", 1, "a")],
            60.0,
            Standing.QUARANTINED,
        ),
        ([crash(n, "pa", n, "p") for n in (1, 2, 3)], 60.0, Standing.ALONE),
        ([crash(1, "pab"), crash(2, "p", 40.0)], 3700.0, Standing.NORMAL),
        ([crash(1, "pab"), Clearance("p", 5.0)], 60.0, Standing.NORMAL),
        (
            [crash(1, "pab"), Clearance("p", 5.0), crash(2, "p", 40.0)],
            60.0,
            Standing.ALONE,
        ),
        ([crash(1, "pa"), crash(2, "pa", 40.0)], 60.0, Standing.ALONE),
        (
            [crash(1, "pa"), crash(2, "pa", 40.0), Clearance("a", 50.0)],
            60.0,
            Standing.QUARANTINED,
        ),
        ([crash(1, "pab"), crash(2, "p", 40.0), *BURST], 60.0, Standing.ALONE),
        ([crash(1, "pab", 40.0), *BURST], 60.0, Standing.NORMAL),
        (
            [crash(n, ["p", f"beside{n}"], 40.0 + n) for n in (1, 2, 3)] + BURST,
            60.0,
            Standing.QUARANTINED,
        ),
        (
            [crash(n, ["p", f"beside{n}"], 41.0 * n) for n in (1, 2)]
            + [
                crash(10 * n + k, [f"x{n}{k}"], 41.0 * n)
                for n in (1, 2)
                for k in (1, 2)
            ],
            90.0,
            Standing.NORMAL,
        ),
    ],
    ids=[
        "unknown",
        "once",
        "on trial",
        "trial too long",
        "trial ended",
        "twice",
        "twice while answering",
        "three times while answering",
        "once while answering",
        "one copy while answering",
        # A stream went on at the next endpoint with the call at fault and hid it.
        "beside one that was answering",
        "beside one that was answering once",
        "answering beside one that was not",
        "expired",
        "cleared",
        "cleared between",
        "pair always together",
        "other of pair cleared",
        "second in a burst",
        "only in a burst",
        "again and again in a burst",
        "once in each of two bursts",
    ],
)
def test_standing(records, now, expected):
    assert standing(records, now=now) is expected


TWICE = [crash(1, "p"), crash(2, "p", 2.0)]
RETRIALS = {
    # records, the time from which a run may test the request
    "two crashes at once": ([crash(1, "p"), crash(2, "p", 0.1)], 5.1),
    "two crashes": (TWICE, 2 + RETRIAL_BACKOFF * 2),
    "after a run": ([*TWICE, Trial("p", 9.0)], 9 + RETRIAL_BACKOFF * 2),
    "too many": ([*TWICE, crash(3, "p", 1 + MAX_RETRIAL_SPAN_S)], float("inf")),
}


@pytest.mark.parametrize("found,retrial_at", RETRIALS.values(), ids=RETRIALS)
def test_a_quarantined_request_is_tested_less_and_less_often(found, retrial_at):
    quarantine = Quarantine()
    quarantine.evidence.merge(
        QuarantineEntries(
            tuple(entry for entry in found if isinstance(entry, Crash)),
            trials=tuple(entry for entry in found if isinstance(entry, Trial)),
        )
    )
    verdict = quarantine.verdict("p", LIMITS, ENDPOINTS, 60.0)
    assert verdict.standing is Standing.QUARANTINED
    assert verdict.retrial_at == pytest.approx(retrial_at)


def test_several_crashing_requests_at_once_are_no_burst():
    records = []
    for index, name in enumerate("pq"):
        records.append(crash(2 * index, [name, f"{name}-beside"], 0.0))
        records.append(crash(2 * index + 1, [name], 10.0))
    assert standing(records, "p") is standing(records, "q") is Standing.QUARANTINED
    assert standing(records, "p-beside") is Standing.ALONE


records = st.one_of(
    st.builds(
        Crash,
        st.sampled_from(["e1", "e2", "e3"]),
        st.just("i1"),
        st.integers(0, 5),
        st.frozensets(st.sampled_from("abc"), max_size=3),
        answering=st.frozensets(st.sampled_from("abc"), max_size=3),
    ),
    st.builds(Clearance, st.sampled_from("abc"), st.integers(0, 5)),
    st.builds(Trial, st.sampled_from("abc"), st.integers(0, 5), st.booleans()),
)


def _entries(record):
    return QuarantineEntries(
        tuple(entry for entry in [record] if isinstance(entry, Crash)),
        tuple(entry for entry in [record] if isinstance(entry, Clearance)),
        tuple(entry for entry in [record] if isinstance(entry, Trial)),
    )


@settings(derandomize=True, deadline=None, max_examples=200, database=None)
@given(st.lists(records, max_size=8), st.randoms(use_true_random=False))
def test_merge_is_idempotent_and_independent_of_order(found, random):
    first, second, relayed = CrashEvidence(), CrashEvidence(), CrashEvidence()
    for record in found:
        first.merge(_entries(record))
    again = found + found[: len(found) // 2]
    random.shuffle(again)
    for record in again:
        second.merge(_entries(record))
    relayed.merge(first.entries())
    relayed.merge(second.entries())
    assert _state(first) == _state(second) == _state(relayed)


def _state(evidence):
    return evidence.crashes, evidence.cleared_at, evidence.trials


def test_evidence_is_bounded_and_expires():
    evidence = CrashEvidence()
    for number in range(MAX_CRASHES + 5):
        evidence.add_crash(crash(number, [f"r{number}"], float(number)))
    assert len(evidence.crashes) == MAX_CRASHES
    assert not evidence.of("r0")
    evidence.expire(LIMITS, 1e6)
    assert evidence.entries() == QuarantineEntries()


def test_fingerprint_separates_organisation_and_body():
    assert fingerprint("oak", b"1") == fingerprint("oak", b"1")
    assert fingerprint("oa", b"k1") != fingerprint("oak", b"1")


@pytest.mark.parametrize("seed", range(30))
def test_crashing_request_is_found_and_no_other_is_refused(seed):
    """Clients retry the crashing request after each crash it causes.

    It must be quarantined after two crashes, and no request in flight beside it.
    """
    rng = Random(seed)
    quarantine = Quarantine()
    crashes, neighbours_after_suspicion = 0, 0
    for step in range(60):
        now = step * 20.0
        others = [f"r{step}-{index}" for index in range(rng.randrange(8))]
        current = quarantine.verdict("p", LIMITS, ENDPOINTS, now).standing
        if current is Standing.QUARANTINED:
            break
        neighbours = [] if current is Standing.ALONE else others
        neighbours_after_suspicion += bool(crashes and neighbours)
        quarantine.evidence.add_crash(crash(step, ["p", *neighbours], now))
        crashes += 1
        for name in rng.sample(neighbours, len(neighbours) // 2):
            quarantine.completed(name, now + 1)
    assert crashes == 2
    assert neighbours_after_suspicion == 0
    assert _quarantined(quarantine, now) == {"p"}


@pytest.mark.parametrize("seed", range(30))
def test_fleet_crash_quarantines_no_request(seed):
    """All endpoints crash repeatedly for another cause while clients retry.

    Such a burst must not put any of the requests in flight into quarantine.
    """
    rng = Random(seed)
    quarantine = Quarantine()
    waiting, number = [], 0
    for wave in range(4):
        at = wave * 45.0
        sent = waiting + [f"r{wave}-{index}" for index in range(60)]
        waiting = []
        loads = [[] for _ in range(ENDPOINTS)]
        for name in sent:
            current = quarantine.verdict(name, LIMITS, ENDPOINTS, at).standing
            if current is Standing.NORMAL:
                rng.choice(loads).append(name)
            elif current is Standing.ALONE:
                loads.append([name])
        for names in loads:
            number += 1
            quarantine.evidence.add_crash(crash(number, names, at + rng.uniform(0, 9)))
            waiting += rng.sample(names, len(names) // 2)
        assert not _quarantined(quarantine, at + 10)


@pytest.mark.parametrize("seed", range(30))
def test_a_crashing_request_is_found_beside_unrelated_crashes(seed):
    """A burst of other crashes excused it for 30 s, again and again (review/2)."""
    rng = Random(seed)
    quarantine = Quarantine()
    number, now = 0, 0.0
    fatal = {f"p{index}": [] for index in range(rng.randint(1, 3))}  # crash times
    refused_sound = set()
    while now < 120.0:
        now += rng.uniform(0.5, 4.0)
        sound = [f"r{number}-{index}" for index in range(20)]
        loads = iter([sound[start : start + 3] for start in range(0, 18, 3)])
        crashing = [
            name
            for name in fatal
            if quarantine.verdict(name, LIMITS, ENDPOINTS, now).standing
            is not Standing.QUARANTINED
        ]
        others = rng.randrange(4) if rng.random() < 0.3 else 0
        for first in [*crashing, *[None] * others]:
            number += 1
            names = next(loads) + ([] if first is None else [first])
            at = now + rng.uniform(0, 0.3)
            quarantine.evidence.add_crash(crash(number, names, at))
            if first is not None:
                fatal[first].append(at)
        for name in sound:
            if rng.random() < 0.8:
                quarantine.completed(name, now + 1)
        refused_sound |= _quarantined(quarantine, now + 1) - {*fatal}
    for times in fatal.values():
        assert sum(at > times[2] + CONTACT_S for at in times[2:]) <= MAX_LATE_RETRIES
    assert not refused_sound


def _quarantined(quarantine, now):
    names = {
        name
        for known in quarantine.evidence.crashes.values()
        for name in known.fingerprints
    }
    return {
        name
        for name in names
        if quarantine.verdict(name, LIMITS, ENDPOINTS, now).standing
        is Standing.QUARANTINED
    }
