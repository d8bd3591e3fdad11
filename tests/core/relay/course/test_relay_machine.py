"""State machine of one relayed request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import pytest
import relay_parts
from testtools import assertions
from testtools import matchers

from hoistmoor.core import outcomes
from hoistmoor.core import refusals
from hoistmoor.core.relay.answers import response_times
from hoistmoor.core.relay.beliefs import configuration
from hoistmoor.core.relay.course import attempt_counts
from hoistmoor.core.relay.course import machine as machine_lib
from hoistmoor.core.relay.course import messages
from hoistmoor.core.relay.servers import crashing_parts
from hoistmoor.core.relay.servers import part_evidence
from hoistmoor.core.relay.servers import part_states
from hoistmoor.core.relay.servers import runs
from hoistmoor.core.relay.servers import suspect_state
from hoistmoor.core.relay.servers import suspects

if TYPE_CHECKING:
    from hoistmoor.core.relay.course import requests as requests_lib
    from hoistmoor.core.relay.placement import router as router_lib

State = outcomes.ExchangeState
NOW = 100.0


def start(
    router: router_lib.Router, route: relay_parts.configuration.Route
) -> tuple[machine_lib.RelayMachine, messages.Effect]:
    request = relay_parts.make_request(route)
    for _ in range(20):
        router.record_request(request, NOW)
    machine = machine_lib.RelayMachine(request, router)
    return machine, machine.handle(messages.Started(), NOW)


def get_refusal(effect: messages.Effect) -> refusals.Refusal:
    assert isinstance(effect, messages.Refuse)
    return effect.refusal


@pytest.mark.parametrize("state", [State.SENDING, State.SENT, State.ANSWERING])
def test_non_idempotent_request_that_may_have_run_is_not_retried(
    router: router_lib.Router, state: State
) -> None:
    machine, _ = start(router, relay_parts.CONFIRM)
    effect = machine.handle(messages.AttemptEnded(state), NOW)
    refusal = get_refusal(effect)
    assertions.assert_that(
        refusal.outcome, matchers.Equals(outcomes.Outcome.UNKNOWN)
    )


@pytest.mark.parametrize("state", [State.UNSENT, State.DECLINED])
def test_request_that_has_not_run_goes_to_another_server(
    router: router_lib.Router, state: State
) -> None:
    machine, first = start(router, relay_parts.CONFIRM)
    second = machine.handle(messages.AttemptEnded(state), NOW)
    assert isinstance(first, messages.Send)
    assert isinstance(second, messages.Send)
    assertions.assert_that(
        second.server.entry.server_id,
        matchers.Not(matchers.Equals(first.server.entry.server_id)),
    )


def test_refusal_is_not_run_only_if_no_attempt_may_have_run(
    router: router_lib.Router,
) -> None:
    declined, _ = start(router, relay_parts.ROUTE)
    effect: messages.Effect = messages.Forward()
    for _ in range(3):
        effect = declined.handle(messages.AttemptEnded(State.DECLINED), NOW)
    assertions.assert_that(
        get_refusal(effect).outcome, matchers.Equals(outcomes.Outcome.NOT_RUN)
    )
    cut, _ = start(router, relay_parts.ROUTE)
    cut.handle(messages.AttemptEnded(State.SENT), NOW)
    effect = cut.handle(messages.AttemptEnded(State.DECLINED), NOW)
    while isinstance(effect, messages.Send):
        effect = cut.handle(messages.AttemptEnded(State.DECLINED), NOW)
    assertions.assert_that(
        get_refusal(effect).outcome, matchers.Equals(outcomes.Outcome.UNKNOWN)
    )


def test_error_response_to_idempotent_request_is_retried(
    router: router_lib.Router,
) -> None:
    machine, _ = start(router, relay_parts.ROUTE)
    failed = messages.AttemptEnded(State.ANSWERED, 500)
    assertions.assert_that(
        machine.handle(failed, NOW), matchers.IsInstance(messages.Send)
    )
    # The route allows two attempts, so the second failure is delivered.
    assertions.assert_that(
        machine.handle(failed, NOW), matchers.IsInstance(messages.Deliver)
    )


def test_error_response_to_non_idempotent_request_is_delivered(
    router: router_lib.Router,
) -> None:
    machine, _ = start(router, relay_parts.CONFIRM)
    effect = machine.handle(messages.AttemptEnded(State.ANSWERED, 500), NOW)
    assertions.assert_that(effect, matchers.IsInstance(messages.Deliver))


def test_no_retry_without_budget(
    router: router_lib.Router,
) -> None:
    request = relay_parts.make_request()
    exhaust_budget(router, request)
    machine = machine_lib.RelayMachine(request, router)
    machine.handle(messages.Started(), NOW)
    effect = machine.handle(messages.AttemptEnded(State.SENT), NOW)
    assertions.assert_that(effect, matchers.IsInstance(messages.Refuse))


def exhaust_budget(
    router: router_lib.Router, request: requests_lib.RelayRequest
) -> None:
    """Retries requests until the budget is exhausted."""
    while router.may_retry(request, NOW):
        machine = machine_lib.RelayMachine(request, router)
        machine.handle(messages.Started(), NOW)
        machine.handle(messages.AttemptEnded(State.SENT), NOW)


def end_attempt(
    machine: machine_lib.RelayMachine,
    router: router_lib.Router,
    send: messages.Effect,
    state: State,
    outcome: response_times.AttemptOutcome,
) -> messages.Effect:
    """Ends an attempt as the request task does; returns the next effect."""
    assert isinstance(send, messages.Send)
    router.record_outcome(machine.request, send, outcome, NOW)
    return machine.handle(messages.AttemptEnded(state), NOW)


def test_unreachable_server_uses_no_retry_budget(
    router: router_lib.Router,
) -> None:
    # Half of the servers are dead. Trying the next server puts no load on any
    # of them, so it is allowed although the budget is exhausted.
    for number in range(9):
        router.fleet.put(relay_parts.make_entry(f"d{number}"))
    exhaust_budget(router, relay_parts.make_request())
    machine, effect = start(router, relay_parts.CONFIRM)
    sends = 0
    while isinstance(effect, messages.Send):
        sends += 1
        assertions.assert_that(effect.is_retry, matchers.Is(False))
        effect = end_attempt(
            machine,
            router,
            effect,
            State.UNSENT,
            response_times.AttemptOutcome.UNREACHABLE,
        )
    assertions.assert_that(
        sends, matchers.Equals(attempt_counts.MAX_UNREACHABLE)
    )
    assertions.assert_that(
        get_refusal(effect).outcome, matchers.Equals(outcomes.Outcome.NOT_RUN)
    )


def test_retry_that_reached_no_server_is_not_counted(
    router: router_lib.Router,
) -> None:
    request = relay_parts.make_request()
    for _ in range(200):
        assertions.assert_that(
            router.may_retry(request, NOW), matchers.Is(True)
        )
        machine = machine_lib.RelayMachine(request, router)
        machine.handle(messages.Started(), NOW)
        second = machine.handle(messages.AttemptEnded(State.DECLINED), NOW)
        assert isinstance(second, messages.Send)
        assertions.assert_that(second.is_retry, matchers.Is(True))
        router.record_outcome(
            request, second, response_times.AttemptOutcome.UNREACHABLE, NOW
        )


def test_replaced_server_gets_no_requests_for_a_while(
    router: router_lib.Router,
) -> None:
    machine, first = start(router, relay_parts.ROUTE)
    assert isinstance(first, messages.Send)
    end_attempt(
        machine,
        router,
        first,
        State.DECLINED,
        response_times.AttemptOutcome.REPLACED,
    )
    for now, is_asked in ((NOW, False), (NOW + 3.9, False), (NOW + 4.1, True)):
        ready = relay_parts.ready_servers(router.fleet, "desk", {"v1"}, (), now)
        assertions.assert_that(first.server in ready, matchers.Is(is_asked))


def test_low_confidence_escalates_to_the_largest_model(
    router: router_lib.Router,
) -> None:
    router.fleet.put(relay_parts.make_entry("e1", service="llm"))
    machine, first = start(router, relay_parts.CHAT)
    assert isinstance(first, messages.Send)
    assertions.assert_that(first.model, matchers.Equals("small"))
    router.record_first_byte(machine.request, first, NOW)
    effect = machine.handle(messages.HeadArrived(200, 5.0), NOW)
    assertions.assert_that(effect, matchers.IsInstance(messages.Discard))
    second = machine.handle(messages.AttemptEnded(State.ANSWERING, 200), NOW)
    assert isinstance(second, messages.Send)
    assertions.assert_that(second.model, matchers.Equals("large"))


@pytest.mark.parametrize("confidence", [None, 95.0])
def test_response_with_high_or_no_confidence_is_forwarded(
    router: router_lib.Router, confidence: float | None
) -> None:
    router.fleet.put(relay_parts.make_entry("e1", service="llm"))
    machine, _ = start(router, relay_parts.CHAT)
    effect = machine.handle(messages.HeadArrived(200, confidence), NOW)
    assertions.assert_that(effect, matchers.IsInstance(messages.Forward))


def test_partly_sent_response_is_never_discarded_or_refused(
    router: router_lib.Router,
) -> None:
    router.fleet.put(relay_parts.make_entry("e1", service="llm"))
    machine, _ = start(router, relay_parts.CHAT)
    machine.record_response_started()
    assertions.assert_that(
        machine.handle(messages.HeadArrived(200, 0.0), NOW),
        matchers.IsInstance(messages.Forward),
    )
    effect = machine.handle(messages.DeadlineReached(State.UNSENT), NOW)
    assertions.assert_that(effect, matchers.IsInstance(messages.Abort))


@pytest.mark.parametrize(
    ("state", "outcome"),
    [
        (State.UNSENT, outcomes.Outcome.NOT_RUN),
        (State.DECLINED, outcomes.Outcome.NOT_RUN),
        (State.SENT, outcomes.Outcome.UNKNOWN),
        (State.ANSWERING, outcomes.Outcome.UNKNOWN),
    ],
)
def test_outcome_at_the_deadline_follows_the_last_attempt(
    router: router_lib.Router, state: State, outcome: outcomes.Outcome
) -> None:
    machine, _ = start(router, relay_parts.ROUTE)
    effect = machine.handle(messages.DeadlineReached(state), NOW)
    assert isinstance(effect, messages.Refuse)
    assertions.assert_that(effect.refusal.outcome, matchers.Equals(outcome))


@pytest.mark.parametrize(
    ("state", "outcome"),
    [
        (State.UNSENT, outcomes.Outcome.NOT_RUN),
        (State.DECLINED, outcomes.Outcome.NOT_RUN),
        (State.SENT, outcomes.Outcome.UNKNOWN),
        (State.ANSWERED, outcomes.Outcome.UNKNOWN),
    ],
)
def test_a_request_that_may_run_is_no_promise_when_its_host_stops(
    router: router_lib.Router, state: State, outcome: outcomes.Outcome
) -> None:
    machine, _ = start(router, relay_parts.CONFIRM)
    effect = machine.handle(messages.HostStopped(state), NOW)
    refusal = get_refusal(effect)
    assertions.assert_that(refusal.outcome, matchers.Equals(outcome))


def test_attempts_stay_within_the_maximum_of_the_route(
    router: router_lib.Router,
) -> None:
    route = attrs.evolve(relay_parts.ROUTE, max_attempts=3)
    machine, effect = start(router, route)
    runs = 0
    while isinstance(effect, messages.Send):
        runs += 1
        effect = machine.handle(messages.AttemptEnded(State.SENT), NOW)
    assertions.assert_that(runs, matchers.Equals(3))


def test_request_without_any_server_is_refused_as_not_run(
    router: router_lib.Router,
) -> None:
    _, effect = start(router, relay_parts.CHAT)
    refusal = get_refusal(effect)
    assertions.assert_that(
        refusal.reason, matchers.Equals(refusals.Reason.NO_CAPACITY)
    )
    assertions.assert_that(
        refusal.outcome, matchers.Equals(outcomes.Outcome.NOT_RUN)
    )


def test_error_response_does_not_complete_a_partly_sent_response(
    router: router_lib.Router,
) -> None:
    router.fleet.put(relay_parts.make_entry("e1", service="llm"))
    router.fleet.put(relay_parts.make_entry("e2", service="llm"))
    machine, _ = start(router, relay_parts.CHAT)
    machine.record_response_started()
    effect = machine.handle(messages.AttemptEnded(State.ANSWERING), NOW)
    assertions.assert_that(effect, matchers.IsInstance(messages.Send))
    failed = messages.AttemptEnded(State.ANSWERED, 500)
    effect = machine.handle(failed, NOW)
    while isinstance(effect, messages.Send):
        effect = machine.handle(failed, NOW)
    assertions.assert_that(effect, matchers.IsInstance(messages.Abort))


def test_timeout_of_large_model_leaves_time_for_the_small_one(
    router: router_lib.Router,
) -> None:
    for number in range(3):
        router.fleet.put(relay_parts.make_entry(f"e{number}", service="llm"))
    machine, first = start(router, relay_parts.CHAT)
    assert isinstance(first, messages.Send)
    machine.handle(messages.HeadArrived(200, 0.0), NOW)
    large = machine.handle(messages.AttemptEnded(State.ANSWERING, 200), NOW)
    assert isinstance(large, messages.Send)
    assertions.assert_that(large.model, matchers.Equals("large"))
    assert large.read_timeout is not None
    left = machine.request.deadline - NOW
    assertions.assert_that(
        large.read_timeout, matchers.LessThan(left / 2 + 0.01)
    )
    timed_out_at = NOW + large.read_timeout
    small = machine.handle(messages.AttemptEnded(State.SENT), timed_out_at)
    assert isinstance(small, messages.Send)
    assertions.assert_that(small.model, matchers.Equals("small"))
    # Its response is forwarded even with low confidence.
    assertions.assert_that(
        machine.handle(messages.HeadArrived(200, 0.0), timed_out_at),
        matchers.IsInstance(messages.Forward),
    )


def end_servers(
    router: router_lib.Router, fingerprint: str, count: int, stage: runs.Stage
) -> None:
    """Reports that servers ended while they ran a request."""
    ends = {f"gone{number}": stage for number in range(count)}
    router.merge_suspects([suspect_state.Suspect(fingerprint, ends)], NOW - 2.0)


def test_quarantined_request_is_refused_as_not_run(
    router: router_lib.Router,
) -> None:
    end_servers(router, "bad", 2, runs.Stage.BEGUN)
    request = relay_parts.make_request(fingerprint="bad")
    machine = machine_lib.RelayMachine(request, router)
    refusal = get_refusal(machine.handle(messages.Started(), NOW))
    assertions.assert_that(
        refusal.reason, matchers.Equals(refusals.Reason.CRASHES_SERVERS)
    )
    assertions.assert_that(
        refusal.outcome, matchers.Equals(outcomes.Outcome.NOT_RUN)
    )
    # An earlier retry would only be refused again.
    assertions.assert_that(
        refusal.retry_after,
        matchers.Equals(int(suspects.QUARANTINE_SECONDS) - 2),
    )


def test_request_quarantined_during_an_attempt_is_not_retried(
    router: router_lib.Router,
) -> None:
    request = relay_parts.make_request(relay_parts.CHAT, fingerprint="bad")
    router.fleet.put(relay_parts.make_entry("e1", service="llm"))
    router.fleet.put(relay_parts.make_entry("e2", service="llm"))
    machine = machine_lib.RelayMachine(request, router)
    machine.handle(messages.Started(), NOW)
    end_servers(router, "bad", 2, runs.Stage.BEGUN)
    refusal = get_refusal(
        machine.handle(messages.AttemptEnded(State.SENT), NOW)
    )
    assertions.assert_that(
        refusal.reason, matchers.Equals(refusals.Reason.CRASHES_SERVERS)
    )
    assertions.assert_that(
        refusal.outcome, matchers.Equals(outcomes.Outcome.UNKNOWN)
    )


def quarantine_part(
    router: router_lib.Router, part: str, probe_age: float = 0.0
) -> None:
    """Reports that servers crashed on a prompt part."""
    told = part_evidence.PartQuarantine(
        "llm", (part,), versions=("v1",), age=probe_age, probe_age=probe_age
    )
    router.merge_parts(crashing_parts.PartChanges(quarantines=(told,)), NOW)


def test_request_with_a_quarantined_part_is_refused_before_it_waits(
    router: router_lib.Router,
) -> None:
    router.fleet.put(relay_parts.make_entry("e1", service="llm"))
    quarantine_part(router, "b")
    request = relay_parts.make_request(relay_parts.CHAT)
    machine = machine_lib.RelayMachine(request, router, needs_room=True)
    refusal = get_refusal(machine.handle(messages.Started(), NOW))
    assertions.assert_that(
        (refusal.reason, refusal.outcome, refusal.retry_after),
        matchers.Equals(
            (
                refusals.Reason.CRASHES_SERVERS,
                outcomes.Outcome.NOT_RUN,
                int(part_states.QUARANTINE_SECONDS),
            )
        ),
    )


def test_the_last_part_of_a_prompt_is_not_quarantined(
    router: router_lib.Router,
) -> None:
    router.fleet.put(relay_parts.make_entry("e1", service="llm"))
    quarantine_part(router, "own")
    request = relay_parts.make_request(relay_parts.CHAT)
    machine = machine_lib.RelayMachine(request, router)
    assertions.assert_that(
        machine.handle(messages.Started(), NOW),
        matchers.IsInstance(messages.Send),
    )


def test_request_that_tests_a_quarantine_is_sent_once(
    router: router_lib.Router,
) -> None:
    router.fleet.shares.set_hosts([router.fleet.shares.host_name])
    router.fleet.put(relay_parts.make_entry("e1", service="llm"))
    router.fleet.put(relay_parts.make_entry("e2", service="llm"))
    quarantine_part(router, "b", part_states.FIRST_PROBE_DELAY)
    request = relay_parts.make_request(relay_parts.CHAT)
    machine = machine_lib.RelayMachine(request, router, needs_room=True)
    machine.handle(messages.Started(), NOW)
    effect = machine.handle(messages.RoomGranted(), NOW + 0.1)
    assertions.assert_that(effect, matchers.IsInstance(messages.Send))
    refusal = get_refusal(
        machine.handle(messages.AttemptEnded(State.SENT), NOW + 0.2)
    )
    assertions.assert_that(
        refusal.reason, matchers.Equals(refusals.Reason.CRASHES_SERVERS)
    )


@pytest.mark.parametrize(
    ("ends_before", "sends"),
    [(0, 2 + attempt_counts.MAX_UNCOUNTED), (2, 2)],
)
def test_ended_server_uses_no_attempt_of_an_unrelated_request(
    router: router_lib.Router, ends_before: int, sends: int
) -> None:
    # The route allows two attempts.
    for number in range(9):
        router.fleet.put(relay_parts.make_entry(f"d{number}"))
    end_servers(router, "r", ends_before, runs.Stage.WAITING)
    request = relay_parts.make_request(fingerprint="r")
    for _ in range(20):
        router.record_request(request, NOW)
    machine = machine_lib.RelayMachine(request, router)
    effect = machine.handle(messages.Started(), NOW)
    count = 0
    while isinstance(effect, messages.Send):
        count += 1
        ended = messages.AttemptEnded(State.SENT, server_ended=True)
        effect = machine.handle(ended, NOW)
    assertions.assert_that(count, matchers.Equals(sends))
    assertions.assert_that(
        get_refusal(effect).outcome, matchers.Equals(outcomes.Outcome.UNKNOWN)
    )


def limit_all_servers(router: router_lib.Router) -> None:
    """Sets a rate limit on each server of which this host has no share."""
    router.fleet.shares.set_hosts(["another"])
    for server in router.fleet:
        server.limit.record_limit(1.0, NOW)


def test_request_is_refused_at_once_if_all_servers_are_limited(
    router: router_lib.Router,
) -> None:
    limit_all_servers(router)
    _, effect = start(router, relay_parts.CONFIRM)
    refusal = get_refusal(effect)
    assertions.assert_that(
        refusal.reason, matchers.Equals(refusals.Reason.SERVERS_LIMITED)
    )
    assertions.assert_that(
        refusal.outcome, matchers.Equals(outcomes.Outcome.NOT_RUN)
    )
    # Another host uses the next slot in about a second.
    assertions.assert_that(
        refusal.retry_after or 0.0, matchers.GreaterThan(1.0)
    )


def test_server_without_a_limit_gets_the_request(
    router: router_lib.Router,
) -> None:
    limit_all_servers(router)
    router.fleet.put(relay_parts.make_entry("free"))
    _, effect = start(router, relay_parts.CONFIRM)
    assert isinstance(effect, messages.Send)
    assertions.assert_that(
        effect.server.entry.server_id, matchers.Equals("free")
    )


def test_refused_retry_keeps_the_outcome_of_the_first_attempt(
    router: router_lib.Router,
) -> None:
    machine, _ = start(router, relay_parts.ROUTE)
    limit_all_servers(router)
    effect = machine.handle(messages.AttemptEnded(State.SENT), NOW)
    refusal = get_refusal(effect)
    assertions.assert_that(
        refusal.reason, matchers.Equals(refusals.Reason.BACKEND_CUT)
    )
    assertions.assert_that(
        refusal.outcome, matchers.Equals(outcomes.Outcome.UNKNOWN)
    )


def test_error_response_is_delivered_if_no_other_server_is_available(
    router: router_lib.Router,
) -> None:
    machine, _ = start(router, relay_parts.ROUTE)
    limit_all_servers(router)
    failed = messages.AttemptEnded(State.ANSWERED, 500)
    assertions.assert_that(
        machine.handle(failed, NOW), matchers.IsInstance(messages.Deliver)
    )


def test_low_confidence_is_accepted_if_no_larger_model_is_available(
    router: router_lib.Router,
) -> None:
    router.fleet.put(relay_parts.make_entry("e1", service="llm"))
    machine, _ = start(router, relay_parts.CHAT)
    limit_all_servers(router)
    effect = machine.handle(messages.HeadArrived(200, 5.0), NOW)
    assertions.assert_that(effect, matchers.IsInstance(messages.Forward))


def test_request_is_refused_at_once_if_all_servers_are_leaving(
    router: router_lib.Router,
) -> None:
    for server in router.fleet:
        server.departure.record(NOW)
    waits = []
    for delay in (0.0, 1.0, 2.0, 9.0):
        request = relay_parts.make_request(relay_parts.CONFIRM)
        machine = machine_lib.RelayMachine(request, router)
        refusal = get_refusal(machine.handle(messages.Started(), NOW + delay))
        assertions.assert_that(
            refusal.reason, matchers.Equals(refusals.Reason.SERVERS_LEAVING)
        )
        assertions.assert_that(
            refusal.outcome, matchers.Equals(outcomes.Outcome.NOT_RUN)
        )
        assert refusal.retry_after is not None
        waits.append(refusal.retry_after)
    # The remaining duration is estimated as the duration so far.
    assertions.assert_that(waits, matchers.Equals(sorted(waits)))
    assertions.assert_that(waits[0], matchers.LessThan(0.7))
    assertions.assert_that(waits[-1], matchers.GreaterThan(2.0))


def test_retry_delay_follows_the_warm_up_of_a_replacement(
    router: router_lib.Router,
) -> None:
    for server in router.fleet:
        server.departure.record(NOW)
    service = configuration.Service(
        "desk", 10, warmup_duration=9.0, warmup_rate=1.0
    )
    router.fleet.warmups.set_services({"desk": service})
    router.fleet.put(relay_parts.make_entry("new", warm_in=4.0), NOW)
    # No host may send a request: the rate allows less than one per window.
    _, effect = start(router, relay_parts.CONFIRM)
    refusal = get_refusal(effect)
    assertions.assert_that(
        refusal.reason, matchers.Equals(refusals.Reason.NO_CAPACITY)
    )
    assertions.assert_that(refusal.retry_after, matchers.Equals(4.0))


def test_request_waits_for_room_before_its_first_attempt(
    router: router_lib.Router,
) -> None:
    request = relay_parts.make_request(relay_parts.CONFIRM)
    machine = machine_lib.RelayMachine(request, router, needs_room=True)
    effect = machine.handle(messages.Started(), NOW)
    assertions.assert_that(effect, matchers.Equals(messages.Wait()))
    assertions.assert_that(machine.sent, matchers.Equals(0))
    effect = machine.handle(messages.RoomGranted(), NOW)
    assert isinstance(effect, messages.Send)


def test_request_without_room_is_refused_as_not_run(
    router: router_lib.Router,
) -> None:
    request = relay_parts.make_request(relay_parts.CONFIRM)
    machine = machine_lib.RelayMachine(request, router, needs_room=True)
    machine.handle(messages.Started(), NOW)
    refusal = get_refusal(
        machine.handle(messages.RoomDenied(1.25, "no room"), NOW)
    )
    assertions.assert_that(
        refusal,
        matchers.MatchesStructure.byEquality(
            reason=refusals.Reason.OVERLOADED,
            outcome=outcomes.Outcome.NOT_RUN,
            retry_after=1.25,
        ),
    )
