"""Run a node as a process: signals, the ready line and the exit status."""

import asyncio
import json
import signal
import sys

from loguru import logger

from knapweedhinge.conf import NodeSettings
from knapweedhinge.core import logs
from knapweedhinge.core.exceptions import KnapweedhingeError
from knapweedhinge.core.management.exit_codes import ExitCode, exit_code
from knapweedhinge.node.node import Node


async def serve(settings: NodeSettings) -> None:
    """Run a node until SIGTERM or SIGINT, then shut it down gracefully.

    A node that is still starting gives that up. Once the node serves, its VM, IP
    number and port are written to standard output as one JSON line, since the port may
    have been chosen by the system.
    """
    node = Node(settings)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stopped.set)
    starting = asyncio.create_task(node.start())
    stopping = asyncio.create_task(stopped.wait())
    await asyncio.wait((starting, stopping), return_when=asyncio.FIRST_COMPLETED)
    if starting.done():
        starting.result()
        _write_ready_line(node)
        await stopping
    else:
        starting.cancel()
        await asyncio.gather(starting, return_exceptions=True)
    await node.stop()


def _write_ready_line(node: Node) -> None:
    listen = node.settings.listen
    ready = {"vm": listen.vm, "ip": listen.ip, "port": node.port}
    sys.stdout.write(json.dumps(ready) + "\n")
    sys.stdout.flush()


def run(settings: NodeSettings) -> int:
    """Run a node as this process; return the exit status."""
    logs.configure_stderr(settings.log, vm=settings.listen.vm)
    try:
        asyncio.run(serve(settings))
    except KnapweedhingeError as exc:
        logger.bind(code=exc.code.number).error(str(exc))
        return exit_code(exc.code.code_class)
    return ExitCode.SUCCESS
