"""Handlers of calls from peers.

Each component of a host sets the handlers of its own calls. Calls without a
handler fail with the gRPC status UNIMPLEMENTED.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import NoReturn

import attrs
import grpclib
from grpclib import const

from hoistmoor.peers import peer_pb2


@attrs.frozen
class KeyLookup:
    """A peer's state of an idempotency key.

    Attributes:
        state: State of the claim on the key; empty if the claim is unknown.
        answer: The stored response, if any.
    """

    state: str = ""
    answer: bytes = b""


async def _unimplemented(*_: object) -> NoReturn:
    raise grpclib.GRPCError(const.Status.UNIMPLEMENTED, "no such call here")


@attrs.define(kw_only=True)
class PeerHandlers:
    """One handler per call, each set when its component is ready.

    Attributes:
        ping: Merges the digest of a peer and returns that of this host.
        ping_for: Takes the name and the peer address of a host; returns
            whether that host replies to a ping from this one.
        hold_bills: Takes the id and the bytes of a batch of bills, and holds
            the batch until it is released.
        release_bills: Takes the ids of held batches that their owner has
            appended to the log.
        fetch_table: Takes a revision; returns a newer snapshot, or empty
            bytes.
        find_decision: Takes a request id; returns the encoded decision, or
            empty bytes.
        find_key: Takes a client account, a key and a claim id; returns the
            state of the key.
        find_session: Takes a client account and a session; returns the encoded
            pin, or empty bytes.
        keep_session: Takes a client account, a session and a proposed encoded
            pin; returns the encoded pin in effect.
        shares: Takes an encoded message about limit shares; returns the reply.
    """

    ping: Callable[[peer_pb2.Digest], Awaitable[peer_pb2.Digest]] = (
        _unimplemented
    )
    ping_for: Callable[[str, str], Awaitable[bool]] = _unimplemented
    hold_bills: Callable[[str, bytes], Awaitable[None]] = _unimplemented
    release_bills: Callable[[tuple[str, ...]], Awaitable[None]] = _unimplemented
    fetch_table: Callable[[int], Awaitable[bytes]] = _unimplemented
    find_decision: Callable[[str], Awaitable[bytes]] = _unimplemented
    find_key: Callable[[str, str, str], Awaitable[KeyLookup]] = _unimplemented
    find_session: Callable[[str, str], Awaitable[bytes]] = _unimplemented
    keep_session: Callable[[str, str, bytes], Awaitable[bytes | None]] = (
        _unimplemented
    )
    shares: Callable[[bytes], Awaitable[bytes]] = _unimplemented
