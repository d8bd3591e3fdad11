"""Replays the attempts of a rollout whose slow version was completed."""

from __future__ import annotations

import json
import pathlib

import attrs
import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.versions import evidence as evidence_lib
from hoistmoor.core.relay.versions import phases
from hoistmoor.core.relay.versions import progress as progress_lib
from hoistmoor.core.relay.versions import verdicts

FIXTURE = (
    pathlib.Path(__file__).parents[3] / "fixtures/rollouts/slow_version.json"
)


@attrs.frozen
class Attempt:
    """A recorded attempt; times in seconds.

    Attributes:
        route: Name of its route.
        version: Version it went to.
        started: When it started, from the order.
        first: From its start to its first event; None if there was none.
        paced: From its start to the sixteenth event; None if there was none.
        ended: From its start to its end.
        is_served: Whether it was complete; if not, it was dropped or cut.
    """

    route: str
    version: str
    started: float
    first: float | None
    paced: float | None
    ended: float
    is_served: bool


@attrs.frozen
class Recording:
    """A recorded rollout.

    Attributes:
        duration: Duration of the order in seconds.
        spread_after: When all requests moved to the target, from the order.
        attempts: Attempts until then.
    """

    duration: float
    spread_after: float
    attempts: list[Attempt]


@pytest.fixture(scope="module")
def recording() -> Recording:
    data = json.loads(FIXTURE.read_text())
    return Recording(
        data["duration"],
        data["spread_after"],
        [Attempt(*fields) for fields in data["attempts"]],
    )


def counts_at(
    recording: Recording, now: float
) -> dict[str, evidence_lib.RouteEvidence]:
    """Returns the counts of all hosts at a time after the order."""
    order = phases.Order("llm", "v2", recording.duration, 7)
    progress = progress_lib.Progress(order, 0.0)
    for each in recording.attempts:
        if each.started > now:
            continue
        attempt = progress.begin_attempt(
            each.route, each.version, each.started, is_stream=True
        )
        if attempt is None:
            continue
        for events, after in ((1, each.first), (16, each.paced)):
            if after is not None and each.started + after <= now:
                attempt.record_events(events, each.started + after)
        if each.started + each.ended <= now:
            attempt.record_end(
                each.started + each.ended, is_served=each.is_served
            )
            progress.record_response(each.route, each.version, False, False)
    return progress.current_counts(now)


def test_slow_version_does_not_spread_while_its_slow_responses_run(
    recording: Recording,
) -> None:
    # Most responses that had ended were short or dropped for a larger model.
    for second in range(int(recording.spread_after) + 1):
        pooled = counts_at(recording, float(second))
        phase = phases.next_phase(
            phases.Phase.TRIAL, pooled, second / recording.duration
        )
        assertions.assert_that(
            phase, matchers.Not(matchers.Equals(phases.Phase.SPREAD))
        )


def test_slow_version_is_found_bad_before_its_slow_responses_end(
    recording: Recording,
) -> None:
    pooled = counts_at(recording, recording.spread_after)
    assertions.assert_that(
        verdicts.judge(pooled), matchers.Is(verdicts.Verdict.BAD)
    )


def test_old_version_of_the_recording_is_not_found_bad(
    recording: Recording,
) -> None:
    # Half of its attempts, taken as those of the target, are no slower.
    swapped = attrs.evolve(
        recording,
        attempts=[
            attrs.evolve(each, version=f"v{1 + number % 2}")
            for number, each in enumerate(
                each for each in recording.attempts if each.version == "v1"
            )
        ],
    )
    pooled = counts_at(swapped, recording.spread_after)
    assertions.assert_that(
        verdicts.judge(pooled), matchers.Is(verdicts.Verdict.LIKELY_SOUND)
    )
