"""How a backend server names an attempt, and how it says what became of it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping


@attrs.frozen
class Dialect:
    """Names and marks that one kind of backend server uses.

    Attributes:
        attempt_header: Names the attempt; the answer echoes it.
        not_run_header: Present in an answer if the request was not run.
        not_run_reason_header: Why it was not run.
        not_run_statuses: Status codes that say so by themselves.
        has_end_mark: Whether a stream of events ends with an end mark. If
            not, it is read as bytes and ends as other answers do.
    """

    attempt_header: str = "X-Attempt-Id"
    not_run_header: str = "X-Not-Run"
    not_run_reason_header: str = "X-Not-Run-Reason"
    not_run_statuses: frozenset[int] = frozenset()
    has_end_mark: bool = True

    def says_not_run(self, status: int, headers: Mapping[str, str]) -> bool:
        """Returns whether an answer's head says that nothing was run."""
        if status in self.not_run_statuses:
            return True
        return status >= 400 and headers.get(self.not_run_header) == "1"


OWN = Dialect()  # Of the engines and services that hoistmoor describes.
