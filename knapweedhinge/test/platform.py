"""Stand-in of the platform as an HTTP server, with fault switches.

It serves what the clients in ``knapweedhinge.backing`` call.
Run as a process with ``python -m knapweedhinge.test.platform --ip IP --port PORT``;
it prints ``{"url": ...}`` as one JSON line when ready. Set faults with
``POST /standin/faults`` and a JSON object of fields of Faults; fields that are left out
keep their value.
"""

import argparse
import asyncio
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from aiohttp import web

from knapweedhinge.backing.types import Vm
from knapweedhinge.test.platform_services import BYTES_PER_MIB, Faults, PlatformStandIn

__all__ = [
    "STANDIN_KEY",
    "Faults",
    "PlatformStandIn",
    "RunningPlatform",
    "make_app",
    "serve",
]

STANDIN_KEY: web.AppKey[PlatformStandIn] = web.AppKey("standin")


def make_app(
    *,
    vms: tuple[Vm, ...] = (),
    faults: Faults | None = None,
    clock: Callable[[], float] = time.time,
) -> web.Application:
    """Return the web application; its PlatformStandIn is stored under STANDIN_KEY.

    ``vms`` is the first VM list, visible at once; ``clock`` returns seconds.
    """
    standin = PlatformStandIn(clock, faults or Faults())
    standin.set_vms(vms, lagging=False)
    app = web.Application(
        middlewares=[standin.apply_faults], client_max_size=64 * BYTES_PER_MIB
    )
    app[STANDIN_KEY] = standin
    app.router.add_post("/v1/tables/read", standin.read)
    app.router.add_get("/v1/tables/scan", standin.scan)
    app.router.add_post("/v1/tables/write", standin.write)
    app.router.add_post("/v1/object", standin.put)
    app.router.add_get("/v1/object", standin.get)
    app.router.add_get("/v1/objects", standin.names)
    app.router.add_get("/v1/vms", standin.list_vms)
    app.router.add_get("/v1/weights", standin.weights)
    app.router.add_post("/v1/ratings", standin.submit)
    app.router.add_get("/v1/ratings", standin.fetch)
    app.router.add_get("/standin/calls", standin.show_calls)
    app.router.add_post("/standin/faults", standin.post_faults)
    app.router.add_post("/standin/vms", standin.post_vms)
    return app


@dataclass(frozen=True)
class RunningPlatform:
    """A platform stand-in that listens at ``url``."""

    url: str
    standin: PlatformStandIn
    runner: web.AppRunner

    async def close(self) -> None:
        """Stop listening and close all connections."""
        await self.runner.cleanup()


async def serve(ip: str = "127.0.0.1", port: int = 0, **options) -> RunningPlatform:
    """Start a platform stand-in and return it.

    Port 0 lets the operating system choose a free one. ``options`` are those of
    ``make_app``.
    """
    app = make_app(**options)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, ip, port)
    await site.start()
    actual_port = runner.addresses[0][1]
    return RunningPlatform(f"http://{ip}:{actual_port}", app[STANDIN_KEY], runner)


async def _serve_until_cancelled(ip: str, port: int) -> None:
    served = await serve(ip, port)
    sys.stdout.write(msgspec.json.encode({"url": served.url}).decode() + "\n")
    sys.stdout.flush()
    await asyncio.Event().wait()


def main() -> None:
    """Run the stand-in until it is interrupted."""
    parser = argparse.ArgumentParser(description="Stand-in of the platform.")
    parser.add_argument("--ip", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    args = parser.parse_args()
    try:
        asyncio.run(_serve_until_cancelled(args.ip, args.port))
    except KeyboardInterrupt:
        pass


if __name__ == "__main__":
    main()
