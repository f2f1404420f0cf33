"""Run one node on the platform: ``python -m knapweedhinge.platform``."""

import os
import sys
from dataclasses import replace

from knapweedhinge.conf.loader import load
from knapweedhinge.conf.relay import RelaySettings, split_address
from knapweedhinge.core.exceptions import ImproperlyConfiguredError
from knapweedhinge.core.management.exit_codes import ExitCode

SETTINGS_VARIABLE = (
    "KNAPWEEDHINGE_BOOT"  # environment variable: path of the settings file
)


def read_settings() -> RelaySettings:
    """Read and check the settings; raise one error that lists every problem."""
    settings = load(RelaySettings, os.environ.get(SETTINGS_VARIABLE, ""))
    _, port = split_address(settings.doors.callers)
    return replace(settings, listen=replace(settings.listen, port=port))


def main() -> int:
    """Check the settings, run the node and return its exit code."""
    try:
        settings = read_settings()
    except ImproperlyConfiguredError as exc:
        sys.stderr.write(f"{exc}\n")
        return ExitCode.SETTINGS
    from knapweedhinge.node.relay import run

    return run(settings, read_settings)


if __name__ == "__main__":
    sys.exit(main())
