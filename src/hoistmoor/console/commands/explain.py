"""``hoistmoor explain``: shows the decisions made on a request."""

from __future__ import annotations

import asyncio
import datetime
import sys
from typing import Annotated, TYPE_CHECKING

import attrs
import cappa

from hoistmoor.clients import sessions
from hoistmoor.console import exit_codes
from hoistmoor.console import host_queries
from hoistmoor.console.commands.table import table_reader
from hoistmoor.core import codec
from hoistmoor.core import errors
from hoistmoor.core import identity
from hoistmoor.core.requests import decisions

if TYPE_CHECKING:
    from collections.abc import Iterator

    import aiohttp

    from hoistmoor.clients import hosts
    from hoistmoor.core.routing import messages as routing

_HTTP_OK = 200
_MICROS_PER_UNIT = 1_000_000


@cappa.command(
    name="explain", help="Explain the outcome of a request.", description=" "
)
@attrs.frozen(kw_only=True)
class Explain:
    """Finds the decision on a request and prints it.

    The host that the request id names is queried first. If it is unavailable,
    the other entry hosts follow: each of them can look up a decision at its
    peers and on the log.

    Attributes:
        request_id: Request id as the caller received it.
        log_url: Base URL of the platform's log.
        hosts_url: Base URL of the host list; empty to use ``log_url``.
    """

    request_id: Annotated[
        str, cappa.Arg(help="Request id as the caller received it.")
    ]
    log_url: table_reader.LogUrl = ""
    hosts_url: table_reader.HostsUrl = ""

    def __call__(self) -> exit_codes.ExitCode:
        """Prints the decision; fails if no host has it."""
        decision = asyncio.run(self.find_decision())
        if decision is None:
            sys.stderr.write(
                f"hoistmoor: no host has a decision on {self.request_id}. "
                "Decisions are kept for a limited time; see docs/callers.md.\n"
            )
            return exit_codes.ExitCode.FAILED
        for line in describe(decision):
            sys.stdout.write(f"{line}\n")
        return exit_codes.ExitCode.DONE

    async def find_decision(self) -> decisions.Decision | None:
        """Returns the decision from the first host that has it.

        Raises:
            ConfigurationError: The request id is malformed, or the URL is
                missing or invalid.
            PlatformError: The list of hosts could not be read.
        """
        origin = _origin_host(self.request_id)
        async with sessions.make_session() as session:
            listed = await host_queries.fetch_hosts(
                session, self.hosts_url, self.log_url
            )
            entries = host_queries.entry_hosts(listed)
            entries.sort(key=lambda host: host.name != origin)
            return await _fetch_decision(session, entries, self.request_id)


def _origin_host(request_id: str) -> str:
    try:
        return identity.RequestId.parse(request_id).incarnation.host
    except ValueError as error:
        raise errors.ConfigurationError(
            f"{request_id!r} is not a request id",
            "Copy it from the X-Hoistmoor-Request-Id header or from the error "
            "object.",
        ) from error


async def _fetch_decision(
    session: aiohttp.ClientSession,
    entries: list[hosts.ListedHost],
    request_id: str,
) -> decisions.Decision | None:
    for host in entries:
        response = await host_queries.query_host(
            session, host, f"/explain/{request_id}"
        )
        if response.status == _HTTP_OK:
            return codec.structure(response.body, decisions.Decision)
    return None


def describe(decision: decisions.Decision) -> Iterator[str]:
    """Yields the lines that describe a decision."""
    arrived = datetime.datetime.fromtimestamp(
        decision.arrived, datetime.UTC
    ).isoformat(timespec="milliseconds")
    yield f"request    {decision.request_id}"
    yield f"arrived    {arrived}"
    yield f"account    {decision.account or 'unknown'}"
    yield f"asked for  {decision.asked}"
    if decision.kind:
        yield f"kind       {decision.kind}"
    yield f"table      revision {decision.revision}"
    yield f"session    {decision.pin or 'not pinned'}"
    yield f"result     {_describe_result(decision)}"
    yield f"attempts   {decision.attempts}"
    yield f"billed     {decision.cost / _MICROS_PER_UNIT:.6f}"
    yield "steps"
    for step in decision.steps:
        yield f"  +{step.after:8.3f} s  {step.event:<12} {step.detail}"
    if decision.choice:
        yield from _describe_choice(decision.choice)


def _describe_choice(choice: routing.Choice) -> Iterator[str]:
    yield f"last choice: {choice.reason}"
    for note in choice.notes:
        name = " at ".join(filter(None, (note.version, note.server)))
        yield f"  {name:<40} {note.verdict}"


def _describe_result(decision: decisions.Decision) -> str:
    if decision.reason:
        return f"refused: {decision.reason}, {decision.outcome}"
    if not decision.outcome:
        return "still running"
    return f"{decision.outcome}: {decision.version} at {decision.server}"


COMMANDS = (Explain,)
