"""Access to session pins stored at other entry hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.core import codec
from hoistmoor.core.sessions import pins
from hoistmoor.peers import errors

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoistmoor.peers import client


class PeerPinStore:
    """A ``PinStore`` that calls the hosts over ``PeerClientPool``.

    Attributes:
        clients: Connections to peers.
        address_of: Returns the peer address of a host, or None if unknown.
    """

    def __init__(
        self,
        clients: client.PeerClientPool,
        address_of: Callable[[str], str | None],
    ) -> None:
        self.clients = clients
        self.address_of = address_of

    async def find(self, host: str, key: pins.PinKey) -> pins.Pin | None:
        """Returns the pin that ``host`` stores for ``key``, if any.

        Raises:
            PeerError: The call failed, or the host's address is unknown.
            CodecError: The response is not a known record.
        """
        peer = self._peer(host)
        payload = await peer.find_session(key.account, key.wire_name)
        return _decode_pin(payload)

    async def keep(self, host: str, pin: pins.Pin) -> pins.Pin:
        """Offers ``pin`` to ``host`` and returns the pin that it stores.

        If the response contains no pin, ``pin`` itself is returned.

        Raises:
            PeerError: The call failed, or the host's address is unknown.
            CodecError: The response is not a known record.
        """
        peer = self._peer(host)
        key = pin.key
        payload = codec.encode(pin)
        stored = await peer.keep_session(key.account, key.wire_name, payload)
        return _decode_pin(stored) or pin

    def _peer(self, host: str) -> client.PeerClient:
        address = self.address_of(host)
        if address is None:
            raise errors.PeerUnreachableError(
                f"the peer address of host {host} is unknown",
                "Try again after the next exchange of gossip.",
            )
        return self.clients.get(address)


def _decode_pin(payload: bytes) -> pins.Pin | None:
    """Returns None if the payload is empty or another type of record."""
    if not payload:
        return None
    pin = codec.decode(payload)
    return pin if isinstance(pin, pins.Pin) else None
