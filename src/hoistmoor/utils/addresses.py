"""Addresses of the form ``ip:port``; host names are not resolved."""

from __future__ import annotations

import ipaddress

import attrs

from hoistmoor.core import errors

_MAX_PORT = 65535


@attrs.frozen
class Address:
    """Where a process listens.

    Attributes:
        ip: An IPv4 or IPv6 number.
        port: 0 to 65535; 0 lets the system choose when listening.
    """

    ip: str
    port: int

    def __str__(self) -> str:
        """Returns ``ip:port``, an IPv6 number in brackets."""
        ip = f"[{self.ip}]" if ":" in self.ip else self.ip
        return f"{ip}:{self.port}"

    @property
    def is_wildcard(self) -> bool:
        """Whether the number stands for every interface of the host."""
        return ipaddress.ip_address(self.ip).is_unspecified


def parse(text: str) -> Address:
    """Returns the address that ``text`` spells.

    Raises:
        ConfigurationError: ``text`` is not of the form ``ip:port``.
    """
    ip, separator, port = text.rpartition(":")
    try:
        number = ipaddress.ip_address(ip.strip("[]"))
        is_number = port.isascii() and port.isdigit()
        if not separator or not is_number or int(port) > _MAX_PORT:
            raise ValueError(port)
    except ValueError as error:
        raise errors.ConfigurationError(
            f"{text!r} is not an address",
            "Write an IP number and a port, as in 127.0.0.1:8080.",
        ) from error
    return Address(str(number), int(port))
