"""Stand-in of a plain HTTP service, such as orders, payments or bookings."""

import argparse
import asyncio
import json
from dataclasses import dataclass

from aiohttp import web

from knapweedhinge.test.faults import EndpointStandIn, serve, wait_forever


@dataclass
class PlainService(EndpointStandIn):
    """One replica of a service; it answers every path with JSON."""

    def make_app(self) -> web.Application:
        """Return the web application that serves the status and every other path."""
        app = web.Application()
        app.router.add_get("/service/status", self.status)
        self.add_routes(app)
        app.router.add_route("*", "/{path:.*}", self.call)
        return app

    async def status(self, req: web.Request) -> web.Response:
        """Answer the health check of the nodes."""
        return web.json_response({"incarnation": self.name, "running": 0})

    async def call(self, req: web.Request) -> web.StreamResponse:
        """Run a call and answer with its path and its number, with faults applied.

        The number counts the calls of this replica, so a repeated run shows.
        """
        body = await req.text()
        if self.faults.refuse:
            raise web.HTTPServiceUnavailable
        if self.consume_fault("fail_next"):
            raise web.HTTPInternalServerError
        self.log_call(req, "", body)
        await asyncio.sleep(self.faults.slow_s)
        if self.consume_fault("cut_before_answer"):
            req.transport.close()
            return web.Response()
        headers = {"X-Request-Id": req.headers.get("X-Request-Id", "")}
        result = {"service": self.name, "path": req.path, "number": len(self.calls)}
        if self.consume_fault("cross_next"):
            headers["X-Request-Id"] = "another-request"
            result["path"] = "/another-request"
        if self.consume_fault("empty_next"):
            return web.Response(body=b"", headers=headers)
        if self.consume_fault("truncate_next"):
            return await self.truncate(req, headers)
        return web.json_response(result, headers=headers)

    @staticmethod
    async def truncate(req: web.Request, headers: dict) -> web.StreamResponse:
        """Announce 100 bytes, send fewer and close the connection."""
        resp = web.StreamResponse(headers=headers | {"Content-Length": "100"})
        await resp.prepare(req)
        await resp.write(b'{"half":')
        req.transport.close()
        return resp


async def main() -> None:
    """Serve one replica; print its name and address as one JSON line when ready."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", default="service")
    parser.add_argument("--ip", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    args = parser.parse_args()
    service = PlainService(args.name)
    _, port = await serve(service.make_app(), args.ip, args.port)
    print(json.dumps({"name": args.name, "ip": args.ip, "port": port}), flush=True)  # noqa: T201
    await wait_forever()


if __name__ == "__main__":
    asyncio.run(main())
