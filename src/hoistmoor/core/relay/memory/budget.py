"""Memory that a host may hold for slow callers and backend servers.

Addresses hundreds of callers that read or write a few bytes a second beside
quick ones. Each holder may take a fixed fraction of what is still free (dynamic
thresholds: Choudhury and Hahne, "Dynamic Queue Length Thresholds for
Shared-Memory Packet Switches", 1998). While much is free, a stream is read on
from its server although its caller lags; as memory runs short, the streams with
the most unsent bytes are paused first, and large bodies are refused before
small ones.
"""

from __future__ import annotations

import enum

import attrs

# Fraction of the machine's memory that the process may use. The rest is for
# kernel buffers, which count as well.
USABLE_FRACTION = 0.8
# Bytes that a process holds without any request.
PROCESS_BYTES = 48_000_000
# Fraction of the memory that requests may hold on a machine that is too small
# for the process.
MIN_USABLE_FRACTION = 0.1
# Part of the free budget that one account may hold with another large body:
# alone, an account gets half of the budget.
ACCOUNT_FRACTION = 1.0
# Part of the free budget that the unsent part of one stream may hold.
STREAM_FRACTION = 1.0 / 128
# Bytes of a stream that may always be unsent; less would pause quick callers.
MIN_STREAM_BYTES = 65_536
MAX_STREAM_BYTES = 524_288
# Bytes up to which a body is refused only if the whole budget is used.
SMALL_BODY_BYTES = 65_536
# Bytes of a response body that are held so that another server's response can
# replace it if it ends early.
MAX_HELD_RESPONSE = 1_048_576
# Seconds over which the rate of released bytes is averaged.
RELEASE_WINDOW = 2.0


class Purpose(enum.StrEnum):
    """What memory is held for."""

    REQUEST_BODY = "request_body"
    RESPONSE_BODY = "response_body"
    UNSENT_STREAM = "unsent_stream"


def usable_bytes(memory: int) -> int:
    """Returns the bytes that requests may hold on a machine.

    Args:
        memory: Bytes of memory of the machine.
    """
    usable = int(memory * USABLE_FRACTION) - PROCESS_BYTES
    return max(usable, int(memory * MIN_USABLE_FRACTION))


@attrs.define(eq=False)
class Holding:
    """Bytes held for one request.

    Attributes:
        account: Client account; empty on an anonymous route.
        purpose: What they are held for.
        is_resumable: Whether the caller can resume the response elsewhere.
        held: Number of bytes.
        lagging_since: Monotonic time since which a caller has not read all that
            was sent to it; None if it has.
    """

    account: str
    purpose: Purpose
    is_resumable: bool = False
    held: int = 0
    lagging_since: float | None = None


@attrs.define
class MemoryBudget:
    """Bytes held by all requests of a host, and what may be held in addition.

    Attributes:
        limit: Maximum bytes; None for no limit.
        held: Bytes held, by purpose.
    """

    limit: int | None = None
    held: dict[Purpose, int] = attrs.field(
        factory=lambda: dict.fromkeys(Purpose, 0)
    )
    _by_account: dict[str, int] = attrs.field(factory=dict)
    _streams: set[Holding] = attrs.field(factory=set)
    _released: float = 0.0
    _released_at: float = 0.0

    @property
    def total(self) -> int:
        """Bytes held for all purposes."""
        return sum(self.held.values())

    @property
    def is_short(self) -> bool:
        """Whether more than the limit is held."""
        return self.limit is not None and self.total > self.limit

    def allows_body(self, holding: Holding, size: int) -> bool:
        """Returns whether a body may be read.

        Args:
            holding: What is held of it already.
            size: Its bytes in total, as far as known.
        """
        if self.limit is None or not size:
            return True
        free = self.limit - self.total + holding.held
        if size <= SMALL_BODY_BYTES:
            return free >= size
        others = self._by_account.get(holding.account, 0) - holding.held
        return others + size <= ACCOUNT_FRACTION * (free - size)

    def allows_response(self, holding: Holding, size: int) -> bool:
        """Returns whether a response body may be held as a whole.

        A larger one is passed on as it comes, at the pace of its caller.

        Args:
            holding: What is held of it already.
            size: Its bytes in total, as far as received.
        """
        if size > MAX_HELD_RESPONSE:
            return False
        if self.limit is None:
            return True
        return self.total + size - holding.held <= self.limit

    def stream_allowance(self) -> int:
        """Returns the bytes that one stream may hold unsent."""
        if self.limit is None:
            return MIN_STREAM_BYTES
        free = max(0, self.limit - self.total)
        allowed = min(MAX_STREAM_BYTES, int(free * STREAM_FRACTION))
        return max(MIN_STREAM_BYTES, allowed)

    def resize(self, holding: Holding, size: int, now: float) -> None:
        """Sets the bytes held for a request.

        Args:
            holding: What is held for it.
            size: Bytes held from now on; 0 when it ends.
            now: Monotonic time.
        """
        change = size - holding.held
        self.held[holding.purpose] += change
        self._add_to_account(holding, change)
        if change < 0:
            self._record_release(-change, now)
        holding.held = size
        self._track_stream(holding)

    def record_lag(
        self, holding: Holding, now: float, *, is_lagging: bool
    ) -> None:
        """Records whether a caller has yet to read what was sent to it."""
        if not is_lagging:
            holding.lagging_since = None
        elif holding.lagging_since is None:
            holding.lagging_since = now

    def stream_to_end(self) -> Holding | None:
        """Returns the slowest reader's resumable stream, if memory is short.

        That is the one whose caller has lagged for the longest time.
        """
        if not self.is_short:
            return None
        lagging = [
            (each.lagging_since, index, each)
            for index, each in enumerate(self._streams)
            if each.is_resumable and each.lagging_since is not None
        ]
        return min(lagging)[2] if lagging else None

    def seconds_until_free(self, size: int, now: float) -> float | None:
        """Returns when a refused body is expected to fit, in seconds.

        None if nothing has been released recently.

        Args:
            size: Bytes of the body.
            now: Monotonic time.
        """
        rate = self._decayed_release(now) / RELEASE_WINDOW
        if self.limit is None or rate <= 0.0:
            return None
        missing = self.total + size - self.limit
        # A large body needs as much free room beside itself.
        return max(float(size), float(missing + size)) / rate

    def _add_to_account(self, holding: Holding, change: int) -> None:
        held = self._by_account.get(holding.account, 0) + change
        if held:
            self._by_account[holding.account] = held
        else:
            self._by_account.pop(holding.account, None)

    def _track_stream(self, holding: Holding) -> None:
        if holding.purpose is not Purpose.UNSENT_STREAM:
            return
        if holding.held:
            self._streams.add(holding)
        else:
            self._streams.discard(holding)

    def _record_release(self, size: int, now: float) -> None:
        self._released = self._decayed_release(now) + size
        self._released_at = now

    def _decayed_release(self, now: float) -> float:
        elapsed = max(0.0, now - self._released_at)
        return self._released * max(0.0, 1.0 - elapsed / RELEASE_WINDOW)
