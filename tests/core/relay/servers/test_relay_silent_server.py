"""A sound server that is silent for a second and goes on.

Guards against excluding it for long after it has responded again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import relay_parts
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.answers import response_times
from hoistmoor.core.relay.course import machine as machine_lib
from hoistmoor.core.relay.course import messages
from hoistmoor.core.routing import health as health_lib

if TYPE_CHECKING:
    from hoistmoor.core.relay.placement import router as router_lib

NOW = 100.0
SILENCE = 1.0  # Seconds.
# Seconds after its silence at which it has to be among the candidates again.
GRACE = 1.0
CALLERS = 5  # Requests that time out during the silence.


def fall_silent(router: router_lib.Router, name: str) -> None:
    """Lets requests to one server time out without any byte of a response."""
    server = router.fleet.servers[name]
    request = relay_parts.make_request()
    machine = machine_lib.RelayMachine(request, router)
    effect = machine.handle(messages.Started(), NOW)
    assert isinstance(effect, messages.Send)
    work_class = effect.work_class
    for number in range(CALLERS):
        send = messages.Send(server, "", work_class, 1000 + number, NOW + 2.0)
        router.record_sent(request, send, NOW)
        router.record_outcome(
            request,
            send,
            response_times.AttemptOutcome.SILENT,
            NOW + SILENCE,
        )


def test_a_server_silent_for_a_second_is_a_candidate_a_second_later(
    router: router_lib.Router,
) -> None:
    name = next(iter(router.fleet.servers))
    fall_silent(router, name)
    server = router.fleet.servers[name]
    service = server.entry.service

    def is_candidate(now: float) -> bool:
        ready = relay_parts.ready_servers(
            router.fleet, service, {server.entry.version}, (), now
        )
        return server in ready

    assertions.assert_that(is_candidate(NOW + SILENCE), matchers.Is(False))
    assertions.assert_that(
        is_candidate(NOW + SILENCE + GRACE), matchers.Is(True)
    )


def test_a_server_that_stays_silent_is_tried_ever_more_rarely() -> None:
    health = health_lib.Health()
    rests = []
    now = NOW
    for _ in range(5):
        health.eject_silent(now)
        rests.append(health.ejected_until - now)
        now = health.ejected_until
        health.end_rests(now)
    assertions.assert_that(rests, matchers.Equals([1.0, 2.0, 4.0, 8.0, 16.0]))
