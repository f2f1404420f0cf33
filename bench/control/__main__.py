"""Run the control measurement: ``python -m bench.control --nodes 3,6 --json FILE``."""

import argparse
import sys

from bench.control import add_arguments, run


def main() -> None:
    """Parse the command line, run the measurement and exit with its status."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_arguments(parser)
    parser.add_argument("--json", metavar="FILE", help="the same as --out FILE")
    args = parser.parse_args()
    args.out, args.json = args.out or args.json, False
    sys.exit(run(args))


if __name__ == "__main__":
    main()
