"""How often one request was sent, by what became of each attempt."""

from __future__ import annotations

import attrs

from hoistmoor.core import outcomes

# Servers that may decline one request before it is refused: a server that
# declines has not run it, so the route's attempts do not count these.
MAX_DECLINED = 3
# Servers that may take no connection for one request before it is refused. A
# refused connection costs some milliseconds and is no work for anybody, and
# servers that died look the least busy. Where a third of them is dead and they
# are drawn evenly, one request in 81 meets four of these in a row, and one in
# 6,561 meets eight.
MAX_UNREACHABLE = 8
# Servers that may end under one request without using up its attempts.
MAX_UNCOUNTED = 3


@attrs.define
class AttemptCounts:
    """Counts the attempts of one request that have ended.

    Attributes:
        runs: Those that may have run and use up the route's attempts.
        declined: Those that a server declined.
        unreachable: Those that reached no server.
        uncounted: Those whose server ended beside the request.
    """

    runs: int = 0
    declined: int = 0
    unreachable: int = 0
    uncounted: int = 0

    @property
    def has_arrived(self) -> bool:
        """Whether a server has got the request.

        The budget is for what servers get more than once. While a quarter of
        them were dead, no server had got 1,093 of 1,335 requests that were
        refused as not run (a log of a played day, 84 hosts).
        """
        return self.runs + self.uncounted + self.declined > 0

    def note(self, state: outcomes.ExchangeState, *, is_beside: bool) -> None:
        """Counts an attempt.

        Args:
            state: How far its exchange had come.
            is_beside: Whether its server ended, and not by the request.
        """
        if state is outcomes.ExchangeState.UNSENT:
            self.unreachable += 1
        elif outcomes.OUTCOME_BY_STATE[state] is outcomes.Outcome.NOT_RUN:
            self.declined += 1
        elif is_beside and self.uncounted < MAX_UNCOUNTED:
            self.uncounted += 1
        else:
            self.runs += 1

    def allow_another(self, max_attempts: int) -> bool:
        """Returns whether the request may be sent once more.

        Args:
            max_attempts: Attempts that the route allows.
        """
        return (
            self.runs < max_attempts
            and self.declined <= MAX_DECLINED
            and self.unreachable < MAX_UNREACHABLE
        )
