"""Checks of the head of a response, as it was received.

The HTTP library reads more than RFC 9112 and RFC 9110 allow, and what it makes
of it is not what the server meant: a status of 000 counts as a success, a line
that begins with a blank ends the head, and the chunks of an unknown transfer
coding are read as the body.
"""

from __future__ import annotations

import enum
import re
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

# RFC 9112, section 4. Statuses from 600 on are not defined (RFC 9110, section
# 15), and 101 needs a request that asks for another protocol.
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] (?!101)[1-5][0-9]{2}(?: [^\n]*)?\r?")
# RFC 9112, section 5.2: a proxy may reject such a line. Section 2.2 leaves no
# other choice but to ignore one that follows the status line.
_FOLDED_LINE = re.compile(rb"\n[ \t]")
# RFC 9110, section 5.5, all of them but HTAB, and CR and LF, which end a line.
_CONTROL_CHARACTERS = bytes({*range(32), 127} - set(b"\t\n\r"))
_CODING = re.compile(
    rb"^transfer-encoding:[ \t]*([^\n]*?)[ \t]*\r?$",
    re.IGNORECASE | re.MULTILINE,
)
_CODING_NAME = b"\ntransfer-encoding"
_CHUNKED = b"chunked"  # The only coding that responses are read in.
_VERSION_1_1 = b"HTTP/1.1"
_HEAD_END = re.compile(rb"\n\r?\n")
_LINE_ENDS = b"\r\n"


class ResponseFault(enum.StrEnum):
    """Part of a response that is not valid."""

    STATUS_LINE = "status_line"
    FOLDED_LINE = "folded_line"
    CONTROL_CHARACTER = "control_character"
    TRANSFER_CODING = "transfer_coding"
    CHUNK = "chunk"


def _has_bad_status_line(head: bytes) -> bool:
    return _STATUS_LINE.fullmatch(head.partition(b"\n")[0]) is None


def _has_folded_line(head: bytes) -> bool:
    return _FOLDED_LINE.search(head) is not None


def _has_control_character(head: bytes) -> bool:
    return len(head.translate(None, _CONTROL_CHARACTERS)) < len(head)


def _has_bad_coding(head: bytes) -> bool:
    """Returns whether the end of the body depends on who reads it.

    RFC 9112, section 6.1: HTTP/1.0 has no transfer codings.
    """
    if _CODING_NAME not in head.lower():
        return False
    codings = _CODING.findall(head)
    if not codings:
        return False
    is_chunked = [coding.lower() for coding in codings] == [_CHUNKED]
    return not is_chunked or not head.startswith(_VERSION_1_1)


_CHECKS: tuple[tuple[ResponseFault, Callable[[bytes], bool]], ...] = (
    (ResponseFault.STATUS_LINE, _has_bad_status_line),
    (ResponseFault.FOLDED_LINE, _has_folded_line),
    (ResponseFault.CONTROL_CHARACTER, _has_control_character),
    (ResponseFault.TRANSFER_CODING, _has_bad_coding),
)


def find_fault(head: bytes) -> ResponseFault | None:
    """Returns the first fault of a head, or None.

    Names of fields and lengths are checked by the HTTP library.

    Args:
        head: Status line and fields, without the empty line that ends them.
    """
    for fault, has_fault in _CHECKS:
        if has_fault(head):
            return fault
    return None


@attrs.define
class HeadSplitter:
    """Cuts the heads of a response, interim ones too, out of received bytes.

    Attributes:
        received: Bytes received after the heads that were taken.
    """

    received: bytearray = attrs.field(factory=bytearray)

    def add(self, data: bytes) -> None:
        """Adds received bytes."""
        # Empty lines may come before a status line.
        self.received += data if self.received else data.lstrip(_LINE_ENDS)

    def take(self) -> bytes:
        """Returns the next head, or all bytes if it has no end."""
        received = bytes(self.received).lstrip(_LINE_ENDS)
        end = _HEAD_END.search(received)
        if end is None:
            self.received.clear()
            return received
        self.received[:] = received[end.end() :]
        return received[: end.start()]
