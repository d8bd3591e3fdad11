"""Black-box checking of the system's invariants on recorded histories.

Callers, backend servers, the log and operators each record the events that
they observe during a run. After the run, the checks evaluate every invariant
on the complete history, without knowledge of the system's internals.
"""

from __future__ import annotations
