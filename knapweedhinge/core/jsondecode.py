"""Decode JSON that others wrote."""

from typing import Any

import msgspec


def decode_json(data: bytes | str, type: Any = Any) -> Any:  # noqa: A002
    """Return decoded JSON; raise msgspec.MsgspecError if it is malformed.

    That includes data that is nested too deeply, for which msgspec raises
    RecursionError.
    """
    try:
        return msgspec.json.decode(data, type=type)
    except RecursionError as exc:
        raise msgspec.DecodeError("the data is nested too deeply") from exc
