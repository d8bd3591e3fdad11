"""A peer that reaches the hosts but lacks the secret of the deployment."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.core.security import calls
from hoistmoor.peers import client
from hoistmoor.peers import errors
from hoistmoor.peers import peer_pb2
from hoistmoor.peers import signing

if TYPE_CHECKING:
    from collections.abc import Callable

WRONG_SECRET = "a-secret-from-elsewhere"
SERVER = "127.0.0.9:9000"  # Leaving server of a forged ping.


async def attempt_calls(
    peer_address: str, incarnation: int, clock: Callable[[], float]
) -> list[str]:
    """Attempts harmful peer calls and returns those that were accepted."""
    signer = calls.Signer("entry-1", incarnation, (WRONG_SECRET,))
    peer = client.PeerClient(peer_address, signing.CallSigning(signer, clock))
    forged = peer_pb2.Digest(sender="entry-1", incarnation=incarnation)
    attempts = {
        "ping": lambda: peer.ping(forged),
        "hold_bills": lambda: peer.hold_bills("1", b"{}"),
        "release_bills": lambda: peer.release_bills(("1",)),
        "fetch_table": lambda: peer.fetch_table(-1),
        "find_decision": lambda: peer.find_decision("entry-1.1.1"),
        "keep_session": lambda: peer.keep_session("a", "s", b"{}"),
        "shares": lambda: peer.shares(b"{}"),
    }
    accepted = []
    for name, attempt in attempts.items():
        try:
            await attempt()
        except errors.PeerAuthenticationError:
            continue
        except errors.PeerError as error:
            accepted.append(f"{name}: {error}")
        else:
            accepted.append(name)
    peer.close()
    return accepted
