"""Takes what operators write: configurations, orders, evacuations."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.core import errors
from hoistmoor.core.relay.beliefs import evacuations

if TYPE_CHECKING:
    from hoistmoor.core.relay.beliefs import configuration
    from hoistmoor.core.relay.beliefs import topics
    from hoistmoor.relay import state as state_lib
    from hoistmoor.relay.store import follower
    from hoistmoor.relay.store import ports


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
        if update.is_return:
            self._state.router.rollouts.note_return(self._state.clock())
        kept = [each for each in update.batch.records if self._takes(each)]
        self._take_evacuations(update)
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

    def _take_evacuations(self, update: follower.Update) -> None:
        """Takes which failure domains are evacuated after an update."""
        batch = update.batch
        now = self._state.clock()
        words = [
            evacuations.ZoneWord(zone, record.value is not None, record.place)
            for record in batch.records
            if (zone := self._codec.evacuated_zone(record)) is not None
        ]
        if not self._evacuations.take(
            words,
            now,
            is_snapshot=batch.is_snapshot,
            is_return=update.is_return,
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
