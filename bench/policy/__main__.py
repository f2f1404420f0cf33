"""Compare routing policies: ``python -m bench.policy``."""

import argparse
import sys

from bench.policy import add_arguments, run


def main() -> int:
    """Parse the command line, run the comparison and return the exit status."""
    parser = argparse.ArgumentParser(prog="bench.policy", description=__doc__)
    parser.add_argument("--json", action="store_true", help="print JSON")
    add_arguments(parser)
    return run(parser.parse_args())


if __name__ == "__main__":
    sys.exit(main())
