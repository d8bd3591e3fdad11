"""Stand-in for a plain service, such as a top-up counter or a booking desk.

As with a real service, a POST or PUT takes effect each time it is executed:
only the router prevents duplicate executions.
"""

from __future__ import annotations

import asyncio
import time
from typing import Any, TYPE_CHECKING

import attrs
import orjson

from hoistmoor.standins import executions
from hoistmoor.standins import fault_registry
from hoistmoor.standins import faults
from hoistmoor.standins import load_reports
from hoistmoor.standins import responses

if TYPE_CHECKING:
    from aiohttp import web

_READ_METHODS = frozenset({"GET", "HEAD"})


@attrs.frozen
class ServiceSettings:
    """Settings of a service stand-in.

    Attributes:
        name: Name of the backend server.
        incarnation: Incarnation of the backend server.
        capacity: Maximum number of calls in service.
        queue_limit: Maximum number of waiting calls.
        service_time: Duration of a call in seconds.
        report_interval: Seconds between load reports.
    """

    name: str
    incarnation: int
    capacity: int = 16
    queue_limit: int = 256
    service_time: float = 0.003
    report_interval: float = 0.25


class ServiceStandin:
    """A service that stores the effects of calls by the id of their subject."""

    def __init__(
        self, book: fault_registry.FaultRegistry, settings: ServiceSettings
    ) -> None:
        self.fault_registry = book
        self.settings = settings
        self.stopping = False
        self.slots = asyncio.Semaphore(settings.capacity)
        self.running = 0
        self.queued = 0
        self.executions = executions.ExecutionLog()
        self.effects: dict[str, list[dict[str, Any]]] = {}
        self.reports = load_reports.LoadReporter(
            book, self.load_report, settings.report_interval
        )

    def add_routes(self, application: web.Application) -> None:
        """Registers the routes of the service."""
        self.executions.add_routes(application)
        self.reports.add_routes(application)
        application.router.add_route("*", "/{path:.*}", self.handle_call)

    @property
    def is_leaving(self) -> bool:
        """Whether new work is declined."""
        return (
            self.stopping
            or self.fault_registry.find(faults.Leaving) is not None
        )

    @property
    def is_idle(self) -> bool:
        """Whether no call is in service or waiting."""
        return not self.running and not self.queued

    def stop(self) -> None:
        """Declines new work from now on."""
        self.stopping = True

    def load_report(self) -> dict[str, Any]:
        """Returns the current load report."""
        return {
            "server": self.settings.name,
            "incarnation": self.settings.incarnation,
            "state": "leaving" if self.is_leaving else "live",
            "running": self.running,
            "queued": self.queued,
            "capacity": self.settings.capacity,
            "kv_used": 0.0,
            "versions": [],
        }

    async def handle_call(self, request: web.Request) -> web.Response:
        """Executes or declines a call."""
        body = await request.read()
        reason = self._reason_to_decline()
        if reason:
            response = responses.not_run_response(reason)
        else:
            response = await self._execute_in_slot(request, body)
        responses.echo_attempt_id(request, response)
        return response

    def _reason_to_decline(self) -> str:
        if self.is_leaving:
            return responses.LEAVING
        is_busy = self.running >= self.settings.capacity
        if is_busy and self.queued >= self.settings.queue_limit:
            return "full"
        return ""

    async def _execute_in_slot(
        self, request: web.Request, body: bytes
    ) -> web.Response:
        self.queued += 1
        try:
            await self.slots.acquire()
        finally:
            self.queued -= 1
        self.running += 1
        try:
            return await self._execute(request, body)
        finally:
            self.running -= 1
            self.slots.release()

    async def _execute(self, request: web.Request, body: bytes) -> web.Response:
        text = body.decode(errors="replace")
        run = self.executions.start(request, text, time.time())
        await asyncio.sleep(
            self.settings.service_time * self.fault_registry.slow_factor()
        )
        run.state = "done"
        if request.method in _READ_METHODS:
            return self._read(request)
        return self._apply(request, body, run)

    def _read(self, request: web.Request) -> web.Response:
        subject = request.path.rsplit("/", 1)[-1]
        effects = self.effects.get(subject, [])
        balance = sum(int(effect.get("amount") or 0) for effect in effects)
        return responses.json_response(
            {"id": subject, "balance": balance, "effects": effects}
        )

    def _apply(
        self, request: web.Request, body: bytes, run: executions.Execution
    ) -> web.Response:
        try:
            fields = orjson.loads(body or b"{}")
        except orjson.JSONDecodeError:
            return responses.json_response({"error": "not JSON"}, 400)
        subject = str(fields.get("id", run.serial))
        effect = {**fields, "call": request.path, "execution": run.serial}
        self.effects.setdefault(subject, []).append(effect)
        return responses.json_response(
            {"id": subject, "execution": run.serial, "done": True}
        )
