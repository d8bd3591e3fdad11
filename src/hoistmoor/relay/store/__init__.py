"""Reading the platform's store, and handling its outages.

The application starts the tasks of this package; listeners pass what was read
to the core.
"""

from __future__ import annotations
