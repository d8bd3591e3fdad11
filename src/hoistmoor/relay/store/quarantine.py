"""Persists quarantines in the store, so that restarts keep them.

A record refuses one request, with its fingerprint as the key, or all requests
of a service with some prompt parts. Hosts exchange their quarantines directly.
So that a restart of all hosts does not lose them, the host that reads the store
for the others also writes them there. A starting host copies them with the
other topics.
"""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING, TypeVar

from hoistmoor.core import errors
from hoistmoor.core.relay.servers import crashing_parts
from hoistmoor.core.relay.servers import part_evidence
from hoistmoor.core.relay.servers import part_states
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


_T = TypeVar("_T")
# A quarantine of either kind, as it is stored.
_Quarantine = suspect_state.Suspect | part_evidence.PartQuarantine


def active_quarantines(state: state_lib.RelayState) -> dict[str, _Quarantine]:
    """Returns the quarantines of a host by the keys of their records."""
    now = state.clock()
    return {
        **state.router.suspects.quarantined(now),
        **state.router.parts.quarantined(now),
    }


def _is_of_parts(key: str) -> bool:
    """Returns whether a record refuses prompt parts, not one request."""
    return part_states.KEY_SEPARATOR in key


def _decode(record: topics.Record, kind: type[_T]) -> _T:
    return records.decode(record.value or b"", kind)


class QuarantineListener:
    """Applies the quarantines that are listed in the store.

    Attributes:
        listed: Keys of the records in the newest era of the store, each with
            the key by which this version knows its quarantine. Earlier
            versions have named some parts otherwise.
    """

    def __init__(self, state: state_lib.RelayState) -> None:
        self.listed: dict[str, str] = {}
        # Keys of quarantines that have ended, oldest first.
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
            found = {each.key for each in batch.records}
            for key in self.listed.keys() - found:
                self._end(key)
        for record in batch.records:
            if record.value is None:
                self._end(record.key)
            elif update.is_first_of_era and self._has_ended(record.key):
                continue
            else:
                self._apply(record)
        return batch.records

    def _has_ended(self, key: str) -> bool:
        return key in self._ended and key not in active_quarantines(self._state)

    def _reset_listed(self, batch: topics.Batch) -> None:
        """Records what a newer era lists, without changing any quarantine.

        The host that writes for all others compares ``listed`` with its own
        state: it writes missing quarantines again and removes ended ones.
        """
        self.listed = {
            each.key: each.key
            for each in batch.records
            if each.value is not None
        }

    def _apply(self, record: topics.Record) -> None:
        key = record.key
        try:
            if _is_of_parts(record.key):
                told = _decode(record, part_evidence.PartQuarantine)
                key = crashing_parts.key_of(told)
                changes = crashing_parts.PartChanges(quarantines=(told,))
                self._state.merge_parts(changes)
            else:
                suspect = _decode(record, suspect_state.Suspect)
                self._state.merge_suspects([suspect])
        except ValueError as error:
            self._state.log_unreadable_record("quarantine", record, error)
            return
        self.listed[record.key] = key

    def _end(self, record_key: str) -> None:
        key = self.listed.pop(record_key, record_key)
        self._ended.append(record_key)
        router = self._state.router
        if _is_of_parts(key):
            router.parts.lift(key, self._state.clock())
        else:
            router.suspects.forget(key)
        self._state.log_change("quarantine_over", fingerprint=key)


class QuarantineWriter:
    """Lists quarantines in the store; removes ended ones."""

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
            topic: The topic that lists quarantines.
            listener: Tracks which quarantines are listed.
            gate: Tells whether the store is available.
        """
        self._state = state
        self._topic = topic
        self._listener = listener
        self._gate = gate
        # Keys of the quarantines that do not fit the store's format.
        self._unwritable: set[str] = set()

    async def run(self) -> None:
        """Synchronizes the list periodically until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL)
            quarantined = active_quarantines(self._state)
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

    async def _write(self, quarantined: dict[str, _Quarantine]) -> None:
        listed = self._listener.listed
        self._unwritable &= quarantined.keys()
        unlisted = quarantined.keys() - set(listed.values())
        for key in unlisted - self._unwritable:
            try:
                await self._put(key, records.encode(quarantined[key]))
            except errors.RecordLimitError as error:
                # It holds on all hosts until they restart at once.
                self._unwritable.add(key)
                self._state.log_change(
                    "quarantine_unwritable", detail=error.problem
                )
            else:
                listed[key] = key
        ended = [key for key in listed if listed[key] not in quarantined]
        for key in ended:
            await self._put(key, _TOMBSTONE)
            listed.pop(key, None)

    async def _put(self, key: str, value: bytes) -> None:
        # Logged before the write, so that a write that fails is known as well.
        self._state.log.write(
            "quarantine_write",
            key=key,
            key_bytes=len(key.encode()),
            value_bytes=len(value),
        )
        await self._topic.put(key, value)
