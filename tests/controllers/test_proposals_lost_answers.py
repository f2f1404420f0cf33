"""A proposal is accepted once or not at all, whichever answers are lost."""

from itertools import product

import pytest

from knapweedhinge.controllers.ballots import ProposalState
from knapweedhinge.controllers.configuration import REVISIONS_TABLE, ChangeRequest
from knapweedhinge.controllers.proposal_codec import decode_proposal
from knapweedhinge.controllers.proposals import PROPOSALS_TABLE
from tests.controllers.faulty_tables import Fault, Operation, Service, run
from tests.controllers.samples import CONFIGURATION, ORGANISATIONS
from tests.controllers.test_proposals import Node, limits


def agreed_proposal():
    service, node = Service(), Node("first")
    run(
        node.configurations.append_first_revision(CONFIGURATION, "f", "op", 0.0),
        service,
    )
    run(node.proposals.propose("p", "op", limits(0.3), 1, 0.0), service)
    for name in ORGANISATIONS[:2]:
        run(node.proposals.vote("p", name, True, 1.0), service)
    return service, node


def another_count(service):
    run(Node("rival").proposals.tally("p", 2.0), service)


def ballot_is_changed(service):
    """Change a ballot; return a check that the recorded ballot is the new one.

    Returns None if the proposal is closed already.
    """
    proposals = Node("rival").proposals
    if service.store.get(PROPOSALS_TABLE, "p").value["state"] == "open":
        run(proposals.vote("p", ORGANISATIONS[0], False, 2.0), service)
        return lambda proposal: ballot_of(proposal, ORGANISATIONS[0]).agrees is False
    return None


def ballot_of(proposal, organisation):
    (ballot,) = [b for b in proposal.ballots if b.organisation == organisation]
    return ballot


def operator_changes_the_limits(service):
    configurations = Node("rival").configurations
    head = run(configurations.head(), service)
    request = ChangeRequest("direct", "op", limits(0.4), voted=True)
    run(configurations.append(request, head, 2.0), service)


@pytest.mark.parametrize(
    "rival", [another_count, ballot_is_changed, operator_changes_the_limits]
)
@pytest.mark.parametrize("rival_before_call", range(5))
def test_proposal_is_accepted_once_or_not_at_all_under_every_pair_of_faults(
    rival, rival_before_call
):
    for faults in product(Fault, repeat=2):
        service, node = agreed_proposal()
        operation = Operation(node.proposals.tally("p", 2.0), service)
        calls, remaining_faults, is_consistent = 0, list(faults), lambda proposal: True
        while not operation.done:
            if calls == rival_before_call:
                is_consistent = rival(service) or is_consistent
            faulty = operation.at_write and remaining_faults
            operation.advance(remaining_faults.pop(0) if faulty else Fault.NONE)
            calls += 1
        for call in service.late:
            service.execute(call)
        run(Node("last").proposals.tally("p", 1e9), service)
        proposal = decode_proposal(service.store.get(PROPOSALS_TABLE, "p"))
        accepted = [
            int(row.key)
            for row in service.store.scan(REVISIONS_TABLE, "", "", 99)
            if row.value["change_id"] == proposal.change_id
        ]
        assert proposal.state is not ProposalState.OPEN
        assert is_consistent(proposal)
        if proposal.state is ProposalState.ACCEPTED:
            assert accepted == [proposal.accepted_revision]
            assert len([ballot for ballot in proposal.ballots if ballot.agrees]) == 2
        else:
            assert accepted == []
