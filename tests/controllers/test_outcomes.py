import pytest

from knapweedhinge.controllers.claimrecords import ClaimRecord, ClaimState
from knapweedhinge.controllers.outcomes import OutcomeCache
from knapweedhinge.core.codes import ResultCode, RunState
from knapweedhinge.core.exceptions import OutcomeUnknownError, PlatformUnavailableError

NOT_RUN = ("fail", ResultCode.OVERLOADED, RunState.NOT_RUN)
UNKNOWN = ("fail", ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN)
BEGIN = ("begin",)
DONE = ("complete", b"done")

CALLS = [
    ((BEGIN,), RunState.RUNNING),
    ((BEGIN, NOT_RUN), RunState.NOT_RUN),
    ((BEGIN, DONE), RunState.COMPLETED),
    ((BEGIN, DONE, BEGIN, NOT_RUN), RunState.COMPLETED),
    ((BEGIN, UNKNOWN, BEGIN, NOT_RUN), RunState.UNKNOWN),
    ((BEGIN, BEGIN, NOT_RUN), RunState.RUNNING),
    ((BEGIN, BEGIN, NOT_RUN, NOT_RUN), RunState.NOT_RUN),
    ((BEGIN, NOT_RUN, BEGIN, DONE), RunState.COMPLETED),
    ((BEGIN, BEGIN, DONE, UNKNOWN), RunState.COMPLETED),
]


def cache_after(calls):
    cache = OutcomeCache()
    for name, *args in calls:
        if name == "begin":
            cache.begin("o", "r", keyed=True)
        else:
            getattr(cache, name)("r", *args)
    return cache


@pytest.mark.parametrize("calls,state", CALLS)
def test_run_state_combines_all_calls_of_a_request(calls, state):
    assert cache_after(calls).get("o", "r").state is state
    assert cache_after(calls).get("other", "r") is None


class Claims:
    def __init__(self, found):
        self.found = found

    async def find(self, organisation_id, request_id):
        if isinstance(self.found, Exception):
            raise self.found
        return self.found


def record(state):
    return ClaimRecord("f", "n2", "r", state)


@pytest.mark.parametrize(
    "calls,found,state",
    [
        ((BEGIN, NOT_RUN), record(ClaimState.COMPLETED), RunState.COMPLETED),
        ((BEGIN, NOT_RUN), record(ClaimState.CLAIMED), RunState.RUNNING),
        ((BEGIN, UNKNOWN), record(ClaimState.COMPLETED), RunState.COMPLETED),
        ((BEGIN, NOT_RUN), None, RunState.NOT_RUN),
        ((BEGIN, DONE), record(ClaimState.CLAIMED), RunState.COMPLETED),
    ],
)
async def test_find_uses_the_claim_of_another_node(calls, found, state):
    outcome = await cache_after(calls).find("o", "r", Claims(found))
    assert outcome.state is state


async def test_find_raises_while_the_table_service_is_down():
    claims = Claims(PlatformUnavailableError("down"))
    with pytest.raises(OutcomeUnknownError):
        await cache_after((BEGIN, NOT_RUN)).find("o", "r", claims)
