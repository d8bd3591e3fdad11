"""Runs the programs as processes in tests; kills only those it started."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
import time
from typing import Any, TYPE_CHECKING

import aiohttp
import attrs

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

# Maximum seconds to wait for a condition, a start or an exit.
WAIT_TIMEOUT = 60.0
SECRET = "not-much-of-a-secret"
_SCRIPTS = pathlib.Path(sys.executable).parent
_READY = b"LISTENING "


async def wait_until(condition: Callable[[], Awaitable[Any]], what: str) -> Any:
    """Polls ``condition`` and returns its first true value."""
    deadline = time.monotonic() + WAIT_TIMEOUT
    while time.monotonic() < deadline:
        if found := await condition():
            return found
        await asyncio.sleep(0.02)
    raise AssertionError(f"timed out waiting for {what}")


@attrs.define
class Program:
    """A program started as a process.

    Attributes:
        name: Name of the host or backend server.
        address: ``ip:port`` of its HTTP interface.
        process: The process.
        frozen: Whether SIGSTOP has suspended it.
    """

    name: str
    address: str
    process: asyncio.subprocess.Process
    frozen: bool = False

    @property
    def url(self) -> str:
        """Base URL of its HTTP interface."""
        return f"http://{self.address}"

    async def kill(self) -> None:
        """Kills it without cleanup, as a power failure would."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()

    def freeze(self) -> None:
        """Suspends it, which it cannot notice."""
        self.process.send_signal(signal.SIGSTOP)
        self.frozen = True

    def thaw(self) -> None:
        """Resumes it."""
        self.process.send_signal(signal.SIGCONT)
        self.frozen = False

    def request_stop(self) -> None:
        """Requests a graceful stop."""
        self.process.send_signal(signal.SIGTERM)

    async def exit_code(self) -> int:
        """Waits for the process to exit and returns its exit code."""
        async with asyncio.timeout(WAIT_TIMEOUT):
            return await self.process.wait()


class Processes:
    """The programs of a test.

    Attributes:
        session: HTTP session for requests to the programs.
        programs: The programs by name.
        variables: Additional environment variables of programs started later.
    """

    def __init__(
        self, session: aiohttp.ClientSession, logs: pathlib.Path
    ) -> None:
        self.session = session
        self.programs: dict[str, Program] = {}
        self.variables: dict[str, str] = {}
        self._logs = logs

    async def start(self, name: str, *words: str) -> Program:
        """Starts a program that prints the address it listens on."""
        program = await self.launch(name, *words)
        assert program.process.stdout is not None
        async with asyncio.timeout(WAIT_TIMEOUT):
            line = await program.process.stdout.readline()
        assert line.startswith(_READY), f"{name} printed {line!r}"
        program.address = line[len(_READY) :].decode().strip()
        return program

    async def launch(self, name: str, *words: str) -> Program:
        """Starts a program without waiting for the address it listens on.

        Args:
            name: Name of the program and of its log file.
            words: Name of a script of this project or an absolute path, and its
                arguments.
        """
        script, *arguments = words
        with self.log_of(name).open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                str(_SCRIPTS / script),
                *arguments,
                env={
                    "HOISTMOOR_SECRET": SECRET,
                    "PYTHONUNBUFFERED": "1",
                    **self.variables,
                },
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
            )
        self.programs[name] = Program(name, "", process)
        return self.programs[name]

    def log_of(self, name: str) -> pathlib.Path:
        """Returns the file with a program's standard error."""
        return self._logs / f"{name}.log"

    async def kill_all(self) -> None:
        """Kills every program that is still running."""
        for program in self.programs.values():
            await program.kill()

    async def inject_fault(self, name: str, kind: str, **fields: Any) -> int:
        """Injects a fault into a stand-in; returns its number."""
        url = f"{self.programs[name].url}/_faults"
        body = {"kind": kind, **fields}
        async with self.session.post(url, json=body) as response:
            assert response.status < 300, await response.text()
            return int((await response.json())["id"])

    async def clear_fault(self, name: str, number: int) -> None:
        """Clears a fault of a stand-in."""
        url = f"{self.programs[name].url}/_faults/{number}"
        async with self.session.delete(url) as response:
            assert response.status < 300, await response.text()

    async def clear_faults(self, name: str) -> None:
        """Clears all faults of a stand-in."""
        url = f"{self.programs[name].url}/_faults"
        async with self.session.delete(url) as response:
            assert response.status < 300, await response.text()

    async def get(self, url: str) -> Any:
        """Returns a JSON document, or None if the request fails."""
        try:
            async with self.session.get(url) as response:
                return await response.json()
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None
