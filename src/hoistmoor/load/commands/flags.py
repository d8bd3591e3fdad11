"""Flags shared by several commands of ``hoistmoor-load``."""

from __future__ import annotations

import ipaddress
from typing import Annotated
from urllib import parse as url_parse

import cappa

from hoistmoor.core import errors

Key = Annotated[
    str,
    cappa.Arg(
        long=True,
        default=cappa.Env("HOISTMOOR_KEY", default=""),
        show_default=False,
        help="Bearer key; prefer setting HOISTMOOR_KEY.",
    ),
]
Kinds = Annotated[
    list[str], cappa.Arg(long=True, required=True, help="Name of a call.")
]


def check_loopback(flag: str, url: str) -> None:
    """Raises ``ConfigurationError`` unless ``url`` is a loopback address.

    The load generator is for tests and must not be able to load other
    services.
    """
    try:
        ip = ipaddress.ip_address(url_parse.urlsplit(url).hostname or "")
    except ValueError:
        ip = ipaddress.ip_address("0.0.0.0")
    if not ip.is_loopback:
        raise errors.ConfigurationError(
            f"{flag} {url!r} is not on loopback",
            "Give http://127.0.0.1:port.",
        )
