"""Separates dissimilar requests of one service as far as the load permits.

A model engine processes its requests in lockstep. A step of a large model takes
many times as long as one of a small model, and prefilling a long prompt delays
every request beside it. Each class of requests therefore has a position on a
line along which all hosts order the servers in the same way, and prefers the
servers close to it. Requests of a class thus meet on the same servers without
coordination between the hosts, and a busy class spreads over more of the line.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import xxhash

if TYPE_CHECKING:
    from hoistmoor.core.relay.servers import server as server_lib

# Multiple of the mean prompt length from which a prompt counts as long.
LONG_PROMPT_FACTOR = 4.0
# Smoothing factor of the mean prompt length: the weight of the newest prompt.
LENGTH_SMOOTHING = 0.02


@attrs.frozen(order=True)
class WorkClass:
    """Class of requests that do not slow down one another.

    Attributes:
        size_index: Index of the model among the sizes, smallest first.
        size_count: Number of sizes.
        is_long: Whether the prompt is a long one.
    """

    size_index: int
    size_count: int
    is_long: bool

    @property
    def position(self) -> float:
        """Position on the line, 0 to 1."""
        relative_size = self.size_index / max(1, self.size_count - 1)
        return (2.0 * relative_size + self.is_long) / 3.0


@attrs.define
class Partition:
    """Request classes of one service.

    Attributes:
        mean_tokens: Mean prompt length.
    """

    mean_tokens: float = 0.0

    def record_prompt(self, tokens: int) -> None:
        """Adds a prompt's length to the moving average."""
        mean = self.mean_tokens or tokens
        self.mean_tokens = mean + LENGTH_SMOOTHING * (tokens - mean)

    def class_of(
        self, tokens: int, model: str, sizes: tuple[str, ...]
    ) -> WorkClass:
        """Returns the class of a request.

        Args:
            tokens: Length of its prompt.
            model: The requested model.
            sizes: Models that may be requested, smallest first.
        """
        size_index = sizes.index(model) if model in sizes else 0
        is_long = tokens > LONG_PROMPT_FACTOR * self.mean_tokens
        return WorkClass(size_index, len(sizes), is_long)


def distances(
    work_class: WorkClass, ready: list[server_lib.ServerState]
) -> dict[str, float]:
    """Returns the distance of each server to a class, 0 to 1, by identity."""
    ordered = sorted(ready, key=order_key)
    last = max(1, len(ordered) - 1)
    position = work_class.position
    return {
        server.entry.identity: abs(index / last - position)
        for index, server in enumerate(ordered)
    }


def order_key(server: server_lib.ServerState) -> int:
    """Returns the key by which all hosts order the servers on the line."""
    return xxhash.xxh64_intdigest(server.entry.identity.encode())
