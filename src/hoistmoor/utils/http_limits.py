"""Sizes of message heads that this project's HTTP servers and clients read.

A head that was read from a caller can be passed on through another host, and
a server may echo its lines. The heads of callers, who are not trusted, take
8 MB of memory at most, those of servers and other hosts 32 MB.
"""

from __future__ import annotations

# Bytes of one line from callers and other hosts; operators usually allow 16 KB
# for all lines of a head together.
MAX_REQUEST_LINE = 16_384
# Bytes of one line from servers: an echoed one with another name.
MAX_RESPONSE_LINE = 32_768
MAX_CALLER_LINES = 512  # Header lines of a caller's request.
# Header lines of any other message: those of a caller and some of our own.
MAX_LINES = 1024
