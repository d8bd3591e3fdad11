"""Sizes of message heads that this project's HTTP servers and clients read.

Both sides of a hop have the same limits: a head that was read from a caller, a
server or another host can be passed on, and echoed by the next hop.
"""

from __future__ import annotations

# Bytes of one line of a head, four times what operators usually allow callers
# for all lines together.
MAX_HEADER_LINE = 65_536
# Header lines of one message. In 16 KB, which operators usually allow, there
# is room for 3,276 lines of five bytes.
MAX_HEADERS = 4096
