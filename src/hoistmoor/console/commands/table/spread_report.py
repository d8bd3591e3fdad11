"""Reports which hosts have a revision active, and defines related flags."""

from __future__ import annotations

import sys
from typing import Annotated, TYPE_CHECKING

import cappa

from hoistmoor.clients import hosts
from hoistmoor.console import exit_codes
from hoistmoor.console.commands.table import in_force

if TYPE_CHECKING:
    import aiohttp

WAIT_SECONDS = 10.0  # Default of --wait.

Author = Annotated[
    str, cappa.Arg(long="--author", help="Your name, for the history.")
]
Wait = Annotated[
    float,
    cappa.Arg(
        long="--wait",
        help="Seconds to wait until active on every host; 0 to not wait.",
    ),
]


async def wait_and_report(
    session: aiohttp.ClientSession,
    hosts_url: str,
    revision: int,
    wait: float,
) -> exit_codes.ExitCode:
    """Waits until ``revision`` is active on every host; reports the others.

    Args:
        session: HTTP session for the host list and the hosts.
        hosts_url: Base URL of the host list.
        revision: Revision to wait for.
        wait: Seconds to wait; 0 to skip the check.
    """
    if wait <= 0:
        return exit_codes.ExitCode.DONE
    host_list = hosts.HostListClient(session, hosts_url)
    result = await in_force.PropagationPoller(
        session, host_list, revision
    ).wait(wait)
    sys.stdout.write(f"in force at {len(result.active_hosts)} entry hosts\n")
    if result.is_complete:
        return exit_codes.ExitCode.DONE
    if result.list_problem:
        sys.stderr.write(
            f"cannot tell which hosts lag: {result.list_problem}\n"
        )
    for lagging_host in result.lagging_hosts:
        sys.stderr.write(f"lags: {lagging_host}\n")
    return exit_codes.ExitCode.LAGGING
