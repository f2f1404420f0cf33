"""Command line: ``python -m bench.capacity --control FILE --out docs/CAPACITY.md``."""

import argparse
import sys

from bench.capacity import add_arguments, run


def main() -> None:
    """Parse the command line, write the page and exit with its status."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_arguments(parser)
    sys.exit(run(parser.parse_args()))


if __name__ == "__main__":
    main()
