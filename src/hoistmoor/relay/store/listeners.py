"""Takes what the platform's topics say into what the relay knows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.core import errors
from hoistmoor.core.relay.beliefs import evacuations
from hoistmoor.core.relay.beliefs import history as history_lib
from hoistmoor.core.relay.servers import fleet as fleet_lib
from hoistmoor.core.relay.servers import server as server_lib
from hoistmoor.core.relay.versions import evidence as evidence_lib
from hoistmoor.core.relay.versions import phases
from hoistmoor.relay.versions import rollout_codec

if TYPE_CHECKING:
    from hoistmoor.core.relay.beliefs import configuration
    from hoistmoor.core.relay.beliefs import topics
    from hoistmoor.relay import state as state_lib
    from hoistmoor.relay.store import follower
    from hoistmoor.relay.store import ports

MOST_NAMED = 20  # Keys that one line names.


class OperatorListener:
    """Takes configurations, roll-out orders and evacuations."""

    def __init__(self, state: state_lib.RelayState, codec: ports.Codec) -> None:
        self._state = state
        self._codec = codec
        self._evacuations = evacuations.Evacuations()

    def __call__(self, update: follower.Update) -> tuple[topics.Record, ...]:
        """Takes one update; each proves the configuration current.

        Others should have no older configuration than this host, and its own
        where a snapshot has an older one.
        """
        kept = [each for each in update.batch.records if self._takes(each)]
        self._take_evacuations(update.batch)
        held = self._state.configuration_record
        if update.batch.is_snapshot and held is not None and held not in kept:
            self._state.believe(
                "configuration_held", revision=self._state.revision
            )
            kept.append(held)
        is_proof = update.current_at > float("-inf")
        if is_proof and self._state.configuration is not None:
            self._state.lease.prove(update.current_at)
        return tuple(kept)

    def _takes(self, record: topics.Record) -> bool:
        """Takes a record; returns whether others should have it."""
        try:
            return self._take(record)
        except errors.CodecError as error:
            self._state.note_unreadable("operator", record, error)
            return True

    def _take_evacuations(self, batch: topics.Batch) -> None:
        """Takes which failure domains are evacuated after a batch."""
        now = self._state.clock()
        words = [
            evacuations.ZoneWord(zone, record.value is not None, record.place)
            for record in batch.records
            if (zone := self._codec.evacuated_zone(record)) is not None
        ]
        if not self._evacuations.take(
            words, batch.end, now, is_snapshot=batch.is_snapshot
        ):
            return
        zones = self._evacuations.zones
        self._state.router.fleet.evacuate(zones, now)
        self._state.believe(
            "evacuated", zones=sorted(zones), place=batch.end.text
        )

    def _take(self, record: topics.Record) -> bool:
        """Takes a record; returns whether others should have it."""
        if record.value is None:
            return True
        found = self._codec.configuration(record)
        if found is not None:
            return self._take_configuration(found, record)
        order = self._codec.order(record)
        if order is None:
            return True
        if self._state.router.rollouts.take_order(order, self._state.clock()):
            self._state.believe(
                "rollout_ordered",
                service=order.service,
                target=order.target,
                number=order.number,
                duration=order.duration,
            )
        return True

    def _take_configuration(
        self, found: configuration.Configuration, record: topics.Record
    ) -> bool:
        """Takes a configuration unless a newer one is known.

        A store that comes back from an older copy must not bring back what
        was replaced.
        """
        known = self._state.configuration
        if known is not None and found.revision < known.revision:
            return False
        self._state.configuration_record = record
        if known is not None and found.revision == known.revision:
            return True
        self._state.configuration = found
        self._state.router.fleet.warmups.take_services(found.services)
        self._state.believe(
            "configuration",
            revision=found.revision,
            before=known.revision if known else None,
            routes=len(found.routes),
        )
        return True


class ServerListener:
    """Takes the entries of backend servers."""

    def __init__(self, state: state_lib.RelayState, codec: ports.Codec) -> None:
        self._state = state
        self._codec = codec
        # Keys whose newest record says nothing, with its place. What follows
        # there is news to others, who may have that record from here.
        self._silent: dict[str, topics.Place] = {}
        self._tells_starts = False  # Whether servers tell when they started.
        self._era = history_lib.UNNAMED
        self._returned: set[str] = set()  # Whose entries tell nothing new.

    def __call__(self, update: follower.Update) -> tuple[topics.Record, ...]:
        """Takes one update; a mere heartbeat is no news to others."""
        batch = update.batch
        now = self._state.clock()
        # A server that lives is listed again by then. It is counted from the
        # store's return: an entry that goes later was taken away for good.
        doubt_ends = now - update.after_outage + fleet_lib.LAPSE_GRACE
        news = [
            record for record in batch.records if self._take(record, doubt_ends)
        ]
        if batch.is_snapshot:
            self._remove_unlisted(batch, doubt_ends)
            news = [
                record
                for record in batch.records
                if record.key not in self._silent
            ]
        self._note_returned(batch)
        for server_id in self._fleet.drop_lapsed(now):
            self._state.believe("server_gone", server=server_id, why="lapsed")
        return tuple(news)

    def _note_returned(self, batch: topics.Batch) -> None:
        """Logs which servers a newer history has as they were before."""
        self._era = batch.end.era
        if self._returned:
            self._state.believe(
                "servers_returned",
                servers=sorted(self._returned)[:MOST_NAMED],
                count=len(self._returned),
                place=batch.end.text,
            )
        self._returned = set()

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
        is_snapshot_of_newer = record.place.era > self._era
        if is_snapshot_of_newer and self._fleet.is_returned(entry):
            self._returned.add(record.key)
            self._silent[record.key] = record.place
            return False
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


class PhaseListener:
    """Takes the phases of roll-outs.

    Attributes:
        stored: As the store's newest history has them, by service and target.
    """

    def __init__(self, state: state_lib.RelayState) -> None:
        self.stored: dict[tuple[str, str], phases.PhaseRecord] = {}
        self._state = state

    def __call__(self, update: follower.Update) -> tuple[topics.Record, ...]:
        """Takes one update."""
        if update.batch.is_snapshot:
            self.stored = {}
        for record in update.batch.records:
            if record.value is None:
                continue
            try:
                phase = rollout_codec.decode_phase(record.value)
            except ValueError as error:
                self._state.note_unreadable("phase", record, error)
                continue
            self.stored[phase.service, phase.target] = phase
            if self._state.router.rollouts.take_phase(phase):
                self._state.believe(
                    "rollout_phase",
                    service=phase.service,
                    target=phase.target,
                    number=phase.number,
                    phase=phase.phase.value,
                    place=record.place.text,
                )
        return update.batch.records


class EvidenceListener:
    """Takes the counts that hosts which read the store have written.

    Attributes:
        book: Counts of all hosts.
    """

    def __init__(self, state: state_lib.RelayState) -> None:
        self.book = evidence_lib.EvidenceBook()
        self._state = state
        self._heard: dict[str, float] = {}

    def __call__(self, update: follower.Update) -> tuple[topics.Record, ...]:
        """Takes one update."""
        for record in update.batch.records:
            if record.value is None:
                continue
            try:
                report = rollout_codec.decode_report(record.value)
            except ValueError as error:
                self._state.note_unreadable("evidence", record, error)
                continue
            self._heard[report.run_name] = self._state.clock()
            for evidence in report.evidence:
                self.book.take(evidence)
        return ()

    def live_writers(self) -> list[str]:
        """Returns the runs of hosts that have lately written counts."""
        now = self._state.clock()
        return [
            run_name
            for run_name, at in self._heard.items()
            if now - at < phases.ACTOR_LIFE
        ]
