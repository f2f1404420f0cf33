"""Serve operators: configuration changes, votes, metrics and dumps of the state."""

from collections.abc import Callable

import msgspec
from aiohttp import web

from knapweedhinge.conf import to_mapping
from knapweedhinge.controllers.ballots import Proposal
from knapweedhinge.controllers.configuration_codec import encode_change, parse_change
from knapweedhinge.controllers.governance import Governance
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import CallerError
from knapweedhinge.core.jsondecode import decode_json
from knapweedhinge.filters import Context
from knapweedhinge.filters.admit import ensure_serving
from knapweedhinge.filters.authenticate import (
    find_organisation,
    is_operator,
    key_digest,
)
from knapweedhinge.http.callers import json_response
from knapweedhinge.http.parse import bearer, read_body

KEY_DIGEST_CHARS = 8  # characters of an operator key's digest that name the operator


class OperatorHandlers:
    """Answer operators' HTTP requests.

    Most need an operator key; ballots need an organisation's key, and metrics none.
    """

    def __init__(self, ctx: Context, governance: Governance, dump: Callable[[], dict]):
        self._ctx = ctx
        self._governance = governance
        self._dump = dump

    def add_routes(self, app: web.Application) -> None:
        """Add the paths for operators."""
        app.router.add_get("/admin/configuration", self.configuration)
        app.router.add_post("/admin/changes", self.change)
        app.router.add_get("/admin/proposals", self.proposals)
        app.router.add_post("/admin/proposals", self.propose)
        app.router.add_post("/admin/proposals/{id}/ballots", self.vote)
        app.router.add_get("/admin/dump", self.dump)
        app.router.add_get("/metrics", self.metrics)

    async def configuration(self, raw: web.Request) -> web.Response:
        """Return the configuration in force, with its revision as ETag."""
        self._ensure_operator(raw)
        configuration = self._ctx.state.current.configuration
        resp = json_response(to_mapping(configuration))
        resp.headers["ETag"] = f'"{configuration.revision}"'
        return resp

    async def change(self, raw: web.Request) -> web.Response:
        """Append a change, on condition that If-Match names the current revision."""
        author = self._ensure_operator(raw)
        body = await self._json_body(raw)
        expected = expected_revision(raw)
        change = parse_change(body.get("change"))
        accepted = await self._governance.change(
            author, change, expected, self._heard_fraction()
        )
        return json_response({"revision": accepted.revision.number})

    async def propose(self, raw: web.Request) -> web.Response:
        """Put a change to the vote; the body names the revision that it applies to."""
        author = self._ensure_operator(raw)
        body = await self._json_body(raw)
        revision = body.get("revision")
        if not isinstance(revision, int):
            raise CallerError("revision must be a whole number - at `$.revision`")
        change = parse_change(body.get("change"))
        proposal = await self._governance.propose(author, change, revision)
        return json_response(describe_proposal(proposal))

    async def vote(self, raw: web.Request) -> web.Response:
        """Cast the ballot of the organisation whose key the request carries."""
        snapshot = self._ctx.state.current
        ensure_serving(snapshot)
        organisation = find_organisation(snapshot.configuration, bearer(raw))
        body = await self._json_body(raw)
        agrees = body.get("agree")
        if not isinstance(agrees, bool):
            raise CallerError("agree must be true or false - at `$.agree`")
        proposal = await self._governance.vote(
            raw.match_info["id"], organisation.id, agrees, self._heard_fraction()
        )
        return json_response(describe_proposal(proposal))

    async def proposals(self, raw: web.Request) -> web.Response:
        """List the first page of proposals with their changes, the oldest first."""
        self._ensure_operator(raw)
        found = await self._governance.proposals()
        return json_response(
            {"proposals": [describe_proposal(proposal) for proposal in found]}
        )

    async def dump(self, raw: web.Request) -> web.Response:
        """Return the state of the process, or the decision on one request.

        The query ``explain`` names that request.
        """
        self._ensure_operator(raw)
        request_id = raw.query.get("explain")
        if request_id is None:
            return json_response(self._dump())
        record = self._ctx.decisions.explain(request_id)
        if record is None:
            raise CallerError(code=ResultCode.REQUEST_UNKNOWN)
        return json_response(record)

    async def metrics(self, raw: web.Request) -> web.Response:
        """Return the metrics in the Prometheus text format."""
        return web.Response(text=self._ctx.metrics.render())

    def _heard_fraction(self) -> float:
        """Return the share of members whose heartbeats arrive, this one included."""
        return self._ctx.state.current.heard_fraction(self._ctx.clock())

    async def _json_body(self, raw: web.Request) -> dict:
        """Return the JSON object in a request's body; raise CallerError without one."""
        data = await read_body(raw, self._ctx.settings.http)
        try:
            return decode_json(data, dict)
        except msgspec.ValidationError as exc:
            raise CallerError(str(exc)) from exc
        except msgspec.DecodeError as exc:
            raise CallerError(str(exc), code=ResultCode.MALFORMED_JSON) from exc

    def _ensure_operator(self, raw: web.Request) -> str:
        """Return the name of the operator whose key the request carries.

        Raise CallerError if the key isn't an operator's.
        """
        snapshot = self._ctx.state.current
        ensure_serving(snapshot)
        if not is_operator(snapshot.configuration, bearer(raw)):
            raise CallerError(code=ResultCode.OPERATOR_REQUIRED)
        return operator_name(bearer(raw))


def operator_name(key: str) -> str:
    """Return the name under which an operator's changes are recorded.

    It contains the start of the key's digest instead of the key.
    """
    return f"operator {key_digest(key)[:KEY_DIGEST_CHARS]}"


def expected_revision(raw: web.Request) -> int:
    """Return the revision that If-Match names.

    Raise CallerError if the header is absent or invalid.
    """
    tag = raw.headers.get("If-Match", "").strip()
    if not tag:
        raise CallerError(code=ResultCode.REVISION_REQUIRED)
    number = tag.strip('"')
    if not number.isdecimal():
        raise CallerError(
            'If-Match must be a revision, such as "17"',
            code=ResultCode.INVALID_HEADER,
        )
    return int(number)


def describe_proposal(proposal: Proposal) -> dict:
    """Return a proposal and its change as JSON-compatible values."""
    change = encode_change(proposal.change)
    return {**msgspec.to_builtins(proposal), "change": change}
