"""Persists quarantined requests in the store, so that restarts keep them.

Hosts exchange their quarantined requests directly. So that a restart of all
hosts does not lose them, the host that reads the store for the others also
writes them there. A starting host copies them with the other topics.
"""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING

from hoistmoor.core import errors
from hoistmoor.core.relay.servers import suspect_state
from hoistmoor.relay import records

if TYPE_CHECKING:
    from hoistmoor.core.relay.beliefs import topics
    from hoistmoor.relay import state as state_lib
    from hoistmoor.relay.store import follower
    from hoistmoor.relay.store import ports
    from hoistmoor.relay.store import store_gate

POLL_INTERVAL = 1.0  # Seconds between two checks.
RETRY_DELAY = 1.0  # Seconds until a failed write is retried.
# Ended quarantines to remember; a store restored from an older copy may still
# list them.
MAX_ENDED = 1000
_TOMBSTONE = b""


class QuarantineListener:
    """Applies the quarantined requests that are listed in the store.

    Attributes:
        listed: Fingerprints that are listed in the newest era of the store.
    """

    def __init__(self, state: state_lib.RelayState) -> None:
        self.listed: set[str] = set()
        # Fingerprints whose quarantine has ended, oldest first.
        self._ended: collections.deque[str] = collections.deque(
            maxlen=MAX_ENDED
        )
        self._state = state

    def __call__(self, update: follower.Update) -> tuple[topics.Record, ...]:
        """Applies one update."""
        batch = update.batch
        if update.is_first_of_era:
            self._reset_listed(batch)
        elif batch.is_snapshot:
            for fingerprint in self.listed - {
                each.key for each in batch.records
            }:
                self._end(fingerprint)
        for record in batch.records:
            if record.value is None:
                self._end(record.key)
            elif update.is_first_of_era and self._has_ended(record.key):
                continue
            else:
                self._apply(record, record.value)
        return batch.records

    def _has_ended(self, fingerprint: str) -> bool:
        quarantined = self._state.router.suspects.quarantined(
            self._state.clock()
        )
        return fingerprint in self._ended and fingerprint not in quarantined

    def _reset_listed(self, batch: topics.Batch) -> None:
        """Records what a newer era lists, without changing any quarantine.

        The host that writes for all others compares ``listed`` with its own
        state: it writes missing quarantines again and removes ended ones.
        """
        self.listed = {
            each.key for each in batch.records if each.value is not None
        }

    def _apply(self, record: topics.Record, value: bytes) -> None:
        try:
            suspect = records.decode(value, suspect_state.Suspect)
        except ValueError as error:
            self._state.log_unreadable_record("quarantine", record, error)
            return
        self.listed.add(record.key)
        self._state.merge_suspects([suspect])

    def _end(self, fingerprint: str) -> None:
        self.listed.discard(fingerprint)
        self._ended.append(fingerprint)
        self._state.router.suspects.forget(fingerprint)
        self._state.log_change("quarantine_over", fingerprint=fingerprint)


class QuarantineWriter:
    """Lists quarantined requests in the store; removes ended quarantines."""

    def __init__(
        self,
        state: state_lib.RelayState,
        topic: ports.KeyedTopic,
        listener: QuarantineListener,
        gate: store_gate.StoreGate,
    ) -> None:
        """Creates the task.

        Args:
            state: Shared state of the relay.
            topic: The topic that lists quarantined requests.
            listener: Tracks which requests are listed.
            gate: Tells whether the store is available.
        """
        self._state = state
        self._topic = topic
        self._listener = listener
        self._gate = gate

    async def run(self) -> None:
        """Synchronizes the list periodically until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL)
            quarantined = self._state.router.suspects.quarantined(
                self._state.clock()
            )
            self._state.log_quarantines()
            # Only the host that reads the store writes, and only once it has
            # read the list.
            if self._state.source or not self._gate.is_available:
                continue
            if "quarantine" not in self._state.topics_read:
                continue
            try:
                await self._write(quarantined)
            except errors.HoistmoorError as error:
                self._state.log.write("quarantine_waits", detail=error.problem)
                await asyncio.sleep(RETRY_DELAY)

    async def _write(
        self, quarantined: dict[str, suspect_state.Suspect]
    ) -> None:
        listed = self._listener.listed
        for fingerprint in quarantined.keys() - listed:
            await self._topic.put(
                fingerprint, records.encode(quarantined[fingerprint])
            )
            listed.add(fingerprint)
        for fingerprint in listed - quarantined.keys():
            await self._topic.put(fingerprint, _TOMBSTONE)
            listed.discard(fingerprint)
