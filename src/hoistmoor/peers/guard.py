"""Takes only the calls that hosts of this deployment signed."""

from __future__ import annotations

import functools
from typing import Any, Protocol, TYPE_CHECKING

from grpclib import const

from hoistmoor.core.security import calls
from hoistmoor.peers import signing
from hoistmoor.utils import limited_log
from hoistmoor.utils import logs
from hoistmoor.utils import metrics as metrics_lib

if TYPE_CHECKING:
    from collections.abc import Callable

_LOG = logs.PartLogger("security")
_SHOWN_CHARS = 80  # A refused caller may call itself anything.


class Guard(Protocol):
    """Stands in front of the handlers of calls."""

    def wrap(self, mapping: dict[str, Any]) -> dict[str, Any]:
        """Returns the handlers by path, behind the guard."""


class CallGuard:
    """Checks each call, counts and logs the refused ones."""

    def __init__(
        self,
        verifier: calls.Verifier,
        clock: Callable[[], float],
        metrics: metrics_lib.Metrics | None = None,
    ) -> None:
        self.verifier = verifier
        self._clock = clock
        self._metrics = metrics or metrics_lib.Metrics()
        self._refusals = limited_log.LimitedLog(_LOG, clock)

    def wrap(self, mapping: dict[str, Any]) -> dict[str, Any]:
        """Returns the handlers by path, behind the guard."""
        return {
            path: handler._replace(
                func=functools.partial(self._take, path, handler)
            )
            for path, handler in mapping.items()
        }

    async def _take(self, path: str, handler: Any, stream: Any) -> None:
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
        await handler.func(_Exchange(stream, message, verdict))

    async def _refuse(
        self, stream: Any, refused: calls.RejectedCall, path: str
    ) -> None:
        self._metrics.peer_refusal(refused.reason)
        self._log(refused, path, stream)
        times = {signing.TIME_HEADER: refused.time_header}
        await stream.send_trailing_metadata(
            status=const.Status.UNAUTHENTICATED,
            status_message=str(refused.reason),
            metadata=times if refused.time_header else None,
        )

    def _log(self, refused: calls.RejectedCall, path: str, stream: Any) -> None:
        address = stream.peer.addr() if stream.peer else None
        self._refusals.warning(
            refused.reason,
            "Refused %s from %s, which says it is %r: %s",
            path.rpartition("/")[2],
            address[0] if address else "an unknown address",
            refused.caller[:_SHOWN_CHARS],
            str(refused.reason),
        )


class OpenGuard:
    """Takes every call; for tests."""

    def wrap(self, mapping: dict[str, Any]) -> dict[str, Any]:
        """Returns the handlers by path."""
        return {
            path: handler._replace(func=functools.partial(_pass, handler))
            for path, handler in mapping.items()
        }


async def _pass(handler: Any, stream: Any) -> None:
    message = handler.request_type.FromString(await stream.recv_message())
    await handler.func(_Exchange(stream, message, None))


class _Exchange:
    """A checked call, as the generated handlers see a stream."""

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
