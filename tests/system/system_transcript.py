"""Writes down a session as everybody saw it, without what varies."""

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
_TOLD = (
    "X-Hoistmoor-Version",
    "X-Hoistmoor-Why",
    "X-Hoistmoor-Session-Moved",
    "X-Hoistmoor-Outcome",
    "Retry-After",
)
# What varies from run to run, and what stands for it.
_VARYING = (
    (re.compile(r"127\.0\.0\.1:\d+"), "ADDRESS"),
    (re.compile(r"\b[0-9a-f]{32}\b"), "EDIT"),
    (re.compile(r"\btkt\.[\w.=-]+"), "TICKET"),
    (re.compile(r"\d{4}-\d\d-\d\d[T ][\d:.]+(\+00:00|Z)?"), "TIME"),
    (re.compile(r"\+ *\d+\.\d+ s"), "+TIME"),
    (re.compile(r"\b\d+\.\d+ ?(ms|s)\b"), "TIME"),
    # The threshold follows what was answered before.
    (re.compile(r"\bbelow (bucket )?\d+\b"), r"below \1N"),
)
_REQUEST = re.compile(r"\b(entry-\d+)\.[0-9a-f]{8,}\.[0-9a-f]+\b")


class Transcript:
    """The lines of one session."""

    def __init__(self, deployment: system_deployment.Deployment) -> None:
        self.deployment = deployment
        self.lines: list[str] = []

    def say(self, heading: str) -> None:
        """Begins a part."""
        self.lines += ["", f"# {heading}"]

    def note(self, text: str) -> None:
        """Adds a line."""
        self.lines.append(text)

    def answered(self, what: str, told: events.Told | None) -> None:
        """Adds what a caller got for a request."""
        self.lines.append(f"{what}")
        if told is None:
            self.lines.append("  no final word")
            return
        answer = self.deployment.caller.answers[told.call_id]
        self.lines.append(f"  {answer.status} {told.request_id}")
        self.lines += [
            f"  {name}: {answer.headers[name]}"
            for name in _TOLD
            if name in answer.headers
        ]
        self.lines.append(f"  {_body(answer)}")

    async def console(self, *words: str, show: str = "") -> None:
        """Runs ``hoistmoor`` and adds what it printed and its exit code.

        Args:
            words: What comes after the program's name.
            show: The command as the transcript has it; empty for ``words``.
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

    async def explain(self, told: events.Told) -> None:
        """Adds what ``hoistmoor explain`` says of a request."""
        url = self.deployment.program("platform").url
        await self.console("explain", told.request_id, "--log-url", url)

    async def records(self, *only: str) -> None:
        """Adds what ran and what was billed of what the caller was told of.

        Args:
            only: Ids of the requests to add; none for all.
        """
        history = await self.deployment.history()
        told = set(only) or {word.request_id for word in history.responses}
        billed = {
            bill.request_id: bill for bill in history.events_of(events.Billed)
        }
        runs = [
            run
            for run in sorted(history.runs, key=_place)
            if run.request_id in told
        ]
        for run in runs:
            done = "" if run.done else ", not to its end"
            self.lines.append(f"{run.attempt_id} ran {run.item}{done}")
        for request_id in dict.fromkeys(run.request_id for run in runs):
            bill = billed[request_id]
            self.lines.append(
                f"{request_id} billed to {bill.account}: {bill.amount}"
            )

    def text(self) -> str:
        """Returns all lines, with names for what varies."""
        found = "\n".join(self.lines).strip() + "\n"
        for pattern, name in _VARYING:
            found = pattern.sub(name, found)
        numbers: dict[str, str] = {}
        return _REQUEST.sub(lambda match: _short(match, numbers), found)


def _place(run: events.Ran) -> tuple[str, int, int]:
    """Returns what orders runs, since times of concurrent ones vary."""
    host, _, serial, attempt = run.attempt_id.rsplit(".", 3)
    return host, int(serial, 16), int(attempt)


def _short(match: re.Match[str], numbers: dict[str, str]) -> str:
    """Returns a request's host and its place among those mentioned."""
    short = f"{match[1]}/{len(numbers) + 1}"
    return numbers.setdefault(match[0], short)


def _body(answer: system_caller.Answer) -> str:
    if answer.error:
        error: dict[str, Any] = dict(answer.error)
        return orjson.dumps(error, option=orjson.OPT_SORT_KEYS).decode()
    if answer.frames:
        return f"{len(answer.frames)} frames, {_ending(answer)}"
    return answer.body.decode()


def _ending(answer: system_caller.Answer) -> str:
    done = b"data: [DONE]" in answer.body
    return "ended by its mark" if done else "cut short"
