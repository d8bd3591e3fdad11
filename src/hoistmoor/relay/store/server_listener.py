"""Applies the entries of backend servers."""

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

MAX_LOGGED_SERVERS = 20  # Servers that one log line names.


class ServerListener:
    """Applies the entries of backend servers to the fleet."""

    def __init__(self, state: state_lib.RelayState, codec: ports.Codec) -> None:
        self._state = state
        self._codec = codec
        # Keys whose newest record is unusable, with its position. The next
        # usable record is always passed on, since other hosts may have copied
        # the unusable one from this host.
        self._unusable: dict[str, topics.Place] = {}
        # Services whose servers' entries have start times.
        self._dated_services: set[str] = set()

    def __call__(self, update: follower.Update) -> tuple[topics.Record, ...]:
        """Applies one update; heartbeats without changes are not passed on."""
        batch = update.batch
        now = self._state.clock()
        # A running server is listed again by this time. The grace period
        # starts when the store becomes available again: a later removal is
        # final.
        grace_ends = now - update.after_outage + fleet_lib.EXPIRY_GRACE_PERIOD
        records = batch.records
        if update.is_first_of_era:
            records = self._without_reverted(batch)
        relevant = [
            record for record in records if self._apply(record, grace_ends)
        ]
        if batch.is_snapshot:
            self._remove_unlisted(batch, grace_ends)
            relevant = [
                record
                for record in batch.records
                if record.key not in self._unusable
            ]
        for server_id in self._fleet.remove_expired(now):
            self._state.log_change(
                "server_gone", server=server_id, why="lapsed"
            )
        return tuple(relevant)

    def _without_reverted(
        self, batch: topics.Batch
    ) -> tuple[topics.Record, ...]:
        """Returns the records except those reverted by a restored store."""
        reverted = {
            record.key: record.place
            for record in batch.records
            if self._is_reverted(record)
        }
        if reverted:
            self._state.log_change(
                "servers_returned",
                servers=sorted(reverted)[:MAX_LOGGED_SERVERS],
                count=len(reverted),
                place=batch.end.text,
            )
        self._unusable |= reverted
        return tuple(
            record for record in batch.records if record.key not in reverted
        )

    def _is_reverted(self, record: topics.Record) -> bool:
        if record.value is None:
            return False
        try:
            return self._fleet.is_outdated(self._decode(record))
        except errors.CodecError:
            return False  # ``_put`` logs the error.

    def _apply(self, record: topics.Record, grace_ends: float) -> bool:
        """Applies a record; returns whether it changed anything."""
        if record.value is None:
            self._unusable.pop(record.key, None)
            self._remove(record.key, grace_ends)
            return True
        return self._put(record)

    @property
    def _fleet(self) -> fleet_lib.Fleet:
        return self._state.router.fleet

    def _put(self, record: topics.Record) -> bool:
        """Adds or updates an entry; returns whether it changed anything."""
        try:
            entry = self._decode(record)
        except errors.CodecError as error:
            # Written by another program: the server's last valid entry still
            # holds.
            if self._unusable.get(record.key) != record.place:
                self._state.log_unreadable_record("server", record, error)
            self._unusable[record.key] = record.place
            return False
        was_unusable = self._unusable.pop(record.key, None) is not None
        before = self._fleet.servers.get(entry.server_id)
        if not self._fleet.put(entry, self._state.clock()):
            return was_unusable
        if before and before is not self._fleet.servers[entry.server_id]:
            self._state.report_tracker.record_replacement(before)
        self._state.log_change(
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

    def _decode(self, record: topics.Record) -> server_lib.ServerEntry:
        """Returns the entry in a record.

        Once the entry of one server of a service has a start time, entries for
        the service without one are rejected, and those that were accepted
        before are removed. Other services' servers may report none.

        Raises:
            CodecError: The record is not an entry, or lacks a start time.
        """
        entry = self._codec.server(record)
        is_dated = entry.service in self._dated_services
        if entry.born is not None and not is_dated:
            self._dated_services.add(entry.service)
            self._remove_undated(entry.service)
        if entry.born is None and is_dated:
            raise errors.CodecError(
                f"record {record.place.text} of {record.key} has no start time",
                "Inspect the record in the store.",
            )
        return entry

    def _remove_undated(self, service: str) -> None:
        """Removes the servers of a service without a start time."""
        for each in self._fleet:
            if each.entry.born is None and each.entry.service == service:
                self._fleet.remove(each.entry.server_id)

    def _remove(self, server_id: str, grace_ends: float) -> None:
        if self._state.clock() < grace_ends:
            self._fleet.schedule_expiry(server_id, grace_ends)
            return
        if self._fleet.remove(server_id):
            self._state.log_change(
                "server_gone", server=server_id, why="removed"
            )

    def _remove_unlisted(self, batch: topics.Batch, grace_ends: float) -> None:
        listed = {record.key for record in batch.records}
        for each in self._fleet:
            if each.entry.server_id not in listed:
                self._remove(each.entry.server_id, grace_ends)
