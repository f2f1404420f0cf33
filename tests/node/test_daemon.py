import asyncio
import json
import signal
import sys

import aiohttp
import pytest

from knapweedhinge.conf import load_node_settings
from knapweedhinge.core.exceptions import PeerError, PlatformError
from knapweedhinge.core.management.exit_codes import ExitCode
from knapweedhinge.node import daemon
from tests.conftest import EXAMPLES
from tests.processes import eventually, free_port

STOP_S = 3.0  # far below the time after which the process would be killed


@pytest.mark.parametrize(
    ("error", "status"),
    [
        (None, ExitCode.SUCCESS),
        (PlatformError(), ExitCode.PLATFORM),
        (PeerError(), ExitCode.PEER),
    ],
)
def test_exit_status_follows_the_class_of_the_error(monkeypatch, error, status):
    async def serve(settings):
        if error is not None:
            raise error

    monkeypatch.setattr(daemon, "serve", serve)
    monkeypatch.setattr(daemon.logs, "configure_stderr", lambda cfg, vm: None)
    settings = load_node_settings(EXAMPLES / "guanacaste" / "node.json")
    assert daemon.run(settings) == status


@pytest.mark.parametrize("signum", [signal.SIGTERM, signal.SIGINT])
async def test_a_node_that_waits_for_the_platform_ends_when_it_is_told_to(
    tmp_path, signum
):
    """It ended only once the platform had answered, so that it was killed instead."""
    port = free_port()
    listen = {"vm": "vm-1", "ip": "127.0.0.1", "port": port, "failure_domain": "a"}
    settings = {
        "listen": listen | {"region": "here"},
        "platform": {"url": f"http://127.0.0.1:{free_port()}"},
        "keys": {"token_keys": ["test-token-key"], "peer_keys": ["test-peer-key"]},
    }
    path = tmp_path / "node.json"
    path.write_text(json.dumps(settings))
    child = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "knapweedhinge", "node", "--settings", str(path)),
        stderr=asyncio.subprocess.DEVNULL,
    )

    async def status() -> int | None:
        try:
            async with (
                aiohttp.ClientSession() as http,
                http.get(f"http://127.0.0.1:{port}/readyz") as resp,
            ):
                return resp.status
        except aiohttp.ClientError:
            return None

    try:
        await eventually(status)
        assert await status() == 503
        child.send_signal(signum)
        assert await asyncio.wait_for(child.wait(), STOP_S) == ExitCode.SUCCESS
    finally:
        if child.returncode is None:
            child.kill()
            await child.wait()
