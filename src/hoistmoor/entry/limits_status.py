"""What one host uses of its limits, for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.limits import records

if TYPE_CHECKING:
    from hoistmoor.core.table import model
    from hoistmoor.entry import limits


@attrs.frozen
class AccountStatus:
    """One client account; money in micros, for the current UTC day.

    Attributes:
        account: Name of the client account.
        in_flight: Its requests at this host.
        part: This host's part of its rate and concurrency, at most 1.
        spend_limit: Its limit over all hosts.
        granted: Shares of all hosts together, as far as read here.
        share: This host's share.
        reserved: Of the share, set aside for requests that run.
        spent: Of the share, spent.
        overdrawn: Spent beyond the estimates; 0 while estimates hold.
        taken: Of the share, what came from peers.
        given: What went to peers; it is in their shares.
    """

    account: str
    in_flight: int
    part: float
    spend_limit: int
    granted: int
    share: int
    reserved: int
    spent: int
    overdrawn: int
    taken: int
    given: int


@attrs.frozen
class PoolStatus:
    """One pool at this host.

    Attributes:
        pool: Name of the service.
        slots: Requests that may run at once.
        ceiling: The most that the table allows this host.
        running: Requests that run.
        waiting: Requests that wait, per priority.
        retries_left: Retries that the budget allows now.
    """

    pool: str
    slots: int
    ceiling: int
    running: int
    waiting: dict[str, int]
    retries_left: float


@attrs.frozen
class LimitsStatus:
    """The limits in use at one host.

    Attributes:
        present: Requests admitted or waiting.
        hosts: Hosts that the limits are shared with, this one included.
        log_is_up: Whether shares can be asked for.
        accounts: Per account of the table.
        pools: Per pool used so far.
    """

    present: int
    hosts: int
    log_is_up: bool
    accounts: tuple[AccountStatus, ...]
    pools: tuple[PoolStatus, ...]


def status_of(gate: limits.Gate, now: float) -> LimitsStatus:
    """Returns what ``gate`` lets in and holds."""
    rows = gate.in_force.table.accounts
    return LimitsStatus(
        gate.present,
        gate.keeper.book.hosts,
        gate.keeper.log_is_up,
        tuple(_account(gate, rows[key], now) for key in sorted(rows)),
        tuple(_pool(gate, name) for name in sorted(gate.slots.pools)),
    )


def _account(
    gate: limits.Gate, row: model.Account, now: float
) -> AccountStatus:
    day = records.day_of(now)
    book = gate.keeper.book
    share = book.local_shares.share(row.account, day)
    use = gate.accounts.usage.get(row.account)
    return AccountStatus(
        row.account,
        use.in_flight if use else 0,
        gate.accounts.shares.fraction(row.account, now),
        row.spend_limit,
        book.terms(row.account, day).granted,
        share.granted,
        share.reserved,
        share.spent,
        share.overdrawn,
        share.taken,
        share.given,
    )


def _pool(gate: limits.Gate, name: str) -> PoolStatus:
    pool = gate.slots.pools[name]
    return PoolStatus(
        name,
        pool.slots.slots,
        pool.slots.ceiling,
        pool.admission.in_use,
        {
            str(key): count
            for key, count in pool.admission.waiting_counts.items()
        },
        pool.budget.saved,
    )
