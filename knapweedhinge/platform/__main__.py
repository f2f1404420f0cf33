"""Run one node on the platform: ``python -m knapweedhinge.platform``."""

import signal
import sys


def main() -> int:
    """Run the node and return its exit code.

    SIGHUP would end the process until the node can handle it, and is blocked until
    then. The program is imported after that, since this takes most of the time.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    from knapweedhinge.core.startup import kept_forever

    with kept_forever():
        from knapweedhinge.platform.program import main as run_program

    return run_program()


if __name__ == "__main__":
    sys.exit(main())
