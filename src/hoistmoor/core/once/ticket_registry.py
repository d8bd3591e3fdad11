"""Issued tickets of one process, and the state of the used ones.

Only used tickets take memory, and only until they expire. At capacity, further
tickets are refused, because forgetting a used one would let it run again.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core import identity
from hoistmoor.core import outcomes
from hoistmoor.core import refusals
from hoistmoor.core.once import answers
from hoistmoor.core.once import permits
from hoistmoor.core.once import replies
from hoistmoor.core.once import tickets

if TYPE_CHECKING:
    from collections.abc import Sequence

DEFAULT_TTL = 900.0  # Seconds.
DEFAULT_CAPACITY = 50_000  # Used tickets.


@attrs.frozen
class Running:
    """The ticket is in use; the request must ask again when its run ends."""

    permit_id: str


@attrs.define
class _TicketUse:
    fingerprint: str
    expires_at: float
    outcome: outcomes.Outcome | None = None  # None while it runs.


TicketResult = permits.BeginResult | Running


class TicketRegistry:
    """Issues tickets and lets each of them run at most once.

    Attributes:
        incarnation: Incarnation of this process.
        address: ``ip:port`` of the interface for callers on this host.
        lifetime: Seconds for which a ticket is valid.
        capacity: Maximum number of used tickets to remember.
        answers: In-memory cache of answers.
    """

    def __init__(
        self,
        incarnation: identity.Incarnation,
        address: str,
        secrets: Sequence[bytes],
        lifetime: float = DEFAULT_TTL,
        capacity: int = DEFAULT_CAPACITY,
    ) -> None:
        self.incarnation = incarnation
        self.address = address
        self.lifetime = lifetime
        self.capacity = capacity
        self.answers = answers.AnswerCache()
        self._secrets = tuple(secrets)
        self._serial = 0
        # All tickets have the same lifetime, so they expire in the order of
        # their serials. Expired uses are dropped when the next run starts.
        self._uses: collections.OrderedDict[int, _TicketUse] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Returns the number of remembered used tickets."""
        return len(self._uses)

    def issue(self, account: str, now: float) -> str:
        """Issues a new ticket to a client account."""
        self._serial += 1
        ticket = tickets.Ticket(
            self.incarnation,
            self.address,
            self._serial,
            account,
            now + self.lifetime,
        )
        return tickets.sign(ticket, self._secrets)

    def read(self, text: str, account: str) -> tickets.Ticket | None:
        """Returns the ticket if it is valid and was issued to ``account``."""
        try:
            ticket = tickets.verify(text, self._secrets)
        except ValueError:
            return None
        return ticket if ticket.account == account else None

    def begin(
        self, ticket: tickets.Ticket, text: str, fingerprint: str, now: float
    ) -> TicketResult:
        """Returns whether a ticket of this process may run now.

        Args:
            ticket: A ticket from ``read``, issued by this incarnation.
            text: The ticket as the caller sent it.
            fingerprint: Digest of the request.
            now: Seconds since the epoch.
        """
        use = self._uses.get(ticket.serial)
        if use is not None:
            if use.fingerprint != fingerprint and _may_have_run(use):
                return replies.reused(use.outcome or outcomes.Outcome.UNKNOWN)
            result = self._result_of_use(ticket, use)
            if result is not None:
                return result
        if now >= ticket.expires_at:
            return replies.ticket_expired(_outcome_when_expired(use))
        return self._start(ticket, text, fingerprint, now)

    def finish(
        self,
        permit: permits.Permit,
        outcome: outcomes.Outcome,
        answer: permits.StoredAnswer | None,
    ) -> None:
        """Records the outcome of a run; ``not_run`` frees the ticket."""
        use = self._uses[_serial(permit.id)]
        use.outcome = outcome
        if answer is not None:
            self.answers.put(permit.id, answer)

    def _result_of_use(
        self, ticket: tickets.Ticket, use: _TicketUse
    ) -> TicketResult | None:
        permit_id = self._permit_id(ticket)
        if use.outcome is None:
            return Running(permit_id)
        if use.outcome is outcomes.Outcome.NOT_RUN:
            return None
        if use.outcome is outcomes.Outcome.UNKNOWN:
            return replies.outcome_unknown("the run of this ticket was cut off")
        return self.answers.get(permit_id) or replies.answer_not_kept()

    def _start(
        self, ticket: tickets.Ticket, text: str, fingerprint: str, now: float
    ) -> permits.Permit | refusals.Refusal:
        self._drop_expired(now)
        if len(self._uses) >= self.capacity and ticket.serial not in self._uses:
            return replies.ticket_capacity_reached()
        self._uses[ticket.serial] = _TicketUse(fingerprint, ticket.expires_at)
        return permits.Permit(
            permits.PermitKind.TICKET,
            ticket.account,
            text,
            self._permit_id(ticket),
        )

    def _drop_expired(self, now: float) -> None:
        while self._uses:
            serial, use = next(iter(self._uses.items()))
            if use.outcome is None or now < use.expires_at:
                return
            del self._uses[serial]

    def _permit_id(self, ticket: tickets.Ticket) -> str:
        return f"{self.incarnation}.t{ticket.serial:x}"


def _may_have_run(use: _TicketUse) -> bool:
    return use.outcome is not outcomes.Outcome.NOT_RUN


def _outcome_when_expired(use: _TicketUse | None) -> outcomes.Outcome:
    # The use of an expired ticket may have been dropped.
    if use is None or use.outcome is None:
        return outcomes.Outcome.UNKNOWN
    return use.outcome


def _serial(permit_id: str) -> int:
    return int(permit_id.rpartition(".t")[2], 16)
