"""Servers that fall over when they have to turn too many requests away.

Guards against hosts that push brittle servers over one after the other. In an
observed failure, four servers fell 12 times in 14 s and served 0.02 of what
they had room for.
"""

from __future__ import annotations

import heapq
import itertools
import random

import attrs
import pytest
import relay_parts
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.answers import response_times
from hoistmoor.core.relay.course import machine as machine_lib
from hoistmoor.core.relay.course import messages
from hoistmoor.core.relay.placement import bounds as bounds_lib
from hoistmoor.core.relay.placement import router as router_lib
from hoistmoor.core.routing import hashing

NOW = 100.0
SLOTS = 6
TOLERANCE = 3  # Requests that a server turns away in a second before it falls.
WORK_SECONDS = 0.5
OVERLOAD = 1.6  # Offered load relative to the room of all servers.
SETTLING_SECONDS = 3.0  # Falls count from then on.
SECONDS = 8.0
DOWN_SECONDS = 2.0
# Guarantee: falls of a service, beside a tenth of the number of its servers.
MAX_FALLS = 2
MIN_USED = 0.5  # Fraction of the room that has to be used.

_Outcome = response_times.AttemptOutcome


@attrs.define
class Server:
    """A brittle server without any queue.

    Attributes:
        name: Its id.
        running: Requests in progress.
        turned_away: Times at which it turned a request away.
        down_until: Time until which it accepts no connection.
        falls: Times at which it fell over.
        done: Times at which requests were completed.
        start: Number of its starts; a request of an earlier one is lost.
    """

    name: str
    running: int = 0
    turned_away: list[float] = attrs.field(factory=list)
    down_until: float = 0.0
    falls: list[float] = attrs.field(factory=list)
    done: list[float] = attrs.field(factory=list)
    start: int = 0

    def receive(
        self, now: float, *, is_brittle: bool
    ) -> response_times.AttemptOutcome | None:
        """Returns the outcome of a request; None if it runs."""
        if now < self.down_until:
            return _Outcome.UNREACHABLE
        if self.running < SLOTS:
            self.running += 1
            return None
        self.turned_away.append(now)
        recent = [at for at in self.turned_away if at > now - 1.0]
        if is_brittle and len(recent) > TOLERANCE:
            self.falls.append(now)
            self.running = 0
            self.start += 1
            self.down_until = now + DOWN_SECONDS
        return _Outcome.FULL


class Simulation:
    """Hosts with their own routers, and the servers of one service."""

    def __init__(self, hosts: int, servers: int) -> None:
        self.servers = {
            f"s{number}": Server(f"s{number}") for number in range(servers)
        }
        names = [f"h{number}" for number in range(hosts)]
        self.routers = [
            self._make_router(number, names) for number in range(hosts)
        ]
        self._events: list[tuple[float, int, object]] = []
        self._serial = itertools.count()
        self._random = random.Random(hosts)
        self.now = NOW

    def _make_router(self, number: int, names: list[str]) -> router_lib.Router:
        router = router_lib.Router(
            "z0",
            bounds_lib.Bounds(),
            hashing.RandomGenerator.from_seed(number),
            names[number],
        )
        router.fleet.shares.set_hosts(names)
        for server in self.servers:
            entry = relay_parts.make_entry(server, zone="z0", slots=SLOTS)
            router.fleet.put(entry)
        return router

    def run(self) -> None:
        """Runs the load for all seconds."""
        rate = OVERLOAD * len(self.servers) * SLOTS / WORK_SECONDS
        arrival = NOW
        while arrival < NOW + SECONDS:
            arrival += self._random.expovariate(rate)
            self._complete_until(arrival)
            self.now = arrival
            self._request(self._random.choice(self.routers))

    def _request(self, router: router_lib.Router) -> None:
        request = relay_parts.make_request(arrived=self.now)
        machine = machine_lib.RelayMachine(request, router)
        effect = machine.handle(messages.Started(), self.now)
        if not isinstance(effect, messages.Send):
            return
        name = effect.server.entry.server_id
        server = self.servers[name]
        outcome = server.receive(self.now, is_brittle=True)
        if outcome is None:
            event = (router, request, effect, server, server.start)
            heapq.heappush(
                self._events,
                (self.now + WORK_SECONDS, next(self._serial), event),
            )
            return
        if outcome is _Outcome.FULL:
            router.fleet.record_brittle(effect.server, TOLERANCE, self.now)
        router.record_outcome(request, effect, outcome, self.now)

    def _complete_until(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            at, _, event = heapq.heappop(self._events)
            router, request, send, server, start = event  # type: ignore[misc]
            if start != server.start:
                router.record_outcome(request, send, _Outcome.FAILED, at)
                continue
            server.running -= 1
            server.done.append(at)
            router.fleet.record_brittle(send.server, TOLERANCE, at)
            router.record_outcome(request, send, _Outcome.WELL, at)


@pytest.mark.parametrize(("hosts", "servers"), [(7, 4), (60, 12), (300, 90)])
def test_hosts_do_not_push_brittle_servers_over(
    hosts: int, servers: int
) -> None:
    simulation = Simulation(hosts, servers)
    simulation.run()
    settled = NOW + SETTLING_SECONDS
    falls = [
        at
        for server in simulation.servers.values()
        for at in server.falls
        if at > settled
    ]
    assertions.assert_that(
        len(falls), matchers.LessThan(MAX_FALLS + servers / 10 + 1e-9)
    )
    done = sum(
        at > settled
        for server in simulation.servers.values()
        for at in server.done
    )
    room = servers * SLOTS * (SECONDS - SETTLING_SECONDS) / WORK_SECONDS
    assertions.assert_that(done / room, matchers.GreaterThan(MIN_USED))
