"""Read the settings of a node on the platform and run it as this process."""

import os
import sys
from dataclasses import replace

from knapweedhinge.conf.loader import load
from knapweedhinge.conf.relay import RelaySettings, split_address
from knapweedhinge.core.exceptions import ImproperlyConfiguredError
from knapweedhinge.core.management.exit_codes import ExitCode
from knapweedhinge.core.startup import kept_forever
from knapweedhinge.platform.agreements import with_agreements

# Environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = "KNAPWEEDHINGE_BOOT"


def read_settings() -> RelaySettings:
    """Read and check the settings.

    The port for callers comes from ``doors.callers``, since the settings template
    (``settings.json5``) sets ``listen.port`` to 0. Parts that the deployment's
    agreements name are switched on. Raise ImproperlyConfiguredError,
    which lists every problem, if the settings are invalid.
    """
    settings = load(RelaySettings, os.environ.get(SETTINGS_VARIABLE, ""))
    _, port = split_address(settings.doors.callers)
    settings = replace(settings, listen=replace(settings.listen, port=port))
    return with_agreements(settings)


def main() -> int:
    """Check the settings, run the node and return its exit code."""
    try:
        settings = read_settings()
    except ImproperlyConfiguredError as exc:
        sys.stderr.write(f"{exc}\n")
        return ExitCode.SETTINGS
    with kept_forever():
        from knapweedhinge.node.relay import run

    return run(settings, read_settings)
