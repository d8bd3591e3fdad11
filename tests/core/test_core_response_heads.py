"""Which heads of responses are valid."""

from __future__ import annotations

import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core import response_heads

STATUS = b"HTTP/1.1 200 OK"
Fault = response_heads.ResponseFault


@pytest.mark.parametrize(
    "head",
    [
        STATUS,
        b"HTTP/1.1 200",
        b"HTTP/1.1 200 ",
        b"HTTP/1.0 599 Any reason\tat all \xe9",
        b"HTTP/1.1 103 Early\r\nLink: a",
        STATUS + b"\r\nX-A: tab\there, obs-text \x80\xff",
        STATUS + b"\r\nX-A:\r\nX-B: v",
        STATUS + b"\nX-A: lines end with LF\nX-B: v",
        STATUS + b"\r\nTransfer-Encoding: chunked",
        STATUS + b"\r\ntransfer-encoding:\t Chunked \t",
        STATUS + b"\r\nX-Transfer-Encoding: gzip",
    ],
)
def test_a_valid_head_has_no_fault(head: bytes) -> None:
    found = response_heads.find_fault(head)
    assertions.assert_that(found, matchers.Is(None))


@pytest.mark.parametrize(
    ("head", "fault"),
    [
        (b"HTTP/1.1 000 OK", Fault.STATUS_LINE),
        (b"HTTP/1.1 099 OK", Fault.STATUS_LINE),
        (b"HTTP/1.1 101 Switching", Fault.STATUS_LINE),
        (b"HTTP/1.1 600 OK", Fault.STATUS_LINE),
        (b"HTTP/1.1 20 OK", Fault.STATUS_LINE),
        (b"HTTP/1.1 2000 OK", Fault.STATUS_LINE),
        (b"HTTP/1.1 200\tOK", Fault.STATUS_LINE),
        (b"HTTP/2.0 200 OK", Fault.STATUS_LINE),
        (b"HTTP/0.9 200 OK", Fault.STATUS_LINE),
        (b"RTSP/1.0 200 OK", Fault.STATUS_LINE),
        (b"", Fault.STATUS_LINE),
        (STATUS + b"\r\n X-A: v", Fault.FOLDED_LINE),
        (STATUS + b"\r\nX-A: v\r\n\tfolded", Fault.FOLDED_LINE),
        (STATUS + b"\r\nX-A: v\r\n ", Fault.FOLDED_LINE),
        (STATUS + b"\nX-A: v\n folded", Fault.FOLDED_LINE),
        (STATUS + b"\r\nX-A: a\x01b", Fault.CONTROL_CHARACTER),
        (STATUS + b"\r\nX-A: \x7f", Fault.CONTROL_CHARACTER),
        (b"HTTP/1.1 200 O\x00K", Fault.CONTROL_CHARACTER),
        (STATUS + b"\r\nTransfer-Encoding:", Fault.TRANSFER_CODING),
        (STATUS + b"\r\nTransfer-Encoding: gzip", Fault.TRANSFER_CODING),
        (
            STATUS + b"\r\nTransfer-Encoding: gzip, chunked",
            Fault.TRANSFER_CODING,
        ),
        (
            STATUS + b"\r\nTransfer-Encoding: chunked" * 2,
            Fault.TRANSFER_CODING,
        ),
        (
            b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked",
            Fault.TRANSFER_CODING,
        ),
    ],
)
def test_an_invalid_head_has_a_fault(
    head: bytes, fault: response_heads.ResponseFault
) -> None:
    found = response_heads.find_fault(head)
    assertions.assert_that(found, matchers.Is(fault))


@pytest.mark.parametrize("end", [b"\r\n", b"\n"])
def test_heads_are_taken_in_turn(end: bytes) -> None:
    splitter = response_heads.HeadSplitter()
    interim, final = b"HTTP/1.1 100 Go", STATUS + end + b"X-A: v"
    splitter.add(end + interim + 2 * end + final + 2 * end + b"\nbody")
    taken = [splitter.take(), splitter.take()]
    taken = [each.rstrip(b"\r") for each in taken]
    assertions.assert_that(taken, matchers.Equals([interim, final]))
    assertions.assert_that(bytes(splitter.received), matchers.Equals(b"\nbody"))


def test_a_head_without_an_end_is_taken_whole() -> None:
    splitter = response_heads.HeadSplitter()
    splitter.add(STATUS + b"\r\n \r\n")
    assertions.assert_that(
        splitter.take(), matchers.Equals(STATUS + b"\r\n \r\n")
    )
    assertions.assert_that(splitter.received, matchers.HasLength(0))


def test_empty_lines_without_end_are_not_kept() -> None:
    splitter = response_heads.HeadSplitter()
    for _ in range(100):
        splitter.add(b"\r\n\n\r" * 100)
    assertions.assert_that(splitter.received, matchers.HasLength(0))
