"""Fold of the limits stream into the grants of each spend limit.

The fold is deterministic and the same at every host, so the order of the log
decides each ask and the sum of the grants never exceeds the limit. A host
spends a grant only after it has read its own ask back from the log.
"""

from __future__ import annotations

import functools

import attrs

from hoistmoor.core.limits import records

# Requests for a day are accepted from this many seconds before the day begins
# until it ends, by the log's clock. A host with a wrong clock gets no share.
ASK_AHEAD_SECONDS = 28_800.0
DEMAND_TTL = 3_600.0  # Seconds for which a demand report is valid.


@attrs.frozen
class Grant:
    """Result of one ask.

    Attributes:
        account: Client account.
        day: UTC day of the share.
        host: Name of the requesting host.
        incarnation: Incarnation number of the requesting host.
        serial: Sequence number of the request.
        asked: Requested amount in micros.
        amount: Granted amount in micros; may be 0.
    """

    account: str
    day: int
    host: str
    incarnation: int
    serial: int
    asked: int
    amount: int


class ShareFold:
    """State of the limits stream after ``next_offset - 1``.

    If the log no longer holds the beginning of the stream, the fold starts at
    the first readable record. Days for which requests were already accepted
    are then incomplete until a snapshot covers the missing records.

    Attributes:
        next_offset: Offset of the next record to apply.
        sums: Granted totals, by account and day.
        demands: Newest demand report, by host.
        complete_from: First day without missing records; None until it is
            known from ``restart`` or a record.
        snapshot_at: Time at which the log stored the newest snapshot, or the
            first record read.
        ignored: Number of records that had no effect.
    """

    def __init__(self) -> None:
        self.next_offset = 0
        self.sums: dict[tuple[str, int], records.DaySum] = {}
        self.demands: dict[str, records.DemandSum] = {}
        self.complete_from: int | None = None
        self.snapshot_at = 0.0
        self.ignored = 0
        self._base = -1
        self._since: list[tuple[int, float, object]] = []

    def restart(self, first_offset: int) -> None:
        """Resets the state and starts at the oldest record in the log."""
        self.next_offset = first_offset
        self.sums.clear()
        self.demands.clear()
        self._since.clear()
        self._base = first_offset - 1
        self.complete_from = 0 if first_offset == 0 else None

    def is_complete(self, day: int) -> bool:
        """Returns whether all grants for ``day`` are known."""
        return self.complete_from is not None and day >= self.complete_from

    def sum_for(self, account: str, day: int) -> records.DaySum | None:
        """Returns the total granted from an account's limit, if any."""
        return self.sums.get((account, day))

    def apply(
        self, offset: int, at: float, record: object
    ) -> tuple[Grant, ...]:
        """Applies the next record.

        Args:
            offset: Offset of the record; offsets must have no gaps.
            at: Time at which the log stored it, by the log's clock.
            record: The decoded record, or None if decoding failed.

        Returns:
            The result of each ask for a day whose state is complete.
        """
        if offset < self.next_offset:
            return ()
        self.next_offset = offset + 1
        if self.complete_from is None:
            first_complete_day = records.day_of(at + ASK_AHEAD_SECONDS) + 1
            self.complete_from = first_complete_day if offset else 0
        if records.day_of(at) >= self.complete_from:
            self._end_replay()
        self.snapshot_at = self.snapshot_at or at
        if self._base >= 0 and not isinstance(record, records.ShareSnapshot):
            self._since.append((offset, at, record))
        grants = self._apply_record(record, at)
        return tuple(item for item in grants if self.is_complete(item.day))

    @property
    def can_snapshot(self) -> bool:
        """Whether the state covers all records before ``next_offset``."""
        return self._base < 0 and self.next_offset > 0

    def snapshot(self) -> records.ShareSnapshot:
        """Returns the state as a snapshot for hosts that start later."""
        return records.ShareSnapshot(
            self.next_offset - 1,
            tuple(self.sums.values()),
            tuple(self.demands.values()),
        )

    @functools.singledispatchmethod
    def _apply_record(self, record: object, at: float) -> tuple[Grant, ...]:
        self.ignored += 1
        return ()

    @_apply_record.register
    def _apply_request(
        self, request: records.ShareRequest, at: float
    ) -> tuple[Grant, ...]:
        day = request.day
        if (
            not records.day_of(at)
            <= day
            <= records.day_of(at + ASK_AHEAD_SECONDS)
        ):
            self.ignored += 1
            return ()
        self._drop_old_days(records.day_of(at))
        for item in request.returns:
            self._apply_return(item, day)
        return tuple(self._grant(ask, request) for ask in request.asks)

    @_apply_record.register
    def _apply_demand(
        self, report: records.DemandReport, at: float
    ) -> tuple[Grant, ...]:
        previous = self.demands.get(report.host)
        if previous and previous.report.incarnation > report.incarnation:
            self.ignored += 1
            return ()
        self.demands[report.host] = records.DemandSum(report, at)
        for host, demand in tuple(self.demands.items()):
            if at - demand.at > DEMAND_TTL:
                del self.demands[host]
        return ()

    @_apply_record.register
    def _apply_snapshot(
        self, snapshot: records.ShareSnapshot, at: float
    ) -> tuple[Grant, ...]:
        self.snapshot_at = max(self.snapshot_at, at)
        if self._base < 0 or snapshot.as_of < self._base:
            return ()
        self._load(snapshot)
        return ()

    def _load(self, snapshot: records.ShareSnapshot) -> None:
        """Rebuilds the state from a snapshot and the records after it."""
        later = [item for item in self._since if item[0] > snapshot.as_of]
        self.sums = {(item.account, item.day): item for item in snapshot.sums}
        self.demands = {item.report.host: item for item in snapshot.demands}
        self._end_replay()
        for _, at, record in later:
            self._apply_record(record, at)

    def _end_replay(self) -> None:
        """Ends the replay: no missing record is relevant any more."""
        self._since.clear()
        self._base = -1
        self.complete_from = 0

    def _apply_return(self, item: records.ShareReturn, day: int) -> None:
        day_sum = self.sums.get((item.account, day))
        if day_sum is None or item.amount <= 0:
            return
        granted = max(0, day_sum.granted - item.amount)
        self.sums[item.account, day] = attrs.evolve(day_sum, granted=granted)

    def _grant(
        self, ask: records.ShareAsk, request: records.ShareRequest
    ) -> Grant:
        key = ask.account, request.day
        day_sum = self.sums.get(key)
        if day_sum is None:
            day_sum = records.DaySum(*key, 0, ask.limit, ask.revision)
        if ask.revision > day_sum.revision:
            day_sum = attrs.evolve(
                day_sum, limit=ask.limit, revision=ask.revision
            )
        remaining = max(0, day_sum.limit - day_sum.granted)
        amount = max(0, min(ask.amount, remaining))
        self.sums[key] = attrs.evolve(
            day_sum,
            granted=day_sum.granted + amount,
            refused=day_sum.refused + (amount == 0),
        )
        return Grant(
            ask.account,
            request.day,
            request.host,
            request.incarnation,
            request.serial,
            ask.amount,
            amount,
        )

    def _drop_old_days(self, today: int) -> None:
        expired = [key for key in self.sums if key[1] < today]
        for key in expired:
            del self.sums[key]
