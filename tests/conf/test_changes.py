import pytest

from knapweedhinge.conf import (
    ClassOfWork,
    Configuration,
    FailureDomain,
    Organisation,
    Route,
    Service,
    Version,
    VotedLimits,
    VotingRules,
)
from knapweedhinge.conf.change_forms import (
    CHANGE_TYPES,
    change_from_mapping,
    change_to_mapping,
)
from knapweedhinge.conf.changes import (
    AdvanceRollOut,
    FinishRollOut,
    FoundCooperative,
    PutClass,
    PutFailureDomain,
    PutOrganisation,
    PutService,
    PutVersion,
    RemoveOrganisation,
    RetireKey,
    RollBackRollOut,
    RotateKey,
    RotateOperatorKey,
    SetClassLimits,
    SetClassTargets,
    SetFailureDomain,
    SetLimits,
    SetOrganisationLimits,
    SetVotingRules,
    StartRollOut,
    WithdrawVersion,
)
from knapweedhinge.core.exceptions import ImproperlyConfiguredError

KEY = "a" * 64
CHANGES = [
    # change, some members of its JSON form
    (WithdrawVersion("v@1"), {"type": "withdraw-version", "version": "v@1"}),
    (
        SetFailureDomain("liberia", True),
        {"type": "set-failure-domain", "failure_domain": "liberia", "out": True},
    ),
    (
        StartRollOut("r", "v@2", "v@1", 0.1, 5),
        {
            "type": "start-roll-out",
            "id": "r",
            "version": "v@2",
            "stable": "v@1",
            "exposure": 0.1,
            "max_unrated": 5,
        },
    ),
    (
        AdvanceRollOut("r", 0.5),
        {"type": "advance-roll-out", "id": "r", "exposure": 0.5},
    ),
    (FinishRollOut("r"), {"type": "finish-roll-out", "id": "r"}),
    (RollBackRollOut("r"), {"type": "roll-back-roll-out", "id": "r"}),
    (PutClass(ClassOfWork("c", 0.5, ("v@1",))), {"type": "put-class", "id": "c"}),
    (PutVersion(Version("v@1", "v", 1, 2)), {"type": "put-version", "id": "v@1"}),
    (PutOrganisation(Organisation("o", ())), {"type": "put-organisation", "id": "o"}),
    (
        PutService(Service("s", (Route("GET", "a"),))),
        {"type": "put-service", "id": "s"},
    ),
    (
        PutFailureDomain(FailureDomain("liberia", "ca")),
        {"type": "put-failure-domain", "id": "liberia", "region": "ca"},
    ),
    (SetLimits(VotedLimits(retry_share=0.2)), {"type": "set-limits"}),
    (SetVotingRules(VotingRules(quorum=0.2)), {"type": "set-voting-rules"}),
    (
        SetClassLimits("c", 100, 0.2),
        {"type": "set-class-limits", "class_of_work": "c", "max_exposure": 0.2},
    ),
    (
        SetClassTargets("c", 0.5, 1.0, 0.1, 9.0),
        {"type": "set-class-targets", "class_of_work": "c", "deadline_s": 9.0},
    ),
    (
        SetOrganisationLimits("o", ("v@1",), ()),
        {"type": "set-organisation-limits", "allowed_versions": ["v@1"]},
    ),
    (RemoveOrganisation("o"), {"type": "remove-organisation", "organisation": "o"}),
    (RotateKey("o", KEY), {"type": "rotate-key", "key_sha256": KEY}),
    (RetireKey("o", KEY), {"type": "retire-key", "key_sha256": KEY}),
    (RotateOperatorKey(KEY), {"type": "rotate-operator-key", "key_sha256": KEY}),
    (
        FoundCooperative(Configuration((), (), (), ())),
        {"type": "found-cooperative"},
    ),
]


@pytest.mark.parametrize("change,part", CHANGES)
def test_change_round_trip(change, part):
    mapping = change_to_mapping(change)
    assert part.items() <= mapping.items()
    assert change_from_mapping(mapping) == change


def test_round_trip_covers_every_change_type():
    assert {part["type"] for _, part in CHANGES} == set(CHANGE_TYPES)


WRONG = [
    # JSON form, path of the first problem (None: any)
    ([], ""),
    ({}, "type"),
    ({"type": "withdraw-versoin", "version": "v"}, "type"),
    ({"type": ["withdraw-version"]}, "type"),
    ({"type": "withdraw-version"}, "version"),
    ({"type": "advance-roll-out", "id": "r", "exposure": 2}, "exposure"),
    ({"type": "finish-roll-out", "id": "r", "exposure": 1}, "exposure"),
    ({"type": "put-class", "id": "c", "quality_target": 3, "versions": []}, None),
]


@pytest.mark.parametrize("data,path", WRONG)
def test_wrong_change(data, path):
    with pytest.raises(ImproperlyConfiguredError) as caught:
        change_from_mapping(data)
    assert path in (None, caught.value.problems[0].path)
