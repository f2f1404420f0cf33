import pytest

from knapweedhinge.conf import load_node_settings
from knapweedhinge.core.exceptions import PeerError, PlatformError
from knapweedhinge.core.management.exit_codes import ExitCode
from knapweedhinge.node import daemon
from tests.conftest import EXAMPLES


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
