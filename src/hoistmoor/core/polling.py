"""Polling intervals and retry backoff of log stream readers.

A long poll costs the same whether it returns one record or a hundred. A reader
with no waiters therefore leaves a minimum interval between two polls, so that
records accumulate. See docs/design/streams.md.
"""

from __future__ import annotations

import attrs


@attrs.frozen
class PollPolicy:
    """Polling parameters of one stream.

    Attributes:
        period: Minimum seconds between the starts of two polls, unless a task
            waits for a record or more records are available.
        long_poll_timeout: Seconds for which the log may delay its response
            while there is no new record.
        page: Maximum number of records per read.
        retry: Delay in seconds before the first retry after a failure.
        max_retry: Maximum delay in seconds between two retries.
        burst: Number of records processed before the reader yields to other
            tasks.
    """

    period: float
    long_poll_timeout: float
    page: int = 500
    retry: float = 0.5
    max_retry: float = 1.0
    burst: int = 20

    def pause(self, since_poll: float, is_needed: bool) -> float:
        """Returns the seconds to wait before the next poll.

        Args:
            since_poll: Seconds since the last poll started.
            is_needed: Whether a task currently waits for a record.
        """
        if is_needed:
            return 0.0
        return max(self.period - since_poll, 0.0)

    def retry_delay(self, failures: int, draw: float) -> float:
        """Returns the seconds to wait before a retry: exponential with jitter.

        Args:
            failures: Number of consecutive failures; at least 1.
            draw: Random number from 0 to 1. The jitter keeps hosts from
                retrying simultaneously after an outage.
        """
        delay = self.retry * 2.0 ** min(failures - 1, 10)
        return min(delay, self.max_retry) * (1 - draw / 4)


# A pending claim of this host triggers a poll at once; claims of other hosts
# may be read later.
CLAIMS = PollPolicy(period=0.25, long_poll_timeout=10.0)
EVIDENCE = PollPolicy(period=0.5, long_poll_timeout=2.0)
LIMITS = PollPolicy(period=0.25, long_poll_timeout=10.0)
STEWARD = PollPolicy(period=0.25, long_poll_timeout=5.0, retry=0.25)
# Edits are rare and should take effect immediately, so there is no minimum
# interval. Each response confirms that the table is current, at least once per
# ``long_poll_timeout``. Applying an edit may be slow, so the reader yields
# after each one.
TABLE = PollPolicy(
    period=0.0,
    long_poll_timeout=1.0,
    page=200,
    retry=0.25,
    max_retry=0.5,
    burst=1,
)
