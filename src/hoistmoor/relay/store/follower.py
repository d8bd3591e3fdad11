"""Follows one keyed topic: reads a snapshot first, then each change."""

from __future__ import annotations

import asyncio
from typing import Protocol, TYPE_CHECKING

import attrs

from hoistmoor.core import errors
from hoistmoor.core.relay.beliefs import replication as replication_lib
from hoistmoor.core.relay.beliefs import topics
from hoistmoor.relay.store import store_gate

if TYPE_CHECKING:
    from hoistmoor.relay import state as state_lib
    from hoistmoor.relay.store import ports


@attrs.frozen
class Update:
    """A batch, with its freshness and the state of its source.

    Attributes:
        batch: The records.
        current_at: Monotonic time at which the store certainly had nothing
            newer: when the read was sent or, for a long poll that timed out
            without records, the end of the requested wait.
        after_outage: Seconds since the store became available again;
            infinite if there was no outage.
        is_first_of_era: Whether this is the first batch of a newer era of the
            store, for a listener that has seen an older one.
    """

    batch: topics.Batch
    current_at: float
    after_outage: float
    is_first_of_era: bool = False


class Listener(Protocol):
    """Applies the batches that were read from a topic."""

    def __call__(self, update: Update) -> tuple[topics.Record, ...]:
        """Applies one update; returns the records to pass on to other hosts.

        For a snapshot these are all usable records; for changes, those that
        change anything.
        """


class TopicFollower:
    """Reads a topic continuously and passes each batch to a listener.

    Attributes:
        name: Name of the topic in log lines.
        place: Position of the next read; None before the first snapshot.
        current_at: Monotonic time at which the topic was last known to be
            current.
        replica: This host's copy of the topic.
        direct: Set while this host reads the store itself.
        loaded: Set once the topic was read, by this host or another one.
    """

    def __init__(
        self,
        state: state_lib.RelayState,
        name: str,
        topic: ports.KeyedTopic,
        listener: Listener,
        *,
        wait: float,
        pause: float,
        gate: store_gate.StoreGate,
        is_probe: bool = False,
        waits_for_store: bool = True,
        may_use_peers: bool = False,
    ) -> None:
        """Creates a follower.

        Args:
            state: Shared state of the relay.
            name: Name of the topic in log lines.
            topic: The topic to read.
            listener: Called with each batch, including empty ones.
            wait: Longest duration of a long poll, in seconds.
            pause: Seconds between two reads; a longer pause collects more
                records in one read.
            gate: Blocks reads during an outage of the store.
            is_probe: Whether this topic is read during an outage to detect
                its end, and is confirmed to be current at all times.
            waits_for_store: Whether the first read waits until the store has
                answered another call.
            may_use_peers: Whether the topic is read only while ``direct`` is
                set, since another host may read it for this one.
        """
        self.name = name
        self.place: topics.Place | None = None
        self.current_at = float("-inf")
        self.replica = replication_lib.TopicReplica()
        self.direct = asyncio.Event()
        self.loaded = asyncio.Event()
        if not may_use_peers:
            self.direct.set()
        self._state = state
        self._topic = topic
        self._listener = listener
        self._wait = wait
        self._pause = pause
        self._gate = gate
        self._is_probe = is_probe
        self._waits_for_store = waits_for_store and not is_probe
        self._is_unconfirmed = False
        self._was_copy_dropped = False  # Whether the last copy was dropped.
        self._pending_read: asyncio.Future[topics.Batch] | None = None
        self._lost_at: float | None = None
        self._regained_at = float("-inf")
        state.store_era.observers.append(self._on_new_era)

    async def run(self) -> None:
        """Reads until cancelled."""
        while True:
            await self.direct.wait()
            if self._waits_for_store:
                await self._gate.wait_until_available()
            if not self.direct.is_set():
                continue  # Another host reads for this one by now.
            # After the first attempt, only the probe topic is read during an
            # outage.
            self._waits_for_store = not self._is_probe
            try:
                await self.read_once()
            except errors.LogEraChangedError:
                continue  # The position is of an older era: read a snapshot.
            except errors.LogOffsetExpiredError as error:
                self._state.log_change(
                    "topic_expired", topic=self.name, detail=error.problem
                )
                self.place = None
            except errors.HoistmoorError as error:
                self._record_failure(error)
                await self._back_off()
            else:
                await asyncio.sleep(self._pause)

    def age(self) -> float:
        """Returns the seconds since the topic was last known to be current."""
        return self._state.clock() - self.current_at

    def start_reading_store(self) -> None:
        """Starts reading the store; the first read is not a long poll."""
        if not self.direct.is_set():
            self._is_unconfirmed = True
            self.direct.set()

    async def _back_off(self) -> None:
        if self._is_probe:
            await self._gate.wait_before_probe()
        else:
            await asyncio.sleep(store_gate.FAILURE_DELAY)

    async def read_once(self) -> None:
        """Reads one batch and applies it."""
        sent_at = self._state.clock()
        wait = 0.0 if self._needs_immediate_answer else self._wait
        known = self.place
        if known is None or known.era < self._state.store_era.era:
            batch = await self._topic.newest()
        else:
            batch = await self._read_changes(known, wait)
        self._record_success()
        # A newer copy from another host may have arrived during the read.
        if self.is_ahead_of(batch):
            return
        current_at = sent_at
        waited_fully = self._state.clock() - sent_at >= wait
        if waited_fully and not batch.records and not batch.is_snapshot:
            current_at += wait
        self._is_unconfirmed = bool(batch.records) and not batch.is_snapshot
        self.apply(Update(batch, current_at, self.after_outage))

    async def _read_changes(
        self, place: topics.Place, wait: float
    ) -> topics.Batch:
        """Returns the records from a position on.

        Raises:
            LogEraChangedError: A newer era became known during the read;
                the long poll may still block although the records changed.
        """
        self._pending_read = asyncio.ensure_future(
            self._topic.changes(place, wait)
        )
        try:
            await asyncio.wait({self._pending_read})
            if not self._pending_read.cancelled():
                return self._pending_read.result()
        finally:
            self._pending_read.cancel()
            self._pending_read = None
        raise errors.LogEraChangedError(
            self.name, place.era, self._state.store_era.era
        )

    def _on_new_era(self, before: int, era: int, source: str) -> None:
        """Cancels a read of an older era.

        The new era counts as the end of an outage, so that entries missing in
        it are kept for a grace period. A read whose own response reports the
        era ends by itself.
        """
        if self.place is not None:
            self._regained_at = self._state.clock()
        if (
            self._pending_read is not None
            and self._pending_read is not asyncio.current_task()
        ):
            self._pending_read.cancel()

    @property
    def _needs_immediate_answer(self) -> bool:
        """Whether the next read should not be a long poll.

        During an outage, an immediate response shows that the store is
        available again. A read that returned records only proves them current
        as of its start; the next one confirms them without a wait.
        """
        return self._lost_at is not None or (
            self._is_probe and self._is_unconfirmed
        )

    def is_ahead_of(self, batch: topics.Batch) -> bool:
        """Returns whether this host has newer data than a batch.

        Older data must not replace newer data, even briefly. Once a newer era
        is known, a batch of an older one proves nothing, even if nothing of
        the newer era was read yet.
        """
        if batch.end.era < self._state.store_era.era:
            return True
        return self.place is not None and batch.end < self.place

    def record_outdated_copy(self, batch: topics.Batch) -> None:
        """Counts an outdated copy; logs the first of consecutive ones."""
        self._state.counters.dropped_copies.labels(self.name).inc()
        if self._was_copy_dropped:
            return
        self._was_copy_dropped = True
        self._state.log_change(
            "copy_dropped",
            topic=self.name,
            known=self.place.text if self.place else None,
            copied=batch.end.text,
        )

    @property
    def after_outage(self) -> float:
        """Seconds since the store became available again."""
        return self._state.clock() - self._regained_at

    def apply(self, update: Update) -> None:
        """Applies a batch that this host or another one has read.

        If the listener fails, the position and the age of the topic stay as
        they were, so that the batch is read again.
        """
        batch = update.batch
        known = self.replica.end
        if known is not None and batch.end.era > known.era:
            update = attrs.evolve(update, is_first_of_era=True)
        relevant = self._listener(update)
        self._was_copy_dropped = False
        self.current_at = max(self.current_at, update.current_at)
        self._end_outage(update.current_at)
        # An outage at the source also counts for hosts that copy from this
        # one.
        self._regained_at = max(
            self._regained_at, self._state.clock() - update.after_outage
        )
        self.place = batch.end
        self.replica.apply(attrs.evolve(batch, records=relevant))
        self._state.topics_read.add(self.name)
        self.loaded.set()

    def retain(self, record: topics.Record) -> None:
        """Applies a record that another host has kept from an older era.

        It does not prove when the topic was current.
        """
        if self.place is None:
            return
        batch = topics.Batch((record,), self.place)
        update = Update(batch, float("-inf"), float("inf"))
        self.replica.retain(self._listener(update))

    def _end_outage(self, current_at: float) -> None:
        """Ends the outage if a copy is newer than its start.

        If only this host's next own read, which may be much later, ended the
        outage, entries removed by then would be kept for the grace period of
        an outage.
        """
        if self._lost_at is not None and current_at > self._lost_at:
            self._lost_at = None

    def _record_failure(self, error: errors.HoistmoorError) -> None:
        self._gate.record_failure()
        if self._lost_at is None:
            self._lost_at = self._state.clock()
            self._state.log_change(
                "store_lost", topic=self.name, detail=error.problem
            )

    def _record_success(self) -> None:
        self._gate.record_success()
        if self._lost_at is None:
            return
        now = self._state.clock()
        outage = now - self._lost_at
        self._lost_at = None
        self._regained_at = now
        self._state.log_change(
            "store_regained", topic=self.name, away=round(outage, 3)
        )
