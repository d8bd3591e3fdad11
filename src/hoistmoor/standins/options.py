"""Definition of command line flags and parsing of their values."""

from __future__ import annotations

import dataclasses
from typing import Any

import cappa

from hoistmoor.clients import hosts
from hoistmoor.core import errors

_ENVIRONMENT_PREFIX = "HOISTMOOR_STANDIN_"
_DEFAULT_QUALITY = 0.9


def flag(name: str, text: str, default: Any) -> cappa.Arg[Any]:
    """Returns the flag ``--name``, with its environment variable."""
    variable = _ENVIRONMENT_PREFIX + name.upper().replace("-", "_")
    source = cappa.Env(variable, default=default)
    return cappa.Arg(long=f"--{name}", default=source, help=text)


def repeatable_flag(
    name: str, text: str, default: tuple[str, ...]
) -> cappa.Arg[Any]:
    """Returns a repeatable flag, whose variable is split at whitespace."""
    return dataclasses.replace(
        flag(name, text, default), parse=_split, action=cappa.ArgAction.append
    )


def _split(value: str | list[str] | tuple[str, ...]) -> tuple[str, ...]:
    return tuple(value.split()) if isinstance(value, str) else tuple(value)


def parse_address(text: str) -> tuple[str, int]:
    """Returns the IP address and the port of ``ip:port``.

    Raises:
        ConfigurationError: The text is not of this form.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise errors.ConfigurationError(
            f"--listen {text} is not an address",
            "Use ip:port, with port 0 for any free port.",
        )
    return host.strip("[]"), int(port)


def parse_hosts(rows: tuple[str, ...]) -> tuple[hosts.ListedHost, ...]:
    """Returns the rows of the host list that ``--host`` flags define.

    Raises:
        ConfigurationError: A row is invalid.
    """
    return tuple(_parse_host(row) for row in rows)


def _parse_host(text: str) -> hosts.ListedHost:
    try:
        name, address, domain, role = text.split(",")
        return hosts.ListedHost(
            name=name,
            address=address,
            failure_domain=domain,
            role=hosts.Role(role),
            state=hosts.ListedState.LIVE,
            incarnation=1,
        )
    except ValueError as error:
        raise errors.ConfigurationError(
            f"--host {text} is not a row of the host list",
            "Use name,ip:port,failure-domain,role with role entry or backend.",
        ) from error


def parse_qualities(name: str, rows: tuple[str, ...]) -> dict[str, float]:
    """Returns the fraction of good responses by version key.

    Raises:
        ConfigurationError: A row is invalid.
    """
    return dict(_parse_quality(name, row) for row in rows)


def _parse_quality(name: str, text: str) -> tuple[str, float]:
    key, _, quality = text.partition("=")
    try:
        share = float(quality or _DEFAULT_QUALITY)
    except ValueError:
        share = -1.0
    if "@" not in key or not 0.0 <= share <= 1.0:
        raise errors.ConfigurationError(
            f"{name} {text} is not a version with a quality",
            "Use model@version=0.8 with a number from 0 to 1.",
        )
    return key, share
