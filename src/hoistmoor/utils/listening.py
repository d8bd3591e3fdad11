"""Listening sockets."""

from __future__ import annotations

import socket

from hoistmoor.core import errors
from hoistmoor.utils import addresses

BACKLOG = 1024  # Connections that can wait to be accepted.


class ListenError(errors.HoistmoorError):
    """A configured address cannot be listened on."""


def bind(text: str) -> socket.socket:
    """Returns a socket that listens on ``ip:port``; port 0 selects a free port.

    Raises:
        ListenError: The address is in use or not an address of this machine.
    """
    address = addresses.parse(text)
    family = socket.AF_INET6 if ":" in address.ip else socket.AF_INET
    try:
        listener = socket.create_server(
            (address.ip, address.port), family=family, backlog=BACKLOG
        )
    except OSError as error:
        raise ListenError(
            f"cannot listen on {text}: {error.strerror or error}",
            "Stop the process that uses the port, or set another address.",
        ) from error
    # Accepted connections inherit the option; small frames must not be delayed.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return listener


def address_of(listener: socket.socket) -> str:
    """Returns the ``ip:port`` that a socket is bound to."""
    ip, port, *_ = listener.getsockname()
    return str(addresses.Address(ip, port))
