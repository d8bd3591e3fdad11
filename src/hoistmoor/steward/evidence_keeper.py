"""Keeps records of the stream ``evidence`` beyond the log's retention.

Entries append claims on exposure caps and withdrawals. The active steward
appends a tally of the claims, and the withdrawals still in force, before they
expire. Neither needs a fencing token: a tally covers the claims up to its own
offset, whoever writes it, and a repeated withdrawal has no effect.
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
    from hoistmoor.steward import background_tasks

POLL_INTERVAL = 1.0  # Seconds between reads.
PAGE_SIZE = 500
ALL_KINDS = "*"

_LOG = logs.PartLogger("steward")


class EvidenceKeeper:
    """Follows the stream while this steward is active.

    Attributes:
        fold: The claims on exposure caps.
        withdrawals: The latest withdrawal by version and kind of request.
        tally_as_of: Offset after the last record that the latest tally covers.
        next_offset: Offset of the next read; None before the first one.
        first_offset: The oldest offset on the log.
    """

    def __init__(self, context: background_tasks.StewardContext) -> None:
        """Creates a keeper; ``run`` starts it."""
        self.context = context
        self.reset()

    def reset(self) -> None:
        """Discards everything that was read."""
        self.fold = exposure.ExposureLedger()
        self.withdrawals: dict[tuple[str, str], messages.Withdrawal] = {}
        self.tally_as_of = 0
        self.next_offset: int | None = None
        self.first_offset = 0

    async def run(self) -> None:
        """Follows the stream until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL)
            if self.context.active_fencing_token() is None:
                self.reset()
                continue
            try:
                await self.step()
            except errors.PlatformError as error:
                _LOG.warning(
                    "Could not maintain the evidence stream: %s", error
                )

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
        """Reads one page; returns whether more records may be available."""
        if self.next_offset is None:
            bounds = await self.context.client.bounds(streams.EVIDENCE)
            self._begin(bounds.first)
        try:
            page = await self.context.client.read(
                streams.EVIDENCE, self.next_offset or 0, PAGE_SIZE
            )
        except errors.LogOffsetExpiredError as error:
            self._begin(error.first_offset)
            return True
        self.first_offset = page.first
        for row in page.records:
            self.next_offset = row.offset + 1
            self._apply_payload(row.payload, row.offset)
        return len(page.records) == PAGE_SIZE

    def _begin(self, first: int) -> None:
        self.next_offset = first
        if first > 0:
            self.fold.on_gap(first)

    def _apply_payload(self, payload: bytes, offset: int) -> None:
        try:
            record = codec.decode(payload)
        except errors.CodecError:
            return  # Entries count and log it.
        _apply(record, self, offset)

    def _versions(self) -> dict[str, model.Version]:
        table = self.context.active_table()
        return table.versions if table else {}

    def _active_withdrawals(self) -> list[messages.Withdrawal]:
        """Returns the withdrawals whose rows in the table are unchanged."""
        versions = self._versions()
        return [
            withdrawal
            for withdrawal in self.withdrawals.values()
            if withdrawal.version in versions
            and exposure.row_digest(versions[withdrawal.version])
            == withdrawal.row_digest
        ]

    async def _record_withdrawals(self) -> None:
        known = self.context.stream.fold.state.withdrawn
        for withdrawal in self._active_withdrawals():
            recorded = known.get(withdrawal.version)
            if withdrawal.kind != ALL_KINDS or (
                recorded and recorded.row_digest == withdrawal.row_digest
            ):
                continue
            record = records.VersionWithdrawn(
                withdrawal.version,
                "found bad in service",
                withdrawal.by,
                withdrawal.evidence,
                withdrawal.row_digest,
            )
            _LOG.info("Withdrawn: %s", record)
            await self.context.append(record)

    def _tally_is_due(self) -> bool:
        next_offset = self.next_offset or 0
        if not self.fold.is_complete or next_offset == self.tally_as_of:
            return False
        return snapshots.is_summary_due(
            self.tally_as_of - 1, next_offset, self.first_offset
        )

    async def _append_tally(self) -> None:
        tally = messages.ExposureTally(
            self.next_offset or 0, dict(self.fold.granted)
        )
        for record in (*self._active_withdrawals(), tally):
            await self.context.client.append(
                streams.EVIDENCE, codec.encode(record)
            )


@functools.singledispatch
def _apply(record: Any, keeper: EvidenceKeeper, offset: int) -> None:
    """Applies a record of the stream; records of other types are ignored."""


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
