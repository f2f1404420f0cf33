"""A short soak of two seeds; ``tests.platform.crash_soak`` runs many by hand."""

import pytest

from tests.platform.crash_soak import soak


@pytest.mark.parametrize("seed", [5, 10])
async def test_a_call_that_crashes_endpoints_is_refused_while_others_fail(seed):
    outcome = await soak(seed, 12.0)
    assert outcome.crashes
    assert outcome.wrong == []
