"""The official ``openai`` client can use the caller interface."""

import openai
import pytest

from knapweedhinge.test.fleet import bearer_key

ORGANISATION_ID = "estanteria-guanacaste"
VERSION = "pine-small@12"
MESSAGES = [{"role": "user", "content": "an oak shelf"}]


@pytest.fixture
def connect(fleet):
    def connect(key: str = bearer_key(ORGANISATION_ID)) -> openai.AsyncOpenAI:
        return openai.AsyncOpenAI(
            api_key=key, base_url=f"{fleet.url}/v1", max_retries=0
        )

    return connect


async def test_chat_streaming_and_models(connect):
    client = connect()
    chat = client.chat.completions
    whole = await chat.create(model=VERSION, messages=MESSAGES, max_tokens=5)
    assert whole.choices[0].finish_reason == "stop"
    assert whole.usage.completion_tokens == 5
    words = whole.choices[0].message.content.split()
    assert len(words) == 5

    stream = await chat.create(
        model=VERSION,
        messages=MESSAGES,
        max_tokens=5,
        stream=True,
        stream_options={"include_usage": True},
    )
    chunks = [chunk async for chunk in stream]
    deltas = [
        choice.delta.content or "" for chunk in chunks for choice in chunk.choices
    ]
    assert "".join(deltas).split() == words
    assert chunks[-1].usage.completion_tokens == 5

    stream_without_usage = await chat.create(
        model=VERSION, messages=MESSAGES, max_tokens=5, stream=True
    )
    # One chunk for each of five tokens, and one with the finish reason.
    assert [chunk.usage async for chunk in stream_without_usage] == [None] * 6

    listed = {model.id: model.owned_by async for model in client.models.list()}
    assert listed["customer-reply"] == "class"
    assert listed[VERSION] == "version"
    await client.close()


ERRORS = [
    ({"model": "no-such-class"}, openai.NotFoundError, 1006),
    ({"messages": []}, openai.BadRequestError, 1002),
    (
        {"extra_headers": {"Authorization": "Bearer x"}},
        openai.AuthenticationError,
        1005,
    ),
    ({"extra_headers": {"X-Session-Id": "s" * 300}}, openai.BadRequestError, 1004),
    ({"extra_headers": {"X-Session-Token": "a.b"}}, openai.BadRequestError, 1013),
    ({"extra_headers": {"X-Deadline-Ms": "x"}}, openai.BadRequestError, 1004),
    ({"model": "oak-large@3"}, openai.InternalServerError, 2002),
    (
        {"extra_headers": {"Authorization": f"Bearer {bearer_key('muebles-liberia')}"}}
        | {"model": "oak-large@4"},
        openai.PermissionDeniedError,
        1007,
    ),
]


async def test_errors_map_to_exceptions(connect, fleet):
    client = connect()
    for changed, error_class, code in ERRORS:
        fields = {"model": VERSION, "messages": MESSAGES} | changed
        with pytest.raises(error_class) as raised:
            await client.chat.completions.create(**fields)
        assert int(raised.value.code) == code, changed
        assert raised.value.body["run_state"] == "not-run"
    await client.close()
    executed = [
        call for endpoint in fleet.endpoints.values() for call in endpoint.standin.calls
    ]
    assert executed == []


async def test_an_engine_failure_is_no_refusal(connect, fleet):
    for endpoint in fleet.endpoints.values():
        endpoint.standin.faults.fail_next = 100
    client = connect()
    with pytest.raises(openai.InternalServerError) as raised:
        await client.chat.completions.create(model=VERSION, messages=MESSAGES)
    assert raised.value.body["run_state"] == "unknown"
    await client.close()
