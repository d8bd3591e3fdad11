"""State that one host keeps about the rate limits of servers."""

from __future__ import annotations

from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.servers import limits
from hoistmoor.core.relay.servers import shares

NOW = 100.0


def test_response_to_an_older_request_does_not_end_a_limit() -> None:
    state = limits.LimitState()
    state.record_limit(2.0, NOW)
    is_over = state.record_no_limit(NOW - 0.1, NOW + 1.0)
    assertions.assert_that(is_over, matchers.Is(False))
    is_over = state.record_no_limit(NOW + 0.5, NOW + 1.0)
    assertions.assert_that(is_over, matchers.Is(True))
    assertions.assert_that(state.rate, matchers.Is(None))


def word(
    rate: float | None, age: float = 0.0, turn: int = 0
) -> limits.GossipedLimit:
    return limits.GossipedLimit(rate, turn, age)


def test_latest_message_applies() -> None:
    state = limits.LimitState()
    assertions.assert_that(state.merge(word(2.0, 1.0), NOW), matchers.Is(True))
    assertions.assert_that(state.merge(word(3.0, 2.0), NOW), matchers.Is(False))
    assertions.assert_that(state.merge(word(None, 0.5), NOW), matchers.Is(True))
    assertions.assert_that(state.merge(word(2.0, 0.7), NOW), matchers.Is(False))
    assertions.assert_that(state.rate, matchers.Is(None))


def test_echoed_message_does_not_count_as_newer() -> None:
    state = limits.LimitState()
    state.record_limit(2.0, NOW)
    for step in range(1, 100):
        now = NOW + 0.1 * step
        sent = state.to_gossip(now)
        assert sent is not None
        state.merge(sent, now + 0.05)  # Network delay.
    assertions.assert_that(state.at, matchers.Equals(NOW))


def test_outdated_limit_from_another_host_is_answered_with_its_end() -> None:
    state = limits.LimitState()
    state.record_no_limit(NOW, NOW + 0.1)
    assertions.assert_that(state.to_gossip(NOW + 1.0), matchers.Is(None))
    state.merge(word(2.0, 5.0), NOW + 1.0)
    assertions.assert_that(state.rate, matchers.Is(None))
    sent = state.to_gossip(NOW + 1.0)
    assert sent is not None
    assertions.assert_that(sent.rate, matchers.Is(None))


def test_end_of_a_limit_is_gossiped_for_a_while() -> None:
    state = limits.LimitState()
    state.record_limit(2.0, NOW)
    state.record_no_limit(NOW + 1.0, NOW + 1.1)
    assertions.assert_that(
        state.to_gossip(NOW + 2.0), matchers.Not(matchers.Is(None))
    )
    assertions.assert_that(
        state.to_gossip(NOW + 2.0 + limits.END_GOSSIP_SECONDS),
        matchers.Is(None),
    )


def test_other_hosts_are_selected_without_responses_from_a_server() -> None:
    state = limits.LimitState()
    state.record_limit(0.3, NOW)
    # The selected hosts are expected to send one request in four seconds.
    assertions.assert_that(state.generation_at(NOW + 8.0), matchers.Equals(0))
    assertions.assert_that(state.generation_at(NOW + 12.0), matchers.Equals(1))
    # A response to the newly selected hosts keeps them selected.
    state.record_limit(0.3, NOW + 12.0)
    assertions.assert_that(state.generation_at(NOW + 20.0), matchers.Equals(1))
    other = limits.LimitState()
    sent = state.to_gossip(NOW + 13.0)
    assert sent is not None
    other.merge(sent, NOW + 13.0)
    assertions.assert_that(other.generation_at(NOW + 20.0), matchers.Equals(1))


def test_server_with_a_limit_of_zero_is_probed_occasionally() -> None:
    part = shares.Quota(1, 2)
    window = limits.quota_window(0.0, part)
    assertions.assert_that(window, matchers.LessThan(60.0))
    assertions.assert_that(window, matchers.GreaterThan(10.0))
