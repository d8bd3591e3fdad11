"""Chooses the backend server and the model of each attempt.

It holds what this host knows: the fleet, the roll-outs and the budgets. The
machines of all requests share one router.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.core.relay.answers import pace as pace_lib
from hoistmoor.core.relay.course import budget
from hoistmoor.core.relay.course import retry_after
from hoistmoor.core.relay.placement import bounds as bounds_lib
from hoistmoor.core.relay.placement import partition as partition_lib
from hoistmoor.core.relay.placement import placement
from hoistmoor.core.relay.placement import service_state
from hoistmoor.core.relay.servers import access
from hoistmoor.core.relay.servers import fleet as fleet_lib
from hoistmoor.core.relay.servers import serials as serials_lib
from hoistmoor.core.relay.servers import server as server_lib
from hoistmoor.core.relay.servers import suspect_state
from hoistmoor.core.relay.servers import suspects as suspects_lib
from hoistmoor.core.relay.versions import rollouts

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from hoistmoor.core.relay.course import messages
    from hoistmoor.core.relay.course import requests
    from hoistmoor.core.routing import hashing
    from hoistmoor.core.routing import health as health_lib

    _NoteEnd = Callable[[requests.RelayRequest, messages.Send, float], None]


class Router:
    """What this host knows of backend servers, and its choices.

    Attributes:
        fleet: Backend servers.
        rollouts: Roll-outs and versions.
        paces: Usual durations of answers.
        suspects: Requests that may end the servers that run them.
        serials: Number what other hosts are told once.
        zone: Failure domain of this host.
    """

    def __init__(
        self,
        zone: str,
        bounds: bounds_lib.Bounds,
        draws: hashing.Draws,
        own: str = "",
    ) -> None:
        """Makes a router that knows no server yet.

        Args:
            zone: Failure domain of this host.
            bounds: Bounds that the operators set.
            draws: Source of randomness.
            own: Name of this host.
        """
        serials = serials_lib.Serials()
        self.fleet = fleet_lib.Fleet(own, serials)
        self.rollouts = rollouts.RolloutBook(bounds.session_life)
        self.paces = pace_lib.Paces()
        self.suspects = suspects_lib.SuspectTable(serials)
        self.serials = serials
        self.zone = zone
        self._bounds = bounds
        self._draws = draws
        self._services: dict[str, service_state.ServiceState] = {}
        # What an attempt's end tells of its server; one that was given up
        # here tells nothing.
        self._endings: dict[pace_lib.AttemptOutcome, _NoteEnd] = {
            pace_lib.AttemptOutcome.WELL: self._note_well,
            pace_lib.AttemptOutcome.FAILED: self._note_failed,
            pace_lib.AttemptOutcome.FULL: self._note_full,
            pace_lib.AttemptOutcome.REPLACED: self._note_replaced,
            pace_lib.AttemptOutcome.UNREACHABLE: self._note_unreachable,
        }
        self.take_bounds(bounds)

    def take_bounds(self, bounds: bounds_lib.Bounds) -> None:
        """Puts other bounds in force; what was counted stays."""
        self._bounds = bounds
        self.rollouts.sessions.life = bounds.session_life
        self.fleet.warmups.excess = bounds.warmup_excess
        self.fleet.longest_rest = bounds.longest_rest
        for service in self._services.values():
            service.budget.ratio = bounds.repeat_ratio
            service.budget.window = bounds.repeat_window

    def note_request(self, request: requests.RelayRequest, now: float) -> None:
        """Counts a caller's request, which earns its service repeats."""
        service = self._service(request.service)
        service.budget.note_request(now)
        if request.prompt is not None:
            service.partition.note_prompt(request.prompt.tokens)

    def may_repeat(self, request: requests.RelayRequest, now: float) -> bool:
        """Returns whether the budget allows to send the request once more."""
        service = self._service(request.service)
        service.budget.spare = self._spare_repeats()
        return service.budget.allows(now)

    def _spare_repeats(self) -> float:
        """Returns the repeats that this host may make with no request."""
        bounds = self._bounds
        if bounds.repeat_slack is None:
            return bounds.repeat_spare
        shared = budget.SPARE_SHARE * bounds.repeat_slack
        return min(bounds.repeat_spare, self.fleet.shares.equal_part(shared))

    def pick(
        self,
        request: requests.RelayRequest,
        model: str,
        work_class: partition_lib.WorkClass,
        excluded: frozenset[str],
        failed: frozenset[str],
        now: float,
    ) -> server_lib.ServerState | None:
        """Returns the server for the next attempt, or None without one.

        Args:
            request: The request.
            model: Model to be asked for; empty for plain requests.
            work_class: Class of work that the attempt belongs to.
            excluded: Identities of servers that must not be chosen.
            failed: Versions that already failed this request.
            now: Steady time.
        """
        service = request.service
        usable = self.fleet.usable(service, now)
        versions = {each.entry.version for each in usable}
        if request.session:
            # It would change its version to and fro with what bars all
            # servers of that for a moment.
            versions = self.fleet.versions(service, now, access.SHORT)
        allowed = self.rollouts.choose(
            service,
            versions,
            request.session,
            failed,
            now,
        )
        ready = self.fleet.ready(
            usable, allowed, excluded, now, self._draws.unit()
        )
        self._service(service).note_ready(bool(ready), now)
        if request.prompt is None:
            return placement.pick(ready, self.zone, now, self._draws)
        return placement.pick_engine(
            ready,
            request,
            model,
            self.zone,
            partition_lib.distances(work_class, ready),
            self._service(service).mean_work,
            self._draws,
            now,
        )

    def outlook(
        self, request: requests.RelayRequest, now: float
    ) -> access.Outlook | None:
        """Returns when the first server may get a request; None for now."""
        return self.fleet.outlook(request.service, now)

    def wait_until(
        self,
        outlook: access.Outlook,
        request: requests.RelayRequest,
        now: float,
    ) -> float:
        """Returns the seconds after which a refused caller should come back.

        Args:
            outlook: When the first server may get the request.
            request: The request.
            now: Steady time.
        """
        if outlook.bar is access.Bar.RESTING:
            return retry_after.for_rest(outlook.wait, self._draws.unit())
        if outlook.wait < access.FOR_GOOD:
            return max(outlook.wait, retry_after.FOR_ROOM)
        lacking_since = self._service(request.service).lacking_since
        lasted = 0.0 if lacking_since is None else now - lacking_since
        return retry_after.for_lack(lasted, self._draws.unit())

    def class_of(
        self, request: requests.RelayRequest, model: str
    ) -> partition_lib.WorkClass:
        """Returns the class of work that an attempt belongs to."""
        return self._service(request.service).partition.class_of(
            request.prompt.tokens if request.prompt else 0,
            model,
            request.route.sizes,
        )

    def expected_first(
        self, request: requests.RelayRequest, model: str, now: float
    ) -> float:
        """Returns the seconds that a model's first part should take."""
        work_class = self.class_of(request, model)
        return self._service(request.service).delays.expected(work_class, now)

    def note_first(
        self, request: requests.RelayRequest, send: messages.Send, now: float
    ) -> None:
        """Notes that an attempt's answer began."""
        self._service(request.service).delays.end(
            send.work_class, send.serial, now, answered=True
        )

    def begin_attempt(
        self,
        request: requests.RelayRequest,
        work_class: partition_lib.WorkClass,
        now: float,
    ) -> int:
        """Notes that an attempt begins to wait; returns its serial."""
        return self._service(request.service).delays.begin(work_class, now)

    def note_sent(
        self,
        request: requests.RelayRequest,
        send: messages.Send,
        now: float,
    ) -> None:
        """Counts an attempt that is about to be sent."""
        server = send.server
        server.in_flight += 1
        server.sends.note(now)
        server.runs.add(send.run)
        if request.prompt is not None:
            work = request.work(send.model)
            server.work += work
            server.note_work(work)
            self._service(request.service).note_work(work)
        self.rollouts.note_sent(
            request.service, server.entry.version, request.session, now
        )
        if send.is_repeat:
            self._service(request.service).budget.note_repeat(now)

    def note_ended(
        self,
        request: requests.RelayRequest,
        send: messages.Send,
        outcome: pace_lib.AttemptOutcome,
        now: float,
    ) -> None:
        """Notes how an attempt went.

        Args:
            request: The request.
            send: The attempt.
            outcome: How it went.
            now: Steady time.
        """
        server = send.server
        if request.session:
            self.rollouts.sessions.note(
                request.session, server.entry.version, now
            )
        server.in_flight -= 1
        server.runs.end(send.run, now)
        self._service(request.service).delays.end(
            send.work_class, send.serial, now, answered=False
        )
        if request.prompt is not None:
            server.work -= request.work(send.model)
        note = self._endings.get(outcome)
        if note is not None:
            note(request, send, now)

    def _note_well(
        self, request: requests.RelayRequest, send: messages.Send, now: float
    ) -> None:
        send.server.has_ended = False  # It has come back by the same name.
        self._note_health(send.server.health, now, is_well=True)

    def _note_failed(
        self, request: requests.RelayRequest, send: messages.Send, now: float
    ) -> None:
        self._note_health(send.server.health, now, is_well=False)

    def _note_health(
        self, health: health_lib.Health, now: float, *, is_well: bool
    ) -> None:
        health.note(is_well, 1.0)
        if health.is_outlier():
            health.eject(now)

    def _note_full(
        self, request: requests.RelayRequest, send: messages.Send, now: float
    ) -> None:
        send.server.health.full_until = now + fleet_lib.FULL_REST

    def _note_replaced(
        self, request: requests.RelayRequest, send: messages.Send, now: float
    ) -> None:
        send.server.absent_until = now + fleet_lib.ABSENT

    def _note_unreachable(
        self, request: requests.RelayRequest, send: messages.Send, now: float
    ) -> None:
        if send.is_repeat:
            self._service(request.service).budget.take_back(now)
        self.fleet.doubt(send.server, now, self._draws.unit())
        send.server.health.rest_unreachable(
            now,
            fleet_lib.UNREACHABLE_REST,
            fleet_lib.LONGEST_UNREACHABLE_REST,
        )

    def note_server_end(
        self, server: server_lib.ServerState, now: float
    ) -> None:
        """Notes that a start of a server is over, as this host found.

        Args:
            server: The server.
            now: Steady time.
        """
        server.has_ended = True
        # Whoever looks the least busy would get the next requests.
        server.absent_until = now + fleet_lib.ABSENT
        self.suspects.note_end(
            server.entry.identity, server.runs.present(now), now
        )

    def take_suspects(
        self, told: Iterable[suspect_state.Suspect], now: float
    ) -> list[server_lib.ServerState]:
        """Takes what another host holds against requests.

        Args:
            told: Its suspects.
            now: Steady time.

        Returns:
            The servers of which it is news here that they have ended.
        """
        found = map(self.fleet.find, self.suspects.take(told, now))
        news = [each for each in found if each and not each.has_ended]
        for server in news:
            # This host may have had a run there that it gave up before the
            # server ended, so that it saw nothing of it.
            self.note_server_end(server, now)
        return news

    def note_answer(
        self,
        request: requests.RelayRequest,
        server: server_lib.ServerState,
        measured: pace_lib.Measured,
    ) -> None:
        """Takes what an attempt showed into account for roll-outs."""
        key = (request.route.name, measured.model)
        slow = self.paces.is_slow(key, measured, rollouts.SLOW_PACE)
        progress = self.rollouts.progress.get(request.service)
        is_target = (
            progress is not None
            and server.entry.version == progress.order.target
        )
        is_usual = not measured.failed and not measured.is_silent
        if is_usual and not is_target:
            self.paces.note(key, measured)
        if progress is not None:
            progress.note_answer(
                request.route.name,
                server.entry.version,
                measured.failed,
                slow,
            )

    def _service(self, name: str) -> service_state.ServiceState:
        known = self._services.get(name)
        if known is None:
            bounds = self._bounds
            known = service_state.ServiceState(
                budget.RepeatBudget(
                    bounds.repeat_ratio,
                    bounds.repeat_window,
                    self._spare_repeats(),
                )
            )
            self._services[name] = known
        return known
