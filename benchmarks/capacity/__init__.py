"""Measures the slopes that docs/CAPACITY.md is computed from.

Run each module from the repository root, for example
``python -m benchmarks.capacity.idle hosts``. All processes use loopback and
end with the run. Processor time is read from the kernel, so that a busy
machine distorts it less than wall time.
"""

from __future__ import annotations
