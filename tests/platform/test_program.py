"""The process of a node on the platform, from its start."""

import asyncio
import os
import signal
import sys
from pathlib import Path

import json5

from knapweedhinge.conf.convert import to_mapping
from knapweedhinge.platform.program import SETTINGS_VARIABLE
from knapweedhinge.test.replica import Replica
from tests.platform.world import World, catalog
from tests.processes import free_port

SIGHUP_BIT = 1 << (signal.SIGHUP - 1)


def blocks_sighup(pid: int) -> bool:
    status = Path(f"/proc/{pid}/status").read_text()
    (mask,) = (line for line in status.splitlines() if line.startswith("SigBlk:"))
    return bool(int(mask.split()[1], 16) & SIGHUP_BIT)


async def test_a_hangup_while_a_node_starts_reloads_its_settings_once_it_serves(
    tmp_path,
):
    """It ended the process, since it was handled only after the imports."""
    async with World([Replica("shop-0", "shop")], catalog()) as world:
        cfg = to_mapping(world.settings())
        cfg["doors"]["callers"] = f"127.0.0.1:{free_port()}"
        path, log = tmp_path / "settings.json5", tmp_path / "log"
        path.write_text(json5.dumps(cfg))
        with log.open("wb") as out:
            child = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "knapweedhinge.platform"),
                env=os.environ | {SETTINGS_VARIABLE: str(path)},
                stdout=out,
            )
        try:
            await world.until(lambda: blocks_sighup(child.pid), 10.0)
            child.send_signal(signal.SIGHUP)
            await world.until(lambda: b'"settings reloaded"' in log.read_bytes(), 20.0)
            await world.until(lambda: b'"serving"' in log.read_bytes(), 20.0)
        finally:
            if child.returncode is None:
                child.kill()
            await child.wait()
