"""Records of keyed topics, as they are read and passed on."""

from __future__ import annotations

import attrs


@attrs.frozen
class Record:
    """One record of a keyed topic.

    Attributes:
        key: What it is about.
        value: Its content; None if the key was dropped.
        offset: Its place in the topic.
    """

    key: str
    value: bytes | None
    offset: int


@attrs.frozen
class Batch:
    """Records that were read together.

    Attributes:
        records: In order.
        next_offset: Where to read on.
        is_snapshot: Whether keys that are not in it do not exist.
    """

    records: tuple[Record, ...]
    next_offset: int
    is_snapshot: bool = False
