"""Authenticates operators by their bearer keys."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
import functools
from typing import TYPE_CHECKING

from aiohttp import web

from hoistmoor.core import refusals
from hoistmoor.core.security import operators
from hoistmoor.entry import responses
from hoistmoor.utils import logs

if TYPE_CHECKING:
    from hoistmoor.utils import metrics as metrics_lib

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

_LOG = logs.PartLogger("security")
_BEARER_SCHEME = "bearer"


class OperatorGuard:
    """Restricts handlers to callers with a valid operator key.

    Attributes:
        key_hashes: SHA-256 hash of each key in use; if empty, the handlers are
            open to everyone.
    """

    def __init__(
        self, key_hashes: tuple[str, ...], metrics: metrics_lib.Metrics
    ) -> None:
        self.key_hashes = key_hashes
        self._metrics = metrics
        if not key_hashes:
            _LOG.warning(
                "/status and /explain are open to all: no operator key is "
                "set. See --operator-keys"
            )

    def wrap(self, handler: Handler) -> Handler:
        """Wraps ``handler`` so that it requires an operator key."""
        return functools.partial(self._serve, handler)

    async def _serve(
        self, handler: Handler, http: web.Request
    ) -> web.StreamResponse:
        reason = self._auth_failure(http.headers.get("Authorization", ""))
        if reason is None:
            return await handler(http)
        self._metrics.refusal(reason)
        refusal = responses.not_run_refusal(
            reason, "only operators may ask this"
        )
        return responses.refusal_response(refusal, "")

    def _auth_failure(self, authorization: str) -> refusals.Reason | None:
        if not self.key_hashes:
            return None
        scheme, _, key = authorization.partition(" ")
        if scheme.lower() != _BEARER_SCHEME or not key:
            return refusals.Reason.NO_KEY
        if not operators.is_operator(key.strip(), self.key_hashes):
            return refusals.Reason.WRONG_KEY
        return None
