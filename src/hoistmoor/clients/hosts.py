"""Client for the platform's host list, which is eventually consistent."""

from __future__ import annotations

import enum

import attrs

from hoistmoor.clients import service_client


class Role(enum.StrEnum):
    """The role of a listed host."""

    ENTRY = "entry"
    BACKEND = "backend"


class ListedState(enum.StrEnum):
    """The state of a listed host as the platform reports it."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class ListedHost:
    """A host on the host list: an entry host or a backend server.

    Attributes:
        name: Name of the host.
        address: ``ip:port`` of its HTTP endpoint.
        failure_domain: Failure domain in which it runs.
        role: Whether it is an entry host or a backend server.
        state: Whether it is about to leave.
        incarnation: Number that the platform increases each time the host is
            replaced or restarted.
    """

    name: str
    address: str
    failure_domain: str
    role: Role
    state: ListedState
    incarnation: int


@attrs.frozen
class _HostList:
    hosts: tuple[ListedHost, ...]


class HostListClient(service_client.ServiceClient):
    """Fetches the host list."""

    async def fetch(self) -> tuple[ListedHost, ...]:
        """Returns the listed hosts, which may be outdated.

        Raises:
            ServiceUnavailableError: No valid response in time.
        """
        host_list = await self.fetch_json("/hosts", _HostList)
        return host_list.hosts
