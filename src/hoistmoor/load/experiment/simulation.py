"""Simulates a policy in a scenario on the virtual clock."""

from __future__ import annotations

import random

import attrs

from hoistmoor.core.routing import messages
from hoistmoor.core.routing import quality_estimates
from hoistmoor.core.routing import sequential
from hoistmoor.core.table import limits
from hoistmoor.core.table import model
from hoistmoor.load.experiment import clock as clock_lib
from hoistmoor.load.experiment import deployment as deployment_lib
from hoistmoor.load.experiment import engine as engine_lib
from hoistmoor.load.experiment import metrics as metrics_lib
from hoistmoor.load.experiment import policies
from hoistmoor.load.experiment import quality_model as quality_model_lib
from hoistmoor.load.experiment import scenarios

REPORT_INTERVAL = 1.0
REPORT_DELAY = 1.0
CACHE_EVENT_DELAY = 2.0
CACHE_EVENT_LOSS = 0.05  # Fraction of cache events that are lost.
LOG_DELAY = 0.3
EFFECT_INTERVAL = 0.5
MAX_ATTEMPTS = 3
MAX_TRIES = 4  # Tries of a caller, retries after refusals included.
DEGRADED_FAILURE_FRACTION = 0.6
# Window before a regression over which the rate of the version is measured.
_RATE_WINDOW_SECONDS = 600.0
DEGRADED_SLOWNESS = 6.0


@attrs.define(eq=False)
class Request:
    """The state of a request in flight.

    Attributes:
        arrival: The request.
        attempt: Number of the attempt within this try, from 1.
        tries: Number of tries by the caller.
        excluded: Servers that declined or failed the request.
        job: The current attempt on a server, if any.
        decision: Destination of that attempt.
        sent_at: When that attempt was sent.
        is_escalated: Whether a response was rejected for its low confidence.
        entered_at: When the current try arrived.
        has_ended: Whether the request has ended.
    """

    arrival: deployment_lib.Arrival
    attempt: int = 0
    tries: int = 0
    excluded: frozenset[str] = frozenset()
    job: engine_lib.Job | None = None
    decision: policies.Decision | None = None
    sent_at: float = 0.0
    is_escalated: bool = False
    entered_at: float = 0.0
    has_ended: bool = False


class Simulation:
    """Runs one policy in one scenario.

    Attributes:
        deployment: Table and traffic.
        scenario: The events of the run.
        policy: The policy under test.
        world: The ground truth on quality.
        clock: The virtual clock.
        engines: The simulated backend servers by name.
        metrics: Metrics of the run.
        pins: Pinned version of each session, as in the callers' tokens.
    """

    def __init__(
        self,
        deployment: deployment_lib.Deployment,
        scenario: scenarios.Scenario,
        policy: policies.Policy,
        world: quality_model_lib.QualityModel,
        seed: int,
    ) -> None:
        """Prepares a run; all randomness comes from ``seed``."""
        self.deployment = deployment
        self.scenario = scenario
        self.policy = policy
        self.world = world
        self.seed = seed
        self.clock = clock_lib.VirtualClock()
        self.engines = deployment_lib.make_engines(deployment, self.clock)
        self.metrics = metrics_lib.Metrics()
        self.pins: dict[str, str] = {}
        self.rng = random.Random(f"simulation {seed}")
        self.loss_rng = random.Random(f"losses {seed}")
        self.table = scenarios.initial_table(deployment.table, scenario)
        self.revision = 0
        self.log_offset = 0
        self.cache_read: dict[str, int] = {}
        self.counted_regressions = self._counted_regressions()

    def _counted_regressions(
        self,
    ) -> dict[str, quality_model_lib.QualityRegression]:
        """Returns the regressions whose bad responses are counted."""
        regressions = {
            regression.version: regression
            for regression in self.scenario.regressions
        }
        if self.scenario.candidate_quality:
            for row in self.table.versions.values():
                if row.stage is model.Stage.CANDIDATE:
                    regressions[row.key] = quality_model_lib.QualityRegression(
                        row.key, 0.0
                    )
        return regressions

    def run(
        self, arrivals: list[deployment_lib.Arrival]
    ) -> metrics_lib.Metrics:
        """Serves ``arrivals`` and returns the metrics."""
        for account in self.table.accounts:
            self.metrics.targets_by_account[account] = max(
                (
                    g.quality_target
                    for g in self.table.grants.values()
                    if g.account == account
                ),
                default=0.0,
            )
        self.policy.on_table(self.table, self.revision)
        self._deliver_initial_reports()
        self._schedule_events()
        self.clock.schedule_at(0.0, self._arrive, arrivals, 0)
        self.clock.run_until(self.scenario.duration + 60.0)
        self.metrics.bad_limit = self._compute_bad_limit()
        return self.metrics

    def _compute_bad_limit(self) -> float:
        """Returns the minimum of bad responses until ratings can reveal it.

        The limit is for the first sudden regression, NaN if there is none.
        """
        sudden = [
            regression
            for regression in self.counted_regressions.values()
            if not regression.ramp_seconds
        ]
        if not sudden:
            return float("nan")
        regression = sudden[0]
        before = self._mean_quality(regression)
        confidence = limits.value(self.table, "withdraw_confidence")
        ratings = sequential.min_detection_delay(
            before, regression.quality, confidence
        )
        waiting = (
            self.metrics.regressed_rate * quality_model_lib.MEAN_RATING_DELAY
        )
        responses = ratings / quality_model_lib.RATED_FRACTION + waiting
        return (1.0 - regression.quality) * responses

    def _mean_quality(
        self, regression: quality_model_lib.QualityRegression
    ) -> float:
        if regression.version not in {
            t.version for t in self.scenario.regressions
        }:
            return self.table.versions[regression.version].prior_quality
        shapes = self.deployment.kinds
        kinds = [regression.kind] if regression.kind else list(shapes)
        total = sum(shapes[kind].fraction for kind in kinds)
        return (
            sum(
                shapes[kind].fraction
                * self.world.qualities[regression.version, kind]
                for kind in kinds
            )
            / total
        )

    def _arrive(
        self, arrivals: list[deployment_lib.Arrival], index: int
    ) -> None:
        if index > 0:
            self._enter(Request(arrivals[index - 1]))
        if index < len(arrivals):
            self.clock.schedule_at(
                arrivals[index].at, self._arrive, arrivals, index + 1
            )

    # Events of the scenario.

    def _schedule_events(self) -> None:
        scenario = self.scenario
        self.clock.schedule_at(0.0, self._tick_reports)
        self.clock.schedule_at(0.0, self._tick_effects)
        if scenario.withdrawn_at:
            self.clock.schedule_at(
                scenario.withdrawn_at, self._withdraw_manually
            )
        if scenario.outage:
            self.clock.schedule_at(
                scenario.outage.starts_at, self._set_servers_up, False
            )
            self.clock.schedule_at(
                scenario.outage.ends_at, self._set_servers_up, True
            )
        if scenario.slow_servers:
            self.clock.schedule_at(scenario.slow_at, self._slow_down)

    def _withdraw_manually(self) -> None:
        self.table = scenarios.withdraw_versions(
            self.table, set(self.counted_regressions)
        )
        self.revision += 1
        self.policy.on_table(self.table, self.revision)

    def _engine_names(self) -> list[str]:
        service = self.deployment.engine_service
        return [r.server for r in self.table.servers_by_service[service]]

    def _set_servers_up(self, is_up: bool) -> None:
        assert self.scenario.outage is not None
        names = self._engine_names()
        for name in names[: round(len(names) * self.scenario.outage.fraction)]:
            engine = self.engines[name]
            if is_up:
                engine.is_up = True
                engine.incarnation += 1
            else:
                engine.take_down()

    def _slow_down(self) -> None:
        for name in self._engine_names()[: self.scenario.slow_servers]:
            engine = self.engines[name]
            engine.set_slowness(DEGRADED_SLOWNESS)
            engine.is_call_failing = lambda: (
                self.rng.random() < DEGRADED_FAILURE_FRACTION
            )

    # Reports, ratings and log records.

    def _tick_reports(self) -> None:
        self.clock.schedule_after(REPORT_INTERVAL, self._tick_reports)
        for engine in self.engines.values():
            self.clock.schedule_after(
                REPORT_DELAY, self._deliver_report, engine.report()
            )
            start = self.cache_read.get(engine.name, 0)
            self.cache_read[engine.name] = len(engine.cache_events)
            for event in engine.cache_events[start:]:
                if self.loss_rng.random() >= CACHE_EVENT_LOSS:
                    self.clock.schedule_after(
                        CACHE_EVENT_DELAY, self._deliver_cache, event
                    )

    def _deliver_initial_reports(self) -> None:
        for engine in self.engines.values():
            self.policy.on_load(engine.report(), 0.0)

    def _deliver_report(self, report: messages.LoadReport) -> None:
        self.policy.on_load(report, self.clock.now)

    def _deliver_cache(self, event: messages.CacheEvent) -> None:
        self.policy.on_cache_event(event, self.clock.now)

    def _tick_effects(self) -> None:
        self.clock.schedule_after(EFFECT_INTERVAL, self._tick_effects)
        for effect in self.policy.take_effects():
            if isinstance(effect, messages.Withdrawal):
                key = f"{effect.version} {effect.kind}"
                self.metrics.withdrawn_at.setdefault(key, self.clock.now)
            down, up = self.scenario.log_outage
            is_down = down <= self.clock.now < up
            when = up if is_down else self.clock.now + LOG_DELAY
            self.clock.schedule_at(when, self._deliver_log_record, effect)

    def _deliver_log_record(self, effect: messages.Effect) -> None:
        self.log_offset += 1
        self.policy.on_evidence(self.log_offset, effect)

    def _rate(
        self,
        request: Request,
        decision: policies.Decision,
        confidence: float,
        good: bool,
    ) -> None:
        if self.rng.random() >= quality_model_lib.RATED_FRACTION:
            return
        name = f"{request.arrival.number:x}.{request.attempt:x}"
        model_name, _, version = decision.version.partition("@")
        delay = self.rng.expovariate(1.0 / quality_model_lib.MEAN_RATING_DELAY)
        rating = messages.Rating(
            quality_estimates.make_answer_id(
                name, confidence, request.is_escalated
            ),
            model_name,
            version,
            request.arrival.kind,
            good,
            self.clock.now + delay,
        )
        self.clock.schedule_after(delay, self._deliver_rating, rating)

    def _deliver_rating(self, rating: messages.Rating) -> None:
        self.policy.on_rating(rating, self.clock.now)

    # Requests.

    def _enter(self, request: Request) -> None:
        request.tries += 1
        request.entered_at = self.clock.now
        request.attempt = 0
        request.excluded = frozenset()
        if request.tries == 1:
            self.clock.schedule_at(
                request.arrival.deadline, self._expire, request
            )
        self._attempt(request)

    def _attempt(self, request: Request) -> None:
        request.attempt += 1
        decision = self._choose(request)
        if isinstance(decision, policies.Refusal):
            self._refuse(request, decision.wait)
        else:
            self._send(request, decision)

    def _choose(self, request: Request) -> policies.Decision | policies.Refusal:
        arrival = request.arrival
        query = self._make_query(request)
        if arrival.kind:
            return self.policy.choose(query, self.clock.now)
        return self.policy.choose_server(query, self.clock.now)

    def _make_query(self, request: Request) -> policies.Query:
        pin = self.pins.get(request.arrival.session)
        return policies.Query(
            request.arrival, pin, request.excluded, request.attempt
        )

    def _refuse(self, request: Request, wait: float) -> None:
        self.metrics.refusals += 1
        retry_at = self.clock.now + wait
        is_last = request.tries >= MAX_TRIES
        if is_last or retry_at >= request.arrival.deadline:
            self._give_up(request)
        else:
            self.clock.schedule_at(retry_at, self._reenter, request)

    def _reenter(self, request: Request) -> None:
        if not request.has_ended:
            self._enter(request)

    def _give_up(self, request: Request) -> None:
        request.has_ended = True
        if request.arrival.kind:
            self.metrics.unserved_requests += 1
        else:
            self.metrics.unserved_plain_calls += 1

    def _expire(self, request: Request) -> None:
        if request.has_ended:
            return
        if request.job is not None and request.decision is not None:
            engine = self.engines[request.decision.server]
            self.metrics.wasted_tokens += engine.cancel(request.job)
            self._finish_attempt(request, ok=False)
        self._give_up(request)

    def _send(self, request: Request, decision: policies.Decision) -> None:
        arrival = request.arrival
        request.decision = decision
        request.sent_at = self.clock.now
        self.policy.on_started(arrival.host, decision, self.clock.now)
        request.job = self._make_job(request, decision)
        if not self.engines[decision.server].submit(request.job):
            self._finish_attempt(request, ok=False, declined=True)
            self._retry(request, decision)

    def _make_job(
        self, request: Request, decision: policies.Decision
    ) -> engine_lib.Job:
        arrival = request.arrival
        work = arrival.work_seconds
        if decision.version:
            row = self.table.versions[decision.version]
            work = deployment_lib.generation_seconds(row, arrival.output_tokens)

        def done(job: engine_lib.Job, ok: bool) -> None:
            self._on_done(request, decision, job, ok)

        urgent = (
            not arrival.kind or self.deployment.kinds[arrival.kind].is_urgent
        )
        return engine_lib.Job(
            decision.version,
            arrival.prompt_tokens,
            work,
            arrival.output_tokens,
            arrival.prefix,
            urgent,
            done,
        )

    def _retry(self, request: Request, decision: policies.Decision) -> None:
        request.excluded = request.excluded | {decision.server}
        if request.attempt >= MAX_ATTEMPTS:
            self._refuse(request, policies.RETRY_AFTER_SECONDS)
        else:
            self._attempt(request)

    def _finish_attempt(
        self,
        request: Request,
        ok: bool,
        declined: bool = False,
        confidence: float | None = None,
    ) -> None:
        assert request.decision is not None
        result = messages.AttemptResult(
            ok=ok,
            declined=declined,
            seconds=self.clock.now - request.sent_at,
            tokens=request.arrival.output_tokens,
            kind=request.arrival.kind,
            confidence=confidence,
            prompt_tokens=request.arrival.prompt_tokens,
            escalated=request.is_escalated,
        )
        request.job = None
        self.policy.on_finished(
            request.arrival.host, request.decision, result, self.clock.now
        )

    def _on_done(
        self,
        request: Request,
        decision: policies.Decision,
        job: engine_lib.Job,
        ok: bool,
    ) -> None:
        if request.has_ended or request.job is not job:
            return
        arrival = request.arrival
        if not ok:
            self.metrics.wasted_tokens += arrival.output_tokens
            self._finish_attempt(request, ok=False)
            self._retry(request, decision)
        elif not arrival.kind:
            self._finish_attempt(request, ok=True)
            request.has_ended = True
            self.metrics.plain_seconds.append(
                self.clock.now - request.entered_at
            )
        else:
            self._on_response(request, decision, job)

    def _on_response(
        self, request: Request, decision: policies.Decision, job: engine_lib.Job
    ) -> None:
        arrival = request.arrival
        row = self.table.versions[decision.version]
        self.metrics.cost += (
            arrival.prompt_tokens * row.input_price
            + arrival.output_tokens * row.output_price
        ) / 1000.0
        rng = random.Random(f"{self.seed}/{arrival.number}/{decision.version}")
        confidence = self.world.confidence(
            decision.version, arrival.kind, arrival.difficulty, rng
        )
        self._finish_attempt(request, ok=True, confidence=confidence)
        if decision.hold:
            query = self._make_query(request)
            escalation = self.policy.judge(
                query, decision, confidence, self.clock.now
            )
            if escalation is not None:
                self.metrics.wasted_tokens += arrival.output_tokens
                request.is_escalated = True
                request.attempt += 1
                self._send(request, escalation)
                return
        good = rng.random() < self.world.chance(
            decision.version, arrival.kind, arrival.difficulty, self.clock.now
        )
        self._deliver_response(request, decision, job, good)
        self._rate(request, decision, confidence, good)

    def _deliver_response(
        self,
        request: Request,
        decision: policies.Decision,
        job: engine_lib.Job,
        good: bool,
    ) -> None:
        arrival = request.arrival
        request.has_ended = True
        metrics = self.metrics
        metrics.responses_by_account[arrival.account][0] += good
        metrics.responses_by_account[arrival.account][1] += 1
        metrics.responses_by_version[decision.version] += 1
        metrics.useful_tokens += arrival.output_tokens
        first_token_at = (
            job.finished_at if decision.hold else job.first_token_at
        )
        metrics.first_token_seconds.append(first_token_at - arrival.at)
        if not decision.hold:
            decode_seconds = job.finished_at - job.first_token_at
            metrics.token_gap_seconds.append(
                decode_seconds / arrival.output_tokens
            )
        if arrival.session:
            self.pins[arrival.session] = decision.version
        regression = self.counted_regressions.get(decision.version)
        if (
            regression
            and regression.starts_at - _RATE_WINDOW_SECONDS
            <= self.clock.now
            < regression.starts_at
        ):
            metrics.regressed_rate += 1.0 / _RATE_WINDOW_SECONDS
        if (
            regression
            and not good
            and self._has_regressed(regression, arrival.kind)
        ):
            metrics.bad_responses_by_version[decision.version] += 1

    def _has_regressed(
        self, regression: quality_model_lib.QualityRegression, kind: str
    ) -> bool:
        return self.clock.now >= regression.starts_at and regression.kind in (
            "",
            kind,
        )
