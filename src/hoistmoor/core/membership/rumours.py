"""Queue of the updates that still have to be sent to peers.

In epidemic protocols, an update that is still being disseminated is called a
rumour.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterator


class TopicKind(enum.IntEnum):
    """Kind of subject of an update; lower values are sent first."""

    SERVER = 0
    HOST = 1


@attrs.frozen
class Topic:
    """Subject of an update: an entry host or a backend server."""

    kind: TopicKind
    name: str


class RumourQueue:
    """Counts how often the update on each topic was sent.

    The queue holds topics instead of updates, so that a digest always carries
    the latest state of a topic.
    """

    def __init__(self) -> None:
        self._send_counts: dict[Topic, int] = {}

    def __len__(self) -> int:
        """Returns the number of pending topics."""
        return len(self._send_counts)

    def add(self, topic: Topic) -> None:
        """Adds a topic at the end with a send count of zero."""
        self._send_counts.pop(topic, None)
        self._send_counts[topic] = 0

    def discard(self, topic: Topic) -> None:
        """Removes a topic, if it is pending."""
        self._send_counts.pop(topic, None)

    def candidates(self) -> Iterator[Topic]:
        """Yields the pending topics, sorted by kind and then by send count."""
        yield from sorted(
            self._send_counts,
            key=lambda topic: (topic.kind, self._send_counts[topic]),
        )

    def mark_sent(self, topic: Topic, repeats: int) -> None:
        """Counts one transmission and removes the topic after ``repeats``."""
        count = self._send_counts.get(topic, 0) + 1
        if count >= repeats:
            self.discard(topic)
        else:
            self._send_counts[topic] = count

    def mark_lost(self, topic: Topic, repeats: int) -> None:
        """Takes back one transmission that reached no host.

        A topic that was already removed is added again.
        """
        self._send_counts[topic] = max(
            0, self._send_counts.get(topic, repeats) - 1
        )
