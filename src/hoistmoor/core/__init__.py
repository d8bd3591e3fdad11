"""Pure decision logic: no I/O, clock, randomness or event loop.

Modules in this package take typed messages and the current time as arguments
and return typed results. Sockets, files and timers belong to the packages that
call it.
"""

from __future__ import annotations
