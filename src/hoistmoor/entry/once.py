"""At-most-once execution: the check that precedes each dispatch."""

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
    from hoistmoor.entry import log_interface


class AtMostOnceGuard:
    """Ensures that each request runs at most once.

    Attributes:
        claims: Handles idempotency keys that callers chose.
        tickets: Handles tickets.
    """

    def __init__(
        self,
        log: log_interface.Log,
        incarnation: identity.Incarnation,
        address: str,
        secrets: Sequence[bytes],
        is_alive: Callable[[identity.Incarnation], bool],
        metrics: metrics_lib.Metrics | None = None,
        clock: Callable[[], float] = time.time,
        window: float = view.DEFAULT_WINDOW_SECONDS,
        eldest: Callable[[], str] = lambda: "",
        shard_count: int = 1,
        live_hosts: Callable[[], Mapping[str, str]] = dict,
    ) -> None:
        """Creates the check; ``start`` starts its tasks.

        Args:
            log: The log service.
            incarnation: This process.
            address: ``ip:port`` of this host's API for callers.
            secrets: Keys to sign tickets, the same at every host. The first
                one signs; signatures of any of them are accepted.
            is_alive: Returns whether a process may be running; doubt counts
                as alive.
            metrics: Receives the counters.
            clock: Returns seconds since the epoch.
            window: Seconds that a caller's key is remembered. The log must
                retain its records for longer; see
                docs/design/at-most-once.md.
            eldest: Returns ``ip:port`` of the live host with the longest
                uptime, or an empty string.
            shard_count: Number of streams that claims are distributed over. It
                is the same at every host, and must not change while keys are
                remembered.
            live_hosts: Returns the ``ip:port`` of each live host by its name;
                required with more than one shard.
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
            shard_count,
            live_hosts,
        )
        self.tickets = tickets.Tickets(
            incarnation, address, secrets, is_alive, clock
        )
        self._finish_by_kind = {
            permits.PermitKind.NONE: _ignore_finish,
            permits.PermitKind.TICKET: self.tickets.finish,
            permits.PermitKind.CLAIM: self.claims.finish,
        }

    def start(self) -> None:
        """Starts the tasks that read and write the claims streams."""
        self.claims.start()

    async def drain(
        self, timeout: float, hand_over: claims.HandOver | None = None
    ) -> int:
        """Writes all pending records to the log before a graceful stop.

        Args:
            timeout: Seconds to wait.
            hand_over: ``Biller.hand_over``; used while the log is unavailable.

        Returns:
            The number of records that are neither on the log nor at a peer.
        """
        return await self.claims.drain(timeout, hand_over)

    async def stop(self) -> None:
        """Cancels the tasks; call ``drain`` first for a graceful stop."""
        await self.claims.stop()

    async def watch(self) -> None:
        """Waits until a task fails, and raises its exception.

        A host that cannot read or write claims must stop.
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
        """Returns a permit if a request may run here, else how to respond.

        Every permit must be passed to ``finish``, also when the run fails or
        is cancelled.

        Args:
            account: The client account.
            key: Value of the Idempotency-Key header, if any.
            fingerprint: Digest of method, path and body.
            request_id: Identifies this request of the caller, as opposed to
                others with the same key.
            deadline: Seconds since the epoch.
            forwarded: Whether another host forwarded the request.
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
        """Records the outcome of a run and wakes duplicates that wait for it.

        Args:
            permit: The permit that ``begin`` returned.
            outcome: The outcome of the run.
            answer: The complete response if the outcome is ``done``.
        """
        self._finish_by_kind[permit.kind](permit, outcome, answer)


def _ignore_finish(
    permit: permits.Permit,
    outcome: outcomes.Outcome,
    answer: permits.StoredAnswer | None,
) -> None:
    del permit, outcome, answer
