"""Takes the entries of backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.core import errors
from hoistmoor.core.relay.servers import fleet as fleet_lib
from hoistmoor.core.relay.servers import server as server_lib

if TYPE_CHECKING:
    from hoistmoor.core.relay.beliefs import topics
    from hoistmoor.relay import state as state_lib
    from hoistmoor.relay.store import follower
    from hoistmoor.relay.store import ports

MOST_NAMED = 20  # Servers that one line names.


class ServerListener:
    """Takes the entries of backend servers."""

    def __init__(self, state: state_lib.RelayState, codec: ports.Codec) -> None:
        self._state = state
        self._codec = codec
        # Keys whose newest record says nothing, with its place. What follows
        # there is news to others, who may have that record from here.
        self._silent: dict[str, topics.Place] = {}
        self._tells_starts = False  # Whether servers tell when they started.

    def __call__(self, update: follower.Update) -> tuple[topics.Record, ...]:
        """Takes one update; a mere heartbeat is no news to others."""
        batch = update.batch
        now = self._state.clock()
        # A server that lives is listed again by then. It is counted from the
        # store's return: an entry that goes later was taken away for good.
        doubt_ends = now - update.after_outage + fleet_lib.LAPSE_GRACE
        records = batch.records
        if update.is_return:
            records = self._drop_returned(batch)
        news = [record for record in records if self._take(record, doubt_ends)]
        if batch.is_snapshot:
            self._remove_unlisted(batch, doubt_ends)
            news = [
                record
                for record in batch.records
                if record.key not in self._silent
            ]
        for server_id in self._fleet.drop_lapsed(now):
            self._state.believe("server_gone", server=server_id, why="lapsed")
        return tuple(news)

    def _drop_returned(self, batch: topics.Batch) -> tuple[topics.Record, ...]:
        """Returns the records but for those an older copy brought back."""
        returned = {
            record.key: record.place
            for record in batch.records
            if self._is_returned(record)
        }
        if returned:
            self._state.believe(
                "servers_returned",
                servers=sorted(returned)[:MOST_NAMED],
                count=len(returned),
                place=batch.end.text,
            )
        self._silent |= returned
        return tuple(
            record for record in batch.records if record.key not in returned
        )

    def _is_returned(self, record: topics.Record) -> bool:
        if record.value is None:
            return False
        try:
            return self._fleet.is_returned(self._read(record))
        except errors.CodecError:
            return False  # Logged where it is taken.

    def _take(self, record: topics.Record, doubt_ends: float) -> bool:
        """Returns whether the record says something new."""
        if record.value is None:
            self._silent.pop(record.key, None)
            self._remove(record.key, doubt_ends)
            return True
        return self._put(record)

    @property
    def _fleet(self) -> fleet_lib.Fleet:
        return self._state.router.fleet

    def _put(self, record: topics.Record) -> bool:
        """Returns whether the record says something new."""
        try:
            entry = self._read(record)
        except errors.CodecError as error:
            # Another writer's: what the server itself has said still holds.
            if self._silent.get(record.key) != record.place:
                self._state.note_unreadable("server", record, error)
            self._silent[record.key] = record.place
            return False
        was_silent = self._silent.pop(record.key, None) is not None
        before = self._fleet.servers.get(entry.server_id)
        if not self._fleet.put(entry, self._state.clock()):
            return was_silent
        if before and before is not self._fleet.servers[entry.server_id]:
            self._state.server_beliefs.note_replaced(before)
        self._state.believe(
            "server",
            server=entry.server_id,
            born=entry.born,
            service=entry.service,
            version=entry.version,
            address=entry.address,
            leaving=entry.is_leaving,
            warm_in=entry.warm_in,
            place=record.place.text,
        )
        return True

    def _read(self, record: topics.Record) -> server_lib.ServerEntry:
        """Returns the entry that a record holds.

        Where servers tell when they started, all do.
        """
        entry = self._codec.server(record)
        if entry.born is not None and not self._tells_starts:
            self._tells_starts = True
            for each in self._fleet:
                if each.entry.born is None:
                    self._fleet.remove(each.entry.server_id)
        if entry.born is None and self._tells_starts:
            raise errors.CodecError(
                f"record {record.place.text} of {record.key} tells no start",
                "Look at the record in the store.",
            )
        return entry

    def _remove(self, server_id: str, doubt_ends: float) -> None:
        if self._state.clock() < doubt_ends:
            self._fleet.lapse(server_id, doubt_ends)
            return
        if self._fleet.remove(server_id):
            self._state.believe("server_gone", server=server_id, why="removed")

    def _remove_unlisted(self, batch: topics.Batch, doubt_ends: float) -> None:
        listed = {record.key for record in batch.records}
        for each in self._fleet:
            if each.entry.server_id not in listed:
                self._remove(each.entry.server_id, doubt_ends)
