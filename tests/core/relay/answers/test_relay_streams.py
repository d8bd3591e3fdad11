"""Events of a stream are forwarded whole, in order and exactly once."""

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
    chunk_ends=st.lists(st.integers(0, 200), max_size=6),
    end=st.sampled_from([b"\n\n", b"\r\n\r\n"]),
)
def test_chunk_boundaries_do_not_affect_events(
    count: int, chunk_ends: list[int], end: bytes
) -> None:
    data = b"".join(event(number, end) for number in range(1, count + 1))
    whole = data + b"id: 99\ndata: par"
    offsets = sorted(
        {min(chunk_end, len(whole)) for chunk_end in chunk_ends}
        | {0, len(whole)}
    )
    sequence = streams.EventSequence()
    forwarded = b"".join(
        sequence.feed(whole[first:last])
        for first, last in itertools.pairwise(offsets)
    )
    assertions.assert_that(forwarded, matchers.Equals(data))
    assertions.assert_that(sequence.has_partial, matchers.Is(True))
    assertions.assert_that(sequence.events, matchers.Equals(count))


@pytest.mark.parametrize("wrong", [1, 2, 4, 0])
def test_out_of_order_event_is_rejected(wrong: int) -> None:
    sequence = streams.EventSequence()
    sequence.feed(event(1) + event(2))
    with pytest.raises(streams.StreamOrderError):
        sequence.feed(event(wrong))


def test_another_server_resumes_after_last_complete_event() -> None:
    sequence = streams.EventSequence()
    sequence.feed(event(1) + event(2)[:-3])
    assertions.assert_that(sequence.last_id, matchers.Equals(1))
    sequence.reset_buffer()
    assertions.assert_that(
        sequence.feed(event(2) + event(3)),
        matchers.Equals(event(2) + event(3)),
    )


def test_restarted_stream_is_rejected() -> None:
    sequence = streams.EventSequence(last_id=7)
    with pytest.raises(streams.StreamOrderError):
        sequence.feed(event(1))


def test_unterminated_event_is_rejected() -> None:
    sequence = streams.EventSequence()
    with pytest.raises(streams.StreamOrderError):
        sequence.feed(b"x" * (streams.MAX_EVENT_BYTES + 1))
