"""Keep the requests of a session on one version."""

from dataclasses import replace

from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import CallerError
from knapweedhinge.core.tokens import SessionClaims
from knapweedhinge.filters.choose import may_run
from knapweedhinge.filters.types import (
    AnyAnswer,
    ChatCall,
    Context,
    Handler,
    Request,
)

MOVED_HEADER = "X-Session-Moved"


class Pin:
    """Read the session's version from its token, and return a new token.

    If the version was withdrawn or is no longer allowed, the session moves once to
    another one, to which the new token pins it, and the answer says so in
    ``X-Session-Moved``.
    """

    def __init__(self, ctx: Context, call_next: Handler):
        self._ctx = ctx
        self._next = call_next

    async def __call__(self, req: Request) -> AnyAnswer:
        """Pass the request on with the session's version.

        Raise CallerError for an invalid token, or one of another organisation.
        """
        if not isinstance(req.call, ChatCall) or not has_session(req):
            return await self._next(req)
        claims = self._claims(req)
        pinned = self._pinned_version(req, claims)
        session = req.session_id or claims.session
        req = replace(req, session_id=session, pinned_version=pinned)
        answer = await self._next(req)
        moved = claims is not None and claims.version != answer.version
        return self._with_token(req, answer, moved)

    def _claims(self, req: Request) -> SessionClaims | None:
        if not req.session_token:
            return None
        code = ResultCode.SESSION_TOKEN_INVALID
        claims = self._ctx.tokens.verify(req.session_token, SessionClaims, code)
        if claims.organisation != req.organisation.id:
            raise CallerError(code=code)
        return claims

    @staticmethod
    def _pinned_version(req: Request, claims: SessionClaims | None) -> str:
        if claims is None:
            return ""
        version = req.snapshot.configuration.version(claims.version)
        return claims.version if may_run(version, req.organisation) else ""

    def _with_token(self, req: Request, answer: AnyAnswer, moved: bool) -> AnyAnswer:
        claims = SessionClaims(
            req.organisation.id,
            req.session_id,
            answer.version,
            req.snapshot.configuration.revision,
        )
        headers = {**answer.headers, "X-Session-Token": self._ctx.tokens.sign(claims)}
        if moved:
            headers[MOVED_HEADER] = "true"
        return replace(answer, headers=headers)


def has_session(req: Request) -> bool:
    """Return whether the request belongs to a session."""
    return bool(req.session_id or req.session_token)
