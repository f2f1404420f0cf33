"""Tests that arbitrary input is decoded to a typed value or to an expected error."""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from knapweedhinge.conf.catalog import Catalog
from knapweedhinge.controllers.fleet import EndpointRecord
from knapweedhinge.core.exceptions import CallerError
from knapweedhinge.filters.relay import RelayCall
from knapweedhinge.http1 import EventSplitter, ResponseHead
from knapweedhinge.platform import wire
from knapweedhinge.platform.headers import EndpointHeaderCodec, call_of
from tests.platform.world import catalog

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=10), inner, max_size=4)
    ),
    max_leaves=12,
)
NAMES = st.sampled_from(
    [
        b"Host",
        b"Knapweedhinge-Request-Id",
        b"Knapweedhinge-Deadline-Ms",
        b"Knapweedhinge-Token-Count",
        b"Knapweedhinge-Prompt-Prefix",
        b"Knapweedhinge-Length-Hint",
        b"Knapweedhinge-Confidence",
        b"Knapweedhinge-Cold-Ms",
        b"Last-Event-Id",
        b"Authorization",
        b"Connection",
        b"Keep-Alive",
        b"X-Other",
    ]
)
HEADERS = st.lists(st.tuples(NAMES, st.binary(max_size=30)), max_size=8)
FUZZ = settings(max_examples=300, derandomize=True, deadline=None)


class FakeExchange:
    """Stand-in for an exchange, with the attributes that decoding reads."""

    def __init__(self, headers, target=b"/x", body=b""):
        self.headers, self.target, self.body = tuple(headers), target, body
        self.method = "POST"


@FUZZ
@given(HEADERS, st.binary(max_size=60))
def test_headers_of_callers(headers, target):
    try:
        call = call_of(FakeExchange(headers, target))
    except CallerError as exc:
        assert exc.code.value.status == 400
        return
    assert isinstance(call, RelayCall)
    assert call.caller_timeout_s is None or call.caller_timeout_s >= 0
    sent = {name.lower() for name, _ in call.headers}
    assert not sent & {b"authorization", b"connection", b"last-event-id"}


@FUZZ
@given(st.integers(100, 599), HEADERS)
def test_heads_of_answers(status, headers):
    head = EndpointHeaderCodec().decode(ResponseHead(status, tuple(headers)))
    assert head.status == status
    assert not head.good  # NAMES lacks the stamp that a success must have


@FUZZ
@given(JSON)
def test_rows_of_endpoints(value):
    data = msgspec.json.encode(value)
    body = wire.decode(data, wire.EndpointBody, "fuzz")
    record = body and wire.endpoint_of("e", body, lambda domain: "r")
    assert record is None or isinstance(record, EndpointRecord)


@FUZZ
@given(st.dictionaries(st.sampled_from(sorted(catalog())), JSON, max_size=3))
def test_catalogs(fields):
    data = msgspec.json.encode(catalog() | fields)
    body = wire.decode(data, wire.CatalogBody, "fuzz")
    assert body is None or isinstance(wire.catalog_of(body), Catalog)


@FUZZ
@given(st.lists(st.binary(max_size=20), max_size=10))
def test_events_do_not_depend_on_how_the_stream_is_chunked(chunks):
    whole = b"".join(chunks)
    splitter = EventSplitter()
    events = [event for chunk in chunks for event in splitter.feed(chunk)]
    together = EventSplitter().feed(whole)
    assert b"".join(parsed.data for parsed in events) == b"".join(
        parsed.data for parsed in together
    )
    assert whole.startswith(b"".join(parsed.data for parsed in events))
    in_turns, splitter = [], EventSplitter()
    for chunk in chunks:
        in_turns += splitter.feed(chunk, 1)
        while splitter.may_have_more:
            in_turns += splitter.feed(b"", 1)
    assert in_turns == events
