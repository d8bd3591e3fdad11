"""Leave to run: the one place that the entry asks before it dispatches."""

from __future__ import annotations

import functools
import itertools
import time
from typing import TYPE_CHECKING

from hoistmoor.core.once import messages
from hoistmoor.core.once import permits
from hoistmoor.core.once import tickets as tickets_lib
from hoistmoor.core.once import view
from hoistmoor.entry import claim_shards
from hoistmoor.entry import claims
from hoistmoor.entry import tickets
from hoistmoor.utils import metrics as metrics_lib

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from hoistmoor.core import identity
    from hoistmoor.core import outcomes
    from hoistmoor.entry import log_port


class Once:
    """Lets each request run at most once.

    Attributes:
        claims: Callers' own keys.
        tickets: Tickets.
    """

    def __init__(
        self,
        log: log_port.Log,
        incarnation: identity.Incarnation,
        address: str,
        secrets: Sequence[bytes],
        is_alive: Callable[[identity.Incarnation], bool],
        metrics: metrics_lib.Metrics | None = None,
        clock: Callable[[], float] = time.time,
        window: float = view.DEFAULT_WINDOW_SECONDS,
        eldest: Callable[[], str] = lambda: "",
        shards: int = 1,
        live_hosts: Callable[[], Mapping[str, str]] = dict,
    ) -> None:
        """Starts nothing yet; see ``start``.

        Args:
            log: The log service.
            incarnation: This process.
            address: ``ip:port`` of this host's callers' interface.
            secrets: Sign tickets, the same at every host; the first signs,
                each is honoured.
            is_alive: Whether a process is thought to run still; doubt counts
                as alive.
            metrics: Where counts go.
            clock: Seconds since the epoch.
            window: Seconds that a caller's key is remembered. The log must
                keep its records for longer; see docs/design/at-most-once.md.
            eldest: Returns ``ip:port`` of the live host that runs longest, or
                nothing.
            shards: Streams that claims are spread over; the same at every
                host, and not to be changed while keys are remembered.
            live_hosts: Returns ``ip:port`` by name of the live hosts; needed
                with more than one shard.
        """
        self._metrics = metrics or metrics_lib.Metrics()
        self.claims = claim_shards.ClaimShards(
            functools.partial(
                claims.Claims,
                log,
                incarnation,
                address,
                is_alive,
                self._metrics,
                clock,
                window,
                eldest,
                itertools.count(1),
            ),
            incarnation.host,
            shards,
            live_hosts,
        )
        self.tickets = tickets.Tickets(
            incarnation, address, secrets, is_alive, clock
        )
        self._finish = {
            permits.PermitKind.NONE: _finish_nothing,
            permits.PermitKind.TICKET: self.tickets.finish,
            permits.PermitKind.CLAIM: self.claims.finish,
        }

    def start(self) -> None:
        """Starts the tasks that follow and write the claims stream."""
        self.claims.start()

    async def drain(
        self, timeout: float, hand_over: claims.HandOver | None = None
    ) -> int:
        """Writes what is left to the log, for a graceful stop.

        Args:
            timeout: Seconds.
            hand_over: ``Biller.hand_over``; used while the log is down.

        Returns:
            How many records are neither on the log nor with a peer.
        """
        return await self.claims.drain(timeout, hand_over)

    async def stop(self) -> None:
        """Ends the tasks; call ``drain`` first for a graceful stop."""
        await self.claims.stop()

    async def watch(self) -> None:
        """Raises what a task raised, once one has; else never returns.

        A host whose claims are not read or written must not run on.
        """
        await self.claims.watch()

    def issue_ticket(self, account: str) -> str:
        """Returns a new ticket for a client account."""
        self._metrics.count("once.ticket")
        return self.tickets.issue(account)

    async def begin(
        self,
        account: str,
        key: str | None,
        fingerprint: str,
        request_id: str,
        deadline: float,
        *,
        forwarded: bool = False,
    ) -> permits.BeginResult:
        """Returns whether a request may run here, and if not, what to tell.

        Whoever gets a permit must end it with ``finish``, also when the run
        fails or is cancelled.

        Args:
            account: The client account.
            key: Value of the Idempotency-Key header, if any.
            fingerprint: Digest of method, path and body.
            request_id: Names this attempt of the caller's.
            deadline: Seconds since the epoch.
            forwarded: Whether another host has sent the request here.
        """
        if not key:
            return permits.Permit(
                permits.PermitKind.NONE, account, "", request_id
            )
        if tickets_lib.is_ticket(key):
            result = await self.tickets.begin(
                account, key, fingerprint, deadline, forwarded
            )
        else:
            request = messages.KeyedRequest(
                account, key, fingerprint, request_id, forwarded
            )
            result = await self.claims.begin(request, deadline)
        if isinstance(result, permits.StoredAnswer):
            self._metrics.count("once.stored_answer")
        return result

    async def finish(
        self,
        permit: permits.Permit,
        outcome: outcomes.Outcome,
        answer: permits.StoredAnswer | None,
    ) -> None:
        """Records what became of a run and wakes duplicates that wait for it.

        Args:
            permit: What ``begin`` gave.
            outcome: What became of the run.
            answer: The whole answer where the outcome is ``done``.
        """
        self._finish[permit.kind](permit, outcome, answer)


def _finish_nothing(
    permit: permits.Permit,
    outcome: outcomes.Outcome,
    answer: permits.StoredAnswer | None,
) -> None:
    del permit, outcome, answer
