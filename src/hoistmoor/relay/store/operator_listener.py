"""Applies operators' records: configurations, rollout orders, evacuations."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistmoor.core import errors
from hoistmoor.core.relay.accounts import policy
from hoistmoor.core.relay.beliefs import evacuations

if TYPE_CHECKING:
    from hoistmoor.core.relay.beliefs import configuration
    from hoistmoor.core.relay.beliefs import topics
    from hoistmoor.relay import state as state_lib
    from hoistmoor.relay.store import follower
    from hoistmoor.relay.store import ports


class OperatorListener:
    """Applies configurations, rollout orders and evacuations."""

    def __init__(self, state: state_lib.RelayState, codec: ports.Codec) -> None:
        self._state = state
        self._codec = codec
        self._evacuations = evacuations.Evacuations()

    def __call__(self, update: follower.Update) -> tuple[topics.Record, ...]:
        """Applies one update; each one renews the configuration's lease.

        Older configurations are not passed on to other hosts. If a snapshot
        has only an older one, the record in use here is passed on instead.
        """
        if update.is_first_of_era:
            self._state.router.rollouts.record_restore(self._state.clock())
        relevant = [
            each for each in update.batch.records if self._try_apply(each)
        ]
        self._apply_evacuations(update)
        held = self._state.configuration_record
        if (
            update.batch.is_snapshot
            and held is not None
            and held not in relevant
        ):
            self._state.log_change(
                "configuration_held", revision=self._state.revision
            )
            relevant.append(held)
        is_proof = update.current_at > float("-inf")
        if is_proof and self._state.configuration is not None:
            self._state.lease.renew(update.current_at)
        return tuple(relevant)

    def _try_apply(self, record: topics.Record) -> bool:
        """Applies a record if it can be decoded; logs it otherwise.

        Returns:
            Whether to pass the record on to other hosts.
        """
        try:
            return self._apply(record)
        except errors.CodecError as error:
            self._state.log_unreadable_record("operator", record, error)
            return True

    def _apply_evacuations(self, update: follower.Update) -> None:
        """Updates the set of evacuated failure domains."""
        batch = update.batch
        now = self._state.clock()
        changes = [
            evacuations.EvacuationRecord(
                zone, record.value is not None, record.place
            )
            for record in batch.records
            if (zone := self._codec.evacuated_zone(record)) is not None
        ]
        if not self._evacuations.apply(
            changes,
            now,
            is_snapshot=batch.is_snapshot,
            is_return=update.is_first_of_era,
        ):
            return
        zones = self._evacuations.zones
        self._state.router.fleet.evacuate(zones, now)
        self._state.log_change(
            "evacuated", zones=sorted(zones), place=batch.end.text
        )

    def _apply(self, record: topics.Record) -> bool:
        """Applies a record; returns whether to pass it on to other hosts."""
        if record.value is None:
            return True
        decoded = self._codec.configuration(record)
        if decoded is not None:
            return self._take_configuration(decoded, record)
        order = self._codec.order(record)
        if order is None:
            return True
        if self._state.router.rollouts.apply_order(order, self._state.clock()):
            self._state.log_change(
                "rollout_ordered",
                service=order.service,
                target=order.target,
                number=order.number,
                duration=order.duration,
            )
        return True

    def _take_configuration(
        self, candidate: configuration.Configuration, record: topics.Record
    ) -> bool:
        """Applies a configuration unless a newer one is in use.

        A store that was restored from an older copy must not bring back a
        configuration that was replaced.

        Returns:
            Whether to pass the record on to other hosts.
        """
        known = self._state.configuration
        if known is not None and candidate.revision < known.revision:
            return False
        self._state.configuration_record = record
        if known is not None and candidate.revision == known.revision:
            return True
        self._state.configuration = candidate
        self._state.router.accounts.policy = policy.policy_of(candidate)
        self._state.router.set_services(candidate.services, candidate.routes)
        self._state.log_change(
            "configuration",
            revision=candidate.revision,
            before=known.revision if known else None,
            routes=len(candidate.routes),
        )
        return True
