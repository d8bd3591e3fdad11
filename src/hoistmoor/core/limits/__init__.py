"""Client account limits, overload admission control and retry budgets."""

from __future__ import annotations
