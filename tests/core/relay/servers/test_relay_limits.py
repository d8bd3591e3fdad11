"""What one host believes of the limits that servers name."""

from __future__ import annotations

from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.servers import limits
from hoistmoor.core.relay.servers import shares

NOW = 100.0


def test_an_answer_to_an_older_request_ends_no_limit() -> None:
    belief = limits.LimitBelief()
    belief.note_named(2.0, NOW)
    over = belief.note_unnamed(NOW - 0.1, NOW + 1.0)
    assertions.assert_that(over, matchers.Is(False))
    over = belief.note_unnamed(NOW + 0.5, NOW + 1.0)
    assertions.assert_that(over, matchers.Is(True))
    assertions.assert_that(belief.rate, matchers.Is(None))


def word(
    rate: float | None, age: float = 0.0, turn: int = 0
) -> limits.LimitWord:
    return limits.LimitWord(rate, turn, age)


def test_the_newest_word_holds() -> None:
    belief = limits.LimitBelief()
    assertions.assert_that(belief.take(word(2.0, 1.0), NOW), matchers.Is(True))
    assertions.assert_that(belief.take(word(3.0, 2.0), NOW), matchers.Is(False))
    assertions.assert_that(belief.take(word(None, 0.5), NOW), matchers.Is(True))
    assertions.assert_that(belief.take(word(2.0, 0.7), NOW), matchers.Is(False))
    assertions.assert_that(belief.rate, matchers.Is(None))


def test_a_word_that_comes_back_is_no_newer() -> None:
    belief = limits.LimitBelief()
    belief.note_named(2.0, NOW)
    for step in range(1, 100):
        now = NOW + 0.1 * step
        told = belief.word(now)
        assert told is not None
        belief.take(told, now + 0.05)  # It was on its way for so long.
    assertions.assert_that(belief.at, matchers.Equals(NOW))


def test_an_old_limit_is_answered_with_its_end() -> None:
    belief = limits.LimitBelief()
    belief.note_unnamed(NOW, NOW + 0.1)
    assertions.assert_that(belief.word(NOW + 1.0), matchers.Is(None))
    belief.take(word(2.0, 5.0), NOW + 1.0)
    assertions.assert_that(belief.rate, matchers.Is(None))
    told = belief.word(NOW + 1.0)
    assert told is not None
    assertions.assert_that(told.rate, matchers.Is(None))


def test_the_end_of_a_limit_is_told_for_a_while() -> None:
    belief = limits.LimitBelief()
    belief.note_named(2.0, NOW)
    belief.note_unnamed(NOW + 1.0, NOW + 1.1)
    assertions.assert_that(
        belief.word(NOW + 2.0), matchers.Not(matchers.Is(None))
    )
    assertions.assert_that(
        belief.word(NOW + 2.0 + limits.END_TOLD), matchers.Is(None)
    )


def test_other_hosts_are_chosen_where_a_server_is_not_heard_of() -> None:
    belief = limits.LimitBelief()
    belief.note_named(0.3, NOW)
    # A request in four seconds is expected of the hosts that were chosen.
    assertions.assert_that(belief.turn_at(NOW + 8.0), matchers.Equals(0))
    assertions.assert_that(belief.turn_at(NOW + 12.0), matchers.Equals(1))
    # The new ones are heard: they stay.
    belief.note_named(0.3, NOW + 12.0)
    assertions.assert_that(belief.turn_at(NOW + 20.0), matchers.Equals(1))
    other = limits.LimitBelief()
    told = belief.word(NOW + 13.0)
    assert told is not None
    other.take(told, NOW + 13.0)
    assertions.assert_that(other.turn_at(NOW + 20.0), matchers.Equals(1))


def test_a_server_that_takes_nothing_is_asked_now_and_then() -> None:
    part = shares.Part(1, 2)
    window = limits.window_of(0.0, part)
    assertions.assert_that(window, matchers.LessThan(60.0))
    assertions.assert_that(window, matchers.GreaterThan(10.0))
