"""What a server has of this host's requests when it ends."""

from __future__ import annotations

from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.servers import runs


def test_a_run_that_was_given_up_counts_a_little_longer() -> None:
    listed = runs.RunList()
    left, answered = runs.Run("left"), runs.Run("answered", is_over=True)
    for run in (left, answered):
        listed.add(run)
        listed.end(run, 10.0)
    just_after = listed.present(10.0 + runs.RECENT)
    assertions.assert_that(just_after, matchers.Equals([left]))
    later = listed.present(10.1 + runs.RECENT)
    assertions.assert_that(later, matchers.Equals([]))


def test_a_run_tells_how_long_its_answer_lasted() -> None:
    run = runs.Run("r")
    assertions.assert_that(run.lasted(10.0), matchers.Equals(0.0))
    run.note_head(10.0)
    assertions.assert_that(run.lasted(12.0), matchers.Equals(2.0))
    run.left_at = 11.0
    assertions.assert_that(run.lasted(12.0), matchers.Equals(1.0))


def test_runs_that_were_given_up_are_bounded() -> None:
    listed = runs.RunList()
    for _ in range(2 * runs.KEPT):
        listed.end(runs.Run("r"), 10.0)
    assertions.assert_that(listed.present(10.0), matchers.HasLength(runs.KEPT))
