"""Quality marks hidden in the text of responses.

The engine stand-in adds a mark to each response. The rating service derives
from the mark's hash whether the response is good. The router ignores marks.
"""

from __future__ import annotations

import re

import xxhash

_MARK = re.compile(r"ref-[0-9a-f]{12}")


def make_mark(good: bool, seed: str) -> str:
    """Returns a mark of the given quality, determined by the arguments."""
    serial = 0
    while True:
        digest = xxhash.xxh3_64_hexdigest(f"{seed}/{serial}".encode())
        mark = f"ref-{digest[:12]}"
        if _is_good(mark) == good:
            return mark
        serial += 1


def read_quality(text: str) -> bool | None:
    """Returns whether a text is good, or None if it contains no mark."""
    match = _MARK.search(text)
    return _is_good(match.group()) if match else None


def uniform_hash(*parts: object) -> float:
    """Returns a number in [0, 1) that is determined by ``parts``."""
    text = "/".join(map(str, parts))
    return xxhash.xxh3_64_intdigest(text.encode()) / 2**64


def _is_good(mark: str) -> bool:
    return bool(xxhash.xxh3_64_intdigest(mark.encode()) & 1)
