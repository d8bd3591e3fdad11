"""Bounds on the bytes of a response that are not its body.

Answers servers that send bytes which are no response, without an end: interim
heads, empty lines, lines of a chunked body. None of them reaches a reader who
could slow their sender down, so they are counted as they arrive.
"""

from __future__ import annotations

import enum

import attrs

# Bytes before the end of the head, interim heads and empty lines included. The
# HTTP library allows 1,024 lines of 32 KB, most of which no sound server needs.
MAX_HEAD_BYTES = 524_288
# Interim heads before the head of a response; servers send one or two.
MAX_INTERIM_HEADS = 64
# Bytes of chunk sizes, extensions and trailers in a row, with no body between.
MAX_FRAMING_BYTES = 65_536
# Bytes of framing that each byte of the body allows: a chunk of a single byte
# has five, and may have a short extension.
FRAMING_PER_BODY_BYTE = 16


class Place(enum.StrEnum):
    """Part of a response whose bound was exceeded."""

    HEAD = "head"
    INTERIM_HEADS = "interim_heads"
    FRAMING = "framing"
    FAILURE_BODY = "failure_body"


@attrs.define
class FramingMeter:
    """Counts the framing of one response.

    Attributes:
        head_bytes: Bytes received before the end of the head.
        interim_heads: Interim heads received.
        framing_bytes: Bytes of framing in excess of what the body allows.
        has_head: Whether the head is complete.
    """

    head_bytes: int = 0
    interim_heads: int = 0
    framing_bytes: int = 0
    has_head: bool = False

    def record(self, received: int, body: int) -> Place | None:
        """Counts received bytes; returns the part that exceeds its bound.

        Args:
            received: Bytes received.
            body: How many of them are bytes of the body.
        """
        if self.interim_heads > MAX_INTERIM_HEADS:
            return Place.INTERIM_HEADS
        if not self.has_head:
            self.head_bytes += received
            return Place.HEAD if self.head_bytes > MAX_HEAD_BYTES else None
        allowed = body * FRAMING_PER_BODY_BYTE
        excess = self.framing_bytes + received - body - allowed
        self.framing_bytes = max(0, excess)
        is_exceeded = self.framing_bytes > MAX_FRAMING_BYTES
        return Place.FRAMING if is_exceeded else None
