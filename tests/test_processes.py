"""Tests of how the test runner starts processes."""

import asyncio
import itertools

import pytest

from tests.processes import start_all, start_process, worker_ports

WORKERS = ("", "gw1", "gw2", "gw3", "gw11")


@pytest.mark.parametrize("pair", itertools.combinations(WORKERS, 2))
def test_two_workers_never_start_nodes_on_the_same_port(pair):
    first, second = (set(worker_ports(worker)) for worker in pair)
    assert first
    assert second
    assert not first & second


def test_a_worker_without_ports_of_its_own_is_refused():
    with pytest.raises(ValueError, match="gw12"):
        worker_ports("gw12")


async def test_a_process_that_fails_to_start_shows_the_end_of_its_log(tmp_path):
    with pytest.raises(RuntimeError, match="No module named 'absent'"):
        await start_process("absent", "absent.module", log=tmp_path / "absent.log")


async def test_a_failed_start_leaves_no_other_process_running(tmp_path):
    started = []

    async def start_platform():
        started.append(
            await start_process(
                "platform", "knapweedhinge.test.platform", "--ip", "127.0.0.1"
            )
        )
        return started[0]

    with pytest.raises(RuntimeError, match="absent ended"):
        await start_all(
            [start_platform(), start_process("absent", "absent.module", log=None)]
        )
    await asyncio.sleep(0)
    assert [process.child.returncode for process in started] == [-9]
