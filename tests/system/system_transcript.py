"""Records a session as text, with placeholders for varying parts."""

from __future__ import annotations

import asyncio
import pathlib
import re
import sys
from typing import Any, TYPE_CHECKING

import orjson
import system_processes

from hoistmoor.history import events

if TYPE_CHECKING:
    import system_caller
    import system_deployment

_SCRIPTS = pathlib.Path(sys.executable).parent
_RECORDED_HEADERS = (
    "X-Hoistmoor-Version",
    "X-Hoistmoor-Why",
    "X-Hoistmoor-Session-Moved",
    "X-Hoistmoor-Outcome",
    "Retry-After",
)
# Parts that vary between runs, and their placeholders.
_PLACEHOLDERS = (
    (re.compile(r"127\.0\.0\.1:\d+"), "ADDRESS"),
    (re.compile(r"\b[0-9a-f]{32}\b"), "EDIT"),
    (re.compile(r"\btkt\.[\w.=-]+"), "TICKET"),
    (re.compile(r"\d{4}-\d\d-\d\d[T ][\d:.]+(\+00:00|Z)?"), "TIME"),
    (re.compile(r"\+ *\d+\.\d+ s"), "+TIME"),
    (re.compile(r"\b\d+\.\d+ ?(ms|s)\b"), "TIME"),
    # The threshold depends on earlier responses.
    (re.compile(r"\bbelow (bucket )?\d+\b"), r"below \1N"),
)
_REQUEST_ID = re.compile(r"\b(entry-\d+)\.[0-9a-f]{8,}\.[0-9a-f]+\b")


class Transcript:
    """Records the lines of one session.

    Attributes:
        deployment: Deployment under test.
        lines: Recorded lines.
    """

    def __init__(self, deployment: system_deployment.Deployment) -> None:
        self.deployment = deployment
        self.lines: list[str] = []

    def add_heading(self, heading: str) -> None:
        """Adds a heading."""
        self.lines += ["", f"# {heading}"]

    def add_line(self, text: str) -> None:
        """Adds a line."""
        self.lines.append(text)

    def add_response(self, what: str, final: events.Told | None) -> None:
        """Adds the response to a request.

        Args:
            what: Describes the request.
            final: Final response; None without a complete one.
        """
        self.lines.append(f"{what}")
        if final is None:
            self.lines.append("  no final response")
            return
        response = self.deployment.caller.responses[final.call_id]
        self.lines.append(f"  {response.status} {final.request_id}")
        self.lines += [
            f"  {name}: {response.headers[name]}"
            for name in _RECORDED_HEADERS
            if name in response.headers
        ]
        self.lines.append(f"  {_describe_body(response)}")

    async def run_console(self, *words: str, show: str = "") -> None:
        """Runs ``hoistmoor`` and adds its output and exit code.

        Args:
            words: Arguments of the program.
            show: Arguments to record instead of ``words``, unless empty.
        """
        process = await asyncio.create_subprocess_exec(
            str(_SCRIPTS / "hoistmoor"),
            *words,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env={
                "HOISTMOOR_SECRET": system_processes.SECRET,
                **self.deployment.processes.variables,
            },
        )
        out, error = await process.communicate()
        self.lines.append(f"$ hoistmoor {show or ' '.join(words)}")
        self.lines += [f"  {line}" for line in out.decode().splitlines()]
        self.lines += [f"  ! {line}" for line in error.decode().splitlines()]
        self.lines.append(f"  exit {process.returncode}")

    async def explain(self, final: events.Told) -> None:
        """Adds the output of ``hoistmoor explain`` for a request."""
        url = self.deployment.program("platform").url
        await self.run_console("explain", final.request_id, "--log-url", url)

    async def add_executions(self, *only: str) -> None:
        """Adds the executions and bills of requests with a final response.

        Args:
            only: Ids of the requests to add; all if empty.
        """
        history = await self.deployment.history()
        request_ids = set(only) or {
            final.request_id for final in history.responses
        }
        billed = {
            bill.request_id: bill for bill in history.events_of(events.Billed)
        }
        runs = [
            run
            for run in sorted(history.runs, key=_sort_key)
            if run.request_id in request_ids
        ]
        for run in runs:
            done = "" if run.done else ", not completed"
            self.lines.append(f"{run.attempt_id} ran {run.item}{done}")
        for request_id in dict.fromkeys(run.request_id for run in runs):
            bill = billed[request_id]
            self.lines.append(
                f"{request_id} billed to {bill.account}: {bill.amount}"
            )

    def render(self) -> str:
        """Returns all lines, with placeholders for varying parts."""
        text = "\n".join(self.lines).strip() + "\n"
        for pattern, name in _PLACEHOLDERS:
            text = pattern.sub(name, text)
        numbers: dict[str, str] = {}
        return _REQUEST_ID.sub(lambda match: _short_id(match, numbers), text)


def _sort_key(run: events.Ran) -> tuple[str, int, int]:
    """Returns the sort key of an execution.

    Executions are not sorted by time, as it varies for concurrent ones.
    """
    host, _, serial, attempt = run.attempt_id.rsplit(".", 3)
    return host, int(serial, 16), int(attempt)


def _short_id(match: re.Match[str], numbers: dict[str, str]) -> str:
    """Returns the host of a request and its position in the transcript."""
    short_id = f"{match[1]}/{len(numbers) + 1}"
    return numbers.setdefault(match[0], short_id)


def _describe_body(response: system_caller.CallerResponse) -> str:
    if response.error:
        error: dict[str, Any] = dict(response.error)
        return orjson.dumps(error, option=orjson.OPT_SORT_KEYS).decode()
    if response.frames:
        return f"{len(response.frames)} frames, {_describe_end(response)}"
    return response.body.decode()


def _describe_end(response: system_caller.CallerResponse) -> str:
    done = b"data: [DONE]" in response.body
    return "ended by its end marker" if done else "cut short"
