"""Start child processes for a measurement and read their CPU and memory use."""

import asyncio
import json
import os
import sys
from dataclasses import dataclass
from pathlib import Path

READY_TIMEOUT_S = 30.0  # until a started process prints its ready line


@dataclass(frozen=True)
class StartedProcess:
    """A running process and ``ready``, the JSON object it printed when ready."""

    process: asyncio.subprocess.Process
    ready: dict


class Processes:
    """Async context manager that starts processes and kills them all on exit."""

    def __init__(self):
        self._started: list[StartedProcess] = []

    async def __aenter__(self) -> "Processes":
        return self

    async def __aexit__(self, *exc_info) -> None:
        for started_process in self._started:
            if started_process.process.returncode is None:
                started_process.process.kill()
            await started_process.process.wait()

    async def start(self, module: str, *args: str) -> StartedProcess:
        """Start ``python -m module`` and wait for its ready line.

        Raises ``RuntimeError`` if the process exits first and ``TimeoutError`` after
        ``READY_TIMEOUT_S``.
        """
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", module, *args),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        line = await asyncio.wait_for(process.stdout.readline(), READY_TIMEOUT_S)
        if not line:
            raise RuntimeError(f"{module} exited with status {await process.wait()}")
        started = StartedProcess(process, json.loads(line))
        self._started.append(started)
        return started


def cpu_seconds(pid: int) -> float:
    """Return the CPU seconds, user and system, that a process has used."""
    # Without pid and name, 11 and 12 are the fields 14 (utime) and 15 (stime).
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def resident_bytes(pid: int) -> int:
    """Return the resident set size of a process in bytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")
