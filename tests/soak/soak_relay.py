"""Runs a relay that reaches the backend servers through links of its own.

    python tests/soak/soak_relay.py LINKS IP

LINKS is a JSON file that maps the listed ``ip:port`` of each server to that of
the relay's own proxy. IP is the loopback address from which the relay connects
to them, so that servers can tell the relays apart.
"""

from __future__ import annotations

import json
import pathlib
import socket
import sys
from typing import Any

from hoistmoor.platform import main

_LINKS: dict[tuple[str, int], tuple[str, int]] = {}
_SOURCE = sys.argv[2]


def _parse(address: str) -> tuple[str, int]:
    ip, _, port = address.rpartition(":")
    return ip, int(port)


class LinkedSocket(socket.socket):
    """A socket that connects to a server through the relay's own proxy."""

    def connect(self, address: Any) -> None:
        """Connects to an address, or to the proxy in its place."""
        if address in _LINKS:
            self.bind((_SOURCE, 0))
        super().connect(_LINKS.get(address, address))


if __name__ == "__main__":
    links = json.loads(pathlib.Path(sys.argv[1]).read_text())
    _LINKS.update({_parse(key): _parse(links[key]) for key in links})
    socket.socket = LinkedSocket  # type: ignore[misc]
    sys.exit(main.main())
