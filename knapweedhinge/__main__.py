"""Entry point of ``python -m knapweedhinge``: run the command line."""

import sys

from knapweedhinge.core.management import main

if __name__ == "__main__":
    sys.exit(main())
