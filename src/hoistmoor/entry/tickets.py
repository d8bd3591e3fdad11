"""Tickets at one host; tickets of other hosts are forwarded to the issuer."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from hoistmoor.core.once import permits
from hoistmoor.core.once import replies
from hoistmoor.core.once import ticket_registry
from hoistmoor.core.once import tickets

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from hoistmoor.core import identity
    from hoistmoor.core import outcomes


class Tickets:
    """Issues tickets and ensures that each runs at most once.

    Attributes:
        registry: The state machine that makes the decisions.
    """

    def __init__(
        self,
        incarnation: identity.Incarnation,
        address: str,
        secrets: Sequence[bytes],
        is_alive: Callable[[identity.Incarnation], bool],
        clock: Callable[[], float] = time.time,
    ) -> None:
        self.registry = ticket_registry.TicketRegistry(
            incarnation, address, secrets
        )
        self._is_alive = is_alive
        self._clock = clock
        self._finished: dict[str, asyncio.Event] = {}

    def issue(self, account: str) -> str:
        """Returns a new ticket for a client account."""
        return self.registry.issue(account, self._clock())

    async def begin(
        self,
        account: str,
        text: str,
        fingerprint: str,
        deadline: float,
        forwarded: bool,
    ) -> permits.BeginResult:
        """Returns whether a request with a ticket may run here.

        Args:
            account: The client account.
            text: The ticket as the caller sent it.
            fingerprint: Digest of the request.
            deadline: Seconds since the epoch.
            forwarded: Whether another host forwarded the request.
        """
        ticket = self.registry.read(text, account)
        if ticket is None:
            return replies.ticket_invalid("the ticket is not valid here")
        if ticket.incarnation != self.registry.incarnation:
            return self._forward_to_issuer(ticket, forwarded)
        while True:
            result = self.registry.begin(
                ticket, text, fingerprint, self._clock()
            )
            if not isinstance(result, ticket_registry.Running):
                return result
            if not await self._wait(result.permit_id, deadline):
                return replies.in_progress("the run of this ticket goes on")

    def finish(
        self,
        permit: permits.Permit,
        outcome: outcomes.Outcome,
        answer: permits.StoredAnswer | None,
    ) -> None:
        """Records the outcome of a run and wakes its duplicates."""
        self.registry.finish(permit, outcome, answer)
        event = self._finished.pop(permit.id, None)
        if event is not None:
            event.set()

    def _forward_to_issuer(
        self, ticket: tickets.Ticket, forwarded: bool
    ) -> permits.BeginResult:
        if forwarded or not self._is_alive(ticket.incarnation):
            return replies.ticket_issuer_gone(ticket.incarnation.host)
        return permits.ForwardTo(ticket.address)

    async def _wait(self, permit_id: str, deadline: float) -> bool:
        event = self._finished.setdefault(permit_id, asyncio.Event())
        try:
            async with asyncio.timeout(max(deadline - self._clock(), 0.0)):
                await event.wait()
        except TimeoutError:
            return False
        return True
