"""Votes on proposals are counted once, under concurrent writes, faults and crashes."""

from dataclasses import replace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from knapweedhinge.conf import VotedLimits, VotingRules
from knapweedhinge.conf.changes import SetFailureDomain, SetLimits
from knapweedhinge.controllers.ballots import (
    Ballot,
    BallotRefusedError,
    ProposalState,
    Verdict,
    cast,
    count,
    open_proposal,
)
from knapweedhinge.controllers.configuration import (
    REVISIONS_TABLE,
    ChangeRequest,
    ConfigurationStore,
)
from knapweedhinge.controllers.configuration_codec import decode_revision
from knapweedhinge.controllers.configuration_records import (
    ChangeInvalidError,
    RevisionConflict,
)
from knapweedhinge.controllers.proposal_codec import decode_proposal
from knapweedhinge.controllers.proposals import PROPOSALS_TABLE, ProposalStore
from tests.controllers.faulty_tables import (
    Fault,
    Operation,
    Service,
    SteppedTables,
    run,
)
from tests.controllers.samples import CONFIGURATION, ORGANISATIONS

IDS = ("p0", "p1")
CLOSES_AT = 100.0
FAULTS = st.lists(st.sampled_from(Fault), max_size=4)
# Number of calls after which an operation is left suspended, None to run it to its end.
PAUSE = st.one_of(st.none(), st.integers(0, 7))
PICK = st.integers(0, 99)
NODES = 2


def limits(share):
    return SetLimits(VotedLimits(retry_share=share))


class Node:
    def __init__(self, name):
        self.configurations = ConfigurationStore(SteppedTables())
        self.proposals = ProposalStore(
            SteppedTables(), self.configurations, self.new_id
        )
        self.name = name
        self.ids = 0

    def new_id(self):
        self.ids += 1
        return f"{self.name}-{self.ids}"


class ProposalMachine(RuleBasedStateMachine):
    """Record and count ballots on two nodes, for two proposals beside an operator."""

    @initialize()
    def found(self):
        self.service = Service()
        self.nodes_created = 0
        self.fleet = [self.new_node() for _ in range(NODES)]
        rules = VotingRules(open_s=CLOSES_AT)
        first = replace(CONFIGURATION, voting=rules)
        run(
            self.fleet[0].configurations.append_first_revision(first, "f", "op", 0.0),
            self.service,
        )
        for number, name in enumerate(IDS):
            change = limits(0.2 + number / 10)
            coroutine = self.fleet[0].proposals.propose(name, "op", change, 1, 0.0)
            run(coroutine, self.service)
        self.now = 1.0
        self.operations = []  # (operation, node, (proposal id, ballot) or None)
        self.closed = {}
        self.recorded = {}
        self.changes = 0

    def new_node(self):
        self.nodes_created += 1
        return Node(f"n{self.nodes_created}")

    def chain(self):
        rows = self.service.store.scan(REVISIONS_TABLE, "", "", 10_000)
        return tuple(decode_revision(int(row.key), row.value) for row in rows)

    def proposal(self, name):
        return decode_proposal(self.service.store.get(PROPOSALS_TABLE, name))

    def begin(self, node, coroutine, pause, faults, ballot=None):
        """Run an operation to its end, or suspend it after ``pause`` calls."""
        operation = Operation(coroutine, self.service)
        self.operations.append((operation, node, ballot))
        if pause is None:
            operation.run_on(faults)
        for _ in range(pause or 0):
            if not operation.done:
                operation.advance()
        self.finish()

    @rule(
        node=st.integers(0, NODES - 1),
        name=st.sampled_from(IDS),
        organisation=st.sampled_from(ORGANISATIONS),
        agrees=st.sampled_from((True, True, False)),
        pause=PAUSE,
        faults=FAULTS,
    )
    def vote(self, node, name, organisation, agrees, pause, faults):
        self.now += 1
        proposals = self.fleet[node].proposals
        coroutine = proposals.vote(name, organisation, agrees, self.now)
        ballot = (name, Ballot(organisation, agrees, self.now))
        self.begin(node, coroutine, pause, faults, ballot)

    @rule(name=st.sampled_from(IDS), voters=st.integers(1, 3), counted=st.booleans())
    def agree(self, name, voters, counted):
        """Cast ballots of some organisations without faults, and count if asked to."""
        for organisation in ORGANISATIONS[:voters]:
            if self.proposal(name).state is ProposalState.OPEN:
                self.vote(0, name, organisation, True, None, ())
        if counted:
            self.tally(0, name, None, ())

    @rule(
        node=st.integers(0, NODES - 1),
        name=st.sampled_from(IDS),
        pause=PAUSE,
        faults=FAULTS,
    )
    def tally(self, node, name, pause, faults):
        coroutine = self.fleet[node].proposals.tally(name, self.now)
        self.begin(node, coroutine, pause, faults)

    @rule(alters_limits=st.booleans())
    def append_operator_change(self, alters_limits):
        """Append an operator's change as the next revision."""
        self.changes += 1
        change = limits(0.5 + self.changes / 1000)
        if not alters_limits:
            change = SetFailureDomain("sj-1", True)
        request = ChangeRequest(f"direct{self.changes}", "op", change, voted=True)
        store = ConfigurationStore(SteppedTables())
        run(store.append(request, len(self.chain()), self.now), self.service)

    @rule()
    def pass_closing_time(self):
        self.now = max(self.now, CLOSES_AT)

    @precondition(lambda self: self.operations)
    @rule(pick=PICK, calls=st.integers(1, 6))
    def advance(self, pick, calls):
        operation = self.operations[pick % len(self.operations)][0]
        for _ in range(calls):
            if not operation.done:
                operation.advance()
        self.finish()

    @precondition(lambda self: self.operations)
    @rule(pick=PICK, faults=FAULTS)
    def run_on(self, pick, faults):
        self.operations[pick % len(self.operations)][0].run_on(faults)
        self.finish()

    @precondition(lambda self: self.operations)
    @rule(pick=PICK)
    def crash(self, pick):
        node = self.operations[pick % len(self.operations)][1]
        for entry in self.operations:
            if entry[1] == node:
                entry[0].crash()
        self.operations = [item for item in self.operations if item[1] != node]
        self.fleet[node] = self.new_node()

    @precondition(lambda self: self.service.late)
    @rule(pick=PICK, keep_for_repeat=st.booleans())
    def deliver_late_write(self, pick, keep_for_repeat):
        index = pick % len(self.service.late)
        self.service.execute(self.service.late[index])
        if not keep_for_repeat:
            self.service.late.pop(index)

    def finish(self):
        ended = [item for item in self.operations if item[0].done]
        self.operations = [item for item in self.operations if not item[0].done]
        for operation, _, ballot in ended:
            if ballot and operation.error is None:
                self.acknowledged(*ballot)

    def acknowledged(self, name, ballot):
        key = (name, ballot.organisation)
        previous = self.recorded.get(key)
        if previous is None or previous.cast_at < ballot.cast_at:
            self.recorded[key] = ballot

    @invariant()
    def acknowledged_ballots_are_kept_or_replaced_by_later_ones(self):
        for (name, organisation), ballot in self.recorded.items():
            (recorded,) = [
                item
                for item in self.proposal(name).ballots
                if item.organisation == organisation
            ]
            assert recorded == ballot or recorded.cast_at > ballot.cast_at

    @invariant()
    def each_organisation_has_at_most_one_ballot(self):
        for name in IDS:
            voters = [item.organisation for item in self.proposal(name).ballots]
            assert len(voters) == len(set(voters))

    @invariant()
    def closed_proposals_never_change(self):
        for name in IDS:
            proposal = self.proposal(name)
            if proposal.state is not ProposalState.OPEN:
                assert self.closed.setdefault(name, proposal) == proposal

    @invariant()
    def acceptance_and_revision_come_together_once(self):
        for name in IDS:
            proposal = self.proposal(name)
            numbers = [
                revision.number
                for revision in self.chain()
                if revision.change_id == proposal.change_id
            ]
            accepted = proposal.state is ProposalState.ACCEPTED
            assert numbers == ([proposal.accepted_revision] if accepted else [])
            if accepted:
                self.agreed_on_what_was_seen(proposal)

    def agreed_on_what_was_seen(self, proposal):
        reopened = replace(proposal, state=ProposalState.OPEN)
        assert count(reopened, CLOSES_AT) is Verdict.AGREED
        between = self.chain()[proposal.revision : proposal.accepted_revision - 1]
        assert not [item for item in between if isinstance(item.change, SetLimits)]


TestProposals = ProposalMachine.TestCase
TestProposals.settings = settings(
    max_examples=60, stateful_step_count=30, derandomize=True, deadline=None
)


def proposal_with(electorate, quorum, majority, yes, no):
    rules = VotingRules(quorum=quorum, majority=majority, open_s=CLOSES_AT)
    configuration = replace(CONFIGURATION, voting=rules)
    proposal = open_proposal("p", "op", limits(0.3), configuration, 0.0)
    names = tuple(f"o{number}" for number in range(electorate))
    ballots = [
        Ballot(name, index < yes, 1.0) for index, name in enumerate(names[: yes + no])
    ]
    return replace(proposal, electorate=names, ballots=tuple(ballots))


@pytest.mark.parametrize(
    ("electorate", "quorum", "majority", "yes", "no", "early", "at_close"),
    [
        (10, 0.5, 0.5, 0, 0, "undecided", "refused"),
        (10, 0.5, 0.5, 4, 0, "undecided", "refused"),
        (10, 0.5, 0.5, 5, 0, "undecided", "agreed"),
        (10, 0.5, 0.5, 6, 0, "agreed", "agreed"),
        (10, 0.5, 0.5, 5, 5, "refused", "refused"),
        (10, 0.5, 0.5, 1, 5, "refused", "refused"),
        (10, 0.5, 0.5, 3, 2, "undecided", "agreed"),
        (10, 0.3, 0.5, 2, 1, "undecided", "agreed"),
        (10, 1.0, 0.5, 9, 0, "undecided", "refused"),
        (10, 0.0, 1.0, 9, 1, "refused", "refused"),
        (10, 0.0, 1.0, 1, 0, "undecided", "agreed"),
        (3, 0.6666666666666666, 0.5, 2, 0, "agreed", "agreed"),
        (5, 0.6, 0.6, 3, 2, "refused", "refused"),
        (1, 0.5, 0.5, 1, 0, "agreed", "agreed"),
    ],
)
def test_count(electorate, quorum, majority, yes, no, early, at_close):
    proposal = proposal_with(electorate, quorum, majority, yes, no)
    assert count(proposal, 50.0) == early
    assert count(proposal, CLOSES_AT) == at_close


@pytest.mark.parametrize(
    ("ballot", "state"),
    [
        (Ballot("o1", True, CLOSES_AT), ProposalState.OPEN),
        (Ballot("stranger", True, 2.0), ProposalState.OPEN),
        (Ballot("o0", True, 0.5), ProposalState.OPEN),
        (Ballot("o1", True, 2.0), ProposalState.REJECTED),
    ],
)
def test_ballots_that_cannot_be_counted_are_refused(ballot, state):
    proposal = replace(proposal_with(3, 0.5, 0.5, 0, 1), state=state)
    with pytest.raises(BallotRefusedError):
        cast(proposal, ballot)


def test_ballot_may_be_replaced_while_the_proposal_is_open():
    proposal = cast(proposal_with(3, 0.5, 0.5, 0, 1), Ballot("o0", True, 2.0))
    assert proposal.ballots == (Ballot("o0", True, 2.0),)


def test_proposal_needs_the_newest_revision_and_a_valid_change():
    service, node = Service(), Node("n")
    run(
        node.configurations.append_first_revision(CONFIGURATION, "f", "op", 0.0),
        service,
    )
    with pytest.raises(RevisionConflict):
        run(node.proposals.propose("p", "op", limits(0.3), 0, 0.0), service)
    with pytest.raises(ChangeInvalidError, match=r"limits\.retry_share"):
        run(node.proposals.propose("p", "op", limits(3.0), 1, 0.0), service)
    first = run(node.proposals.propose("p", "op", limits(0.3), 1, 0.0), service)
    repeated = run(node.proposals.propose("p", "op", limits(0.3), 1, 9.0), service)
    assert first == repeated
    with pytest.raises(ChangeInvalidError, match="proposal_id"):
        run(node.proposals.propose("p", "op", limits(0.4), 1, 9.0), service)


def test_row_of_newer_schema_keeps_its_fields_and_is_not_counted_here():
    service, node = Service(), Node("n")
    run(
        node.configurations.append_first_revision(CONFIGURATION, "f", "op", 0.0),
        service,
    )
    run(node.proposals.propose("p", "op", limits(0.3), 1, 0.0), service)
    row = service.store.get(PROPOSALS_TABLE, "p")
    newer = {**row.value, "schema": 2, "novel": {"x": 1}}
    run(node.proposals._tables.update(PROPOSALS_TABLE, "p", newer, 1, "newer"), service)
    for name in ORGANISATIONS:
        run(node.proposals.vote("p", name, True, 1.0), service)
    assert run(node.proposals.tally("p", 2.0), service).state is ProposalState.OPEN
    assert service.store.get(PROPOSALS_TABLE, "p").value["novel"] == {"x": 1}
