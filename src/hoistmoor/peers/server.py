"""gRPC server for calls from peers."""

from __future__ import annotations

import socket
from typing import Any, TYPE_CHECKING
import weakref

from grpclib import server

from hoistmoor.peers import guard as guard_lib
from hoistmoor.peers import handlers as handlers_lib
from hoistmoor.peers import peer_grpc
from hoistmoor.peers import peer_pb2
from hoistmoor.peers import raw_codec

if TYPE_CHECKING:
    import ssl


class _PeerService(peer_grpc.PeerBase):
    """Dispatches gRPC calls to handlers with plain arguments."""

    def __init__(
        self, handlers: handlers_lib.PeerHandlers, guard: guard_lib.Guard
    ) -> None:
        self.handlers = handlers
        self._guard = guard

    def __mapping__(self) -> dict[str, Any]:
        """Returns the handlers by path, wrapped by the guard."""
        return self._guard.wrap(super().__mapping__())

    async def Ping(self, stream: Any) -> None:  # noqa: N802
        digest = await stream.recv_message()
        await stream.send_message(await self.handlers.ping(digest))

    async def PingFor(self, stream: Any) -> None:  # noqa: N802
        request = await stream.recv_message()
        reached = await self.handlers.ping_for(
            request.target, request.peer_address
        )
        await stream.send_message(peer_pb2.PingForReply(reached=reached))

    async def HoldBills(self, stream: Any) -> None:  # noqa: N802
        request = await stream.recv_message()
        await self.handlers.hold_bills(request.batch_id, request.batch)
        await stream.send_message(peer_pb2.HoldBillsReply())

    async def ReleaseBills(self, stream: Any) -> None:  # noqa: N802
        request = await stream.recv_message()
        await self.handlers.release_bills(tuple(request.batch_ids))
        await stream.send_message(peer_pb2.ReleaseBillsReply())

    async def FetchTable(self, stream: Any) -> None:  # noqa: N802
        request = await stream.recv_message()
        snapshot = await self.handlers.fetch_table(request.table_mark - 1)
        await stream.send_message(peer_pb2.FetchTableReply(snapshot=snapshot))

    async def FindDecision(self, stream: Any) -> None:  # noqa: N802
        request = await stream.recv_message()
        decision = await self.handlers.find_decision(request.request_id)
        await stream.send_message(peer_pb2.FindDecisionReply(decision=decision))

    async def FindKey(self, stream: Any) -> None:  # noqa: N802
        request = await stream.recv_message()
        found = await self.handlers.find_key(
            request.account, request.key, request.claim_id
        )
        await stream.send_message(
            peer_pb2.FindKeyReply(state=found.state, answer=found.answer)
        )

    async def FindSession(self, stream: Any) -> None:  # noqa: N802
        request = await stream.recv_message()
        pin = await self.handlers.find_session(request.account, request.session)
        await stream.send_message(peer_pb2.FindSessionReply(pin=pin))

    async def KeepSession(self, stream: Any) -> None:  # noqa: N802
        request = await stream.recv_message()
        pin = await self.handlers.keep_session(
            request.account, request.session, request.pin
        )
        await stream.send_message(peer_pb2.KeepSessionReply(pin=pin or b""))

    async def Shares(self, stream: Any) -> None:  # noqa: N802
        request = await stream.recv_message()
        message = await self.handlers.shares(request.message)
        await stream.send_message(peer_pb2.SharesReply(message=message))


class _ClosingServer(server.Server):
    """A server whose ``close`` also closes open connections.

    By itself, ``grpclib`` only stops listening and still serves calls on open
    connections. It could accept bills to hold that are lost when this process
    exits.
    """

    def __init__(self, service: _PeerService) -> None:
        super().__init__([service], codec=raw_codec.RawCodec())
        self._protocols: weakref.WeakSet[Any] = weakref.WeakSet()

    def _protocol_factory(self) -> Any:
        protocol = super()._protocol_factory()
        self._protocols.add(protocol)
        return protocol

    def close(self) -> None:
        super().close()
        for protocol in tuple(self._protocols):
            if hasattr(protocol, "processor"):
                protocol.processor.close()


class PeerServer:
    """Serves calls from peers until closed.

    Attributes:
        port: The bound TCP port; 0 before the start.
    """

    def __init__(
        self,
        handlers: handlers_lib.PeerHandlers,
        guard: guard_lib.Guard | None = None,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Creates a server that does not listen yet.

        Args:
            handlers: Handlers of the calls.
            guard: Authenticates calls; None accepts all, for tests only.
            tls: TLS settings; None for unencrypted connections.
        """
        self.port = 0
        self._tls = tls
        self._server = _ClosingServer(
            _PeerService(handlers, guard or guard_lib.AllowAllGuard())
        )

    async def start(self, host: str, port: int) -> None:
        """Binds and listens; port 0 selects a free port.

        Raises:
            OSError: The address cannot be bound.
        """
        await self.start_on(socket.create_server((host, port)))

    async def start_on(self, listener: socket.socket) -> None:
        """Listens on a socket that is already bound."""
        await self._server.start(sock=listener, ssl=self._tls)
        self.port = listener.getsockname()[1]

    async def close(self) -> None:
        """Stops listening, cancels calls in progress and closes connections."""
        self._server.close()
        await self._server.wait_closed()
