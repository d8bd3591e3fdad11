"""Server-side authentication of calls from peers."""

from __future__ import annotations

import functools
from typing import Any, Protocol, TYPE_CHECKING

from grpclib import const

from hoistmoor.core.security import calls
from hoistmoor.peers import signing
from hoistmoor.utils import logs
from hoistmoor.utils import metrics as metrics_lib
from hoistmoor.utils import rate_limited_log

if TYPE_CHECKING:
    from collections.abc import Callable

_LOG = logs.PartLogger("security")
_MAX_NAME_CHARS = 80  # The name of an unauthenticated caller is arbitrary.


class Guard(Protocol):
    """Intercepts calls before their handlers."""

    def wrap(self, mapping: dict[str, Any]) -> dict[str, Any]:
        """Returns the wrapped handlers by path."""


class CallGuard:
    """Authenticates calls; counts and logs those that it refuses."""

    def __init__(
        self,
        verifier: calls.Verifier,
        clock: Callable[[], float],
        metrics: metrics_lib.Metrics | None = None,
    ) -> None:
        self.verifier = verifier
        self._clock = clock
        self._metrics = metrics or metrics_lib.Metrics()
        self._refusal_log = rate_limited_log.RateLimitedLog(_LOG, clock)

    def wrap(self, mapping: dict[str, Any]) -> dict[str, Any]:
        """Returns the wrapped handlers by path."""
        return {
            path: handler._replace(
                func=functools.partial(self._authenticate, path, handler)
            )
            for path, handler in mapping.items()
        }

    async def _authenticate(self, path: str, handler: Any, stream: Any) -> None:
        header = (stream.metadata or {}).get(signing.CALL_HEADER)
        verdict = self.verifier.verify(path, header, self._clock())
        if isinstance(verdict, calls.RejectedCall):
            await self._refuse(stream, verdict, path)
            return
        body = await stream.recv_message()
        if body is None or not verdict.matches_body(body):
            altered = calls.RejectedCall(
                calls.RejectionReason.ALTERED, verdict.parameters.caller
            )
            await self._refuse(stream, altered, path)
            return
        message = handler.request_type.FromString(body)
        await handler.func(_CallStream(stream, message, verdict))

    async def _refuse(
        self, stream: Any, refused: calls.RejectedCall, path: str
    ) -> None:
        self._metrics.peer_refusal(refused.reason)
        self._log_refusal(refused, path, stream)
        metadata = {signing.TIME_HEADER: refused.time_header}
        await stream.send_trailing_metadata(
            status=const.Status.UNAUTHENTICATED,
            status_message=str(refused.reason),
            metadata=metadata if refused.time_header else None,
        )

    def _log_refusal(
        self, refused: calls.RejectedCall, path: str, stream: Any
    ) -> None:
        address = stream.peer.addr() if stream.peer else None
        self._refusal_log.warning(
            refused.reason,
            "Refused %s call from %s, which claims to be %r: %s",
            path.rpartition("/")[2],
            address[0] if address else "an unknown address",
            refused.caller[:_MAX_NAME_CHARS],
            str(refused.reason),
        )


class AllowAllGuard:
    """Accepts every call; for tests only."""

    def wrap(self, mapping: dict[str, Any]) -> dict[str, Any]:
        """Returns the wrapped handlers by path."""
        return {
            path: handler._replace(func=functools.partial(_handle, handler))
            for path, handler in mapping.items()
        }


async def _handle(handler: Any, stream: Any) -> None:
    message = handler.request_type.FromString(await stream.recv_message())
    await handler.func(_CallStream(stream, message, None))


class _CallStream:
    """A call with its decoded request, in place of the gRPC stream."""

    def __init__(
        self, stream: Any, message: Any, call: calls.AuthenticatedCall | None
    ) -> None:
        self._stream = stream
        self._message = message
        self._call = call

    async def recv_message(self) -> Any:
        return self._message

    async def send_message(self, reply: Any) -> None:
        body = reply.SerializeToString()
        if self._call is not None:
            header = self._call.sign_reply(body)
            await self._stream.send_initial_metadata(
                metadata={signing.REPLY_HEADER: header}
            )
        await self._stream.send_message(body)
