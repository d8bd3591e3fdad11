"""Turns HTTP requests into typed ones, checked against the table in force."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core import identity
from hoistmoor.core import refusals
from hoistmoor.core.requests import admission
from hoistmoor.core.requests import kind_registry
from hoistmoor.core.requests import parsing
from hoistmoor.core.requests import request_types
from hoistmoor.core.table import limits
from hoistmoor.core.table import model

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import web

    from hoistmoor.entry import readiness as readiness_lib

_BODY_TIMEOUT = 10.0  # Seconds to receive a body in.
_SERVICES_PREFIX = "/v1/services/"


@attrs.frozen
class Caller:
    """A caller whose key is good.

    Attributes:
        account: The caller's row of the table.
        headers: Checked headers.
        in_force: The table that the request is decided by.
        request_id: Names the request.
        now: When it arrived, seconds since the epoch.
    """

    account: model.Account
    headers: parsing.Headers
    in_force: model.ActiveTable
    request_id: identity.RequestId
    now: float


class Intake:
    """Reads and checks callers' requests.

    Attributes:
        incarnation: This process.
    """

    def __init__(
        self,
        incarnation: identity.Incarnation,
        readiness: readiness_lib.Readiness,
        clock: Callable[[], float],
    ) -> None:
        self.incarnation = incarnation
        self._readiness = readiness
        self._clock = clock
        self._serials = itertools.count(1)
        self._kinds = kind_registry.KindRegistry()

    def next_id(self) -> identity.RequestId:
        """Returns the id of the next request."""
        return identity.RequestId(self.incarnation, next(self._serials))

    def identify(
        self, http: web.Request, request_id: identity.RequestId
    ) -> Caller:
        """Returns who calls.

        Raises:
            parsing.RefusedError: This host takes no work, or the caller's
                headers or key are no good.
        """
        in_force = self._readiness.check()
        if isinstance(in_force, refusals.Refusal):
            raise parsing.RefusedError(in_force)
        now = self._clock()
        headers = parsing.parse_headers(http.headers, now)
        account = admission.authenticate(in_force.table, headers.bearer)
        return Caller(account, headers, in_force, request_id, now)

    async def read_chat(
        self, http: web.Request, caller: Caller
    ) -> request_types.ChatRequest:
        """Returns the chat request that a caller sent.

        Raises:
            parsing.RefusedError: It is no good, or not granted.
        """
        raw = await self._read_body(http, caller.in_force.table)
        body = parsing.parse_chat_body(raw)
        table = caller.in_force.table
        admission.check_model(table, caller.account.account, body["model"])
        shared = self._envelope(
            http,
            caller,
            raw,
            limits.value(table, "default_deadline_seconds"),
            model.Priority.NORMAL,
        )
        kind = self._kinds.register(caller.account.account, caller.headers.kind)
        return parsing.make_chat_request(shared, kind, body, raw)

    async def read_call(
        self, http: web.Request, caller: Caller
    ) -> request_types.CallRequest:
        """Returns the call to a plain service that a caller sent.

        Raises:
            parsing.RefusedError: It is no good, or not allowed.
        """
        table = caller.in_force.table
        raw = await self._read_body(http, table)
        service, _, rest = http.path.removeprefix(_SERVICES_PREFIX).partition(
            "/"
        )
        call = admission.find_call(
            table, caller.account.account, service, http.method, f"/{rest}"
        )
        shared = self._envelope(
            http, caller, raw, table.services[service].timeout, call.priority
        )
        query = f"?{http.query_string}" if http.query_string else ""
        return request_types.CallRequest(
            envelope=shared,
            call=call,
            path=f"/{rest}{query}",
            content_type=http.headers.get("Content-Type", ""),
            body=raw,
        )

    async def _read_body(self, http: web.Request, table: model.Table) -> bytes:
        most = int(limits.value(table, "body_bytes"))
        detail = f"the body may have at most {most} bytes"
        if (http.content_length or 0) > most:
            raise parsing.refusal_error(refusals.Reason.BODY_TOO_LARGE, detail)
        body = bytearray()
        try:
            async with asyncio.timeout(_BODY_TIMEOUT):
                async for piece in http.content.iter_any():
                    body += piece
                    if len(body) > most:
                        raise parsing.refusal_error(
                            refusals.Reason.BODY_TOO_LARGE, detail
                        )
        except TimeoutError:
            raise parsing.refusal_error(
                refusals.Reason.BAD_BODY,
                f"the body did not come whole within {_BODY_TIMEOUT:.0f} s",
            ) from None
        return bytes(body)

    def _envelope(
        self,
        http: web.Request,
        caller: Caller,
        body: bytes,
        timeout: float,
        priority: model.Priority,
    ) -> request_types.Envelope:
        return parsing.make_envelope(
            caller.headers,
            caller.request_id,
            caller.account.account,
            parsing.fingerprint(http.method, http.path_qs, body),
            caller.now,
            timeout,
            priority,
        )
