"""Runs that may be at a server when it ends."""

from __future__ import annotations

from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.servers import runs


def test_abandoned_run_counts_a_little_longer() -> None:
    run_list = runs.RunList()
    abandoned, answered = (
        runs.Run("left"),
        runs.Run("answered", is_finished=True),
    )
    for run in (abandoned, answered):
        run_list.add(run)
        run_list.end(run, 10.0)
    just_after = run_list.possibly_active(10.0 + runs.RECENT_SECONDS)
    assertions.assert_that(just_after, matchers.Equals([abandoned]))
    later = run_list.possibly_active(10.1 + runs.RECENT_SECONDS)
    assertions.assert_that(later, matchers.Equals([]))


def test_duration_of_the_response_of_a_run() -> None:
    run = runs.Run("r")
    assertions.assert_that(run.response_duration(10.0), matchers.Equals(0.0))
    run.record_response_started(10.0)
    assertions.assert_that(run.response_duration(12.0), matchers.Equals(2.0))
    run.ended_at = 11.0
    assertions.assert_that(run.response_duration(12.0), matchers.Equals(1.0))


def test_memory_of_abandoned_runs_is_bounded() -> None:
    run_list = runs.RunList()
    for _ in range(2 * runs.MAX_RECENT):
        run_list.end(runs.Run("r"), 10.0)
    assertions.assert_that(
        run_list.possibly_active(10.0), matchers.HasLength(runs.MAX_RECENT)
    )
