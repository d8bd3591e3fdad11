"""Tests the splitting of streams into events."""

from __future__ import annotations

import itertools

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.clients import events

EVENTS = [
    b'data: {"attempt_id":"a"}\n\n',
    b"data: one\r\ndata: two\r\n\r\n",
    b": comment\n\n",
    b"data: [DONE]\n\n",
]


@settings(derandomize=True, deadline=None)
@given(strategies.lists(strategies.integers(0, 80)))
def test_chunk_boundaries_do_not_matter(positions: list[int]) -> None:
    stream = b"".join(EVENTS)
    bounds = [0, *sorted(min(each, len(stream)) for each in positions), None]
    splitter = events.EventSplitter()
    found = []
    for start, end in itertools.pairwise(bounds):
        found += splitter.feed(stream[start:end])
    assertions.assert_that(found, matchers.Equals(EVENTS))


def test_an_oversized_event_is_rejected() -> None:
    splitter = events.EventSplitter()
    with pytest.raises(events.EventTooLargeError):
        list(splitter.feed(b"x" * (events.MAX_EVENT_BYTES + 1)))


@pytest.mark.parametrize(
    ("payload", "is_own"),
    [
        (b'{"attempt_id":"a"}', True),
        (b'{"attempt_id":"b"}', False),
        (b'{"attempt_id":null}', False),
        (b"{}", True),
        (b"[1]", True),
        (b"not json", True),
    ],
)
def test_event_ownership(payload: bytes, is_own: bool) -> None:
    assertions.assert_that(
        events.belongs_to_attempt(payload, "a"), matchers.Is(is_own)
    )
