"""Keeps what this host holds for callers and servers within its memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.core import outcomes
from hoistmoor.core import refusals
from hoistmoor.core.relay.course import retry_after
from hoistmoor.core.relay.memory import budget as budget_lib

if TYPE_CHECKING:
    from asyncio import transports
    from collections.abc import Callable

    from hoistmoor.relay import state as state_lib


class HeldBytes:
    """Bytes that this host holds for requests in progress."""

    def __init__(
        self, state: state_lib.RelayState, draw: Callable[[], float]
    ) -> None:
        """Initializes without any request.

        Args:
            state: State of this host.
            draw: Returns a random number from 0 to 1.
        """
        self._state = state
        self._draw = draw
        self._streams: dict[budget_lib.Holding, StreamBuffer] = {}

    @property
    def budget(self) -> budget_lib.MemoryBudget:
        """Budget of this host."""
        return self._state.memory

    def resize(self, holding: budget_lib.Holding, size: int) -> None:
        """Sets the bytes held for a request."""
        has_grown = size > holding.held
        self.budget.resize(holding, size, self._state.clock())
        self._state.counters.held_bytes.labels(holding.purpose.value).set(
            self.budget.held[holding.purpose]
        )
        if has_grown:
            self.end_slowest_stream()

    def record_lag(
        self, holding: budget_lib.Holding, *, is_lagging: bool
    ) -> None:
        """Records whether a caller has yet to read what was sent to it."""
        self.budget.record_lag(
            holding, self._state.clock(), is_lagging=is_lagging
        )

    def may_hold(self, holding: budget_lib.Holding, size: int) -> bool:
        """Returns whether more of a response body may be held.

        Args:
            holding: What is held of it already.
            size: Its bytes in total, as far as received.
        """
        return self.budget.allows_response(holding, size)

    def refuse_body(
        self, holding: budget_lib.Holding, size: int
    ) -> refusals.Refusal | None:
        """Returns the refusal of a body that does not fit, else None.

        Args:
            holding: What is held of it already.
            size: Its bytes in total, as far as known.
        """
        if self.budget.allows_body(holding, size):
            return None
        expected = self.budget.seconds_until_free(size, self._state.clock())
        delay = retry_after.delay_until_free(expected, self._draw())
        return refusals.Refusal(
            refusals.Reason.OVERLOADED,
            outcomes.Outcome.NOT_RUN,
            f"a body of {size} bytes does not fit: {self.budget.total} of"
            f" {self.budget.limit} bytes are held",
            delay,
        )

    def open_stream(
        self,
        account: str,
        transport: transports.WriteTransport,
        *,
        is_resumable: bool,
    ) -> StreamBuffer:
        """Returns the buffer of a stream to a caller."""
        holding = budget_lib.Holding(
            account, budget_lib.Purpose.UNSENT_STREAM, is_resumable
        )
        stream = StreamBuffer(self, holding, transport)
        self._streams[holding] = stream
        return stream

    def close_stream(self, holding: budget_lib.Holding) -> None:
        """Forgets a stream that has ended."""
        self.resize(holding, 0)
        self._streams.pop(holding, None)

    def end_slowest_stream(self) -> None:
        """Ends the slowest reader's stream if memory is short."""
        if not self.budget.is_short:
            return
        # Callers may have read on since their streams' latest writes.
        for each in list(self._streams.values()):
            each.refresh()
        slowest = self.budget.stream_to_end()
        stream = self._streams.get(slowest) if slowest else None
        if slowest is None or stream is None:
            return
        since = slowest.lagging_since or 0.0
        self._state.log_change(
            "stream_ended_for_memory",
            account=slowest.account,
            unsent=slowest.held,
            lagging=round(self._state.clock() - since, 3),
            held=self.budget.total,
            limit=self.budget.limit,
        )
        stream.abort()


class StreamBuffer:
    """The unsent part of one stream to a caller."""

    def __init__(
        self,
        held: HeldBytes,
        holding: budget_lib.Holding,
        transport: transports.WriteTransport,
    ) -> None:
        self._held = held
        self._holding = holding
        self._transport = transport

    def before_write(self, size: int) -> None:
        """Records a write, which waits while too much is unsent.

        Args:
            size: Bytes to be written.
        """
        if not self._is_bounded():
            return
        allowance = self._held.budget.stream_allowance()
        self._transport.set_write_buffer_limits(high=allowance)
        self._record(size)
        self._held.end_slowest_stream()

    def after_write(self) -> None:
        """Records what is still unsent."""
        if self._is_bounded():
            self._record(0)

    def _is_bounded(self) -> bool:
        # A closed transport of uvloop raises an error when it is asked.
        is_limited = self._held.budget.limit is not None
        return is_limited and not self._transport.is_closing()

    def refresh(self) -> None:
        """Records what is unsent now, of what was written or is about to be."""
        if not self._is_bounded():
            return
        unsent = self._transport.get_write_buffer_size()
        if unsent < self._holding.held:
            self._held.resize(self._holding, unsent)
        self._record_lag(unsent)

    def _record(self, added: int) -> None:
        unsent = self._transport.get_write_buffer_size()
        self._record_lag(unsent)
        self._held.resize(self._holding, unsent + added)

    def _record_lag(self, unsent: int) -> None:
        self._held.record_lag(self._holding, is_lagging=unsent > 0)

    def before_end(self) -> None:
        """Makes the end of the response wait until all of it was sent.

        Otherwise what is unsent would be held without being counted.
        """
        if self._is_bounded():
            self._transport.set_write_buffer_limits(high=0)

    def close(self) -> None:
        """Releases the buffer; the connection may carry another response."""
        if self._is_bounded():
            self._transport.set_write_buffer_limits()
        self._held.close_stream(self._holding)

    def abort(self) -> None:
        """Closes the caller's connection at once."""
        self._transport.abort()
        self.close()
