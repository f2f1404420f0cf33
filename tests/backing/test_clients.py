import pytest

from knapweedhinge.backing import Vm, Write, WriteOutcome
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import (
    PlatformError,
    PlatformUnavailableError,
    RowConflictError,
    WriteUnsettledError,
)


async def test_rows_are_written_under_conditions(platform):
    row = await platform.tables.insert("t", "a/b ?", {"x": 1}, "w1")
    assert (row.version, row.write_id) == (1, "w1")
    assert await platform.tables.get("t", "a/b ?") == row
    with pytest.raises(RowConflictError) as caught:
        await platform.tables.insert("t", "a/b ?", {"x": 2}, "w2")
    assert caught.value.row == row
    row = await platform.tables.update("t", "a/b ?", {"x": 3}, 1, "w3")
    assert (row.version, row.insert_id, row.recent) == (2, "w1", ("w1",))
    with pytest.raises(RowConflictError):
        await platform.tables.update("t", "a/b ?", {"x": 4}, 1, "w4")
    await platform.tables.delete("t", "a/b ?", 2, "w5")
    assert await platform.tables.get("t", "a/b ?") is None


async def test_scan_pages_in_key_order(platform):
    for key in ("p2", "p1", "q1", "p3"):
        await platform.tables.insert("t", key, {}, key)
    rows = await platform.tables.scan("t", "p", after="p1", limit=1)
    assert [row.key for row in rows] == ["p2"]


@pytest.mark.parametrize("atomic", [False, True])
async def test_batch_with_lost_response_is_settled(platform, served, atomic):
    await platform.tables.insert("t", "held", {}, "other")
    writes = [Write("t", "new", {"x": 1}, 0, "w1"), Write("t", "held", {}, 0, "w2")]
    served.standin.faults.lose_writes = 1
    outcomes = await platform.tables.batch(tuple(writes), atomic=atomic)
    assert [outcome.applied for outcome in outcomes] == [not atomic, False]


async def test_lost_update_is_settled_although_overwritten(platform, served):
    await platform.tables.insert("t", "k", {}, "w0")
    standin = served.standin
    write = standin.tables.write

    def write_then_overwrite(writes, atomic):
        outcomes = write(writes, atomic)
        for index in range(later_writes):
            write((Write("t", "k", {}, None, f"later{index}"),), False)
        return outcomes

    standin.tables.write = write_then_overwrite
    later_writes = 2
    standin.faults.lose_writes = 1
    row = await platform.tables.update("t", "k", {"x": 1}, 1, "mine")
    assert row.write_id == "later1"
    later_writes = 20  # more than the row's history keeps
    standin.faults.lose_writes = 1
    with pytest.raises(WriteUnsettledError):
        await platform.tables.update("t", "k", {"x": 1}, row.version, "hidden")


async def test_write_without_any_response_is_unsettled(platform, served):
    served.standin.faults.slow_s = 60.0
    with pytest.raises(WriteUnsettledError):
        await platform.tables.insert("t", "k", {}, "w")


async def test_outage_raises_unavailable_and_opens_the_breaker(platform, served):
    served.standin.faults.outage = True
    for _ in range(3):
        with pytest.raises(PlatformUnavailableError):
            await platform.tables.insert("t", "k", {}, "w")
    assert platform.state(0.0).services[0].breaker.phase == "open"
    assert served.standin.tables.get("t", "k") is None
    assert served.standin.calls.total() == platform.cfg.breaker_failures


async def test_single_failure_is_retried(platform, served):
    served.standin.faults.fail_next = 1
    assert (await platform.tables.insert("t", "k", {}, "w")).version == 1
    served.standin.faults.fail_next = 1
    assert (await platform.tables.get("t", "k")).write_id == "w"


async def test_objects_are_never_overwritten(platform, served):
    assert await platform.objects.put_if_absent("n/1", b"x")
    assert not await platform.objects.put_if_absent("n/1", b"x")
    with pytest.raises(PlatformError) as caught:
        await platform.objects.put_if_absent("n/1", b"y")
    assert caught.value.code is ResultCode.OBJECT_EXISTS
    served.standin.faults.lose_writes = 1
    assert await platform.objects.put_if_absent("n/2", b"x")
    assert await platform.objects.get("n/2") == b"x"
    assert await platform.objects.get("n/3") is None
    assert await platform.objects.list("n/", after="n/1") == ("n/2",)


async def test_vm_list_is_delayed(platform, served):
    served.standin.faults.vm_lag_s = 60.0
    served.standin.set_vms((Vm("a", "127.0.0.1", 1, "entry"),))
    assert await platform.vms.list() == ()
    served.standin.faults.vm_lag_s = 0.0
    assert [vm.vm for vm in await platform.vms.list()] == ["a"]


async def test_weight_store_limits_the_rate(platform, served):
    served.standin.faults.weights_per_s = 1
    assert (await platform.weights.find("oak@1")).version == "oak@1"
    with pytest.raises(PlatformError) as caught:
        await platform.weights.find("oak@1")
    assert caught.value.code is ResultCode.PLATFORM_RATE_LIMITED
    assert caught.value.retry_after_s == 1.0


async def test_ratings_are_delayed_and_not_duplicated(platform, served):
    served.standin.faults.rating_delay_s = 60.0
    await platform.ratings.submit("late", "oak@1", "draft")
    served.standin.faults.rating_delay_s = 0.0
    await platform.ratings.submit("now", "oak@1", "draft")
    await platform.ratings.submit("now", "oak@1", "draft")
    page = await platform.ratings.fetch("")
    assert [rating.request_id for rating in page.ratings] == ["now"]
    assert (await platform.ratings.fetch(page.cursor)).ratings == ()


async def test_malformed_response_is_a_protocol_error(platform, served):
    served.standin.tables.get = lambda table, key: {"nonsense": 1}
    with pytest.raises(PlatformError) as caught:
        await platform.tables.get("t", "k")
    assert caught.value.code is ResultCode.PLATFORM_PROTOCOL


def test_outcomes_with_equal_fields_are_equal():
    assert WriteOutcome(True, None) == WriteOutcome(True, None)
