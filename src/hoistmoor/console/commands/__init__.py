"""Commands of ``hoistmoor``.

Each module or package in this package lists its commands in ``COMMANDS``,
where ``registry.find_commands`` discovers them.
"""

from __future__ import annotations
