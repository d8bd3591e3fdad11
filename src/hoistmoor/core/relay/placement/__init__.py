"""Which backend server and model an attempt goes to, and its rank there.

The machine of a request asks the router; nobody else chooses a server.
"""

from __future__ import annotations
