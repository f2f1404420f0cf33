"""Run a node's HTTP server."""

from aiohttp import web

from knapweedhinge.filters import Context, build_chain
from knapweedhinge.http.callers import CallerHandlers, error_middleware
from knapweedhinge.http.operators import OperatorHandlers


class HttpServer:
    """Listen for callers and operators on one port until stopped."""

    def __init__(self, ctx: Context, operators: OperatorHandlers):
        self._cfg = ctx.settings
        self.app = web.Application(
            middlewares=[error_middleware(ctx)],
            client_max_size=self._cfg.http.max_body_bytes,
        )
        CallerHandlers(ctx, build_chain(ctx)).add_routes(self.app)
        operators.add_routes(self.app)
        self._runner: web.AppRunner | None = None

    async def start(self) -> int:
        """Start to listen and return the port, chosen by the system if it was 0."""
        self._runner = web.AppRunner(
            self.app,
            access_log=None,
            max_line_size=self._cfg.http.max_header_bytes,
            max_field_size=self._cfg.http.max_header_bytes,
            shutdown_timeout=self._cfg.http.shutdown_s,
        )
        await self._runner.setup()
        site = web.TCPSite(
            self._runner, self._cfg.listen.ip, self._cfg.listen.port, backlog=1024
        )
        await site.start()
        return self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Stop listening and wait up to ``shutdown_s`` seconds for open requests."""
        if self._runner is not None:
            await self._runner.cleanup()
