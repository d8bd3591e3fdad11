"""Records of the limits stream: share requests, demand reports, snapshots.

Days are UTC day numbers, counted from the Unix epoch.
"""

from __future__ import annotations

import attrs

from hoistmoor.core import codec

STREAM = "limits"
SECONDS_PER_DAY = 86_400


def day_of(now: float) -> int:
    """Returns the UTC day of a time in seconds since the epoch."""
    return int(now // SECONDS_PER_DAY)


@attrs.frozen
class ShareAsk:
    """Request for a share of one account's spend limit.

    Attributes:
        account: Client account.
        amount: Micros wanted; the grant may be smaller.
        limit: The account's spend limit known to the host.
        revision: Table revision of that limit.
    """

    account: str
    amount: int
    limit: int
    revision: int


@attrs.frozen
class ShareReturn:
    """Return of an amount that a host will not spend.

    Attributes:
        account: Client account.
        amount: Micros, already deducted from the host's own share.
    """

    account: str
    amount: int


@attrs.frozen
class ShareRequest:
    """Share asks and returns of one host for one day.

    Attributes:
        host: Name of the host.
        incarnation: The host's incarnation number.
        serial: Sequence number among the incarnation's requests, from 1.
        day: UTC day of the shares.
        asks: At most one per account.
        returns: Applied before the asks.
    """

    host: str
    incarnation: int
    serial: int
    day: int
    asks: tuple[ShareAsk, ...] = ()
    returns: tuple[ShareReturn, ...] = ()


@attrs.frozen
class DemandWeight:
    """A host's demand for one account, relative to other hosts."""

    account: str
    weight: float


@attrs.frozen
class DemandReport:
    """Demand of a host, replacing its previous report.

    Attributes:
        host: Name of the host.
        incarnation: The host's incarnation number.
        weights: Weights by account; accounts left out have the minimum weight.
    """

    host: str
    incarnation: int
    weights: tuple[DemandWeight, ...]


@attrs.frozen
class DaySum:
    """Total granted from one account's limit on one day.

    Attributes:
        account: Client account.
        day: UTC day.
        granted: Micros granted to all hosts, less the returned ones.
        limit: Spend limit from the highest table revision seen.
        revision: That table revision.
        refused: Number of asks that were granted nothing.
    """

    account: str
    day: int
    granted: int
    limit: int
    revision: int
    refused: int = 0


@attrs.frozen
class DemandSum:
    """A host's demand report and the time at which the log stored it."""

    report: DemandReport
    at: float


@attrs.frozen
class ShareSnapshot:
    """State of the fold after the record at offset ``as_of``."""

    as_of: int
    sums: tuple[DaySum, ...]
    demands: tuple[DemandSum, ...]


codec.register("share_request", ShareRequest)
codec.register("demand_report", DemandReport)
codec.register("share_snapshot", ShareSnapshot)
