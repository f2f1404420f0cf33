"""Each change type is validated, applied and encoded as specified."""

from dataclasses import replace

import pytest

from knapweedhinge.conf import (
    ClassOfWork,
    FailureDomain,
    Organisation,
    RollOut,
    Route,
    Service,
    Version,
    VotedLimits,
    VotingRules,
)
from knapweedhinge.conf import changes as c
from knapweedhinge.conf.change_forms import CHANGE_TYPES
from knapweedhinge.controllers.configuration_apply import apply
from knapweedhinge.controllers.configuration_codec import (
    decode_change,
    decode_configuration,
    encode_change,
    encode_configuration,
    parse_change,
)
from knapweedhinge.controllers.configuration_records import ChangeInvalidError
from knapweedhinge.controllers.configuration_rules import validate_and_apply
from knapweedhinge.controllers.configuration_votes import requires_vote
from tests.controllers.samples import CONFIGURATION, KEYS

SERVICE = Service("booking", (Route("POST", "visits"),))
RUNNING = replace(
    CONFIGURATION,
    roll_outs=(RollOut("r1", "oak@2", "oak@1", 0.1),),
    revision=7,
)
WITHDRAWN = apply(c.WithdrawVersion("pine@1"), CONFIGURATION)
NEW_CLASS = ClassOfWork("reply", 0.5, ("oak@1",))

# Each change with the configuration that it is applied to.
VALID = [
    (c.FoundCooperative(CONFIGURATION), CONFIGURATION),
    (c.PutOrganisation(Organisation("new", (KEYS[8],))), CONFIGURATION),
    (c.RemoveOrganisation("taller"), CONFIGURATION),
    (c.SetOrganisationLimits("taller", ("oak@1",), (), 5), CONFIGURATION),
    (c.RotateKey("taller", KEYS[8]), CONFIGURATION),
    (c.RetireKey("taller", KEYS[0]), apply(c.RotateKey("taller", KEYS[8]), RUNNING)),
    (c.RotateOperatorKey(KEYS[9]), CONFIGURATION),
    (c.PutVersion(Version("oak@3", "oak", 1, 2)), CONFIGURATION),
    (c.WithdrawVersion("oak@2"), RUNNING),
    (c.PutClass(NEW_CLASS), CONFIGURATION),
    (c.SetClassTargets("draft", 0.9, 1.0, 0.05, 30.0), CONFIGURATION),
    (c.SetClassLimits("draft", 100, 0.3), CONFIGURATION),
    (c.PutService(SERVICE), CONFIGURATION),
    (c.PutFailureDomain(FailureDomain("sj-3", "central")), CONFIGURATION),
    (c.SetFailureDomain("sj-1", True), CONFIGURATION),
    (c.SetFailureDomain("sj-1", False), CONFIGURATION),
    (c.SetLimits(VotedLimits(retry_share=0.5)), CONFIGURATION),
    (c.SetVotingRules(VotingRules(quorum=0.9)), CONFIGURATION),
    (c.StartRollOut("r2", "oak@2", "oak@1", 0.2), CONFIGURATION),
    (c.AdvanceRollOut("r1", 0.2), RUNNING),
    (c.FinishRollOut("r1"), RUNNING),
    (c.RollBackRollOut("r1"), RUNNING),
]


def test_every_type_has_a_valid_case():
    assert {type(change) for change, _ in VALID} == set(CHANGE_TYPES.values())


@pytest.mark.parametrize(("change", "before"), VALID)
def test_valid_changes_are_applied_and_survive_the_codec(change, before):
    after = validate_and_apply(change, before)
    assert decode_change(encode_change(change)) == change
    assert parse_change(encode_change(change)) == change
    newer = {**encode_change(change), "novel": 1}
    assert apply(decode_change(newer), before) == after
    assert decode_configuration(encode_configuration(after)) == after


@pytest.mark.parametrize(
    ("change", "before", "field"),
    [
        (c.FoundCooperative(CONFIGURATION), RUNNING, "type"),
        (c.UnknownChange("novel"), CONFIGURATION, "type"),
        (c.RemoveOrganisation("nobody"), CONFIGURATION, "organisation"),
        (c.SetOrganisationLimits("nobody", (), ()), CONFIGURATION, "organisation"),
        (
            c.SetOrganisationLimits("taller", ("none@1",), ()),
            CONFIGURATION,
            "organisations[taller].allowed_versions[0]",
        ),
        (c.RotateKey("taller", KEYS[1]), CONFIGURATION, "key_sha256"),
        (
            c.PutOrganisation(Organisation("new", (KEYS[0],))),
            CONFIGURATION,
            "key_sha256",
        ),
        (
            c.PutVersion(Version("a b", "m", 1, 2)),
            CONFIGURATION,
            "versions[a b].id",
        ),
        (c.PutService(replace(SERVICE, id="a/b")), CONFIGURATION, "services[a/b].id"),
        (c.RetireKey("taller", KEYS[0]), CONFIGURATION, "key_sha256"),
        (c.RetireKey("taller", KEYS[9]), CONFIGURATION, "key_sha256"),
        (c.PutVersion(Version("pine@1", "p", 1, 2)), WITHDRAWN, "withdrawn"),
        (c.WithdrawVersion("none@1"), CONFIGURATION, "version"),
        (c.SetClassTargets("none", 0.9, 1, 1, 1), CONFIGURATION, "class_of_work"),
        (
            c.SetClassTargets("draft", 1.9, 1, 1, 1),
            CONFIGURATION,
            "classes[draft].quality_target",
        ),
        (c.SetFailureDomain("none", True), CONFIGURATION, "failure_domain"),
        (c.StartRollOut("r1", "oak@2", "oak@1", 0.1), RUNNING, "id"),
        (c.StartRollOut("r2", "oak@2", "pine@1", 0.1), RUNNING, "version"),
        (c.StartRollOut("r2", "pine@1", "oak@1", 0.1), WITHDRAWN, "version"),
        (c.StartRollOut("r2", "oak@1", "pine@1", 0.1), WITHDRAWN, "stable"),
        (c.StartRollOut("r2", "oak@1", "oak@1", 0.1), CONFIGURATION, "stable"),
        (c.StartRollOut("r2", "oak@2", "oak@1", 0.3), CONFIGURATION, "exposure"),
        (c.AdvanceRollOut("r1", 0.3), RUNNING, "exposure"),
        (c.FinishRollOut("none"), RUNNING, "id"),
        (
            c.FinishRollOut("r1"),
            apply(c.RollBackRollOut("r1"), RUNNING),
            "id",
        ),
    ],
)
def test_invalid_changes_name_the_field(change, before, field):
    with pytest.raises(ChangeInvalidError) as caught:
        validate_and_apply(change, before)
    assert caught.value.field == field
    assert caught.value.code.name == "CHANGE_INVALID"


@pytest.mark.parametrize(
    ("value", "field"),
    [
        (None, "change"),
        ({"type": "novel"}, "type"),
        ({"type": ["x"]}, "type"),
        ({"type": "withdraw-version"}, "version"),
        ({"type": "withdraw-version", "version": 3}, "version"),
        ({"type": "withdraw-version", "version": "a", "x": 1}, "x"),
        (
            {"type": "set-limits", "limits": {"retry_share": 3}},
            "limits.retry_share",
        ),
    ],
)
def test_unknown_or_invalid_fields_from_operators_are_rejected(value, field):
    with pytest.raises(ChangeInvalidError) as caught:
        parse_change(value)
    assert caught.value.field == field


def test_withdrawal_rolls_back_and_is_final():
    after = apply(c.WithdrawVersion("oak@2"), RUNNING)
    assert after.version("oak@2").withdrawn
    assert (after.roll_outs[0].state, after.roll_outs[0].exposure) == ("rolled-back", 0)
    replaced = apply(c.PutVersion(Version("oak@2", "oak", 1, 2)), after)
    assert replaced.version("oak@2").withdrawn


def test_two_keys_are_valid_during_a_rotation():
    after = apply(c.RotateKey("taller", KEYS[7]), CONFIGURATION)
    assert after.organisation("taller").key_sha256 == (KEYS[0], KEYS[7])
    after = apply(c.RotateKey("taller", KEYS[8]), after)
    assert after.organisation("taller").key_sha256 == (KEYS[7], KEYS[8])


@pytest.mark.parametrize(
    ("change", "voted"),
    [
        (c.SetLimits(VotedLimits()), True),
        (c.SetVotingRules(VotingRules()), True),
        (c.SetClassLimits("draft", 1, 0.1), True),
        (c.SetOrganisationLimits("taller", (), ()), True),
        (c.RemoveOrganisation("taller"), True),
        (c.PutOrganisation(Organisation("new", (KEYS[8],))), True),
        (c.PutOrganisation(replace(CONFIGURATION.organisations[0], name="x")), False),
        (c.PutOrganisation(Organisation("taller", (KEYS[0],))), True),
        (c.PutClass(NEW_CLASS), False),
        (c.PutClass(replace(CONFIGURATION.classes[0], max_exposure=1.0)), True),
        (c.PutClass(replace(CONFIGURATION.classes[0], priority=2)), False),
        (c.WithdrawVersion("oak@1"), False),
        (c.SetFailureDomain("sj-1", True), False),
        (c.StartRollOut("r", "oak@2", "oak@1", 0.1), False),
    ],
)
def test_members_vote_on_limits_only(change, voted):
    assert requires_vote(change, CONFIGURATION) is voted
