"""How the chunks of a body are delimited, in any cut."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core import chunk_scanner

SIZES = strategies.lists(strategies.integers(1, 40), min_size=1)
LAST = b"0\r\n\r\n"


def scan(data: bytes, sizes: list[int]) -> bool:
    """Returns whether chunks are valid that arrive in parts of some sizes."""
    scanner = chunk_scanner.ChunkScanner()
    begin = 0
    is_valid = True
    for size in sizes * (len(data) // sum(sizes) + 1):
        is_valid = scanner.feed(data[begin : begin + size])
        begin += size
    return is_valid


def encode(chunk: bytes, line_end: bytes = b"\r\n") -> bytes:
    """Returns a chunk with its size."""
    return b"%x%b%b\r\n" % (len(chunk), line_end, chunk)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    chunks=strategies.lists(strategies.binary(min_size=1, max_size=60)),
    extension=strategies.sampled_from([b"", b";a=b", b"  ", b" ;a"]),
    rest=strategies.sampled_from([b"", b"0\nT: any\n\n", b"HTTP/1.1 500"]),
    sizes=SIZES,
)
def test_valid_chunks_pass(
    chunks: list[bytes], extension: bytes, rest: bytes, sizes: list[int]
) -> None:
    body = b"".join(encode(each, extension + b"\r\n") for each in chunks)
    found = scan(body + LAST + rest, sizes)
    assertions.assert_that(found, matchers.Is(True))


@pytest.mark.parametrize(
    "chunk",
    [
        b"5\r\nfake\r\n",  # One too large.
        b"3\r\nfake\r\n",  # One too small.
        b"4\r\nfake\n",
        b"4\nfake\r\n",
        b"4;a=\nfake\r\n",
        b"4;a\rb\r\nfake\r\n",
        b"-4\r\nfake\r\n",
        b"0x4\r\nfake\r\n",
        b" 4\r\nfake\r\n",
        b"\r\nfake\r\n",
    ],
)
@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(before=strategies.integers(0, 3), sizes=SIZES)
def test_invalid_chunks_do_not_pass(
    chunk: bytes, before: int, sizes: list[int]
) -> None:
    found = scan(encode(b"sound") * before + chunk + LAST, sizes)
    assertions.assert_that(found, matchers.Is(False))
