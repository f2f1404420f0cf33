"""Argument types for argparse.

Each raises ``argparse.ArgumentTypeError`` for other text and says what was expected.
"""

import argparse

from knapweedhinge.conf.fields import Format
from knapweedhinge.conf.formats import expected_text, matches


def node_url(text: str) -> str:
    """Return the base URL of a node given as ``ip:port`` or as a URL with an IP.

    Host names are invalid.
    """
    url = text if "://" in text else f"http://{text}"
    if not matches(url, Format.IP_URL):
        expected = expected_text(Format.IP_URL)
        raise argparse.ArgumentTypeError(f"expected IP:PORT or {expected}: {text!r}")
    return url.rstrip("/")


def positive_seconds(text: str) -> float:
    """Return a finite number of seconds above 0."""
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    if not 0 < value < float("inf"):
        raise argparse.ArgumentTypeError(f"expected seconds above 0: {text!r}")
    return value


def share(text: str) -> float:
    """Return a share from 0 to 1, both included."""
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value <= 1:
        raise argparse.ArgumentTypeError(f"expected a share from 0 to 1: {text!r}")
    return value


def positive_int(text: str) -> int:
    """Return a whole number of at least 1."""
    if not text.isdecimal() or int(text) < 1:
        raise argparse.ArgumentTypeError(f"expected a whole number above 0: {text!r}")
    return int(text)
