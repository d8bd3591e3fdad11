"""Follows the propagation of a table revision to the entry hosts."""

from __future__ import annotations

import asyncio

import aiohttp
import attrs
import orjson

from hoistmoor.clients import hosts
from hoistmoor.console import entry_access
from hoistmoor.core import errors

POLL_INTERVAL = 0.1  # Seconds.
STATUS_TIMEOUT = 1.0  # Seconds for a complete response of one host.
_HTTP_UNAUTHORIZED = 401
MAX_CONCURRENT_REQUESTS = 64


@attrs.frozen
class LaggingHost:
    """A host that has not confirmed that the revision is active.

    Attributes:
        host: Name of the host.
        address: ``ip:port`` that was queried.
        problem: Description of its response, or of the lack of one.
    """

    host: str
    address: str
    problem: str

    def __str__(self) -> str:
        """Returns the host with its problem, as printed to the operator."""
        return f"{self.host} at {self.address}: {self.problem}"


@attrs.frozen
class Propagation:
    """Propagation of a revision to the live entry hosts.

    Attributes:
        reached: Names of the hosts on which the revision is active.
        laggards: The other live hosts.
        list_problem: Why the list of hosts is unavailable; empty if it is
            available.
    """

    active_hosts: tuple[str, ...]
    lagging_hosts: tuple[LaggingHost, ...]
    list_problem: str = ""

    @property
    def is_complete(self) -> bool:
        """Whether the revision is known to be active on every live host."""
        return not self.lagging_hosts and not self.list_problem


class PropagationPoller:
    """Polls the live entry hosts until a revision is active on all of them."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        host_list: hosts.HostListClient,
        revision: int,
    ) -> None:
        """Creates a poller for ``revision``.

        Args:
            session: HTTP session for the requests to hosts.
            host_list: Client of the platform's host list.
            revision: Revision to wait for.
        """
        self.session = session
        self.host_list = host_list
        self.revision = revision
        self._slots = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
        self._propagation = Propagation(
            (), (), "timed out reading the list of hosts"
        )

    async def wait(self, timeout: float) -> Propagation:
        """Returns once all hosts have the revision, or after ``timeout``.

        Args:
            timeout: Seconds.
        """
        try:
            async with asyncio.timeout(timeout):
                while not self._propagation.is_complete:
                    self._propagation = await self._poll()
                    await asyncio.sleep(POLL_INTERVAL)
        except TimeoutError:
            pass
        return self._propagation

    async def _poll(self) -> Propagation:
        try:
            listed = await self.host_list.fetch()
        except errors.PlatformError as error:
            return Propagation((), (), str(error))
        live = [
            host
            for host in listed
            if host.role is hosts.Role.ENTRY
            and host.state is hosts.ListedState.LIVE
        ]
        problems = await asyncio.gather(
            *(self._query_host(host) for host in live)
        )
        return Propagation(
            tuple(
                host.name
                for host, problem in zip(live, problems, strict=True)
                if not problem
            ),
            tuple(
                LaggingHost(host.name, host.address, problem)
                for host, problem in zip(live, problems, strict=True)
                if problem
            ),
        )

    async def _query_host(self, host: hosts.ListedHost) -> str:
        """Returns why ``host`` lags; empty if the revision is active on it."""
        try:
            async with (
                self._slots,
                entry_access.get(
                    self.session,
                    host.address,
                    "/status?part=table",
                    STATUS_TIMEOUT,
                ) as response,
            ):
                if response.status == _HTTP_UNAUTHORIZED:
                    return f"unauthorized; check {entry_access.KEY_VARIABLE}"
                status = orjson.loads(await response.read())
                revision = int(status["table_revision"])
        except (aiohttp.ClientError, TimeoutError):
            return "no response"
        except (ValueError, KeyError, TypeError):
            return "its status has no table revision"
        if revision < self.revision:
            return f"still at revision {revision}"
        return ""
