"""Client for calls to a peer, and a bounded pool of such clients."""

from __future__ import annotations

import asyncio
import collections
from typing import Any, Protocol, TYPE_CHECKING

import grpclib
from grpclib import client
from grpclib import const
from grpclib import exceptions

from hoistmoor.peers import errors
from hoistmoor.peers import handlers
from hoistmoor.peers import peer_grpc
from hoistmoor.peers import peer_pb2
from hoistmoor.peers import raw_codec
from hoistmoor.peers import signing as signing_lib
from hoistmoor.utils import addresses

if TYPE_CHECKING:
    from collections.abc import Callable
    import ssl

PING_TIMEOUT = 0.5  # Seconds.
CALL_TIMEOUT = 1.0  # Seconds.
FETCH_TIMEOUT = 5.0  # Seconds; table snapshots can be large.
MAX_CONNECTIONS = 32
# Calls on a connection across a network partition time out without any other
# error, so the connection is replaced after this many consecutive timeouts.
_TIMEOUTS_BEFORE_RECONNECT = 2


class _Method(Protocol):
    """A unary method of the generated stub."""

    name: str
    reply_type: Any

    def open(self, *, timeout: float, metadata: dict[str, str]) -> Any: ...


class PeerClient:
    """Client for calls to one peer over one channel.

    Attributes:
        address: The peer's ``ip:port``.
        active_calls: Number of calls in progress.

    Every call raises:
        PeerUnreachableError: There was no connection, it failed, or the reply
            could not be authenticated.
        PeerTimeoutError: No reply in time.
        PeerRefusedError: The peer replied with an error.
    """

    def __init__(
        self,
        address: str,
        signing: signing_lib.Signing | None = None,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Creates a client; the first call opens the connection.

        Args:
            address: The peer's ``ip:port``.
            signing: Signs calls and verifies replies; None disables both, for
                tests only.
            tls: TLS settings; None for an unencrypted connection.
        """
        parsed = addresses.parse(address)
        self.address = address
        self.active_calls = 0
        self._timeouts = 0
        self._signing = (signing or signing_lib.NO_SIGNING).for_peer(address)
        self._channel = client.Channel(
            parsed.ip, parsed.port, codec=raw_codec.RawCodec(), ssl=tls
        )
        self._stub = peer_grpc.PeerStub(self._channel)

    async def ping(self, digest: peer_pb2.Digest) -> peer_pb2.Digest:
        """Sends a digest and returns the digest of the peer."""
        reply: peer_pb2.Digest = await self._call(
            self._stub.Ping, digest, PING_TIMEOUT
        )
        return reply

    async def ping_for(self, target: str, peer_address: str) -> bool:
        """Returns whether ``target`` replies to a ping from this peer."""
        request = peer_pb2.PingForRequest(
            target=target, peer_address=peer_address
        )
        reply = await self._call(self._stub.PingFor, request, CALL_TIMEOUT)
        return bool(reply.reached)

    async def hold_bills(self, batch_id: str, batch: bytes) -> None:
        """Asks the peer to hold an encoded batch of bills."""
        request = peer_pb2.HoldBillsRequest(batch_id=batch_id, batch=batch)
        await self._call(self._stub.HoldBills, request, CALL_TIMEOUT)

    async def release_bills(self, batch_ids: tuple[str, ...]) -> None:
        """Asks the peer to drop batches that it holds."""
        request = peer_pb2.ReleaseBillsRequest(batch_ids=batch_ids)
        await self._call(self._stub.ReleaseBills, request, CALL_TIMEOUT)

    async def fetch_table(self, revision: int) -> bytes:
        """Returns a snapshot newer than ``revision``, or empty bytes."""
        request = peer_pb2.FetchTableRequest(table_mark=revision + 1)
        reply = await self._call(self._stub.FetchTable, request, FETCH_TIMEOUT)
        return bytes(reply.snapshot)

    async def find_decision(self, request_id: str) -> bytes:
        """Returns the encoded decision on a request, or empty bytes."""
        request = peer_pb2.FindDecisionRequest(request_id=request_id)
        reply = await self._call(self._stub.FindDecision, request, CALL_TIMEOUT)
        return bytes(reply.decision)

    async def find_key(
        self, account: str, key: str, claim_id: str
    ) -> handlers.KeyLookup:
        """Returns the peer's state of an idempotency key."""
        request = peer_pb2.FindKeyRequest(
            account=account, key=key, claim_id=claim_id
        )
        reply = await self._call(self._stub.FindKey, request, CALL_TIMEOUT)
        return handlers.KeyLookup(reply.state, bytes(reply.answer))

    async def find_session(self, account: str, session: str) -> bytes:
        """Returns the encoded pin of a session, or empty bytes."""
        request = peer_pb2.FindSessionRequest(account=account, session=session)
        reply = await self._call(self._stub.FindSession, request, CALL_TIMEOUT)
        return bytes(reply.pin)

    async def keep_session(
        self, account: str, session: str, pin: bytes
    ) -> bytes:
        """Proposes an encoded pin; returns the encoded pin in effect."""
        request = peer_pb2.KeepSessionRequest(
            account=account, session=session, pin=pin
        )
        reply = await self._call(self._stub.KeepSession, request, CALL_TIMEOUT)
        return bytes(reply.pin)

    async def shares(self, message: bytes) -> bytes:
        """Sends an encoded message about limit shares; returns the reply."""
        request = peer_pb2.SharesRequest(message=message)
        reply = await self._call(self._stub.Shares, request, CALL_TIMEOUT)
        return bytes(reply.message)

    def close(self) -> None:
        """Closes the connection; a later call opens a new one."""
        self._channel.close()

    async def _call(self, method: _Method, message: Any, timeout: float) -> Any:
        self.active_calls += 1
        try:
            async with asyncio.timeout(timeout):
                reply = await self._exchange(method, message, timeout)
        except TimeoutError as error:
            self._record_timeout()
            raise errors.PeerTimeoutError(
                f"peer {self.address} did not reply within {timeout} s",
                "Try another peer.",
            ) from error
        except grpclib.GRPCError as error:
            raise _make_refused_error(self.address, error) from error
        except (OSError, exceptions.StreamTerminatedError) as error:
            raise errors.PeerUnreachableError(
                f"peer {self.address} is unreachable: {error}",
                "Try another peer.",
            ) from error
        finally:
            self.active_calls -= 1
        self._timeouts = 0
        return reply

    async def _exchange(
        self, method: _Method, message: Any, timeout: float
    ) -> Any:
        body = message.SerializeToString()
        reply = await self._send(method, body, timeout)
        if reply is None:  # Retried once with the clock offset of the peer.
            reply = await self._send(method, body, timeout)
        return method.reply_type.FromString(reply)

    async def _send(
        self, method: _Method, body: bytes, timeout: float
    ) -> bytes | None:
        """Returns the reply, or None if the call should be signed again."""
        signed = self._signing.sign(method.name, body)
        try:
            async with method.open(
                timeout=timeout, metadata=signed.metadata
            ) as stream:
                await stream.send_message(body, end=True)
                reply: bytes = await stream.recv_message() or b""
        except grpclib.GRPCError as error:
            if signed.adopt_time(stream.trailing_metadata):
                return None
            if error.status is const.Status.UNAUTHENTICATED:
                signed.log_refusal(str(error.message))
            raise
        signed.verify_reply(stream.initial_metadata, reply)
        return reply

    def _record_timeout(self) -> None:
        self._timeouts += 1
        if self._timeouts >= _TIMEOUTS_BEFORE_RECONNECT:
            self._timeouts = 0
            self._channel.close()


class PeerClientPool:
    """A pool of clients by address.

    Above the limit, the least recently used idle clients are closed.
    """

    def __init__(
        self,
        limit: int = MAX_CONNECTIONS,
        make_client: Callable[[str], PeerClient] = PeerClient,
    ) -> None:
        self.limit = limit
        self._make_client = make_client
        self._clients: collections.OrderedDict[str, PeerClient] = (
            collections.OrderedDict()
        )

    def get(self, address: str) -> PeerClient:
        """Returns the client for the peer at ``address``."""
        peer = self._clients.get(address)
        if peer is None:
            peer = self._clients[address] = self._make_client(address)
        self._clients.move_to_end(address)
        if len(self._clients) > self.limit:
            self._close_idle(peer)
        return peer

    def _close_idle(self, kept: PeerClient) -> None:
        surplus = len(self._clients) - self.limit
        idle = [
            peer
            for peer in self._clients.values()
            if peer.active_calls == 0 and peer is not kept
        ]
        for peer in idle[:surplus]:
            del self._clients[peer.address]
            peer.close()

    def close(self) -> None:
        """Closes every connection."""
        while self._clients:
            _, peer = self._clients.popitem()
            peer.close()


_ERRORS_BY_STATUS = {
    const.Status.UNAUTHENTICATED: errors.PeerAuthenticationError
}
_REMEDIES_BY_STATUS = {
    const.Status.UNAUTHENTICATED: (
        "See docs/operators/keys.md on refused calls."
    )
}


def _make_refused_error(
    address: str, error: grpclib.GRPCError
) -> errors.PeerRefusedError:
    error_type = _ERRORS_BY_STATUS.get(error.status, errors.PeerRefusedError)
    remedy = _REMEDIES_BY_STATUS.get(
        error.status, "Check that both hosts run the same release."
    )
    return error_type(
        f"peer {address} refused the call: {error.message}", remedy
    )
