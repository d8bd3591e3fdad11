"""Queries the HTTP interface of entry hosts, many of them concurrently."""

from __future__ import annotations

import asyncio
from typing import Any, TYPE_CHECKING

import aiohttp
import attrs
import orjson

from hoistmoor.clients import hosts
from hoistmoor.console import entry_access
from hoistmoor.core import errors

if TYPE_CHECKING:
    from collections.abc import Iterable

_RESPONSE_TIMEOUT = 2.0  # Seconds for a complete response of one host.
_MAX_CONCURRENT_REQUESTS = 64


@attrs.frozen
class HostResponse:
    """Response of one host.

    Attributes:
        host: The host as the platform lists it.
        status: HTTP status; 0 if there was no valid response.
        body: Decoded JSON object; empty if the body is not an object.
    """

    host: hosts.ListedHost
    status: int
    body: dict[str, Any]


async def fetch_hosts(
    session: aiohttp.ClientSession, hosts_url: str, log_url: str
) -> tuple[hosts.ListedHost, ...]:
    """Returns the platform's list of hosts.

    Raises:
        ConfigurationError: The URL is missing or invalid.
        PlatformError: The list could not be read.
    """
    url = hosts_url or log_url
    if not url.startswith(("http://", "https://")):
        raise errors.ConfigurationError(
            f"--hosts-url must be an HTTP URL, not {url!r}",
            "Pass --hosts-url or set HOISTMOOR_HOSTS_URL.",
        )
    return await hosts.HostListClient(session, url).fetch()


def entry_hosts(listed: Iterable[hosts.ListedHost]) -> list[hosts.ListedHost]:
    """Returns the entry hosts, sorted by name."""
    selected = [host for host in listed if host.role is hosts.Role.ENTRY]
    return sorted(selected, key=lambda host: host.name)


async def query_host(
    session: aiohttp.ClientSession, host: hosts.ListedHost, path: str
) -> HostResponse:
    """Returns the response of ``host`` to a request for ``path``."""
    try:
        async with entry_access.get(
            session, host.address, path, _RESPONSE_TIMEOUT
        ) as response:
            body = orjson.loads(await response.read())
            status = response.status
    except (aiohttp.ClientError, TimeoutError, ValueError):
        return HostResponse(host, 0, {})
    return HostResponse(host, status, body if isinstance(body, dict) else {})


async def query_hosts(
    session: aiohttp.ClientSession,
    listed: Iterable[hosts.ListedHost],
    path: str,
) -> list[HostResponse]:
    """Returns the response of each host to ``path``, in the given order."""
    slots = asyncio.Semaphore(_MAX_CONCURRENT_REQUESTS)

    async def ask_with_limit(host: hosts.ListedHost) -> HostResponse:
        async with slots:
            return await query_host(session, host, path)

    return await asyncio.gather(*(ask_with_limit(host) for host in listed))
