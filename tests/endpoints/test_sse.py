"""Validation of an engine's event stream."""

import json

import pytest

from knapweedhinge.core.exceptions import EndpointError
from knapweedhinge.endpoints import EventChecker

ATTEMPT = "attempt"
USAGE = {"choices": [], "usage": {"prompt_tokens": 1, "completion_tokens": 2}}


def event(position: int, data=None, attempt: str = ATTEMPT) -> bytes:
    data = {"choices": [{"delta": {"content": "oak "}}]} if data is None else data
    text = data if isinstance(data, str) else json.dumps(data)
    return f"id: {attempt}:{position}\ndata: {text}\n\n".encode()


INVALID_EVENTS = {
    "crossed": event(3, attempt="another"),
    "gap": event(4),
    "repeated": event(2),
    "malformed": b"id: attempt:3\ndata: {\n\n",
    "no data": b"id: attempt:3\n\n",
    "no position": b"id: attempt:\ndata: {}\n\n",
}


@pytest.mark.parametrize(
    "invalid_event", INVALID_EVENTS.values(), ids=INVALID_EVENTS.keys()
)
def test_events_before_an_invalid_one_are_not_counted(invalid_event):
    checker = EventChecker(ATTEMPT)
    assert checker.feed(event(1)) == event(1)
    with pytest.raises(EndpointError):
        checker.feed(event(2) + invalid_event)
    assert (checker.position, checker.tokens, checker.done) == (1, 1, False)
    assert checker.take_text() == "oak "
    checker.drop_partial()
    assert checker.feed(event(2)) == event(2)


@pytest.mark.parametrize("split", [False, True])
def test_event_ids_have_no_gap_when_usage_is_hidden(split):
    checker = EventChecker(ATTEMPT, hide_usage=True)
    sent = [event(1), event(2, USAGE), event(3, "[DONE]")]
    chunks = sent if split else [b"".join(sent)]
    passed_on = b"".join(checker.feed(chunk) for chunk in chunks)
    assert passed_on == event(1) + event(2, "[DONE]")
    assert checker.done
    assert checker.usage.output_tokens == 2


def test_usage_is_passed_on_when_the_caller_asked_for_it():
    checker = EventChecker(ATTEMPT)
    sent = event(1) + event(2, USAGE) + event(3, "[DONE]")
    assert checker.feed(sent) == sent
