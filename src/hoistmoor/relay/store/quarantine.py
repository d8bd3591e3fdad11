"""Keeps quarantined requests in the store, for hosts that start anew.

Hosts tell one another whom they quarantine. What all of them must not forget at
once is written by the host that reads the store for the others. A host that
starts copies it with the other topics.
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

PERIOD = 1.0  # Seconds between two looks.
RETRY = 1.0  # Seconds until a write that failed is tried again.
KEPT_OVER = 1000  # Quarantines that are over and that a copy may list again.
_DROPPED = b""


class QuarantineListener:
    """Takes the requests that are listed in the store.

    Attributes:
        listed: Their fingerprints, as the store's newest history has them.
    """

    def __init__(self, state: state_lib.RelayState) -> None:
        self.listed: set[str] = set()
        # Fingerprints whose quarantine is over; an older copy may list them.
        self._over: collections.deque[str] = collections.deque(maxlen=KEPT_OVER)
        self._state = state

    def __call__(self, update: follower.Update) -> tuple[topics.Record, ...]:
        """Takes one update."""
        batch = update.batch
        if update.is_return:
            self._list_again(batch)
        elif batch.is_snapshot:
            for fingerprint in self.listed - {
                each.key for each in batch.records
            }:
                self._drop(fingerprint)
        for record in batch.records:
            if record.value is None:
                self._drop(record.key)
            elif update.is_return and self._is_over(record.key):
                continue
            else:
                self._take(record, record.value)
        return batch.records

    def _is_over(self, fingerprint: str) -> bool:
        quarantined = self._state.router.suspects.quarantined(
            self._state.clock()
        )
        return fingerprint in self._over and fingerprint not in quarantined

    def _list_again(self, batch: topics.Batch) -> None:
        """Takes what a newer history lists; ends and begins nothing by it.

        What it lacks is written again, and what is over is dropped again; the
        host that writes for all sees both by ``listed``.
        """
        self.listed = {
            each.key for each in batch.records if each.value is not None
        }

    def _take(self, record: topics.Record, value: bytes) -> None:
        try:
            suspect = records.decode(value, suspect_state.Suspect)
        except ValueError as error:
            self._state.note_unreadable("quarantine", record, error)
            return
        self.listed.add(record.key)
        self._state.take_suspects([suspect])

    def _drop(self, fingerprint: str) -> None:
        self.listed.discard(fingerprint)
        self._over.append(fingerprint)
        self._state.router.suspects.forget(fingerprint)
        self._state.believe("quarantine_over", fingerprint=fingerprint)


class QuarantineWriter:
    """Lists requests in quarantine in the store; drops those that are over."""

    def __init__(
        self,
        state: state_lib.RelayState,
        topic: ports.KeyedTopic,
        listener: QuarantineListener,
        gate: store_gate.StoreGate,
    ) -> None:
        """Makes the task.

        Args:
            state: What the relay knows.
            topic: Where quarantine are listed.
            listener: Knows what is listed.
            gate: Tells whether the store is there.
        """
        self._state = state
        self._topic = topic
        self._listener = listener
        self._gate = gate

    async def run(self) -> None:
        """Looks until cancelled."""
        while True:
            await asyncio.sleep(PERIOD)
            quarantined = self._state.router.suspects.quarantined(
                self._state.clock()
            )
            self._state.note_suspects()
            # One host writes for all, and only once it knows what is listed.
            if self._state.source or not self._gate.is_heard:
                continue
            if "quarantine" not in self._state.topics_read:
                continue
            try:
                await self._write(quarantined)
            except errors.HoistmoorError as error:
                self._state.log.write("quarantine_waits", detail=error.problem)
                await asyncio.sleep(RETRY)

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
            await self._topic.put(fingerprint, _DROPPED)
            listed.discard(fingerprint)
