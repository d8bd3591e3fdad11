"""Log lines whose fields hold what others have sent."""

from __future__ import annotations

import fcntl
import os
from typing import TYPE_CHECKING

import orjson
import pytest
import relay_states
from testtools import assertions
from testtools import matchers

from hoistmoor.relay import event_log

if TYPE_CHECKING:
    from collections.abc import Iterator

PIPE_BYTES = 65536
# Fields as callers and servers can make them.
FIELDS = {
    "bytes_that_are_not_text": b"\xff\xfe".decode(errors="surrogateescape"),
    "large_integer": 10**400,
    "largest_integer": 10**5000,
    "long_text": "x" * 100_000,
    "many_texts": ["part"] * 50_000,
    "many_long_texts": ["x" * 10_000] * 500,
    "many_characters": ["\u20ac" * 5000, "\udcff" * 9000],
}


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    """Both ends of the pipe to which log lines are written."""
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
    yield reader, writer
    os.close(reader)
    os.close(writer)


@pytest.fixture
def log(pipe: tuple[int, int]) -> event_log.EventLog:
    """A log that writes to the pipe."""
    return event_log.EventLog("h1", relay_states.Clock(), pipe[1])


@pytest.mark.parametrize("field", FIELDS.values(), ids=FIELDS)
def test_a_field_of_any_size_and_bytes_makes_one_bounded_line(
    log: event_log.EventLog, pipe: tuple[int, int], field: object
) -> None:
    log.write("request", id="r1", detail=field)
    data = os.read(pipe[0], PIPE_BYTES)
    assertions.assert_that(data.count(b"\n"), matchers.Equals(1))
    limit = event_log.MAX_LINE_BYTES + 1
    assertions.assert_that(len(data), matchers.LessThan(limit))
    line = orjson.loads(data)
    assertions.assert_that(line["event"], matchers.Equals("request"))


def test_a_line_that_fits_is_not_cut(
    log: event_log.EventLog, pipe: tuple[int, int]
) -> None:
    runs = ["x" * 100] * 64
    log.write("server_ended", runs=runs)
    line = orjson.loads(os.read(pipe[0], PIPE_BYTES))
    assertions.assert_that(line["runs"], matchers.Equals(runs))


def test_a_full_pipe_breaks_no_line(
    log: event_log.EventLog, pipe: tuple[int, int]
) -> None:
    for number in range(20):
        log.write("request", number=number, detail="x" * 9000)
    data = os.read(pipe[0], PIPE_BYTES)
    log.write("request", number=20, detail="")
    data += os.read(pipe[0], PIPE_BYTES)
    lines = [orjson.loads(line) for line in data.splitlines()]
    numbers = [line["number"] for line in lines]
    whole = len(numbers) - 1
    assertions.assert_that(numbers, matchers.Equals([*range(whole), 20]))
    assertions.assert_that(lines[-1]["left_out"], matchers.Equals(20 - whole))
