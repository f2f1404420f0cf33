"""Text formatting for the page."""

import textwrap

LINE_WIDTH = 88


def wrap(text: str, indent: str = "") -> str:
    """Wrap a paragraph to ``LINE_WIDTH`` columns; ``indent`` is for its later lines."""
    return textwrap.fill(
        text, LINE_WIDTH, subsequent_indent=indent, break_long_words=False
    )
