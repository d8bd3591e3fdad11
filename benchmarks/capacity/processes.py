"""Starts programs as processes and reads their resource usage."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import sys
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from types import TracebackType

START_TIMEOUT = 60.0
_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_KIB = 1024
_SCRIPTS = pathlib.Path(sys.executable).parent
_LISTENING_PREFIX = "LISTENING "


def print_line(text: str) -> None:
    """Prints one line at once."""
    sys.stdout.write(f"{text}\n")
    sys.stdout.flush()


@attrs.frozen
class ResourceUsage:
    """Resource usage of a process.

    Attributes:
        seconds: Processor time since its start.
        resident: Current resident memory in bytes.
    """

    seconds: float
    resident: int


@attrs.frozen
class Program:
    """A running program.

    Attributes:
        address: ``ip:port`` of its HTTP interface.
        process: The process.
    """

    address: str
    process: asyncio.subprocess.Process

    def usage(self) -> ResourceUsage:
        """Returns the resource usage so far."""
        root = pathlib.Path(f"/proc/{self.process.pid}")
        fields = (root / "stat").read_text().rpartition(")")[2].split()
        cpu_seconds = (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND
        status = dict(
            line.split(":", 1)
            for line in (root / "status").read_text().splitlines()
        )
        return ResourceUsage(
            cpu_seconds, int(status["VmRSS"].split()[0]) * _KIB
        )


class Fleet:
    """Context manager that kills the programs it started.

    Attributes:
        programs: All programs started.
    """

    def __init__(self) -> None:
        self.programs: list[Program] = []

    async def __aenter__(self) -> Fleet:
        """Installs a handler by which SIGTERM cancels the block."""
        task = asyncio.current_task()
        assert task is not None
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Kills all programs that still run."""
        asyncio.get_running_loop().remove_signal_handler(signal.SIGTERM)
        for program in self.programs:
            if program.process.returncode is None:
                program.process.kill()
        for program in self.programs:
            await program.process.wait()

    async def start(self, *words: str, has_address: bool = True) -> Program:
        """Starts a program.

        Args:
            words: Name of the program and its arguments.
            has_address: Whether to wait for the line with its address.
        """
        process = await asyncio.create_subprocess_exec(
            str(_SCRIPTS / words[0]),
            *words[1:],
            env={
                **os.environ,
                "HOISTMOOR_SECRET": "bench-secret-of-16-letters",
                "PYTHONUNBUFFERED": "1",
            },
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        program = Program("", process)
        self.programs.append(program)
        if not has_address:
            return program
        assert process.stdout is not None
        async with asyncio.timeout(START_TIMEOUT):
            line = (await process.stdout.readline()).decode()
        if not line.startswith(_LISTENING_PREFIX):
            raise RuntimeError(
                f"{words[0]} printed {line!r} instead of its address"
            )
        return attrs.evolve(
            program, address=line[len(_LISTENING_PREFIX) :].strip()
        )


async def run_command(*words: str) -> tuple[float, float, int]:
    """Runs a command to its end.

    Returns:
        Its processor time and wall time in seconds, and its peak memory in
        bytes.
    """
    loop = asyncio.get_running_loop()
    start = loop.time()
    process = await asyncio.create_subprocess_exec(
        str(_SCRIPTS / words[0]),
        *words[1:],
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.DEVNULL,
    )
    peak_bytes, cpu_seconds = 0, 0.0
    root = pathlib.Path(f"/proc/{process.pid}")
    # Sampled, because the peak is no longer available once the child is reaped.
    while process.returncode is None:
        try:
            text = (root / "status").read_text()
            fields = (root / "stat").read_text().rpartition(")")[2].split()
        except OSError:
            break
        for line in text.splitlines():
            if line.startswith("VmHWM"):
                peak_bytes = int(line.split()[1]) * _KIB
        cpu_seconds = (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND
        await asyncio.sleep(0.005)
    await process.wait()
    return cpu_seconds, loop.time() - start, peak_bytes
