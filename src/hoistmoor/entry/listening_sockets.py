"""Listening sockets of an entry host."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import attrs

from hoistmoor.utils import listening

if TYPE_CHECKING:
    from hoistmoor.config import settings as settings_lib


@attrs.frozen
class ListeningSockets:
    """Listening sockets, bound early so that other components know the ports.

    Attributes:
        callers: Socket for callers and operators.
        peers: Socket for other entry hosts.
    """

    callers: socket.socket
    peers: socket.socket

    @classmethod
    def bind(cls, settings: settings_lib.EntrySettings) -> ListeningSockets:
        """Binds the configured addresses; port 0 selects a free port.

        Raises:
            ListenError: An address cannot be bound.
        """
        return cls(
            listening.bind(settings.listen),
            listening.bind(settings.peer_listen),
        )

    def with_bound_ports(
        self, settings: settings_lib.EntrySettings
    ) -> settings_lib.EntrySettings:
        """Returns the settings with the ports that are actually bound."""
        return attrs.evolve(
            settings,
            listen=listening.address_of(self.callers),
            peer_listen=listening.address_of(self.peers),
        )
