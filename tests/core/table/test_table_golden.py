"""Golden test: replay of a recorded log of concurrent edits.

``racing_edits.jsonl`` holds the stream, one record per line. All releases must
reach the same verdicts, so the recording and the golden files must not change
once released.
"""

from __future__ import annotations

import pathlib

import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.console.commands.table import describe
from hoistmoor.core.table import replay
from hoistmoor.core.table import sheets

_FIXTURES = pathlib.Path(__file__).parents[2] / "fixtures" / "table"
_SHOWN_SHEETS = ("accounts.csv", "versions.csv", "grants.csv")


def _replay(first: int) -> str:
    """Returns the verdicts and the table of a host that starts at ``first``."""
    payloads = (_FIXTURES / "racing_edits.jsonl").read_bytes().splitlines()
    host = replay.TableReplay()
    host.begin(first)
    lines: list[str] = []
    for offset in range(first, len(payloads)):
        for verdict in host.feed(offset, payloads[offset]):
            lines.extend(describe.verdict(verdict))
    assert host.active is not None
    lines.append(f"\nrevision {host.active.revision}")
    files = sheets.render_sheets(host.active.table)
    lines.extend(f"\n{name}\n{files[name].rstrip()}" for name in _SHOWN_SHEETS)
    return "\n".join(lines) + "\n"


@pytest.mark.parametrize(
    ("first", "golden"),
    [(0, "racing_edits.txt"), (6, "racing_edits_after_retention.txt")],
)
def test_replay_matches_the_golden_file(first: int, golden: str) -> None:
    expected = (_FIXTURES / golden).read_text(encoding="utf-8")
    assertions.assert_that(_replay(first), matchers.Equals(expected))
