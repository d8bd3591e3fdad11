"""Queues of all services at this host, and what decides about them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.relay.waiting import host_queue
from hoistmoor.core.relay.waiting import returns
from hoistmoor.core.relay.waiting import room as room_lib
from hoistmoor.core.relay.waiting import service_load

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from hoistmoor.core.relay.course import requests
    from hoistmoor.core.relay.servers import fleet as fleet_lib
    from hoistmoor.core.relay.servers import server as server_lib
    from hoistmoor.core.routing import hashing


# Room of a host without any part of it; a host's room must not be 0.
MIN_ROOM = 1e-6


def no_excess(account: str, service: str, now: float) -> float:
    """Returns the excess of an account where shares are not counted."""
    return 0.0


@attrs.define
class ServiceQueue:
    """Queue of one service, and the room of its servers.

    Attributes:
        queue: Requests that wait or hold room.
        room: Room of the servers.
    """

    queue: host_queue.HostQueue = attrs.field(factory=host_queue.HostQueue)
    room: room_lib.Room = attrs.field(factory=room_lib.Room)


class WaitingRooms:
    """Queues of all services at this host.

    Attributes:
        is_enabled: Whether requests may wait. If not, all start at once.
        excess: Returns the seconds of service of a client account above its
            share of a service, given the time at which a request arrived.
        others_waiting: Work that waits at other hosts, in seconds of a usual
            server, by service.
        services: Queues by service.
    """

    def __init__(
        self,
        fleet: fleet_lib.Fleet,
        draws: hashing.RandomGenerator,
        excess: Callable[[str, str, float], float] = no_excess,
    ) -> None:
        self.is_enabled = False
        self.excess = excess
        self.others_waiting: Mapping[str, float] = {}
        self._fleet = fleet
        self._draws = draws
        self.services: dict[str, ServiceQueue] = {}
        # Longest time limit of a caller seen so far, by route.
        self._time_limits: dict[str, float] = {}
        self._serial = 0

    def offer(
        self,
        request: requests.RelayRequest,
        model: str,
        memory_tokens: int,
        now: float,
    ) -> tuple[int, tuple[host_queue.Effect, ...]]:
        """Grants, queues or denies a new request.

        Args:
            request: The request.
            model: Model that it will request first.
            memory_tokens: Tokens that the memory of one engine of the service
                holds; 0 if not known.
            now: Monotonic time.

        Returns:
            Serial of the request, and effects on it and on others of its
            service.
        """
        service = self.services.setdefault(request.service, ServiceQueue())
        cost = cost_of(request, model)
        priority = room_lib.priority_class(request.route.priority)
        service.room.has_engine = request.prompt is not None
        service.room.memory_tokens = memory_tokens
        service.room.record_request(priority, cost, _memory_of(request))
        self._fleet.set_memory_slots(
            request.service, service.room.requests_in_memory()
        )
        self._serial += 1
        time_limit = self._time_limit(request)
        left = request.deadline - request.arrived
        waiting = host_queue.WaitingRequest(
            self._serial,
            priority,
            cost,
            request.arrived,
            request.deadline - time_limit,
            request.route.target,
            request.deadline,
            self.excess(request.account, request.service, request.arrived),
            returns.is_expected(left, time_limit),
        )
        effects = service.queue.offer(
            waiting,
            self._demand(request.service, now),
            service.room.expected_delay(priority),
            now,
            self._draws.random(),
        )
        return self._serial, effects

    def _time_limit(self, request: requests.RelayRequest) -> float:
        """Returns the time that callers of the route have at first."""
        left = request.deadline - request.arrived
        name = request.route.name
        longest = max(left, self._time_limits.get(name, 0.0))
        self._time_limits[name] = longest = min(longest, request.route.timeout)
        return longest

    def set_cost(
        self, request: requests.RelayRequest, serial: int, model: str
    ) -> None:
        """Applies the model of an attempt to the room that it holds.

        Other hosts see the attempt's work, which this host's part is compared
        with.
        """
        queue = self.services[request.service].queue
        queue.set_cost(serial, cost_of(request, model))

    def update(self, service: str, now: float) -> tuple[host_queue.Effect, ...]:
        """Applies the current demand to the requests that wait."""
        return self.services[service].queue.update(
            self._demand(service, now), now, self._draws.random()
        )

    def finish(
        self, service: str, serial: int, seconds: float | None, now: float
    ) -> tuple[host_queue.Effect, ...]:
        """Frees the room of a request.

        Args:
            service: Its service.
            serial: Its serial.
            seconds: Time for which it held the room; None if it failed.
            now: Monotonic time.
        """
        return self.services[service].queue.finish(
            serial, seconds, now, self._draws.random()
        )

    def cancel(self, service: str, serial: int) -> bool:
        """Removes a waiting request, and returns whether it was waiting."""
        return self.services[service].queue.cancel(serial)

    def next_expiry(self, service: str) -> float | None:
        """Returns when the next waiting request must be refused, if any."""
        return self.services[service].queue.queue.next_expiry()

    def load_at(self, server: server_lib.ServerState, now: float) -> float:
        """Returns the load of a server, in the terms of its service's room."""
        service = self.services.get(server.entry.service)
        if service is None:
            return 0.0
        if service.room.has_engine:
            return server.total_work(service.room.mean_cost, now)
        requests = server.in_flight + server.load.current(now)
        return max(1.0, requests / max(1, server.entry.slots))

    def record_response(
        self, request: requests.RelayRequest, load: float, delay: float
    ) -> None:
        """Records the delay of a response.

        Args:
            request: The request.
            load: Load of the server when the request was sent.
            delay: Seconds until the response began.
        """
        service = self.services.get(request.service)
        if service is not None and load > 0.0:
            service.room.record_response(
                room_lib.priority_class(request.route.priority),
                request.route.target,
                load,
                delay,
            )

    def own_waiting(self, now: float) -> dict[str, float]:
        """Returns the work that waits or was refused here, by service.

        The unit is a second of a usual server.
        """
        seconds = {
            name: service.room.seconds_of(service.queue.waiting_cost(now))
            for name, service in self.services.items()
        }
        return {
            name: round(amount, 3)
            for name, amount in seconds.items()
            if amount >= 0.001
        }

    def _demand(self, name: str, now: float) -> host_queue.Demand:
        service = self.services[name]
        quota = self._fleet.brittle_quota(name, now)
        if quota is not None:
            return _fixed_demand(quota * max(1.0, service.room.mean_cost))
        load = service_load.observe(
            self._fleet.eligible(name, now),
            service.room.mean_cost,
            now,
            has_engine=service.room.has_engine,
        )
        return host_queue.Demand(
            service.room.limits(load),
            load.others,
            service.room.cost_of(self.others_waiting.get(name, 0.0)),
            load.is_scarce and service.room.is_slow,
            load.age,
        )


def _fixed_demand(room: float) -> host_queue.Demand:
    """Returns the demand where this host has a fixed part of the room.

    Args:
        room: Cost that this host may have outstanding.
    """
    limits = dict.fromkeys(room_lib.PRIORITIES, max(room, MIN_ROOM))
    return host_queue.Demand(limits, 0.0, 0.0, is_scarce=True)


def cost_of(request: requests.RelayRequest, model: str) -> float:
    """Returns the work of a request to an engine, else 1."""
    return max(1.0, request.work(model))


def _memory_of(request: requests.RelayRequest) -> float:
    """Returns the tokens of engine memory that no other request shares."""
    prompt = request.prompt
    if prompt is None:
        return 0.0
    return prompt.tokens - prompt.shared_tokens + prompt.max_new_tokens
