"""Tests of ``hoistmoor story`` on logs of several hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from testtools import assertions
from testtools import matchers

from hoistmoor.console import application
from hoistmoor.console import exit_codes
from hoistmoor.console.commands import story

if TYPE_CHECKING:
    import pathlib

    import pytest

LOG = """\
  1.0 h1 {"t":1.0,"host":"h1","event":"configuration","revision":3}
  1.1 h1 {"t":1.1,"host":"h1","event":"server","server":"i-1","version":"v1"}
  1.2 h1 {"t":1.2,"host":"h1","event":"server","server":"i-2","version":"v1"}
not JSON at all {
{"t":1.5,"host":"h1","event":"configuration","revision":4}
{"t":2.0,"host":"h1","event":"request","id":"r1","attempts":["i-1 cut"]}
{"t":2.5,"host":"h1","event":"configuration","revision":5}
{"t":9.0,"host":"h2","event":"refused","id":"r2","reason":"stopping"}
"""


def test_story_shows_the_state_at_the_time_of_the_request(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    log = tmp_path / "a.log"
    log.write_text(LOG)
    code = application.main(["story", "r1", str(log)])
    assertions.assert_that(code, matchers.Equals(exit_codes.ExitCode.DONE))
    output = capsys.readouterr().out
    assertions.assert_that(output, matchers.Contains('"revision":4'))
    assertions.assert_that(output, matchers.Contains('"server":"i-1"'))
    assertions.assert_that(output, matchers.Contains("> "))
    for absent in ('"revision":3', '"revision":5', "i-2", "h2"):
        assertions.assert_that(output, matchers.Not(matchers.Contains(absent)))


def test_unknown_request_fails(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    log = tmp_path / "a.log"
    log.write_text(LOG)
    code = application.main(["story", "r9", str(log)])
    assertions.assert_that(code, matchers.Equals(exit_codes.ExitCode.FAILED))
    assertions.assert_that(capsys.readouterr().err, matchers.Contains("r9"))


def test_story_shows_why_a_request_was_quarantined() -> None:
    lines = [
        story.LogLine("h1", 1.0, "request_quarantined", {"fingerprint": "bad"}),
        story.LogLine(
            "h1", 1.5, "request_quarantined", {"fingerprint": "other"}
        ),
        story.LogLine("h1", 2.0, "request", {"id": "r1", "fingerprint": "bad"}),
    ]
    output = story.describe_request(lines, "r1")
    assertions.assert_that(output, matchers.HasLength(3))
    assertions.assert_that(output[1], matchers.Contains('"bad"'))
