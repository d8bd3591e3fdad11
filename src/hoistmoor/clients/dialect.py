"""Header and status conventions of the different kinds of backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping


@attrs.frozen
class Dialect:
    """Header and status conventions of one kind of backend server.

    Attributes:
        attempt_header: Header with the attempt id, echoed in the response.
        not_run_header: Response header that is set if the request was not
            executed.
        not_run_reason_header: Response header with the reason for that.
        not_run_statuses: Status codes that by themselves mean that the
            request was not executed.
        has_end_marker: Whether event streams end with an end marker. If not,
            they are read as bytes, like any other response.
    """

    attempt_header: str = "X-Attempt-Id"
    not_run_header: str = "X-Not-Run"
    not_run_reason_header: str = "X-Not-Run-Reason"
    not_run_statuses: frozenset[int] = frozenset()
    has_end_marker: bool = True

    def is_not_run(self, status: int, headers: Mapping[str, str]) -> bool:
        """Returns whether a response head says that nothing was executed."""
        if status in self.not_run_statuses:
            return True
        return status >= 400 and headers.get(self.not_run_header) == "1"


NATIVE = Dialect()  # The native convention of hoistmoor's own backend API.
