"""Keeps unlike requests of one service apart, as far as load allows.

A model engine works on all its requests in step. A large model's step takes
many times a small one's, and a long prompt holds up all beside it while it is
read. So each class of requests has a place along a line on which every host
puts the servers in the same order, and prefers those that stand near it: with
no word between the hosts, a class meets its like, and a busy class takes more
of the line.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import xxhash

if TYPE_CHECKING:
    from hoistmoor.core.relay.servers import server as server_lib

LONG_FACTOR = 4.0  # Times the mean length that make a prompt a long one.
LENGTH_STEP = 0.02  # Weight of the newest prompt in the mean length.


@attrs.frozen(order=True)
class WorkClass:
    """Requests that do not hold up one another.

    Attributes:
        size: Place of the model among the sizes, smallest first.
        sizes: How many sizes there are.
        is_long: Whether the prompt is a long one.
    """

    size: int
    sizes: int
    is_long: bool

    @property
    def place(self) -> float:
        """Place on the line, 0 to 1."""
        of_size = self.size / max(1, self.sizes - 1)
        return (2.0 * of_size + self.is_long) / 3.0


@attrs.define
class Partition:
    """Classes of one service.

    Attributes:
        mean_tokens: Mean length of prompts.
    """

    mean_tokens: float = 0.0

    def note_prompt(self, tokens: int) -> None:
        """Takes a prompt's length into the mean."""
        known = self.mean_tokens or tokens
        self.mean_tokens = known + LENGTH_STEP * (tokens - known)

    def class_of(
        self, tokens: int, model: str, sizes: tuple[str, ...]
    ) -> WorkClass:
        """Returns the class of a request.

        Args:
            tokens: Length of its prompt.
            model: The model that it asks for.
            sizes: Models that may be asked for, smallest first.
        """
        place = sizes.index(model) if model in sizes else 0
        is_long = tokens > LONG_FACTOR * self.mean_tokens
        return WorkClass(place, len(sizes), is_long)


def distances(
    work_class: WorkClass, ready: list[server_lib.ServerState]
) -> dict[str, float]:
    """Returns how far servers stand from a class, 0 to 1, by identity."""
    ordered = sorted(ready, key=_place)
    last = max(1, len(ordered) - 1)
    place = work_class.place
    return {
        server.entry.identity: abs(at / last - place)
        for at, server in enumerate(ordered)
    }


def _place(server: server_lib.ServerState) -> int:
    return xxhash.xxh64_intdigest(server.entry.identity.encode())
