"""Addresses of the form ``ip:port``; host names are not resolved."""

from __future__ import annotations

import ipaddress

import attrs

from hoistmoor.core import errors

_MAX_PORT = 65535


@attrs.frozen
class Address:
    """A network address.

    Attributes:
        ip: An IPv4 or IPv6 address.
        port: 0 to 65535; 0 requests a free port when listening.
    """

    ip: str
    port: int

    def __str__(self) -> str:
        """Returns ``ip:port``, with an IPv6 address in brackets."""
        ip = f"[{self.ip}]" if ":" in self.ip else self.ip
        return f"{ip}:{self.port}"

    @property
    def is_wildcard(self) -> bool:
        """Whether the address stands for all interfaces of the host."""
        return ipaddress.ip_address(self.ip).is_unspecified


def parse(text: str) -> Address:
    """Parses an address.

    Raises:
        ConfigurationError: ``text`` is not of the form ``ip:port``.
    """
    ip, separator, port = text.rpartition(":")
    try:
        ip_address = ipaddress.ip_address(ip.strip("[]"))
        is_numeric = port.isascii() and port.isdigit()
        if not separator or not is_numeric or int(port) > _MAX_PORT:
            raise ValueError(port)
    except ValueError as error:
        raise errors.ConfigurationError(
            f"{text!r} is not a valid address",
            "Give an IP address and a port, such as 127.0.0.1:8080.",
        ) from error
    return Address(str(ip_address), int(port))
