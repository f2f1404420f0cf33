"""What ``explain`` tells of a request."""

import json

import pytest

from knapweedhinge.core.stories import parse_lines, tell

CALL = {
    "time": "2026-01-01T00:00:10+00:00",
    "level": "INFO",
    "event": "call ended",
    "vm": "vm-1",
    "request_id": "r1",
    "route": "pay",
    "organisation": "acme",
    "code": 3001,
    "outcome": "502 the connection ended",
    "attempts": [
        {
            "endpoint": "e-1",
            "version": "v1",
            "model": "",
            "ms": 8,
            "work_ms": 50,
            "first_ms": None,
            "pieces": 0,
            "outcome": "4003 reset",
        },
        {"stopped": "not-repeatable"},
    ],
    "first_ms": None,
    "total_ms": 8,
    "events": 0,
    "revision": 7,
}


def news(second: int, event: str, vm: str = "vm-1", **fields) -> dict:
    time = f"2026-01-01T00:00:{second:02}+00:00"
    return {"time": time, "level": "INFO", "event": event, "vm": vm, **fields}


def story(*others: dict) -> str:
    lines = [json.dumps(one) for one in (*others, CALL)]
    return tell("r1", parse_lines(lines))


def test_a_story_names_attempts_and_their_outcomes():
    text = story()
    assert "502 the connection ended (code 3001)" in text
    attempt = "e-1 (version v1), 8 ms, work there 50 ms, first piece after - ms"
    assert f"{attempt}, 0 pieces: 4003 reset" in text
    assert "no further attempt: not-repeatable" in text


SHOWN = [
    # another line, whether it belongs to the story
    (news(9, "dependency lost", dependency="store"), True),
    (news(9, "dependency lost", vm="vm-2"), False),
    (news(5, "dependency lost"), False),
    (news(9, "endpoint paused", endpoint="e-1"), True),
    (news(9, "endpoint paused", endpoint="e-2"), False),
    (news(9, "fleet changed", news="EndpointGone(endpoint_id='e-1')"), True),
    (news(9, "fleet changed", news="EndpointGone(endpoint_id='e-2')"), False),
    (news(9, "fleet changed", news="DomainOut(failure_domain='a')"), True),
    (news(9, "call ended", request_id="r2"), False),
]


@pytest.mark.parametrize("line,shown", SHOWN)
def test_what_the_node_knew(line, shown):
    before = story().count("\n")
    text = story(line)
    found = line["event"] in text.split("what the node knew:")[1]
    assert found is shown
    assert text.count("\n") == before


def test_other_text_before_and_between_the_lines_is_passed_over():
    lines = ["", "no json", "{broken", f"  31.0 front-1 {json.dumps(CALL)}", "{}"]
    assert "vm-1" in tell("r1", parse_lines(lines))


def test_an_unknown_request_has_no_story():
    assert tell("r2", parse_lines([json.dumps(CALL)])) is None
