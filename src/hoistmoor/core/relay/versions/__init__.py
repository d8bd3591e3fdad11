"""Roll-outs of versions: phases, sessions, evidence for and against.

The router asks which versions may be chosen; listeners bring the records.
"""

from __future__ import annotations
