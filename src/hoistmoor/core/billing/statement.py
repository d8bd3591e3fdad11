"""The statement: totals per client account, folded from the bills stream.

The fold is deterministic, so every reader gets the same totals. A further bill
for a request id is a duplicate, which is dropped and counted. Request ids of an
incarnation are consecutive from 1, so the ids already billed are stored
compactly as ranges.

A checkpoint contains the totals up to an offset. A reader resumes from the
newest checkpoint if retention has removed older records; otherwise it folds
all records and verifies the checkpoints.
"""

from __future__ import annotations

import attrs

from hoistmoor.core import codec
from hoistmoor.core import errors
from hoistmoor.core import identity
from hoistmoor.core.billing import bills
from hoistmoor.core.billing import ranges

# The billed ids of an incarnation are dropped this long after its last new
# bill. A duplicate that arrives later is billed twice.
DEDUPLICATION_SECONDS = 7 * 24 * 3600.0


@attrs.define
class StatementLine:
    """Totals of one item of one client account.

    Attributes:
        count: Number of billed requests.
        prompt_tokens: Sum of prompt tokens.
        output_tokens: Sum of generated tokens.
        amount: Sum of prices, in micros.
    """

    count: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    amount: int = 0

    def add(self, bill: bills.Bill) -> None:
        """Adds a bill to the totals."""
        self.count += 1
        self.prompt_tokens += bill.prompt_tokens
        self.output_tokens += bill.output_tokens
        self.amount += bill.amount

    def merge(self, other: StatementLine) -> None:
        """Adds the totals of another line."""
        self.count += other.count
        self.prompt_tokens += other.prompt_tokens
        self.output_tokens += other.output_tokens
        self.amount += other.amount


@attrs.frozen
class SeenIds:
    """Billed request ids of one incarnation.

    Attributes:
        host: Name of the host.
        incarnation: Incarnation number of the host.
        last_at: Append time of its last new bill, in seconds since the epoch.
        ranges: Serials as ``(first, last)`` pairs.
    """

    host: str
    incarnation: int
    last_at: float
    ranges: tuple[tuple[int, int], ...]


@attrs.frozen
class BillCheckpoint:
    """The totals of all records up to an offset.

    Attributes:
        through: Offset of the last record included.
        lines: Totals by client account and item.
        repeats: Number of duplicates dropped.
        seen: Request ids already billed.
    """

    through: int
    lines: dict[str, dict[str, StatementLine]]
    repeats: int
    seen: tuple[SeenIds, ...]


codec.register("bill_checkpoint", BillCheckpoint)


@attrs.frozen
class InvalidRecord:
    """A record that the statement ignores because it is invalid.

    Attributes:
        offset: Offset of the record.
        problem: Description of the problem.
    """

    offset: int
    problem: str


@attrs.define
class _BilledIds:
    last_at: float
    serials: ranges.RangeSet = attrs.field(factory=ranges.RangeSet)


class Statement:
    """Folds the bills stream.

    Attributes:
        lines: Totals by client account and item.
        next_offset: Offset of the next record to apply.
        repeats: Number of duplicates dropped.
        invalid_records: Invalid records.
        missing_records: Number of records that retention removed and no
            checkpoint includes.
    """

    def __init__(self) -> None:
        self.lines: dict[str, dict[str, StatementLine]] = {}
        self.next_offset = 0
        self.repeats = 0
        self.invalid_records: list[InvalidRecord] = []
        self.missing_records = 0
        self._seen: dict[identity.Incarnation, _BilledIds] = {}

    @classmethod
    def from_checkpoint(cls, checkpoint: BillCheckpoint) -> Statement:
        """Returns a statement that continues from ``checkpoint``."""
        statement = cls()
        statement.lines = checkpoint.lines
        statement.next_offset = checkpoint.through + 1
        statement.repeats = checkpoint.repeats
        for seen in checkpoint.seen:
            incarnation = identity.Incarnation(seen.host, seen.incarnation)
            statement._seen[incarnation] = _BilledIds(
                seen.last_at, ranges.RangeSet(seen.ranges)
            )
        return statement

    def skip_to(self, offset: int) -> None:
        """Counts records before ``offset`` as missing and skips them."""
        self.missing_records += max(offset - self.next_offset, 0)
        self.next_offset = max(offset, self.next_offset)

    def apply(self, offset: int, at: float, payload: bytes) -> None:
        """Applies one record.

        Args:
            offset: Offset of the record; must be ``next_offset``.
            at: Append time of the record.
            payload: The encoded record.
        """
        self.next_offset = offset + 1
        try:
            record = codec.decode(payload)
        except errors.CodecError as error:
            self.invalid_records.append(InvalidRecord(offset, error.problem))
            return
        if isinstance(record, bills.BillBatch):
            self._apply_batch(offset, at, record)
        elif isinstance(record, BillCheckpoint):
            self._verify_checkpoint(offset, record)
        else:
            name = type(record).__name__
            self.invalid_records.append(
                InvalidRecord(
                    offset, f"unexpected {name} record on the bills stream"
                )
            )

    def _apply_batch(
        self, offset: int, at: float, batch: bills.BillBatch
    ) -> None:
        for bill in batch.bills:
            try:
                is_new = self._is_new(bill.request_id, at)
            except ValueError:
                problem = f"{bill.request_id!r} is not a valid request id"
                self.invalid_records.append(InvalidRecord(offset, problem))
                continue
            if is_new:
                items = self.lines.setdefault(bill.account, {})
                items.setdefault(bill.item, StatementLine()).add(bill)
            else:
                self.repeats += 1
        self._evict_expired_ids(at)

    def _is_new(self, text: str, at: float) -> bool:
        request_id = identity.RequestId.parse(text)
        ids = self._seen.setdefault(request_id.incarnation, _BilledIds(at))
        is_new = ids.serials.add(request_id.serial)
        if is_new:
            ids.last_at = at
        return is_new

    def _evict_expired_ids(self, at: float) -> None:
        oldest = at - DEDUPLICATION_SECONDS
        for incarnation, ids in tuple(self._seen.items()):
            if ids.last_at < oldest:
                del self._seen[incarnation]

    def _verify_checkpoint(self, offset: int, record: BillCheckpoint) -> None:
        """Compares a checkpoint with the totals of this reader."""
        if self.missing_records or record.through != offset - 1:
            return
        if record != self.checkpoint_through(record.through):
            problem = "the checkpoint differs from the records before it"
            self.invalid_records.append(InvalidRecord(offset, problem))

    def checkpoint(self) -> BillCheckpoint:
        """Returns a checkpoint of all records applied so far."""
        return self.checkpoint_through(self.next_offset - 1)

    def checkpoint_through(self, offset: int) -> BillCheckpoint:
        """Returns the current totals as a checkpoint through ``offset``."""
        seen = tuple(
            SeenIds(
                incarnation.host,
                incarnation.number,
                ids.last_at,
                ids.serials.pairs(),
            )
            for incarnation, ids in sorted(
                self._seen.items(), key=lambda item: str(item[0])
            )
        )
        return BillCheckpoint(offset, self.lines, self.repeats, seen)
