"""What the store says and how old it is: topics, configuration, lease.

Tasks that read the store or other hosts use it; requests see the result.
"""

from __future__ import annotations
