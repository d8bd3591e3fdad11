"""Records of roll-outs, and the task that writes their phases.

The application starts the task; listeners decode with its codec.
"""

from __future__ import annotations
