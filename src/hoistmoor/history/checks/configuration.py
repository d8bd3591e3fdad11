"""An accepted configuration takes effect in time and is never reverted."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.history import events

if TYPE_CHECKING:
    from collections.abc import Iterator

IN_FORCE = "accepted edits are in force everywhere in time"
NEVER_REVERTS = "the table never reverts"
_NO_TABLE = -1


def check(history: events.History) -> Iterator[events.Violation]:
    """Yields a violation for each host that was late or went back.

    A host that is starting has no active table and accepts no work, so it
    does not count as late.
    """
    newest: dict[tuple[str, int], int] = {}
    accepted = history.events_of(events.Accepted)
    for report in history.events_of(events.Revision):
        process = (report.host, report.incarnation)
        previous = newest.get(process, -1)
        if report.revision < previous:
            yield events.Violation(
                NEVER_REVERTS,
                f"{report.host} went from {previous} to {report.revision}",
            )
        newest[process] = max(previous, report.revision)
        for edit in accepted:
            deadline = edit.at + edit.bound
            if (
                report.at > deadline
                and _NO_TABLE < report.revision < edit.revision
            ):
                yield events.Violation(
                    IN_FORCE,
                    f"{report.host} had {report.revision} in force "
                    f"{report.at - edit.at:.1f} s after {edit.revision}",
                )
