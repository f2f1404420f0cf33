"""Client of plain services, which are all HTTP services other than model engines.

A call that isn't idempotent uses a new connection, and a middleware that lets it be
sent only once: the HTTP library itself repeats a call with a method such as PUT when
the connection closes before the answer.
"""

import aiohttp

from knapweedhinge.conf import EndpointSettings
from knapweedhinge.core.bodies import read_body
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import EndpointError
from knapweedhinge.endpoints.engine import (
    CONNECT_ERRORS,
    CONNECTION_LOST_ERRORS,
    connection_lost_error,
    raise_for_failure,
    unreachable_error,
)
from knapweedhinge.endpoints.types import PlainAnswer, PlainCall
from knapweedhinge.routing.load import EndpointView

MIN_SERVER_ERROR = 500  # lowest HTTP status of a server error


class SendOnce:
    """Client middleware that lets one call be sent only once."""

    def __init__(self):
        self._sent = False

    async def __call__(self, req, handler):
        """Pass the first request on; raise EndpointError for a repeated one."""
        if self._sent:
            raise EndpointError(
                "the connection closed before the answer",
                code=ResultCode.OUTCOME_UNKNOWN,
            )
        self._sent = True
        return await handler(req)


class PlainClient:
    """Call plain services.

    ``keep_alive_session`` reuses connections, and carries idempotent calls only.
    ``single_use_session`` opens a new connection for each call.
    """

    def __init__(
        self,
        cfg: EndpointSettings,
        keep_alive_session: aiohttp.ClientSession,
        single_use_session: aiohttp.ClientSession,
    ):
        self.cfg = cfg
        self._keep_alive_session = keep_alive_session
        self._single_use_session = single_use_session

    async def call(
        self, endpoint: EndpointView, call: PlainCall, *, idempotent: bool
    ) -> PlainAnswer:
        """Send a call and return the service's complete answer.

        For an idempotent call, a status of 429 or 5xx is a failure; for other calls,
        every status is an answer. Raise EndpointError on failure; its run state says
        whether the service can have received any of the call.
        """
        session = self._keep_alive_session if idempotent else self._single_use_session
        middlewares = () if idempotent else (SendOnce(),)
        try:
            async with self._request(session, endpoint, call, middlewares) as resp:
                if idempotent:
                    await raise_for_failure(resp, min_failure_status=MIN_SERVER_ERROR)
                body = await read_body(resp)
                resp.ensure_clean_end()
                self._check_request_id(resp, call)
        except CONNECT_ERRORS as exc:
            raise unreachable_error(endpoint) from exc
        except CONNECTION_LOST_ERRORS as exc:
            raise connection_lost_error(endpoint, exc) from exc
        content_type = resp.headers.get("Content-Type", "application/octet-stream")
        return PlainAnswer(resp.status, content_type, body, endpoint_id=endpoint.id)

    def _request(self, session, endpoint: EndpointView, call: PlainCall, middlewares):
        headers = {"X-Request-Id": call.attempt_id}
        if call.content_type:
            headers["Content-Type"] = call.content_type
        if call.idempotency_key:
            headers["Idempotency-Key"] = call.idempotency_key
        query = f"?{call.query}" if call.query else ""
        return session.request(
            call.method,
            f"{endpoint.url}/{call.path}{query}",
            data=call.body or None,
            headers=headers,
            allow_redirects=False,
            middlewares=middlewares,
            timeout=aiohttp.ClientTimeout(
                total=call.timeout_s, sock_connect=self.cfg.connect_timeout_s
            ),
        )

    @staticmethod
    def _check_request_id(resp: aiohttp.ClientResponse, call: PlainCall) -> None:
        answered_id = resp.headers.get("X-Request-Id", call.attempt_id)
        if answered_id == call.attempt_id:
            return
        resp.close()
        raise EndpointError(
            "the answer belongs to another request", code=ResultCode.ANSWER_CROSSED
        )
