"""Splitting off the last event of a stream, and continuing a broken answer.

To avoid unbilled answers, the last event is held back until the bill is copied or
stored, until that has failed, or until ``COPY_WAIT_S`` has passed.
"""

import pytest

from knapweedhinge.filters.streaming import continuation, split_last


@pytest.mark.parametrize(
    ("events", "expected"),
    [
        (b"a\n\n", (b"", b"a\n\n")),
        (b"a\n\nb\n\n", (b"a\n\n", b"b\n\n")),
        (b"a\n\nb\n\nc\n\n", (b"a\n\nb\n\n", b"c\n\n")),
    ],
)
def test_only_the_last_event_is_held_back(events, expected):
    assert split_last(events) == expected


def test_continued_text_counts_against_max_tokens():
    body = b'{"messages":[{"role":"user","content":"x"}],"max_tokens":5}'
    assert b'"max_tokens":3' in continuation(body, "a b", 2)


def test_request_is_unchanged_when_no_text_was_passed_on():
    body = b'{"messages":[],"max_tokens":5}'
    assert continuation(body, "", 0) == body
