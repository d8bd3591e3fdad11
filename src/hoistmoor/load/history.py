"""The history of a load run, as JSON lines with the result of each request.

A checker compares it with the records of backend servers and of the log. It
contains idempotency keys, which correlate the records, but no bearer keys.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import orjson

from hoistmoor.core import codec
from hoistmoor.load import calls

if TYPE_CHECKING:
    from collections.abc import Iterator
    import pathlib


class HistoryFile:
    """Writes results to a file as they arrive.

    Args:
        path: File to write; an existing one is replaced.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self.file = path.open("wb")

    def add(self, result: calls.RequestResult) -> None:
        """Writes a result as one line."""
        self.file.write(orjson.dumps(codec.converter.unstructure(result)))
        self.file.write(b"\n")

    def close(self) -> None:
        """Flushes buffered lines and closes the file."""
        self.file.close()


def read(path: pathlib.Path) -> Iterator[calls.RequestResult]:
    """Yields the results in a history, in the order in which requests ended."""
    with path.open("rb") as file:
        for line in file:
            yield codec.structure(orjson.loads(line), calls.RequestResult)
