"""``hoistmoor-load run``: sends open-loop load and prints a report."""

from __future__ import annotations

import pathlib
import sys
import time
from typing import Annotated

import attrs
import cappa
import uvloop

from hoistmoor.clients import sessions
from hoistmoor.core import errors
from hoistmoor.load import arrivals
from hoistmoor.load import call_catalog
from hoistmoor.load import caller as caller_lib
from hoistmoor.load import calls
from hoistmoor.load import history
from hoistmoor.load import process_usage
from hoistmoor.load import report as report_lib
from hoistmoor.load.commands import flags

_MS_PER_SECOND = 1000.0
_MIB = 1 << 20


@cappa.command(
    name="run",
    help="Sends open-loop load to entries on loopback.",
    description=" ",
)
@attrs.frozen(kw_only=True)
class Run:
    """Sends open-loop load to entries on loopback and prints a report.

    Attributes:
        entry: Base URLs of entries.
        kind: Names of calls, drawn with equal probability.
        rate: Mean requests per second.
        count: Total number of requests.
        seed: Seed of the arrival times and of the choice of calls.
        model: Model for chat calls; empty for the default of the call.
        max_tokens: Maximum length of chat responses; 0 for the default of the
            call.
        pid: Processes whose CPU time and memory are reported.
        history_file: File to write the history to; None for none.
        key: Bearer key of a client account.
    """

    entry: Annotated[
        list[str], cappa.Arg(long=True, required=True, help="Base URL.")
    ]
    kind: flags.Kinds
    key: flags.Key = attrs.field(default="", repr=False)
    rate: Annotated[float, cappa.Arg(long=True, help="Per second.")] = 20.0
    count: Annotated[int, cappa.Arg(long=True, help="Requests.")] = 200
    seed: Annotated[int, cappa.Arg(long=True, help="Random seed.")] = 1
    model: Annotated[
        str, cappa.Arg(long=True, default="", help="Model for chat calls.")
    ] = ""
    max_tokens: Annotated[
        int,
        cappa.Arg(
            long=True, default=0, help="Of chat responses; 0 for the default."
        ),
    ] = 0
    pid: Annotated[
        tuple[int, ...],
        cappa.Arg(
            long=True,
            default=(),
            help="Report the usage of a process; repeatable.",
        ),
    ] = ()
    history_file: Annotated[
        pathlib.Path | None,
        cappa.Arg(long="--history", help="File for JSON lines."),
    ] = None

    def __call__(self) -> int:
        """Sends the load and prints the report."""
        self.check_bounds()
        plan = arrivals.LoadPlan(
            self.entry,
            [
                self.with_overrides(call)
                for call in call_catalog.calls_by_name(self.kind, self.key)
            ],
            self.rate,
            self.count,
            self.seed,
        )
        uvloop.run(_run(plan, self.history_file, self.pid))
        return 0

    def with_overrides(self, call: calls.Call) -> calls.Call:
        """Returns ``call`` with the model and length of the flags applied."""
        if not call.body or "model" not in call.body:
            return call
        body = dict(call.body)
        if self.model:
            body["model"] = self.model
        if self.max_tokens:
            body["max_tokens"] = self.max_tokens
        return attrs.evolve(call, body=body)

    def check_bounds(self) -> None:
        """Raises ``ConfigurationError`` if a flag is out of bounds."""
        if not 0 < self.rate <= arrivals.MAX_RATE:
            raise errors.ConfigurationError(
                f"--rate {self.rate} is out of bounds",
                f"Choose a rate above 0, up to {arrivals.MAX_RATE:g}.",
            )
        if not 0 < self.count <= arrivals.MAX_COUNT:
            raise errors.ConfigurationError(
                f"--count {self.count} is out of bounds",
                f"Choose a count from 1 to {arrivals.MAX_COUNT}.",
            )
        for url in self.entry:
            flags.check_loopback("--entry", url)


async def _run(
    plan: arrivals.LoadPlan, path: pathlib.Path | None, pids: tuple[int, ...]
) -> None:
    report = report_lib.Report()
    writer = history.HistoryFile(path) if path else None

    def on_result(result: calls.RequestResult) -> None:
        report.add(result)
        if writer:
            writer.add(result)

    before = [process_usage.read_usage(pid) for pid in pids]
    started = time.monotonic()
    try:
        async with sessions.make_session() as session:
            await arrivals.run(plan, caller_lib.HttpCaller(session), on_result)
    finally:
        if writer:
            writer.close()
    duration = time.monotonic() - started
    lines = report.lines()
    lines.append(
        f"{plan.count / duration:.1f} requests/s, "
        f"{report.frames / duration:.0f} frames/s, {duration:.1f} s"
    )
    lines += [
        _describe_usage(pid, usage, plan.count, report.frames)
        for pid, usage in zip(pids, before, strict=True)
    ]
    sys.stdout.write("\n".join(lines) + "\n")


def _describe_usage(
    pid: int, before: process_usage.Usage, requests: int, frames: int
) -> str:
    after = process_usage.read_usage(pid)
    ms = (after.cpu_seconds - before.cpu_seconds) * _MS_PER_SECOND
    per_unit = f"{ms / requests:.2f} ms a request"
    if frames:
        per_unit += f", {ms / frames:.4f} ms a frame"
    return (
        f"process {pid}: {ms:.0f} ms processor time, {per_unit}, "
        f"{after.resident_bytes / _MIB:.1f} MiB resident"
    )
