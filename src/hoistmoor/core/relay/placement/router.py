"""Selects the backend server for each attempt and records the results.

The router holds this host's state of backend servers, rollouts and retry
budgets. All request state machines share one router.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.core.relay.accounts import service_seconds
from hoistmoor.core.relay.accounts import shares as shares_lib
from hoistmoor.core.relay.answers import response_times
from hoistmoor.core.relay.beliefs import configuration
from hoistmoor.core.relay.course import budget
from hoistmoor.core.relay.course import retry_after
from hoistmoor.core.relay.placement import bounds as bounds_lib
from hoistmoor.core.relay.placement import engine_memory
from hoistmoor.core.relay.placement import interference
from hoistmoor.core.relay.placement import partition as partition_lib
from hoistmoor.core.relay.placement import placement
from hoistmoor.core.relay.placement import service_state
from hoistmoor.core.relay.servers import brittleness
from hoistmoor.core.relay.servers import crashing_parts
from hoistmoor.core.relay.servers import demand_totals
from hoistmoor.core.relay.servers import eligibility
from hoistmoor.core.relay.servers import fleet as fleet_lib
from hoistmoor.core.relay.servers import part_states
from hoistmoor.core.relay.servers import serials as serials_lib
from hoistmoor.core.relay.servers import server as server_lib
from hoistmoor.core.relay.servers import silence
from hoistmoor.core.relay.servers import speed as speed_lib
from hoistmoor.core.relay.servers import suspect_state
from hoistmoor.core.relay.servers import suspects as suspects_lib
from hoistmoor.core.relay.versions import rollouts
from hoistmoor.core.relay.waiting import waiting_rooms

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from hoistmoor.core.relay.course import messages
    from hoistmoor.core.relay.course import requests
    from hoistmoor.core.relay.versions import attempt_times
    from hoistmoor.core.routing import hashing
    from hoistmoor.core.routing import health as health_lib

    _OutcomeHandler = Callable[[server_lib.ServerState, float], None]


# Outcomes of attempts that no server has received.
_UNSENT_OUTCOMES = frozenset(
    {
        response_times.AttemptOutcome.UNREACHABLE,
        response_times.AttemptOutcome.NOT_FORWARDED,
    }
)


class Router:
    """Selects backend servers and keeps this host's state of them.

    Attributes:
        fleet: Backend servers.
        rollouts: Rollouts and versions.
        response_times: Usual durations of responses.
        accounts: Shares of client accounts in the services.
        suspects: Requests that may crash the servers running them.
        parts: Prompt parts that may crash the servers responding to them.
        waiting: Requests that wait for room at the servers.
        serials: Source of serials for changes sent to other hosts.
        zone: Failure domain of this host.
        reading: Prompts that engines have still to read.
        memory: Tokens of memory needed at engines, by all hosts.
        silences: Servers that owe responses to this host.
    """

    def __init__(
        self,
        zone: str,
        bounds: bounds_lib.Bounds,
        draws: hashing.RandomGenerator,
        host_name: str = "",
    ) -> None:
        """Creates a router without servers.

        Args:
            zone: Failure domain of this host.
            bounds: Operator-defined bounds.
            draws: Source of randomness.
            host_name: Name of this host.
        """
        serials = serials_lib.Serials()
        self.fleet = fleet_lib.Fleet(host_name, serials, zone)
        self.rollouts = rollouts.RolloutRegistry(bounds.session_life)
        self.response_times = response_times.ResponseTimes()
        self.accounts = shares_lib.AccountShares(host_name)
        self.suspects = suspects_lib.SuspectTable(serials)
        self.parts = crashing_parts.CrashingParts(serials)
        self.waiting = waiting_rooms.WaitingRooms(
            self.fleet, draws, self.accounts.excess
        )
        self.serials = serials
        self.zone = zone
        self.reading = interference.Reading()
        self.memory = engine_memory.EngineAmounts()
        self.silences = silence.SilenceTable()
        self._bounds = bounds
        self._draws = draws
        self._services: dict[str, service_state.ServiceState] = {}
        # An attempt that this host abandoned says nothing about its server and
        # has no handler.
        self._outcome_handlers: dict[
            response_times.AttemptOutcome, _OutcomeHandler
        ] = {
            response_times.AttemptOutcome.WELL: self._record_success,
            response_times.AttemptOutcome.FAILED: self._record_failure,
            response_times.AttemptOutcome.SILENT: self._record_silent,
            response_times.AttemptOutcome.FULL: self._record_full,
            response_times.AttemptOutcome.REPLACED: self._record_replaced,
            response_times.AttemptOutcome.UNREACHABLE: self._record_unreachable,
        }
        self.set_bounds(bounds)

    def set_bounds(self, bounds: bounds_lib.Bounds) -> None:
        """Applies new bounds and keeps all counters."""
        self._bounds = bounds
        self.rollouts.sessions.life = bounds.session_life
        self.rollouts.exposure_limit = bounds.exposure_limit
        self.fleet.warmups.tolerance = bounds.rate_tolerance
        self.fleet.longest_rest = bounds.longest_rest
        self.accounts.is_enabled = bounds.shares_by_account
        if not bounds.shares_by_account:
            self.accounts.clear()
        for service in self._services.values():
            service.budget.ratio = bounds.repeat_ratio
            service.budget.window = bounds.repeat_window

    def record_request(
        self, request: requests.RelayRequest, now: float
    ) -> None:
        """Counts a caller's request, which adds to the retry budget."""
        self.accounts.record(
            request.account,
            request.service,
            service_seconds.expected_seconds(request),
            now,
        )
        service = self._service(request.service)
        service.budget.record_request(now)
        if request.prompt is not None:
            service.partition.record_prompt(request.prompt.tokens)

    def may_retry(self, request: requests.RelayRequest, now: float) -> bool:
        """Returns whether the budget permits another attempt at a request."""
        service = self._service(request.service)
        service.budget.spare = self._spare_retries()
        return service.budget.allows_retry(now)

    def _spare_retries(self) -> float:
        """Returns the retries permitted regardless of the request count."""
        bounds = self._bounds
        if bounds.repeat_slack is None:
            return bounds.repeat_spare
        shared = budget.SPARE_FRACTION * bounds.repeat_slack
        return min(bounds.repeat_spare, self.fleet.shares.equal_share(shared))

    def pick(
        self,
        request: requests.RelayRequest,
        model: str,
        work_class: partition_lib.WorkClass,
        excluded: frozenset[str],
        failed: frozenset[str],
        now: float,
    ) -> server_lib.ServerState | None:
        """Returns the server for the next attempt, or None if there is none.

        Args:
            request: The request.
            model: Model to request; empty for plain requests.
            work_class: Work class of the attempt.
            excluded: Identities of servers that must not be selected.
            failed: Versions that have already failed this request.
            now: Monotonic time.
        """
        service = request.service
        usable = self.fleet.eligible(service, now)
        versions = {server.entry.version for server in usable}
        if request.session:
            # Reasons that make all servers of a version ineligible for a short
            # time must not switch the session between versions.
            versions = self.fleet.versions(
                service, now, eligibility.TRANSIENT_REASONS
            )
        allowed = self.rollouts.allowed_versions(
            service,
            versions,
            request.session,
            failed,
            now,
        )
        ready = self.fleet.ready(
            usable, allowed, excluded, now, self._draws.random()
        )
        state = self._service(service)
        state.record_readiness(bool(ready), now)
        if request.prompt is None:
            return placement.pick(
                ready, self.zone, now, self._draws, state.speeds
            )
        fitting = engine_memory.with_room(
            ready, request, state.reading.memory_tokens, self.memory, now
        )
        return placement.pick_engine(
            fitting,
            request,
            model,
            self.zone,
            partition_lib.distances(work_class, ready),
            state.mean_work,
            self._draws,
            now,
            state.speeds,
            interference.choice_for(
                request,
                model,
                fitting,
                state.reading,
                self.reading.amounts,
                now,
            ),
        )

    def next_eligibility(
        self, request: requests.RelayRequest, now: float
    ) -> eligibility.NextEligibility | None:
        """Returns when a server becomes eligible; None if one is now."""
        return self.fleet.next_eligibility(request.service, now)

    def retry_delay(
        self,
        outlook: eligibility.NextEligibility,
        request: requests.RelayRequest,
        now: float,
    ) -> float:
        """Returns the seconds after which a refused caller should retry.

        Args:
            outlook: When the first server becomes eligible.
            request: The request.
            now: Monotonic time.
        """
        if outlook.reason is eligibility.IneligibilityReason.RESTING:
            return retry_after.delay_during_rest(
                outlook.wait, self._draws.random()
            )
        if outlook.wait < eligibility.INDEFINITE:
            return max(outlook.wait, retry_after.CAPACITY_DELAY)
        since = self._service(request.service).unavailable_since
        outage = 0.0 if since is None else now - since
        if outlook.reason is eligibility.IneligibilityReason.UNREACHABLE:
            return retry_after.delay_at_other_host(outage, self._draws.random())
        return retry_after.delay_without_servers(outage, self._draws.random())

    def class_of(
        self, request: requests.RelayRequest, model: str
    ) -> partition_lib.WorkClass:
        """Returns the work class of an attempt."""
        return self._service(request.service).partition.class_of(
            request.prompt.tokens if request.prompt else 0,
            model,
            request.route.sizes,
        )

    def expected_first_byte_delay(
        self, request: requests.RelayRequest, model: str, now: float
    ) -> float:
        """Returns the expected seconds until a model's first byte."""
        work_class = self.class_of(request, model)
        return self._service(request.service).delays.expected(work_class, now)

    def record_wait(
        self, request: requests.RelayRequest, model: str, now: float
    ) -> None:
        """Records how long an attempt is expected to wait at its engine.

        Args:
            request: The request.
            model: Model to request; empty for plain requests.
            now: Monotonic time.
        """
        self.accounts.record_wait(
            request.service,
            self.expected_first_byte_delay(request, model, now),
            request.route.target,
            now,
        )

    def record_first_byte(
        self, request: requests.RelayRequest, send: messages.Send, now: float
    ) -> None:
        """Records that the response to an attempt has begun."""
        self._service(request.service).delays.end(
            send.work_class, send.serial, now, answered=True
        )
        service = self.service_reading(request.service)
        self.reading.record_read(send.run, service, now)
        if send.forwarder is None:
            self.silences.record_heard(send.server, now)

    def begin_attempt(
        self,
        request: requests.RelayRequest,
        work_class: partition_lib.WorkClass,
        now: float,
    ) -> int:
        """Records that an attempt starts waiting; returns its serial."""
        return self._service(request.service).delays.begin(work_class, now)

    def record_sent(
        self,
        request: requests.RelayRequest,
        send: messages.Send,
        now: float,
    ) -> None:
        """Records an attempt that is about to be sent."""
        server = send.server
        server.in_flight += 1
        server.sends.record(now)
        if send.forwarder is None:
            self.silences.record_sent(server, request.route.target, now)
        server.runs.add(send.run)
        self.accounts.record(
            request.account,
            request.service,
            service_seconds.additional_seconds(
                request, send.model, is_retry=send.is_retry
            ),
            now,
        )
        if request.prompt is not None:
            work = request.work(send.model)
            server.work += work
            server.record_work(work)
            self._service(request.service).record_work(work)
            self._record_demand(request, send, now)
        self.rollouts.record_sent(
            request.service, server.entry.version, request.session, now
        )
        if send.is_retry:
            self._service(request.service).budget.record_retry(now)

    def record_outcome(
        self,
        request: requests.RelayRequest,
        send: messages.Send,
        outcome: response_times.AttemptOutcome,
        now: float,
    ) -> None:
        """Records the outcome of an attempt.

        Args:
            request: The request.
            send: The attempt.
            outcome: Its outcome.
            now: Monotonic time.
        """
        server = send.server
        if request.session:
            self.rollouts.sessions.record(
                request.session, server.entry.version, now
            )
        server.in_flight -= 1
        server.runs.end(send.run, now)
        self._service(request.service).delays.end(
            send.work_class, send.serial, now, answered=False
        )
        self.reading.end(send.run)
        self.memory.remove(send.run)
        if request.prompt is not None:
            server.work -= request.work(send.model)
        if send.forwarder is None:
            self.silences.record_end(server, outcome, now)
        if outcome in _UNSENT_OUTCOMES and send.is_retry:
            self._service(request.service).budget.cancel_retry(now)
        self.record_exchange(server, outcome, now)

    def record_exchange(
        self,
        server: server_lib.ServerState,
        outcome: response_times.AttemptOutcome,
        now: float,
    ) -> None:
        """Records what an exchange says about a server.

        Args:
            server: The server.
            outcome: Outcome of an attempt of this host, or of one that it
                forwarded for another host.
            now: Monotonic time.
        """
        handler = self._outcome_handlers.get(outcome)
        if handler is not None:
            handler(server, now)

    def _record_demand(
        self, request: requests.RelayRequest, send: messages.Send, now: float
    ) -> None:
        memory_tokens = self.service_reading(request.service).memory_tokens
        if not memory_tokens:
            return
        identity = send.server.entry.identity
        tokens = interference.reading_tokens(request, send.model, memory_tokens)
        self.reading.begin(send.run, identity, tokens, now)
        needed = engine_memory.memory_needed(request, memory_tokens)
        # Requests below a slot's share use up the slots before the memory. They
        # are left out of what hosts tell one another.
        if needed * send.server.entry.slots > memory_tokens:
            self.memory.add(send.run, identity, needed)

    def set_services(
        self,
        services: dict[str, configuration.Service],
        routes: Iterable[configuration.Route],
    ) -> None:
        """Applies the services and routes of a new configuration."""
        self.fleet.warmups.set_services(services)
        pauses: dict[str, float] = {}
        for route in routes:
            for share in route.shares if route.longest_pause else ():
                known = pauses.get(share.service, route.longest_pause)
                pauses[share.service] = min(known, route.longest_pause)
        for name, service in services.items():
            state = self.service_reading(name)
            state.memory_tokens = service.memory_tokens
            state.longest_pause = pauses.get(name, 0.0)

    def service_reading(self, name: str) -> interference.ServiceReading:
        """Returns what is known about the reading of prompts in a service."""
        return self._service(name).reading

    def readings(self) -> list[tuple[str, interference.ServiceReading]]:
        """Returns the services whose engines have a known memory, by name."""
        return [
            (name, service.reading)
            for name, service in self._services.items()
            if service.reading.memory_tokens
        ]

    def fullest_memory(self, service: str, now: float) -> float:
        """Returns the largest fraction of an engine's memory that is needed."""
        memory_tokens = self.service_reading(service).memory_tokens
        needed = (
            self.memory.total(server.entry.identity, now)
            for server in self.fleet
            if server.entry.service == service
        )
        return max(needed, default=0.0) / memory_tokens

    def own_demand(self) -> demand_totals.DemandTotals:
        """Returns the demand of this host's requests at engines."""
        return demand_totals.DemandTotals(
            reading=self.reading.amounts.own(), memory=self.memory.own()
        )

    def merge_demand(
        self, total: demand_totals.DemandTotals, now: float
    ) -> None:
        """Applies the demand of all other hosts."""
        self.reading.amounts.set_others(total.reading, now)
        self.memory.set_others(total.memory, now)

    def _record_success(
        self, server: server_lib.ServerState, now: float
    ) -> None:
        # A server that reports no start time may return with the same identity.
        server.has_ended = False
        self._record_health(server.health, now, is_success=True)

    def _record_failure(
        self, server: server_lib.ServerState, now: float
    ) -> None:
        self._record_health(server.health, now, is_success=False)

    def _record_health(
        self, health: health_lib.Health, now: float, *, is_success: bool
    ) -> None:
        health.record(is_success, 1.0)
        if health.is_outlier():
            health.eject(now)

    def _record_silent(
        self, server: server_lib.ServerState, now: float
    ) -> None:
        health = server.health
        health.record(False, 1.0)
        if health.is_outlier() and not health.is_ejected:
            health.eject_silent(now)

    def _record_full(self, server: server_lib.ServerState, now: float) -> None:
        server.health.at_capacity_until = now + fleet_lib.FULL_REST_SECONDS
        server.brittle.rests_until = now + brittleness.TURNED_AWAY_REST

    def _record_replaced(
        self, server: server_lib.ServerState, now: float
    ) -> None:
        server.presumed_ended_until = now + fleet_lib.PRESUMED_ENDED_SECONDS

    def _record_unreachable(
        self, server: server_lib.ServerState, now: float
    ) -> None:
        self.fleet.record_unreachable(server, now, self._draws.random())
        has_begun = server.health.rest_unreachable(
            now,
            fleet_lib.UNREACHABLE_REST_SECONDS,
            fleet_lib.MAX_UNREACHABLE_REST_SECONDS,
        )
        if has_begun:
            server.link.rested_until = server.health.ejected_until

    def record_server_end(
        self, server: server_lib.ServerState, now: float
    ) -> None:
        """Records that this host found an incarnation of a server ended.

        Args:
            server: The server.
            now: Monotonic time.
        """
        server.has_ended = True
        # Without any work it looks like the least loaded server and would get
        # the next requests.
        server.presumed_ended_until = now + fleet_lib.PRESUMED_ENDED_SECONDS
        self.suspects.record_end(
            server.entry.identity, server.runs.possibly_active(now), now
        )
        self.record_crash(server, now)

    def record_crash(self, server: server_lib.ServerState, now: float) -> bool:
        """Records the runs of this host at a server that seems to have crashed.

        Args:
            server: The server.
            now: Monotonic time.

        Returns:
            Whether a prompt part of any of them may be the cause.
        """
        present = server.runs.possibly_active(now)
        return self.parts.record_crash(server, present, now)

    def merge_parts(
        self, changes: crashing_parts.PartChanges, now: float
    ) -> None:
        """Merges the evidence against prompt parts sent by another host.

        Args:
            changes: The evidence.
            now: Monotonic time.
        """
        for server in map(self.fleet.find, self.parts.merge(changes, now)):
            if server is not None:
                self.record_crash(server, now)

    def record_served(
        self, request: requests.RelayRequest, send: messages.Send, now: float
    ) -> None:
        """Records that a server did not crash as it responded to a request."""
        self.parts.record_served(
            request.service,
            send.server.entry.version,
            request.shared_parts,
            now,
        )

    def part_quarantine(
        self, request: requests.RelayRequest, now: float
    ) -> part_states.QuarantineState | None:
        """Returns the quarantine of a request's prompt parts, or None."""
        return self.parts.quarantine_of(
            request.service,
            request.shared_parts,
            self.fleet.listed_versions,
            now,
        )

    def claim_probe(
        self, quarantine: part_states.QuarantineState, now: float
    ) -> bool:
        """Returns whether this host sends a refused request as a test."""
        return self.parts.claim_probe(
            quarantine, self.fleet.shares.is_selected, now
        )

    def is_likely_cause(self, request: requests.RelayRequest) -> bool:
        """Returns whether a request probably caused its server's end."""
        return self.suspects.is_likely_cause(
            request.fingerprint
        ) or self.parts.is_suspected(request.service, request.shared_parts)

    def merge_suspects(
        self, suspects: Iterable[suspect_state.Suspect], now: float
    ) -> list[server_lib.ServerState]:
        """Merges the evidence against requests sent by another host.

        Args:
            suspects: The suspects.
            now: Monotonic time.

        Returns:
            Servers that this host did not know to have ended.
        """
        found = map(self.fleet.find, self.suspects.merge(suspects, now))
        newly_ended = [each for each in found if each and not each.has_ended]
        for server in newly_ended:
            # This host may have abandoned a run there before the server ended,
            # and thus not have noticed the end.
            self.record_server_end(server, now)
        return newly_ended

    def begin_timing(
        self, request: requests.RelayRequest, send: messages.Send, now: float
    ) -> attempt_times.TimedAttempt | None:
        """Returns an attempt whose times a rollout compares, or None.

        Args:
            request: The request.
            send: The attempt, which starts now.
            now: Monotonic time.
        """
        return self.rollouts.begin_attempt(
            request.service,
            request.route.name,
            send.server.entry.version,
            now,
            is_stream=request.route.kind is configuration.RouteKind.STREAM,
        )

    def usual_duration(self, request: requests.RelayRequest) -> float | None:
        """Returns the seconds for which such requests run, or None.

        Streams differ too much to tell.
        """
        if request.route.kind is configuration.RouteKind.STREAM:
            return None
        model = request.prompt.model if request.prompt else ""
        return self.response_times.usual_duration((request.route.name, model))

    def record_response(
        self,
        request: requests.RelayRequest,
        send: messages.Send,
        measured: response_times.ResponseTiming,
        now: float,
    ) -> speed_lib.SpeedChange | None:
        """Evaluates the response to an attempt.

        Args:
            request: The request.
            send: The attempt.
            measured: Timing of the response.
            now: Monotonic time.

        Returns:
            A change of the server's learned speed to log, or None.
        """
        server = send.server
        key = (request.route.name, measured.model)
        is_slow = self.response_times.is_slow(
            key, measured, rollouts.SLOW_FACTOR
        )
        progress = self.rollouts.progress.get(request.service)
        is_target = (
            progress is not None
            and server.entry.version == progress.order.target
        )
        is_usual = not measured.failed and not measured.is_silent
        if is_usual and not is_target:
            self.response_times.record(key, measured)
        if progress is not None:
            progress.record_response(
                request.route.name,
                server.entry.version,
                measured.failed,
                is_slow,
            )
        return self._record_speed(request, send, measured, now)

    def work_ahead(
        self,
        request: requests.RelayRequest,
        server: server_lib.ServerState,
        model: str,
        now: float,
    ) -> float:
        """Returns the work at a server and that of a request (``Send``)."""
        if request.prompt is None:
            return server.reported_occupancy(now)
        mean_work = self._service(request.service).mean_work
        return server.total_work(mean_work, now) + request.work(model)

    def _record_speed(
        self,
        request: requests.RelayRequest,
        send: messages.Send,
        measured: response_times.ResponseTiming,
        now: float,
    ) -> speed_lib.SpeedChange | None:
        server = send.server
        if now < server.cold_until:
            return None
        sample = speed_lib.sample_of(
            request.route.name, measured, server.occupancy(now), send.ahead
        )
        if sample is None:
            return None
        speeds = self._service(request.service).speeds
        version = server.entry.version
        speeds.record_work(
            server.speed, version, measured.total, send.ahead, now
        )
        return speeds.record_response(server.speed, version, sample, now)

    def _service(self, name: str) -> service_state.ServiceState:
        known = self._services.get(name)
        if known is None:
            bounds = self._bounds
            known = service_state.ServiceState(
                budget.RetryBudget(
                    bounds.repeat_ratio,
                    bounds.repeat_window,
                    self._spare_retries(),
                )
            )
            self._services[name] = known
        return known
