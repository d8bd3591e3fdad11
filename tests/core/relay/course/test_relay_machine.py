"""The course of one relayed request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import pytest
import relay_parts
from testtools import assertions
from testtools import matchers

from hoistmoor.core import outcomes
from hoistmoor.core import refusals
from hoistmoor.core.relay.answers import pace
from hoistmoor.core.relay.beliefs import configuration
from hoistmoor.core.relay.course import attempt_counts
from hoistmoor.core.relay.course import machine as machine_lib
from hoistmoor.core.relay.course import messages
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
    request = relay_parts.request(route)
    for _ in range(20):
        router.note_request(request, NOW)
    machine = machine_lib.RelayMachine(request, router)
    return machine, machine.handle(messages.Started(), NOW)


def refusal_of(effect: messages.Effect) -> refusals.Refusal:
    assert isinstance(effect, messages.Refuse)
    return effect.refusal


@pytest.mark.parametrize("state", [State.SENDING, State.SENT, State.ANSWERING])
def test_what_may_have_run_once_is_not_sent_again(
    router: router_lib.Router, state: State
) -> None:
    machine, _ = start(router, relay_parts.CONFIRM)
    effect = machine.handle(messages.AttemptEnded(state), NOW)
    refusal = refusal_of(effect)
    assertions.assert_that(
        refusal.outcome, matchers.Equals(outcomes.Outcome.UNKNOWN)
    )


@pytest.mark.parametrize("state", [State.UNSENT, State.DECLINED])
def test_what_has_not_run_goes_to_another_server(
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


def test_a_refusal_is_not_run_only_if_no_attempt_may_have_run(
    router: router_lib.Router,
) -> None:
    declined, _ = start(router, relay_parts.ROUTE)
    effect: messages.Effect = messages.Pass()
    for _ in range(3):
        effect = declined.handle(messages.AttemptEnded(State.DECLINED), NOW)
    assertions.assert_that(
        refusal_of(effect).outcome, matchers.Equals(outcomes.Outcome.NOT_RUN)
    )
    cut, _ = start(router, relay_parts.ROUTE)
    cut.handle(messages.AttemptEnded(State.SENT), NOW)
    effect = cut.handle(messages.AttemptEnded(State.DECLINED), NOW)
    while isinstance(effect, messages.Send):
        effect = cut.handle(messages.AttemptEnded(State.DECLINED), NOW)
    assertions.assert_that(
        refusal_of(effect).outcome, matchers.Equals(outcomes.Outcome.UNKNOWN)
    )


def test_a_failed_run_is_asked_for_again_if_it_may_run_twice(
    router: router_lib.Router,
) -> None:
    machine, _ = start(router, relay_parts.ROUTE)
    failed = messages.AttemptEnded(State.ANSWERED, 500)
    assertions.assert_that(
        machine.handle(failed, NOW), matchers.IsInstance(messages.Send)
    )
    # The route allows two attempts: the second failure is the answer.
    assertions.assert_that(
        machine.handle(failed, NOW), matchers.IsInstance(messages.Deliver)
    )


def test_a_failed_run_that_may_run_once_is_the_answer(
    router: router_lib.Router,
) -> None:
    machine, _ = start(router, relay_parts.CONFIRM)
    effect = machine.handle(messages.AttemptEnded(State.ANSWERED, 500), NOW)
    assertions.assert_that(effect, matchers.IsInstance(messages.Deliver))


def test_without_budget_nothing_is_sent_again(
    router: router_lib.Router,
) -> None:
    request = relay_parts.request()
    spend_budget(router, request)
    machine = machine_lib.RelayMachine(request, router)
    machine.handle(messages.Started(), NOW)
    effect = machine.handle(messages.AttemptEnded(State.SENT), NOW)
    assertions.assert_that(effect, matchers.IsInstance(messages.Refuse))


def spend_budget(
    router: router_lib.Router, request: requests_lib.RelayRequest
) -> None:
    """Sends requests again until the budget allows no more."""
    while router.may_repeat(request, NOW):
        machine = machine_lib.RelayMachine(request, router)
        machine.handle(messages.Started(), NOW)
        machine.handle(messages.AttemptEnded(State.SENT), NOW)


def end(
    machine: machine_lib.RelayMachine,
    router: router_lib.Router,
    send: messages.Effect,
    state: State,
    outcome: pace.AttemptOutcome,
) -> messages.Effect:
    """Ends an attempt as its task would; returns what follows."""
    assert isinstance(send, messages.Send)
    router.note_ended(machine.request, send, outcome, NOW)
    return machine.handle(messages.AttemptEnded(state), NOW)


def test_a_server_that_takes_no_connection_spends_no_budget(
    router: router_lib.Router,
) -> None:
    # Half of the servers died. No server gets more for it that a request goes
    # on to the next one, so it goes on though the budget is spent.
    for number in range(9):
        router.fleet.put(relay_parts.entry(f"d{number}"))
    spend_budget(router, relay_parts.request())
    machine, effect = start(router, relay_parts.CONFIRM)
    sends = 0
    while isinstance(effect, messages.Send):
        sends += 1
        assertions.assert_that(effect.is_repeat, matchers.Is(False))
        effect = end(
            machine,
            router,
            effect,
            State.UNSENT,
            pace.AttemptOutcome.UNREACHABLE,
        )
    assertions.assert_that(
        sends, matchers.Equals(attempt_counts.MAX_UNREACHABLE)
    )
    assertions.assert_that(
        refusal_of(effect).outcome, matchers.Equals(outcomes.Outcome.NOT_RUN)
    )


def test_a_repeat_that_reached_no_server_is_taken_back(
    router: router_lib.Router,
) -> None:
    request = relay_parts.request()
    for _ in range(200):
        assertions.assert_that(
            router.may_repeat(request, NOW), matchers.Is(True)
        )
        machine = machine_lib.RelayMachine(request, router)
        machine.handle(messages.Started(), NOW)
        second = machine.handle(messages.AttemptEnded(State.DECLINED), NOW)
        assert isinstance(second, messages.Send)
        assertions.assert_that(second.is_repeat, matchers.Is(True))
        router.note_ended(request, second, pace.AttemptOutcome.UNREACHABLE, NOW)


def test_a_server_that_another_one_has_replaced_is_asked_no_more(
    router: router_lib.Router,
) -> None:
    machine, first = start(router, relay_parts.ROUTE)
    assert isinstance(first, messages.Send)
    end(machine, router, first, State.DECLINED, pace.AttemptOutcome.REPLACED)
    for now, is_asked in ((NOW, False), (NOW + 3.9, False), (NOW + 4.1, True)):
        ready = relay_parts.ready(router.fleet, "desk", {"v1"}, (), now)
        assertions.assert_that(first.server in ready, matchers.Is(is_asked))


def test_an_unsure_answer_is_dropped_for_the_largest_model(
    router: router_lib.Router,
) -> None:
    router.fleet.put(relay_parts.entry("e1", service="llm"))
    machine, first = start(router, relay_parts.CHAT)
    assert isinstance(first, messages.Send)
    assertions.assert_that(first.model, matchers.Equals("small"))
    router.note_first(machine.request, first, NOW)
    effect = machine.handle(messages.HeadArrived(200, 5.0), NOW)
    assertions.assert_that(effect, matchers.IsInstance(messages.Drop))
    second = machine.handle(messages.AttemptEnded(State.ANSWERING, 200), NOW)
    assert isinstance(second, messages.Send)
    assertions.assert_that(second.model, matchers.Equals("large"))


@pytest.mark.parametrize("confidence", [None, 95.0])
def test_a_sure_answer_is_passed_on(
    router: router_lib.Router, confidence: float | None
) -> None:
    router.fleet.put(relay_parts.entry("e1", service="llm"))
    machine, _ = start(router, relay_parts.CHAT)
    effect = machine.handle(messages.HeadArrived(200, confidence), NOW)
    assertions.assert_that(effect, matchers.IsInstance(messages.Pass))


def test_an_answer_that_began_is_never_dropped_or_refused(
    router: router_lib.Router,
) -> None:
    router.fleet.put(relay_parts.entry("e1", service="llm"))
    machine, _ = start(router, relay_parts.CHAT)
    machine.note_begun()
    assertions.assert_that(
        machine.handle(messages.HeadArrived(200, 0.0), NOW),
        matchers.IsInstance(messages.Pass),
    )
    effect = machine.handle(messages.DeadlineReached(State.UNSENT), NOW)
    assertions.assert_that(effect, matchers.IsInstance(messages.Break))


@pytest.mark.parametrize(
    ("state", "outcome"),
    [
        (State.UNSENT, outcomes.Outcome.NOT_RUN),
        (State.DECLINED, outcomes.Outcome.NOT_RUN),
        (State.SENT, outcomes.Outcome.UNKNOWN),
        (State.ANSWERING, outcomes.Outcome.UNKNOWN),
    ],
)
def test_a_deadline_tells_what_the_last_attempt_came_to(
    router: router_lib.Router, state: State, outcome: outcomes.Outcome
) -> None:
    machine, _ = start(router, relay_parts.ROUTE)
    effect = machine.handle(messages.DeadlineReached(state), NOW)
    assert isinstance(effect, messages.Refuse)
    assertions.assert_that(effect.refusal.outcome, matchers.Equals(outcome))


def test_attempts_stay_within_the_route(router: router_lib.Router) -> None:
    route = attrs.evolve(relay_parts.ROUTE, max_attempts=3)
    machine, effect = start(router, route)
    runs = 0
    while isinstance(effect, messages.Send):
        runs += 1
        effect = machine.handle(messages.AttemptEnded(State.SENT), NOW)
    assertions.assert_that(runs, matchers.Equals(3))


def test_no_server_is_a_refusal_that_has_not_run(
    router: router_lib.Router,
) -> None:
    _, effect = start(router, relay_parts.CHAT)
    refusal = refusal_of(effect)
    assertions.assert_that(
        refusal.reason, matchers.Equals(refusals.Reason.NO_CAPACITY)
    )
    assertions.assert_that(
        refusal.outcome, matchers.Equals(outcomes.Outcome.NOT_RUN)
    )


def test_a_failure_does_not_end_an_answer_that_began(
    router: router_lib.Router,
) -> None:
    router.fleet.put(relay_parts.entry("e1", service="llm"))
    router.fleet.put(relay_parts.entry("e2", service="llm"))
    machine, _ = start(router, relay_parts.CHAT)
    machine.note_begun()
    effect = machine.handle(messages.AttemptEnded(State.ANSWERING), NOW)
    assertions.assert_that(effect, matchers.IsInstance(messages.Send))
    failed = messages.AttemptEnded(State.ANSWERED, 500)
    effect = machine.handle(failed, NOW)
    while isinstance(effect, messages.Send):
        effect = machine.handle(failed, NOW)
    assertions.assert_that(effect, matchers.IsInstance(messages.Break))


def test_a_large_model_that_stays_silent_leaves_time_for_a_small_one(
    router: router_lib.Router,
) -> None:
    for number in range(3):
        router.fleet.put(relay_parts.entry(f"e{number}", service="llm"))
    machine, first = start(router, relay_parts.CHAT)
    assert isinstance(first, messages.Send)
    machine.handle(messages.HeadArrived(200, 0.0), NOW)
    large = machine.handle(messages.AttemptEnded(State.ANSWERING, 200), NOW)
    assert isinstance(large, messages.Send)
    assertions.assert_that(large.model, matchers.Equals("large"))
    assert large.patience is not None
    left = machine.request.deadline - NOW
    assertions.assert_that(large.patience, matchers.LessThan(left / 2 + 0.01))
    later = NOW + large.patience
    small = machine.handle(messages.AttemptEnded(State.SENT), later)
    assert isinstance(small, messages.Send)
    assertions.assert_that(small.model, matchers.Equals("small"))
    # Its answer is taken, however unsure.
    assertions.assert_that(
        machine.handle(messages.HeadArrived(200, 0.0), later),
        matchers.IsInstance(messages.Pass),
    )


def end_servers(
    router: router_lib.Router, fingerprint: str, count: int, stage: runs.Stage
) -> None:
    """Has servers end under a request, as another host saw it."""
    ends = {f"gone{number}": stage for number in range(count)}
    router.take_suspects([suspect_state.Suspect(fingerprint, ends)], NOW - 2.0)


def test_a_request_in_quarantine_is_refused_as_not_run(
    router: router_lib.Router,
) -> None:
    end_servers(router, "bad", 2, runs.Stage.BEGUN)
    request = relay_parts.request(fingerprint="bad")
    machine = machine_lib.RelayMachine(request, router)
    refusal = refusal_of(machine.handle(messages.Started(), NOW))
    assertions.assert_that(
        refusal.reason, matchers.Equals(refusals.Reason.CRASHES_SERVERS)
    )
    assertions.assert_that(
        refusal.outcome, matchers.Equals(outcomes.Outcome.NOT_RUN)
    )
    # A caller that comes back sooner would only be refused again.
    assertions.assert_that(
        refusal.retry_after, matchers.Equals(int(suspects.QUARANTINE) - 2)
    )


def test_a_request_that_is_quarantined_under_way_is_sent_no_more(
    router: router_lib.Router,
) -> None:
    request = relay_parts.request(relay_parts.CHAT, fingerprint="bad")
    router.fleet.put(relay_parts.entry("e1", service="llm"))
    router.fleet.put(relay_parts.entry("e2", service="llm"))
    machine = machine_lib.RelayMachine(request, router)
    machine.handle(messages.Started(), NOW)
    end_servers(router, "bad", 2, runs.Stage.BEGUN)
    refusal = refusal_of(machine.handle(messages.AttemptEnded(State.SENT), NOW))
    assertions.assert_that(
        refusal.reason, matchers.Equals(refusals.Reason.CRASHES_SERVERS)
    )
    assertions.assert_that(
        refusal.outcome, matchers.Equals(outcomes.Outcome.UNKNOWN)
    )


@pytest.mark.parametrize(
    ("ends_before", "sends"),
    [(0, 2 + attempt_counts.MAX_UNCOUNTED), (2, 2)],
)
def test_an_end_uses_up_no_attempt_of_what_merely_ran_there(
    router: router_lib.Router, ends_before: int, sends: int
) -> None:
    # The route allows two attempts.
    for number in range(9):
        router.fleet.put(relay_parts.entry(f"d{number}"))
    end_servers(router, "r", ends_before, runs.Stage.WAITING)
    request = relay_parts.request(fingerprint="r")
    for _ in range(20):
        router.note_request(request, NOW)
    machine = machine_lib.RelayMachine(request, router)
    effect = machine.handle(messages.Started(), NOW)
    count = 0
    while isinstance(effect, messages.Send):
        count += 1
        ended = messages.AttemptEnded(State.SENT, server_ended=True)
        effect = machine.handle(ended, NOW)
    assertions.assert_that(count, matchers.Equals(sends))
    assertions.assert_that(
        refusal_of(effect).outcome, matchers.Equals(outcomes.Outcome.UNKNOWN)
    )


def limit_all(router: router_lib.Router) -> None:
    """Has each server name a limit of which this host has no part."""
    router.fleet.shares.take_hosts(["another"])
    for server in router.fleet:
        server.limit.note_named(1.0, NOW)


def test_where_all_servers_are_limited_a_request_is_refused_at_once(
    router: router_lib.Router,
) -> None:
    limit_all(router)
    _, effect = start(router, relay_parts.CONFIRM)
    refusal = refusal_of(effect)
    assertions.assert_that(
        refusal.reason, matchers.Equals(refusals.Reason.SERVERS_LIMITED)
    )
    assertions.assert_that(
        refusal.outcome, matchers.Equals(outcomes.Outcome.NOT_RUN)
    )
    # Some other host sends the next one in about a second.
    assertions.assert_that(
        refusal.retry_after or 0.0, matchers.GreaterThan(1.0)
    )


def test_one_server_without_a_limit_is_enough(
    router: router_lib.Router,
) -> None:
    limit_all(router)
    router.fleet.put(relay_parts.entry("free"))
    _, effect = start(router, relay_parts.CONFIRM)
    assert isinstance(effect, messages.Send)
    assertions.assert_that(
        effect.server.entry.server_id, matchers.Equals("free")
    )


def test_a_repeat_that_finds_all_limited_tells_whether_it_may_have_run(
    router: router_lib.Router,
) -> None:
    machine, _ = start(router, relay_parts.ROUTE)
    limit_all(router)
    effect = machine.handle(messages.AttemptEnded(State.SENT), NOW)
    refusal = refusal_of(effect)
    assertions.assert_that(
        refusal.reason, matchers.Equals(refusals.Reason.BACKEND_CUT)
    )
    assertions.assert_that(
        refusal.outcome, matchers.Equals(outcomes.Outcome.UNKNOWN)
    )


def test_a_failure_is_delivered_where_no_other_server_may_be_asked(
    router: router_lib.Router,
) -> None:
    machine, _ = start(router, relay_parts.ROUTE)
    limit_all(router)
    failed = messages.AttemptEnded(State.ANSWERED, 500)
    assertions.assert_that(
        machine.handle(failed, NOW), matchers.IsInstance(messages.Deliver)
    )


def test_an_unsure_answer_is_kept_where_no_larger_model_may_be_asked(
    router: router_lib.Router,
) -> None:
    router.fleet.put(relay_parts.entry("e1", service="llm"))
    machine, _ = start(router, relay_parts.CHAT)
    limit_all(router)
    effect = machine.handle(messages.HeadArrived(200, 5.0), NOW)
    assertions.assert_that(effect, matchers.IsInstance(messages.Pass))


def test_where_all_servers_leave_a_request_is_refused_at_once(
    router: router_lib.Router,
) -> None:
    for server in router.fleet:
        server.departure.note(NOW)
    waits = []
    for later in (0.0, 1.0, 2.0, 9.0):
        request = relay_parts.request(relay_parts.CONFIRM)
        machine = machine_lib.RelayMachine(request, router)
        refusal = refusal_of(machine.handle(messages.Started(), NOW + later))
        assertions.assert_that(
            refusal.reason, matchers.Equals(refusals.Reason.SERVERS_LEAVING)
        )
        assertions.assert_that(
            refusal.outcome, matchers.Equals(outcomes.Outcome.NOT_RUN)
        )
        assert refusal.retry_after is not None
        waits.append(refusal.retry_after)
    # What has lasted for a while is expected to last as long again.
    assertions.assert_that(waits, matchers.Equals(sorted(waits)))
    assertions.assert_that(waits[0], matchers.LessThan(0.7))
    assertions.assert_that(waits[-1], matchers.GreaterThan(2.0))


def test_a_replacement_that_is_cold_tells_when_to_come_back(
    router: router_lib.Router,
) -> None:
    for server in router.fleet:
        server.departure.note(NOW)
    service = configuration.Service(
        "desk", 10, warmup_duration=9.0, warmup_rate=1.0
    )
    router.fleet.warmups.take_services({"desk": service})
    router.fleet.put(relay_parts.entry("new", warm_in=4.0), NOW)
    # No host may send one: its rate is less than one in a window.
    _, effect = start(router, relay_parts.CONFIRM)
    refusal = refusal_of(effect)
    assertions.assert_that(
        refusal.reason, matchers.Equals(refusals.Reason.NO_CAPACITY)
    )
    assertions.assert_that(refusal.retry_after, matchers.Equals(4.0))
