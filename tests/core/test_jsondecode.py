"""JSON that is nested too deeply is malformed, wherever it comes from."""

import msgspec
import pytest

from knapweedhinge.backing.channel import Answer
from knapweedhinge.core.exceptions import EndpointError, PlatformError
from knapweedhinge.core.jsondecode import decode_json
from knapweedhinge.endpoints import EngineCall, EventChecker
from knapweedhinge.endpoints.engine import check_completion

DEEP = b'{"other":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
CALL = EngineCall("attempt", "oak@1", b"{}", 0, 1.0)

READERS = {
    # reader, the error it raises
    "any": (decode_json, msgspec.MsgspecError),
    "completion": (lambda data: check_completion(CALL, data), EndpointError),
    "event": (
        lambda data: EventChecker("a").feed(b"id: a:1\ndata: %s\n\n" % data),
        EndpointError,
    ),
    "platform": (lambda data: Answer(200, data).decode(dict), PlatformError),
}


@pytest.mark.parametrize("read,error", READERS.values(), ids=READERS)
def test_deep_json_is_malformed(read, error):
    with pytest.raises(error):
        read(DEEP)


@pytest.mark.parametrize("data", [b"{}", '{"a": [1]}', b"[[1]]"])
def test_other_json_is_decoded(data):
    assert decode_json(data) == msgspec.json.decode(data)
