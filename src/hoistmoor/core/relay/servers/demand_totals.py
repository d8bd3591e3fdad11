"""Demand of other hosts, beyond the outstanding work at each server.

Travels with the outstanding work (see ``beliefs.tree_totals``) as one field of
its own, which a host of an earlier version skips.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

Amounts = dict[str, float]

# Digits of a total after the point. A sum of rounded numbers may have 17, which
# would all be sent.
PRECISION = 3


@attrs.frozen
class DemandTotals:
    """Demand of a group of hosts. Keys with an amount of 0 are left out.

    Attributes:
        reading: Prompt tokens that an engine has still to read before their
            requests get a first event, by server identity.
        memory: Tokens of engine memory that outstanding requests need, by
            server identity.
        waiting: Work that waits at hosts for room, or was refused in the last
            moment, in seconds of a usual server, by service.
        usage: Recent service of client accounts above their share, in seconds
            of a usual server, by account.
    """

    reading: Amounts = attrs.field(factory=dict)
    memory: Amounts = attrs.field(factory=dict)
    waiting: Amounts = attrs.field(factory=dict)
    usage: Amounts = attrs.field(factory=dict)


def sum_demand(reports: Iterable[DemandTotals]) -> DemandTotals:
    """Returns the total demand of several groups of hosts."""
    total = DemandTotals()
    for report in reports:
        _add(total.reading, report.reading)
        _add(total.memory, report.memory)
        _add(total.waiting, report.waiting)
        _add(total.usage, report.usage)
    return total


def _add(total: Amounts, amounts: Amounts) -> None:
    for key, amount in amounts.items():
        total[key] = round(total.get(key, 0.0) + amount, PRECISION)
