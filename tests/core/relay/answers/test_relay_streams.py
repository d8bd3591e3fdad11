"""No event of a stream is missing, passed on twice, or passed on in part."""

from __future__ import annotations

import itertools

from hypothesis import given
from hypothesis import strategies as st
import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.answers import streams


def event(number: int, end: bytes = b"\n\n") -> bytes:
    return b"id: %d\ndata: text %d" % (number, number) + end


@given(
    count=st.integers(0, 8),
    cuts=st.lists(st.integers(0, 200), max_size=6),
    end=st.sampled_from([b"\n\n", b"\r\n\r\n"]),
)
def test_any_split_gives_the_same_whole_events(
    count: int, cuts: list[int], end: bytes
) -> None:
    data = b"".join(event(number, end) for number in range(1, count + 1))
    whole = data + b"id: 99\ndata: par"
    places = sorted({min(cut, len(whole)) for cut in cuts} | {0, len(whole)})
    sequence = streams.EventSequence()
    passed = b"".join(
        sequence.feed(whole[first:last])
        for first, last in itertools.pairwise(places)
    )
    assertions.assert_that(passed, matchers.Equals(data))
    assertions.assert_that(sequence.has_partial, matchers.Is(True))
    assertions.assert_that(sequence.events, matchers.Equals(count))


@pytest.mark.parametrize("wrong", [1, 2, 4, 0])
def test_an_event_out_of_turn_is_an_error(wrong: int) -> None:
    sequence = streams.EventSequence()
    sequence.feed(event(1) + event(2))
    with pytest.raises(streams.StreamOrderError):
        sequence.feed(event(wrong))


def test_another_server_goes_on_after_the_last_whole_event() -> None:
    sequence = streams.EventSequence()
    sequence.feed(event(1) + event(2)[:-3])
    assertions.assert_that(sequence.last_id, matchers.Equals(1))
    sequence.begin_run()
    assertions.assert_that(
        sequence.feed(event(2) + event(3)),
        matchers.Equals(event(2) + event(3)),
    )


def test_a_server_that_begins_again_is_found_out() -> None:
    sequence = streams.EventSequence(last_id=7)
    with pytest.raises(streams.StreamOrderError):
        sequence.feed(event(1))


def test_an_event_without_end_is_an_error() -> None:
    sequence = streams.EventSequence()
    with pytest.raises(streams.StreamOrderError):
        sequence.feed(b"x" * (streams.MAX_EVENT_BYTES + 1))
