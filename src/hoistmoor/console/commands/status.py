"""``hoistmoor status``: shows hosts, versions and rollouts."""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING

import attrs
import cappa

from hoistmoor.clients import hosts
from hoistmoor.clients import sessions
from hoistmoor.console import account_usage
from hoistmoor.console import exit_codes
from hoistmoor.console import host_queries
from hoistmoor.console.commands import rollout
from hoistmoor.console.commands.table import table_reader
from hoistmoor.core import errors
from hoistmoor.steward import operator_records

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    import aiohttp

    from hoistmoor.core.table import model

_HTTP_OK = 200
_NO_VALUE = "-"


@cappa.command(
    name="status", help="Show hosts, versions and rollouts.", description=" "
)
@attrs.frozen(kw_only=True)
class Status:
    """Shows an overview of the deployment.

    Attributes:
        log_url: Base URL of the platform's log.
        hosts_url: Base URL of the host list; empty to use ``log_url``.
    """

    log_url: table_reader.LogUrl = ""
    hosts_url: table_reader.HostsUrl = ""

    def __call__(self) -> exit_codes.ExitCode:
        """Prints the overview; fails if a live entry host is unresponsive."""
        return asyncio.run(self.show())

    async def show(self) -> exit_codes.ExitCode:
        """Queries the hosts and the log, and prints the overview."""
        async with sessions.make_session() as session:
            listed = await host_queries.fetch_hosts(
                session, self.hosts_url, self.log_url
            )
            responses = await host_queries.query_hosts(
                session, host_queries.entry_hosts(listed), "/status?part=own"
            )
            _print(describe_hosts(responses))
            _print(describe_backends(listed))
            _print(account_usage.describe_limits(responses))
            _print(await self._read_log(session))
        unresponsive = any(
            response.status != _HTTP_OK
            for response in responses
            if response.host.state is hosts.ListedState.LIVE
        )
        return exit_codes.ExitCode.FAILED if unresponsive else _DONE

    async def _read_log(self, session: aiohttp.ClientSession) -> list[str]:
        if not self.log_url:
            return ["versions and rollouts: pass --log-url to see them"]
        try:
            client = table_reader.make_log_client(session, self.log_url)
            table_reading = await table_reader.TableReader(client).read()
            steward_fold = (await operator_records.read_stream(client)).fold
        except errors.PlatformError as error:
            return [f"versions and rollouts: {error}"]
        in_force = table_reading.fold.active
        return [
            f"table: revision {in_force.revision}",
            *describe_versions(in_force.table),
            *rollout.describe(steward_fold),
        ]


_DONE = exit_codes.ExitCode.DONE


def describe_hosts(
    responses: Iterable[host_queries.HostResponse],
) -> Iterator[str]:
    """Yields a header and one line per entry host."""
    yield (
        f"{'entry host':<16}{'address':<22}{'domain':<14}{'listed':<9}"
        f"{'revision':>9}{'in flight':>11}  state"
    )
    for response in responses:
        host = response.host
        yield (
            f"{host.name:<16}{host.address:<22}{host.failure_domain:<14}"
            f"{host.state:<9}{_format_field(response, 'table_revision'):>9}"
            f"{_format_field(response, 'in_flight'):>11}  {_state_of(response)}"
        )


def _format_field(response: host_queries.HostResponse, field: str) -> str:
    value = response.body.get(field)
    return _NO_VALUE if value is None else str(value)


def _state_of(response: host_queries.HostResponse) -> str:
    if not response.status:
        return "no response"
    if response.status != _HTTP_OK:
        return f"HTTP status {response.status}"
    return str(response.body.get("state", "answers"))


def describe_backends(listed: Iterable[hosts.ListedHost]) -> Iterator[str]:
    """Yields a summary of the backend servers that the platform lists."""
    backends = [host for host in listed if host.role is hosts.Role.BACKEND]
    leaving = [
        host.name
        for host in backends
        if host.state is hosts.ListedState.LEAVING
    ]
    yield (
        f"backend servers: {len(backends)} listed, leaving: "
        f"{', '.join(sorted(leaving)) or 'none'}"
    )


def describe_versions(table: model.Table) -> Iterator[str]:
    """Yields a header and one line per version of the table."""
    yield f"{'version':<30}{'stage':<11}{'weight':>8}{'quality prior':>15}"
    for key in sorted(table.versions):
        row = table.versions[key]
        yield (
            f"{key:<30}{row.stage:<11}{row.weight:>8g}{row.prior_quality:>15g}"
        )


def _print(lines: Iterable[str]) -> None:
    for line in lines:
        sys.stdout.write(f"{line}\n")
    sys.stdout.write("\n")


COMMANDS = (Status,)
