"""Parses HTTP requests and validates them against the table in force."""

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

_BODY_TIMEOUT_SECONDS = 10.0  # To receive a whole body.
_SERVICES_PREFIX = "/v1/services/"


@attrs.frozen
class Caller:
    """An authenticated caller and the context of its request.

    Attributes:
        account: The caller's row in the table.
        headers: Validated request headers.
        in_force: The table that applies to the request.
        request_id: ID of the request.
        arrived_at: Arrival time of the request, in seconds since the epoch.
    """

    account: model.Account
    headers: parsing.Headers
    in_force: model.ActiveTable
    request_id: identity.RequestId
    arrived_at: float


class RequestReader:
    """Authenticates callers and parses their requests.

    Attributes:
        incarnation: Incarnation of this process; part of each request ID.
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
        self._serial_numbers = itertools.count(1)
        self._kind_registry = kind_registry.KindRegistry()

    def next_request_id(self) -> identity.RequestId:
        """Returns a new request ID."""
        return identity.RequestId(self.incarnation, next(self._serial_numbers))

    def authenticate(
        self, http: web.Request, request_id: identity.RequestId
    ) -> Caller:
        """Authenticates the caller of an HTTP request.

        Raises:
            parsing.RefusedError: This host accepts no new work, or the
                headers or the bearer key are invalid.
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
        """Reads the body of a chat request and parses it.

        Raises:
            parsing.RefusedError: The request is invalid, or the account has
                no grant for the model.
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
        kind = self._kind_registry.register(
            caller.account.account, caller.headers.kind
        )
        return parsing.make_chat_request(shared, kind, body, raw)

    async def read_call(
        self, http: web.Request, caller: Caller
    ) -> request_types.CallRequest:
        """Reads a call to a plain HTTP service and parses it.

        Raises:
            parsing.RefusedError: The call is invalid, or the account may not
                make it.
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
        max_bytes = int(limits.value(table, "body_bytes"))
        detail = f"the body may have at most {max_bytes} bytes"
        if (http.content_length or 0) > max_bytes:
            raise parsing.refusal_error(refusals.Reason.BODY_TOO_LARGE, detail)
        body = bytearray()
        try:
            async with asyncio.timeout(_BODY_TIMEOUT_SECONDS):
                async for chunk in http.content.iter_any():
                    body += chunk
                    if len(body) > max_bytes:
                        raise parsing.refusal_error(
                            refusals.Reason.BODY_TOO_LARGE, detail
                        )
        except TimeoutError:
            raise parsing.refusal_error(
                refusals.Reason.BAD_BODY,
                "the body did not come whole within "
                f"{_BODY_TIMEOUT_SECONDS:.0f} s",
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
            caller.arrived_at,
            timeout,
            priority,
        )
