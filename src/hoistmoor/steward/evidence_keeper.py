"""Keeps what the stream ``evidence`` says beyond the log's retention.

Entries put claims on exposure caps and withdrawals there. The acting steward
appends a tally of the claims, and the withdrawals that still hold, before
retention takes them. Neither needs a fencing number: a tally stands for the
claims up to its own offset, whoever writes it, and a repeated withdrawal
changes nothing.
"""

from __future__ import annotations

import asyncio
import functools
from typing import Any, TYPE_CHECKING

from hoistmoor.core import codec
from hoistmoor.core import errors
from hoistmoor.core import streams
from hoistmoor.core.routing import exposure
from hoistmoor.core.routing import messages
from hoistmoor.core.steward import records
from hoistmoor.core.steward import snapshots
from hoistmoor.utils import logs

if TYPE_CHECKING:
    from hoistmoor.core.table import model
    from hoistmoor.steward import duties

TICK = 1.0  # Seconds between reads.
PAGE_RECORDS = 500
ALL_KINDS = "*"

_LOG = logs.PartLogger("steward")


class EvidenceKeeper:
    """Follows the stream while this steward acts.

    Attributes:
        fold: Claims on exposure caps.
        withdrawals: Newest withdrawal by version and kind of request.
        tally_as_of: Offset after the last record in the newest tally.
        next_offset: Where to read on; None before the first read.
        first: The oldest offset that the log has.
    """

    def __init__(self, tools: duties.Tools) -> None:
        """Makes a keeper; ``run`` starts it."""
        self.tools = tools
        self.reset()

    def reset(self) -> None:
        """Forgets everything read."""
        self.fold = exposure.ExposureLedger()
        self.withdrawals: dict[tuple[str, str], messages.Withdrawal] = {}
        self.tally_as_of = 0
        self.next_offset: int | None = None
        self.first = 0

    async def run(self) -> None:
        """Works until cancelled."""
        while True:
            await asyncio.sleep(TICK)
            if self.tools.acting() is None:
                self.reset()
                continue
            try:
                await self.step()
            except errors.PlatformError as error:
                _LOG.warning("Evidence waits: %s", error)

    async def step(self) -> None:
        """Reads to the stream's end and appends what is due.

        Raises:
            PlatformError: The log could not be read or written.
        """
        while await self._read_page():
            pass
        await self._record_withdrawals()
        if self._tally_is_due():
            await self._append_tally()

    async def _read_page(self) -> bool:
        """Returns whether there may be more to read at once."""
        if self.next_offset is None:
            bounds = await self.tools.client.bounds(streams.EVIDENCE)
            self._begin(bounds.first)
        try:
            page = await self.tools.client.read(
                streams.EVIDENCE, self.next_offset or 0, PAGE_RECORDS
            )
        except errors.LogOffsetExpiredError as error:
            self._begin(error.first_offset)
            return True
        self.first = page.first
        for row in page.records:
            self.next_offset = row.offset + 1
            self._take(row.payload, row.offset)
        return len(page.records) == PAGE_RECORDS

    def _begin(self, first: int) -> None:
        self.next_offset = first
        if first > 0:
            self.fold.on_gap(first)

    def _take(self, payload: bytes, offset: int) -> None:
        try:
            record = codec.decode(payload)
        except errors.CodecError:
            return  # Entries count and name it.
        _apply(record, self, offset)

    def _rows(self) -> dict[str, model.Version]:
        table = self.tools.rows()
        return table.versions if table else {}

    def _in_force(self) -> list[messages.Withdrawal]:
        """Returns the withdrawals of rows that still stand in the table."""
        rows = self._rows()
        return [
            found
            for found in self.withdrawals.values()
            if found.version in rows
            and exposure.row_digest(rows[found.version]) == found.row_digest
        ]

    async def _record_withdrawals(self) -> None:
        known = self.tools.stream.fold.state.withdrawn
        for found in self._in_force():
            old = known.get(found.version)
            if found.kind != ALL_KINDS or (
                old and old.row_digest == found.row_digest
            ):
                continue
            record = records.VersionWithdrawn(
                found.version,
                "found bad in service",
                found.by,
                found.evidence,
                found.row_digest,
            )
            _LOG.info("Withdrawn: %s", record)
            await self.tools.append(record)

    def _tally_is_due(self) -> bool:
        next_offset = self.next_offset or 0
        if not self.fold.is_complete or next_offset == self.tally_as_of:
            return False
        return snapshots.is_summary_due(
            self.tally_as_of - 1, next_offset, self.first
        )

    async def _append_tally(self) -> None:
        tally = messages.ExposureTally(
            self.next_offset or 0, dict(self.fold.granted)
        )
        for record in (*self._in_force(), tally):
            await self.tools.client.append(
                streams.EVIDENCE, codec.encode(record)
            )


@functools.singledispatch
def _apply(record: Any, keeper: EvidenceKeeper, offset: int) -> None:
    """Takes one record of the stream; others are of no concern here."""


@_apply.register
def _(
    record: messages.ExposureClaim, keeper: EvidenceKeeper, offset: int
) -> None:
    keeper.fold.on_claim(offset, record)


@_apply.register
def _(
    record: messages.ExposureTally, keeper: EvidenceKeeper, offset: int
) -> None:
    keeper.fold.on_tally(record)
    keeper.tally_as_of = max(keeper.tally_as_of, record.as_of)


@_apply.register
def _(record: messages.Withdrawal, keeper: EvidenceKeeper, offset: int) -> None:
    keeper.withdrawals[record.version, record.kind] = record
