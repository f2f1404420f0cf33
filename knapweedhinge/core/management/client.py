"""HTTP client that commands use to call nodes."""

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from knapweedhinge.core.codes import RunState
from knapweedhinge.core.exceptions import KnapweedhingeError, OutcomeUnknownError
from knapweedhinge.core.management.errors import (
    NodeRefusedError,
    NodeUnreachableError,
    node_error,
)

GET = "GET"
POST = "POST"
FIRST_REDIRECT_STATUS = 300


@dataclass(frozen=True)
class NodeReply:
    """Hold a node's successful answer.

    ``body`` is the parsed JSON, or the text if it isn't JSON. ``revision`` is the
    configuration revision of the ETag, None without one.
    """

    node: str
    status: int
    body: Any
    revision: int | None


@dataclass(frozen=True)
class NodeCall:
    """Describe a call; ``path`` starts with a slash and includes the encoded query."""

    method: str
    path: str
    body: Any = None
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True)
class NodeFailure:
    """Hold the error for which a node gave no reply."""

    node: str
    error: KnapweedhingeError


NodeOutcome = NodeReply | NodeFailure


@dataclass(frozen=True)
class NodeClient:
    """Call nodes in turn until one runs the call.

    The next node is called if one can't be reached or refuses the call without running
    it, or if the answer to a read is lost. A call that may change something is never
    sent to another node once a node may have run it, since it could take effect twice.

    ``key`` is sent as the bearer token, ``timeout_s`` bounds the wait for each node in
    seconds.
    """

    nodes: tuple[str, ...]
    key: str
    timeout_s: float

    def call(self, call: NodeCall) -> NodeReply:
        """Return the reply of the first node that runs the call.

        Raise ``NodeAnswerError`` if a node answers with an error or refuses the call
        and no other runs it, ``NodeUnreachableError`` if no node answers, and
        ``OutcomeUnknownError`` if the call may have taken effect.
        """
        return asyncio.run(self._call(call))

    def call_each(self, call: NodeCall) -> tuple[NodeOutcome, ...]:
        """Call every node and return its reply or its failure."""
        return asyncio.run(self._call_each(call))

    async def _call(self, call: NodeCall) -> NodeReply:
        errors: list[KnapweedhingeError] = []
        async with self._session() as session:
            for node in self.nodes:
                try:
                    return await self._send(session, node, call)
                except (NodeUnreachableError, NodeRefusedError) as exc:
                    errors.append(exc)
        raise _most_specific_error(errors)

    async def _call_each(self, call: NodeCall) -> tuple[NodeOutcome, ...]:
        outcomes = []
        async with self._session() as session:
            for node in self.nodes:
                try:
                    outcomes.append(await self._send(session, node, call))
                except KnapweedhingeError as exc:
                    outcomes.append(NodeFailure(node, exc))
        return tuple(outcomes)

    def _session(self) -> aiohttp.ClientSession:
        timeout = aiohttp.ClientTimeout(total=self.timeout_s)
        headers = {"Authorization": f"Bearer {self.key}"} if self.key else {}
        return aiohttp.ClientSession(timeout=timeout, headers=headers)

    async def _send(
        self, session: aiohttp.ClientSession, node: str, call: NodeCall
    ) -> NodeReply:
        try:
            reply = await _request(session, node, call)
        except aiohttp.ClientConnectorError as exc:
            raise NodeUnreachableError(f"{node}: {exc}") from exc
        except (aiohttp.ClientError, TimeoutError) as exc:
            raise _lost_answer_error(node, call, exc) from exc
        return _raise_for_error(reply)


async def _request(
    session: aiohttp.ClientSession, node: str, call: NodeCall
) -> NodeReply:
    async with session.request(
        call.method,
        node + call.path,
        json=call.body,
        headers=call.headers,
        allow_redirects=False,
    ) as resp:
        text = await resp.text(errors="replace")
        revision = _etag_revision(resp.headers.get("ETag", ""))
        return NodeReply(node, resp.status, _parse_body(text), revision)


def _lost_answer_error(node: str, call: NodeCall, exc: Exception) -> KnapweedhingeError:
    """Return the error for a call without a whole answer.

    The node may have received the call.
    """
    if call.method == GET:
        return NodeUnreachableError(f"{node}: {_reason(exc)}")
    return OutcomeUnknownError(
        f"{node} may have received the call, but there is no whole answer"
        f" ({_reason(exc)}); it may have taken effect."
    )


def _most_specific_error(errors: list[KnapweedhingeError]) -> KnapweedhingeError:
    """Return the last refusal by a node if any, otherwise an error with all reasons."""
    refusals = [exc for exc in errors if isinstance(exc, NodeRefusedError)]
    if refusals:
        return refusals[-1]
    reasons = "; ".join(exc.message for exc in errors)
    return NodeUnreachableError(f"No node answered. {reasons}")


def _reason(exc: Exception) -> str:
    return str(exc) or type(exc).__name__


def _parse_body(text: str) -> Any:
    try:
        return json.loads(text)
    except ValueError:
        return text


def _etag_revision(etag: str) -> int | None:
    digits = etag.removeprefix("W/").strip('"')
    return int(digits) if digits.isdecimal() else None


def _raise_for_error(reply: NodeReply) -> NodeReply:
    """Return a successful reply, otherwise raise the error it contains.

    Raise ``OutcomeUnknownError`` if it contains none, also for a read.
    """
    if reply.status < FIRST_REDIRECT_STATUS:
        return reply
    body = reply.body if isinstance(reply.body, dict) else {}
    error = body.get("error")
    if not isinstance(error, dict) or not isinstance(error.get("code"), int):
        text = f"{reply.node} answered with HTTP status {reply.status}."
        raise OutcomeUnknownError(text)
    message = str(error.get("message", ""))
    winner = error.get("winner", body.get("winner"))
    if winner:
        message += f" Accepted instead: {json.dumps(winner, ensure_ascii=False)}."
    name = str(error.get("name", ""))
    raise node_error(error["code"], name, message, _run_state(error))


def _run_state(error: dict) -> RunState:
    try:
        return RunState(error.get("run_state"))
    except ValueError:
        return RunState.UNKNOWN
