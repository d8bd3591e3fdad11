"""Follows the chunks of a body and checks how they are delimited.

The HTTP library accepts LF for CR LF, and so takes the CR after a chunk for a
part of it if its size is one too large.
"""

from __future__ import annotations

import enum
import re
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

# RFC 9112, section 7.1. Some servers pad the size with blanks.
_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]+)[ \t]*(?:;[^\r\n]*)?\r\n")
_CHUNK_END = b"\r\n"


class _Step(enum.IntEnum):
    SIZE = 0
    DATA = 1
    END = 2
    # The last chunk has been read. Trailers are not passed on.
    FINISHED = 3
    FAILED = 4


@attrs.define
class ChunkScanner:
    """Position within the chunks of one body."""

    _step: _Step = _Step.SIZE
    _line: bytes = b""  # Beginning of a size line.
    _left: int = 0  # Bytes left of a chunk, or of what ends it.

    def feed(self, data: bytes) -> bool:
        """Returns whether all chunks so far are delimited as they must be."""
        position = 0
        while position < len(data) and self._step < _Step.FINISHED:
            position = _READERS[self._step](self, data, position)
        return self._step is not _Step.FAILED

    def _read_size(self, data: bytes, position: int) -> int:
        end = data.find(b"\n", position) + 1
        if not end:
            self._line += data[position:]
            return len(data)
        match = _SIZE_LINE.fullmatch(self._line + data[position:end])
        self._line = b""
        if match is None:
            self._step = _Step.FAILED
            return end
        self._left = int(match[1], 16)
        self._step = _Step.DATA if self._left else _Step.FINISHED
        return end

    def _read_data(self, data: bytes, position: int) -> int:
        end = position + self._left
        if data.startswith(_CHUNK_END, end):
            self._step = _Step.SIZE
            return end + len(_CHUNK_END)
        if end > len(data):
            self._left = end - len(data)
            return len(data)
        self._step = _Step.END
        self._left = len(_CHUNK_END)
        return end

    def _read_end(self, data: bytes, position: int) -> int:
        expected = _CHUNK_END[-self._left]
        self._left -= 1
        if data[position] != expected:
            self._step = _Step.FAILED
        elif not self._left:
            self._step = _Step.SIZE
        return position + 1


# By step; the last two read nothing.
_READERS: tuple[Callable[[ChunkScanner, bytes, int], int], ...] = (
    ChunkScanner._read_size,
    ChunkScanner._read_data,
    ChunkScanner._read_end,
)
