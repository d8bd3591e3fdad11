"""Records of the requests that a stand-in executed, for history checks."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hoistmoor.standins import responses

if TYPE_CHECKING:
    from aiohttp import web

IDEMPOTENCY_HEADER = "Idempotency-Key"
_PATH = "/_executions"
_MAX_PAGE_ROWS = 10_000


@attrs.define
class Execution:
    """One execution of a request.

    Attributes:
        serial: Number of the execution in this process, from 0.
        at: When it started, in seconds since the epoch.
        method: HTTP method of the request.
        path: Path of the request.
        attempt_id: Attempt id of the request.
        idempotency_key: Idempotency key of the request.
        subject: The version for an engine, the body for a service.
        state: ``running``, ``done``, ``cancelled`` or ``cut``.
        tokens: Number of tokens generated.
        good: Whether the response is good; None for a service.
    """

    serial: int
    at: float
    method: str
    path: str
    attempt_id: str
    idempotency_key: str
    subject: str
    state: str = "running"
    tokens: int = 0
    good: bool | None = None


class ExecutionLog:
    """All executions of a stand-in, in order of their start."""

    def __init__(self) -> None:
        self.executions: list[Execution] = []

    def add_routes(self, application: web.Application) -> None:
        """Registers the route that lists the executions."""
        application.router.add_get(_PATH, self.handle_list)

    def start(
        self, request: web.Request, subject: str, now: float
    ) -> Execution:
        """Records the start of an execution."""
        row = Execution(
            serial=len(self.executions),
            at=now,
            method=request.method,
            path=request.path,
            attempt_id=request.headers.get(responses.ATTEMPT_HEADER, ""),
            idempotency_key=request.headers.get(IDEMPOTENCY_HEADER, ""),
            subject=subject,
        )
        self.executions.append(row)
        return row

    async def handle_list(self, request: web.Request) -> web.Response:
        """Returns a page of executions from a serial number on."""
        since = int(request.query.get("since", "0"))
        rows = self.executions[since : since + _MAX_PAGE_ROWS]
        return responses.json_response(
            {
                "next": since + len(rows),
                "executions": [attrs.asdict(row) for row in rows],
            }
        )
