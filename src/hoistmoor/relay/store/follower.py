"""Follows one keyed topic: a snapshot first, then each change."""

from __future__ import annotations

import asyncio
from typing import Protocol, TYPE_CHECKING

import attrs

from hoistmoor.core import errors
from hoistmoor.core.relay.beliefs import mirror as mirror_lib
from hoistmoor.core.relay.beliefs import topics
from hoistmoor.relay.store import store_gate

if TYPE_CHECKING:
    from hoistmoor.relay import state as state_lib
    from hoistmoor.relay.store import ports


@attrs.frozen
class Update:
    """A batch, and what is known of the way it came.

    Attributes:
        batch: The records.
        current_at: Steady time at which the store certainly had nothing
            newer: when the read was sent or, if the store held it back in
            vain, the end of the wait that was asked for.
        after_outage: Seconds since the store was heard again; infinite if it
            has not been away.
        is_return: Whether it is the first of a newer history of the store,
            for a listener that has heard of an older one.
    """

    batch: topics.Batch
    current_at: float
    after_outage: float
    is_return: bool = False


class Listener(Protocol):
    """Takes what was read."""

    def __call__(self, update: Update) -> tuple[topics.Record, ...]:
        """Takes one update; returns the records that others should have.

        Of a snapshot these are all that say anything, of changes the news.
        """


class TopicFollower:
    """Reads a topic for ever, and tells a listener.

    Attributes:
        name: Of the topic, in log lines.
        place: Where it reads on; None before a snapshot.
        current_at: Steady time at which it was last known to be current.
        mirror: The topic as this host knows it.
        direct: Set while this host reads the store itself.
        known: Set once it was read, here or by another host.
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
        is_held: bool = True,
        yields: bool = False,
    ) -> None:
        """Makes a follower.

        Args:
            state: What the relay knows.
            name: Of the topic, in log lines.
            topic: What to read.
            listener: Told of each batch, the empty ones too.
            wait: Seconds for which the store may hold a read back.
            pause: Seconds between two reads; more records come in one then.
            gate: Holds reads back while the store is away.
            is_probe: Whether this topic shows that the store is back, and is
                to be proved current all the time.
            is_held: Whether it is read only once the store was heard.
            yields: Whether it is read only while ``direct`` is set: another
                host may read for this one.
        """
        self.name = name
        self.place: topics.Place | None = None
        self.current_at = float("-inf")
        self.mirror = mirror_lib.TopicMirror()
        self.direct = asyncio.Event()
        self.known = asyncio.Event()
        if not yields:
            self.direct.set()
        self._state = state
        self._topic = topic
        self._listener = listener
        self._wait = wait
        self._pause = pause
        self._gate = gate
        self._is_probe = is_probe
        self._is_held = is_held and not is_probe
        self._is_unproved = False
        self._drops = False  # Whether the last copy was dropped.
        self._held: asyncio.Future[topics.Batch] | None = None
        self._lost_at: float | None = None
        self._regained_at = float("-inf")
        state.history.observers.append(self._note_era)

    async def run(self) -> None:
        """Reads until cancelled."""
        while True:
            await self.direct.wait()
            if self._is_held:
                await self._gate.wait_until_heard()
            if not self.direct.is_set():
                continue  # Another host has read for this one meanwhile.
            # After the first try the operators' topic shows whether the store
            # is there.
            self._is_held = not self._is_probe
            try:
                await self.read_once()
            except errors.LogHistoryChangedError:
                continue  # A snapshot follows: the place is of another history.
            except errors.LogOffsetExpiredError as error:
                self._state.believe(
                    "topic_expired", topic=self.name, detail=error.problem
                )
                self.place = None
            except errors.HoistmoorError as error:
                self._note_lost(error)
                await self._hold_back()
            else:
                await asyncio.sleep(self._pause)

    def age(self) -> float:
        """Returns the seconds since the topic was known to be current."""
        return self._state.clock() - self.current_at

    def read_directly(self) -> None:
        """Has this host read the store itself, the first time at once."""
        if not self.direct.is_set():
            self._is_unproved = True
            self.direct.set()

    async def _hold_back(self) -> None:
        if self._is_probe:
            await self._gate.back_off()
        else:
            await asyncio.sleep(store_gate.PAUSE)

    async def read_once(self) -> None:
        """Reads one batch and tells the listener."""
        sent_at = self._state.clock()
        wait = 0.0 if self._is_urgent else self._wait
        known = self.place
        if known is None or known.era < self._state.history.era:
            batch = await self._topic.newest()
        else:
            batch = await self._read_changes(known, wait)
        self._note_heard()
        # Another host's copy may have come meanwhile, with more.
        if self.is_ahead_of(batch):
            return
        current_at = sent_at
        was_held = self._state.clock() - sent_at >= wait
        if was_held and not batch.records and not batch.is_snapshot:
            current_at += wait
        self._is_unproved = bool(batch.records) and not batch.is_snapshot
        self.take(Update(batch, current_at, self.after_outage))

    async def _read_changes(
        self, place: topics.Place, wait: float
    ) -> topics.Batch:
        """Returns the records from a place on.

        Raises:
            LogHistoryChangedError: A new history was heard of meanwhile; the
                store may hold the read back though it has other records now.
        """
        self._held = asyncio.ensure_future(self._topic.changes(place, wait))
        try:
            await asyncio.wait({self._held})
            if not self._held.cancelled():
                return self._held.result()
        finally:
            self._held.cancel()
            self._held = None
        raise errors.LogHistoryChangedError(
            self.name, place.era, self._state.history.era
        )

    def _note_era(self, before: int, era: int, told_by: str) -> None:
        """Ends a read in an older history; what it lacks gets time to return.

        The read whose own answer tells of the history ends by itself.
        """
        if self.place is not None:
            self._regained_at = self._state.clock()
        if self._held is not None and self._held is not asyncio.current_task():
            self._held.cancel()

    @property
    def _is_urgent(self) -> bool:
        """Whether the next read should be answered at once.

        A store that may be away shows its return so. And a read that ended
        with news proves no more than when it was sent: the next one proves
        the news current without a wait.
        """
        return self._lost_at is not None or (
            self._is_probe and self._is_unproved
        )

    def is_ahead_of(self, batch: topics.Batch) -> bool:
        """Returns whether more than a batch is known here.

        Older news must not undo it, not even for a moment. Where a newer
        history is known, though nothing of it was read, a batch of an older
        one proves nothing.
        """
        if batch.end.era < self._state.history.era:
            return True
        return self.place is not None and batch.end < self.place

    def note_dropped(self, batch: topics.Batch) -> None:
        """Counts a copy that is not taken; logs the first in a row."""
        self._state.counters.dropped_copies.labels(self.name).inc()
        if self._drops:
            return
        self._drops = True
        self._state.believe(
            "copy_dropped",
            topic=self.name,
            known=self.place.text if self.place else None,
            copied=batch.end.text,
        )

    @property
    def after_outage(self) -> float:
        """Seconds since the store was heard again."""
        return self._state.clock() - self._regained_at

    def take(self, update: Update) -> None:
        """Takes what was read, here or by another host, and tells of it."""
        batch = update.batch
        self._drops = False
        self.current_at = max(self.current_at, update.current_at)
        self._end_outage(update.current_at)
        # An outage at the source is one for those that ask this host, too.
        self._regained_at = max(
            self._regained_at, self._state.clock() - update.after_outage
        )
        self.place = batch.end
        known = self.mirror.end
        if known is not None and batch.end.era > known.era:
            update = attrs.evolve(update, is_return=True)
        kept = self._listener(update)
        self.mirror.take(attrs.evolve(batch, records=kept))
        self._state.topics_read.add(self.name)
        self.known.set()

    def hold(self, record: topics.Record) -> None:
        """Takes a record that another host has from an older history.

        It proves nothing of the time at which it was current.
        """
        if self.place is None:
            return
        batch = topics.Batch((record,), self.place)
        update = Update(batch, float("-inf"), float("inf"))
        self.mirror.hold(self._listener(update))

    def _end_outage(self, current_at: float) -> None:
        """Ends an outage that another host has seen the end of.

        Were it to end with the next read of this host's own, which may be
        much later, entries that go then would be kept in doubt.
        """
        if self._lost_at is not None and current_at > self._lost_at:
            self._lost_at = None

    def _note_lost(self, error: errors.HoistmoorError) -> None:
        self._gate.note_lost()
        if self._lost_at is None:
            self._lost_at = self._state.clock()
            self._state.believe(
                "store_lost", topic=self.name, detail=error.problem
            )

    def _note_heard(self) -> None:
        self._gate.note_heard()
        if self._lost_at is None:
            return
        now = self._state.clock()
        away = now - self._lost_at
        self._lost_at = None
        self._regained_at = now
        self._state.believe(
            "store_regained", topic=self.name, away=round(away, 3)
        )
