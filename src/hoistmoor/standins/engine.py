"""Stand-in for a model engine with an OpenAI-compatible interface."""

from __future__ import annotations

import time
from typing import Any, TYPE_CHECKING

import attrs

from hoistmoor.standins import batch
from hoistmoor.standins import completions
from hoistmoor.standins import executions
from hoistmoor.standins import fault_registry
from hoistmoor.standins import faults
from hoistmoor.standins import load_reports
from hoistmoor.standins import orders
from hoistmoor.standins import prefix_cache
from hoistmoor.standins import prompts
from hoistmoor.standins import responses

if TYPE_CHECKING:
    from aiohttp import web

_DEFAULT_MAX_TOKENS = 256  # Used if the caller sets no max_tokens.
_DEFAULT_QUALITY = 0.9


@attrs.frozen
class EngineSettings:
    """Settings of an engine stand-in.

    Attributes:
        name: Name of the backend server.
        incarnation: Incarnation of the backend server.
        quality: Fraction of good responses by version key.
        loaded: Keys of the versions present at the start.
        capacity: Maximum number of requests in service.
        queue_limit: Maximum number of waiting requests.
        token_time: Seconds per token.
        prefill_time: Seconds per 1,000 prompt tokens not in the cache.
        slowdown: Fraction by which a full batch lengthens a step.
        answer_tokens: Mean length of a response in tokens.
        load_time: Seconds to load a version.
        cache_blocks: Capacity of the prefix cache in blocks.
        event_lag: Seconds for which a new cache event is hidden from readers.
        report_interval: Seconds between load reports.
        honours_fencing: Whether orders with stale fencing tokens are refused.
        seed: Seed of the difficulty of prompts, which decides whether a
            response is good.
    """

    name: str
    incarnation: int
    quality: dict[str, float]
    loaded: frozenset[str]
    capacity: int = 8
    queue_limit: int = 64
    token_time: float = 0.005
    prefill_time: float = 0.1
    slowdown: float = 0.0
    answer_tokens: int = 32
    load_time: float = 1.0
    cache_blocks: int = 4096
    event_lag: float = 0.5
    report_interval: float = 0.25
    honours_fencing: bool = True
    seed: int = 0


class EngineStandin:
    """An engine with loaded versions, a batch and a prefix cache."""

    def __init__(
        self, book: fault_registry.FaultRegistry, settings: EngineSettings
    ) -> None:
        self.fault_registry = book
        self.settings = settings
        self.stopping = False
        self.batch = batch.Batch(
            settings.capacity,
            settings.queue_limit,
            settings.token_time,
            settings.slowdown,
            book.slow_factor,
        )
        self.loader = orders.Loader(
            book,
            set(settings.loaded),
            settings.load_time,
            settings.honours_fencing,
        )
        self.cache = prefix_cache.PrefixCache(settings.cache_blocks)
        self.executions = executions.ExecutionLog()
        self.reports = load_reports.LoadReporter(
            book, self.load_report, settings.report_interval
        )
        self.attempts: dict[str, batch.Sequence] = {}
        self.in_flight = 0

    def add_routes(self, application: web.Application) -> None:
        """Registers the routes of the engine."""
        router = application.router
        router.add_post("/v1/chat/completions", self.handle_chat)
        router.add_delete("/v1/attempts/{attempt}", self.handle_cancel)
        router.add_get("/cache-events", self.handle_cache_events)
        self.loader.add_routes(application)
        self.executions.add_routes(application)
        self.reports.add_routes(application)

    @property
    def is_leaving(self) -> bool:
        """Whether the engine is leaving and declines all new work."""
        return (
            self.stopping
            or self.fault_registry.find(faults.Leaving) is not None
        )

    def stop(self) -> None:
        """Declines new work from now on."""
        self.stopping = True

    def load_report(self) -> dict[str, Any]:
        """Returns the current load report."""
        return {
            "server": self.settings.name,
            "incarnation": self.settings.incarnation,
            "state": "leaving" if self.is_leaving else "live",
            "running": len(self.batch.running),
            "queued": len(self.batch.waiting),
            "capacity": self.settings.capacity,
            "kv_used": round(self.cache.used_fraction, 4),
            "versions": sorted(self.loader.loaded),
        }

    async def handle_chat(self, request: web.Request) -> web.StreamResponse:
        """Handles a chat completion, whole or streamed."""
        body = await responses.read_json(request)
        reason = self._reason_to_decline(body["model"])
        if reason:
            response = responses.not_run_response(reason)
            responses.echo_attempt_id(request, response)
            return response
        completion = self._start(request, body)
        self.in_flight += 1
        try:
            return await completion.send(request)
        finally:
            self.in_flight -= 1
            self._end(completion)

    def _reason_to_decline(self, version: str) -> str:
        if self.is_leaving:
            return responses.LEAVING
        if version not in self.loader.loaded:
            return "not_loaded"
        return "full" if self.batch.is_full else ""

    def _start(
        self, request: web.Request, body: dict[str, Any]
    ) -> completions.Completion:
        prompt = prompts.parse_prompt(body["messages"])
        script = self._make_script(body, prompt)
        sequence = batch.Sequence(
            attempt_id=request.headers.get(responses.ATTEMPT_HEADER, ""),
            length=len(script.words),
            priority=batch.PRIORITIES.get(
                request.headers.get("X-Priority", "normal"), 1
            ),
            prefill_seconds=self._prefill_time(prompt),
        )
        run = self.executions.start(request, body["model"], time.time())
        run.good = script.good
        self.attempts[sequence.attempt_id] = sequence
        self.batch.add(sequence)
        return completions.Completion(body, prompt, script, sequence, run)

    def _make_script(
        self, body: dict[str, Any], prompt: prompts.Prompt
    ) -> prompts.ScriptedResponse:
        version = body["model"]
        quality = self.settings.quality.get(version, _DEFAULT_QUALITY)
        good = prompts.is_good_response(prompt, quality, self.settings.seed)
        if completions.should_degrade(self.fault_registry, version, prompt):
            good = False
        return prompts.script_response(
            prompt,
            version,
            good,
            self.settings.answer_tokens,
            int(body.get("max_tokens") or _DEFAULT_MAX_TOKENS),
        )

    def _prefill_time(self, prompt: prompts.Prompt) -> float:
        hits = self.cache.add(prompt.blocks, time.time())
        cached = hits / len(prompt.blocks) if prompt.blocks else 0.0
        uncached_tokens = prompt.tokens * (1.0 - cached)
        return uncached_tokens / 1000 * self.settings.prefill_time

    def _end(self, completion: completions.Completion) -> None:
        sequence = completion.sequence
        if not sequence.is_ended:
            self.batch.cancel(sequence)
        completion.execution.tokens = sequence.generated
        if self.attempts.get(sequence.attempt_id) is sequence:
            del self.attempts[sequence.attempt_id]

    async def handle_cancel(self, request: web.Request) -> web.Response:
        """Cancels the generation of an attempt's response."""
        sequence = self.attempts.get(request.match_info["attempt"])
        if sequence is None:
            return responses.json_response({"cancelled": False}, 404)
        self.batch.cancel(sequence)
        return responses.json_response({"cancelled": True})

    async def handle_cache_events(self, request: web.Request) -> web.Response:
        """Returns the cache events older than the lag.

        Events that a ``Gap`` fault omits are left out.
        """
        lag = self.settings.event_lag + self.fault_registry.extra_lag(
            "/cache-events"
        )
        next_sequence, rows = self.cache.events_between(
            int(request.query.get("since", "0")), time.time() - lag
        )
        gap = self.fault_registry.find(faults.Gap)
        if gap:
            rows = [row for row in rows if (row.sequence + 1) % gap.every]
        events = [
            {**attrs.asdict(row), "server": self.settings.name} for row in rows
        ]
        return responses.json_response(
            {
                "incarnation": self.settings.incarnation,
                "next": next_sequence,
                "events": events,
            }
        )
