"""Servers that owe responses and have fallen silent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import relay_parts
from testtools import assertions
from testtools import matchers

from hoistmoor.core import outcomes
from hoistmoor.core.relay.answers import response_times
from hoistmoor.core.relay.course import machine as machine_lib
from hoistmoor.core.relay.course import messages
from hoistmoor.core.relay.servers import silence

if TYPE_CHECKING:
    from hoistmoor.core.relay.placement import router as router_lib

NOW = 100.0
TARGET = 0.1
USUAL = 0.05  # Seconds in which a server responds.
SLOW = 1.0
Outcome = response_times.AttemptOutcome


def serve(
    state: silence.SilenceState, seconds: float, now: float, count: int = 1
) -> float:
    """Records requests that are answered in turn; returns the time after."""
    for _ in range(count):
        state.record_sent(TARGET, now)
        now += seconds
        state.record_heard(now)
        state.record_end(Outcome.WELL, now)
    return now


def send(
    router: router_lib.Router, now: float
) -> tuple[messages.Effect, machine_lib.RelayMachine]:
    """Starts a request; returns what its host does first."""
    machine = machine_lib.RelayMachine(relay_parts.make_request(), router)
    return machine.handle(messages.Started(), now), machine


def is_quiet_after(state: silence.SilenceState, now: float) -> float:
    """Returns the seconds after which a server that stops counts as quiet."""
    state.record_sent(TARGET, now)
    waited = 0.0
    while not state.is_quiet(now + waited):
        waited += 0.01
    return waited


def test_a_server_that_stops_is_quiet_soon_after_its_usual_time() -> None:
    state = silence.SilenceState()
    now = serve(state, USUAL, NOW, 50)
    assertions.assert_that(is_quiet_after(state, now), matchers.LessThan(0.3))


def test_a_slow_server_is_not_quiet_within_its_usual_time() -> None:
    state = silence.SilenceState()
    now = serve(state, SLOW, NOW, 50)
    assertions.assert_that(
        is_quiet_after(state, now), matchers.GreaterThan(SLOW)
    )


def test_a_server_that_turns_slow_stops_being_quiet() -> None:
    state = silence.SilenceState()
    now = serve(state, USUAL, NOW, 50)
    now = serve(state, SLOW, now, 12)
    assertions.assert_that(
        is_quiet_after(state, now), matchers.GreaterThan(SLOW)
    )


def test_a_stop_does_not_count_as_a_usual_time() -> None:
    state = silence.SilenceState()
    now = serve(state, USUAL, NOW, 50)
    before = state.patience
    state.record_sent(TARGET, now)
    state.probed_at = now + 1.0
    state.record_heard(now + 6.0)
    assertions.assert_that(state.patience, matchers.Equals(before))


def test_no_request_goes_to_a_quiet_server_while_another_responds(
    router: router_lib.Router,
) -> None:
    effect, _ = send(router, NOW)
    assert isinstance(effect, messages.Send)
    quiet = effect.server
    now = NOW + quiet.silence.patience + 0.01
    assertions.assert_that(
        router.silences.due_probes(now), matchers.Equals([quiet])
    )
    now += silence.SUSPICION_SECONDS + 0.01
    for _ in range(30):
        effect, _ = send(router, now)
        assert isinstance(effect, messages.Send)
        assertions.assert_that(effect.server, matchers.Not(matchers.Is(quiet)))
        router.silences.record_heard(effect.server, now)


def test_a_repeat_goes_to_a_server_that_has_just_responded(
    router: router_lib.Router,
) -> None:
    effect, machine = send(router, NOW)
    assert isinstance(effect, messages.Send)
    others = [each for each in router.fleet if each is not effect.server]
    router.silences.record_heard(others[1], NOW)
    outcome = response_times.AttemptOutcome.SILENT
    router.record_outcome(machine.request, effect, outcome, NOW + 0.3)
    repeat = machine.handle(
        messages.AttemptEnded(outcomes.ExchangeState.SENT), NOW + 0.3
    )
    assert isinstance(repeat, messages.Send)
    assertions.assert_that(repeat.server, matchers.Is(others[1]))


def test_nothing_is_refused_while_all_servers_are_silent(
    router: router_lib.Router,
) -> None:
    for server in router.fleet:
        router.silences.record_sent(server, TARGET, NOW)
    due = router.silences.due_probes(NOW + 1.0)
    assertions.assert_that(due, matchers.HasLength(3))
    now = NOW + 1.0 + silence.CONFIRMATION_SECONDS + 0.01
    assertions.assert_that(
        all(server.silence.is_silent(now) for server in router.fleet),
        matchers.Is(True),
    )
    effect, _ = send(router, now)
    assertions.assert_that(effect, matchers.IsInstance(messages.Send))


def test_a_server_has_one_probe_at_a_time(router: router_lib.Router) -> None:
    server = next(iter(router.fleet))
    router.silences.record_sent(server, TARGET, NOW)
    due = [router.silences.due_probes(NOW + step) for step in (1.0, 2.0, 9.0)]
    assertions.assert_that(due, matchers.Equals([[server], [], []]))
    router.silences.record_probe_failed(server, NOW + 10.0)
    due = [router.silences.due_probes(NOW + step) for step in (10.1, 10.6)]
    assertions.assert_that(due, matchers.Equals([[], [server]]))


def test_a_quiet_server_that_owes_nothing_is_not_kept(
    router: router_lib.Router,
) -> None:
    server = next(iter(router.fleet))
    router.silences.record_sent(server, TARGET, NOW)
    router.silences.record_end(server, Outcome.SILENT, NOW + 1.0)
    assertions.assert_that(
        server.silence.is_quiet(NOW + 1.0), matchers.Is(True)
    )
    router.silences.due_probes(NOW + 1.0)
    router.silences.record_probe_failed(server, NOW + 1.1)
    assertions.assert_that(
        server.silence.is_quiet(NOW + 1.1), matchers.Is(False)
    )
    assertions.assert_that(
        router.silences.due_probes(NOW + 60.0), matchers.Equals([])
    )
