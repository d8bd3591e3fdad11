"""Room in the memory of model engines.

Addresses engines whose memory holds fewer requests than they have slots: with
long prompts the memory is full while slots are free, and the engine preempts
running streams to start another one. Memory therefore counts as room beside
slots.

The memory that requests need, like the prompt tokens that an engine has still
to read, is an amount at each engine of which a host knows its own part and is
told the others' total.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.relay.servers import demand_totals
from hoistmoor.core.relay.servers import runs

if TYPE_CHECKING:
    from hoistmoor.core.relay.course import requests
    from hoistmoor.core.relay.servers import server as server_lib

# Seconds after which amounts told by other hosts are ignored.
OTHERS_TTL = 1.5


@attrs.frozen
class _Entry:
    server: str
    amount: float


@attrs.define
class EngineAmounts:
    """Amounts of one resource that attempts use at engines, by identity."""

    _entries: dict[runs.Run, _Entry] = attrs.field(factory=dict)
    _own: dict[str, float] = attrs.field(factory=dict)
    _others: demand_totals.Amounts = attrs.field(factory=dict)
    _others_at: float | None = None

    def add(self, run: runs.Run, server: str, amount: float) -> None:
        """Adds the amount that an attempt uses at a server."""
        self._entries[run] = _Entry(server, amount)
        self._own[server] = self._own.get(server, 0.0) + amount

    def remove(self, run: runs.Run) -> None:
        """Removes an attempt's amount, if it has not been removed yet."""
        entry = self._entries.pop(run, None)
        if entry is None:
            return
        left = self._own.get(entry.server, 0.0) - entry.amount
        if left >= 1.0:
            self._own[entry.server] = left
        else:
            self._own.pop(entry.server, None)

    def set_others(self, total: demand_totals.Amounts, now: float) -> None:
        """Sets the total of all other hosts."""
        self._others = total
        self._others_at = now

    def own(self) -> demand_totals.Amounts:
        """Returns this host's amounts, to report to other hosts."""
        return {server: round(amount) for server, amount in self._own.items()}

    def total(self, server: str, now: float) -> float:
        """Returns the amount of all hosts at one server."""
        own = self._own.get(server, 0.0)
        age = self.age(now)
        if age is None or age > OTHERS_TTL:
            return own
        return own + self._others.get(server, 0.0)

    def age(self, now: float) -> float | None:
        """Returns the seconds since other hosts' total was set, if it was."""
        return None if self._others_at is None else now - self._others_at


def memory_needed(request: requests.RelayRequest, memory_tokens: int) -> float:
    """Returns the tokens of memory that a request needs until it ends.

    Args:
        request: The request. Callers state its size themselves; an engine
            declines what exceeds its memory.
        memory_tokens: Tokens that the memory of an engine holds.
    """
    prompt = request.prompt
    if prompt is None:
        return 0.0
    return min(prompt.tokens + prompt.max_new_tokens, memory_tokens)


def with_room(
    ready: list[server_lib.ServerState],
    request: requests.RelayRequest,
    memory_tokens: int,
    memory: EngineAmounts,
    now: float,
) -> list[server_lib.ServerState]:
    """Returns the engines whose memory has room for a request.

    Returns all of them if none has: the request then waits at the one that is
    expected to finish it first.

    Args:
        ready: Candidate engines.
        request: The request.
        memory_tokens: Tokens that the memory of an engine holds; 0 if unknown.
        memory: Memory needed at each engine.
        now: Monotonic time.
    """
    if not memory_tokens:
        return ready
    left = memory_tokens - memory_needed(request, memory_tokens)
    fitting = [
        server
        for server in ready
        if memory.total(server.entry.identity, now) <= left
    ]
    return fitting or ready
