"""Chooses the backend server and the model of each attempt.

It holds what this host knows: the fleet, the roll-outs and the budgets. The
machines of all requests share one router.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.relay import budget
from hoistmoor.core.relay import fleet as fleet_lib
from hoistmoor.core.relay import pace as pace_lib
from hoistmoor.core.relay import placement
from hoistmoor.core.relay import rollouts

if TYPE_CHECKING:
    from hoistmoor.core.relay import requests
    from hoistmoor.core.routing import hashing


@attrs.frozen
class Bounds:
    """Bounds that the operators set for the relay.

    Attributes:
        repeat_ratio: Repeats for each request to a service.
        repeat_window: Seconds over which both are counted.
        repeat_spare: Repeats a host may make with no request at all.
    """

    repeat_ratio: float = 0.2
    repeat_window: float = 10.0
    repeat_spare: float = 3.0


class Router:
    """What this host knows of backend servers, and its choices.

    Attributes:
        fleet: Backend servers.
        rollouts: Roll-outs and versions.
        paces: Usual durations of answers.
        zone: Failure domain of this host.
    """

    def __init__(self, zone: str, bounds: Bounds, draws: hashing.Draws) -> None:
        self.fleet = fleet_lib.Fleet()
        self.rollouts = rollouts.RolloutBook()
        self.paces = pace_lib.Paces()
        self.zone = zone
        self._bounds = bounds
        self._draws = draws
        self._budgets: dict[str, budget.RepeatBudget] = {}

    def note_request(self, request: requests.RelayRequest, now: float) -> None:
        """Counts a caller's request, which earns its service repeats."""
        self._budget(request.service).note_request(now)

    def may_repeat(self, request: requests.RelayRequest, now: float) -> bool:
        """Returns whether the budget allows to send the request once more."""
        return self._budget(request.service).allows(now)

    def pick(
        self,
        request: requests.RelayRequest,
        excluded: frozenset[str],
        now: float,
    ) -> fleet_lib.ServerState | None:
        """Returns the server for the next attempt, or None without one."""
        service = request.service
        allowed = self.rollouts.choose(
            service, self.fleet.versions(service), bool(request.session)
        )
        ready = [
            each
            for each in self.fleet.ready(service, excluded, now)
            if each.entry.version in allowed
        ]
        subject = request.prompt.subject if request.prompt else ""
        return placement.pick(ready, subject, self.zone, now, self._draws)

    def note_sent(
        self,
        request: requests.RelayRequest,
        server: fleet_lib.ServerState,
        is_repeat: bool,
        now: float,
    ) -> None:
        """Counts an attempt that is about to be sent."""
        server.in_flight += 1
        self.rollouts.note_sent(request.service, server.entry.version)
        if is_repeat:
            self._budget(request.service).note_repeat(now)

    def note_ended(
        self,
        server: fleet_lib.ServerState,
        outcome: pace_lib.AttemptOutcome,
        now: float,
    ) -> None:
        """Notes how an attempt went."""
        server.in_flight -= 1
        if outcome is pace_lib.AttemptOutcome.LEFT:
            return
        if outcome is pace_lib.AttemptOutcome.FULL:
            server.health.full_until = now + fleet_lib.FULL_REST
            return
        server.health.note(outcome is pace_lib.AttemptOutcome.WELL, 1.0)
        if server.health.is_outlier():
            server.health.eject(now)

    def note_answer(
        self,
        request: requests.RelayRequest,
        server: fleet_lib.ServerState,
        measured: pace_lib.Measured,
    ) -> None:
        """Takes a whole answer into account for paces and roll-outs."""
        key = (request.route.name, measured.model)
        slow = self.paces.is_slow(key, measured, rollouts.SLOW_PACE)
        progress = self.rollouts.progress.get(request.service)
        is_target = (
            progress is not None
            and server.entry.version == progress.order.target
        )
        if not measured.failed and not is_target:
            self.paces.note(key, measured)
        if progress is not None:
            progress.note_answer(
                request.route.name,
                server.entry.version,
                measured.failed,
                slow,
            )

    def _budget(self, service: str) -> budget.RepeatBudget:
        known = self._budgets.get(service)
        if known is None:
            known = budget.RepeatBudget(
                self._bounds.repeat_ratio,
                self._bounds.repeat_window,
                self._bounds.repeat_spare,
            )
            self._budgets[service] = known
        return known
