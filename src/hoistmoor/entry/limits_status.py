"""Status of the limits at one host, for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.limits import records

if TYPE_CHECKING:
    from hoistmoor.core.table import model
    from hoistmoor.entry import admission_control


@attrs.frozen
class AccountStatus:
    """One client account; amounts in micros, for the current UTC day.

    Attributes:
        account: Name of the client account.
        in_flight: Its requests in flight at this host.
        part: Fraction of its rate and concurrency limits that this host may
            use, at most 1.
        spend_limit: Its spend limit over all hosts.
        granted: Total share of all hosts, as far as this host has read the
            log.
        share: Share of this host.
        reserved: Part of the share reserved for running requests.
        spent: Part of the share already spent.
        overdrawn: Spend in excess of the cost estimates; 0 while no request
            costs more than estimated.
        taken: Part of the share received from peers.
        given: Amount transferred to peers; their shares include it.
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
        slots: Current concurrency limit.
        ceiling: Highest concurrency that the table allows this host.
        running: Number of running requests.
        waiting: Number of waiting requests per priority.
        retries_left: Retries left in the budget.
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
        present: Number of requests admitted or waiting.
        hosts: Number of hosts that share the limits, this one included.
        log_is_up: Whether the log is reachable, so that shares can be
            requested.
        accounts: Status of each account in the table.
        pools: Status of each pool used so far.
    """

    present: int
    hosts: int
    log_is_up: bool
    accounts: tuple[AccountStatus, ...]
    pools: tuple[PoolStatus, ...]


def status_of(
    controller: admission_control.AdmissionController, now: float
) -> LimitsStatus:
    """Returns the current status of the limits that ``controller`` applies."""
    rows = controller.in_force.table.accounts
    return LimitsStatus(
        controller.request_count,
        controller.share_sync.ledger.hosts,
        controller.share_sync.log_is_up,
        tuple(
            _account_status(controller, rows[key], now) for key in sorted(rows)
        ),
        tuple(
            _pool_status(controller, name)
            for name in sorted(controller.pool_queues.pools)
        ),
    )


def _account_status(
    controller: admission_control.AdmissionController,
    row: model.Account,
    now: float,
) -> AccountStatus:
    day = records.day_of(now)
    book = controller.share_sync.ledger
    share = book.local_shares.share(row.account, day)
    use = controller.accounts.usage.get(row.account)
    return AccountStatus(
        row.account,
        use.in_flight if use else 0,
        controller.accounts.shares.fraction(row.account, now),
        row.spend_limit,
        book.terms(row.account, day).granted,
        share.granted,
        share.reserved,
        share.spent,
        share.overdrawn,
        share.taken,
        share.given,
    )


def _pool_status(
    controller: admission_control.AdmissionController, name: str
) -> PoolStatus:
    pool = controller.pool_queues.pools[name]
    return PoolStatus(
        name,
        pool.slots.slots,
        pool.slots.ceiling,
        round(pool.admission.in_use),
        {
            str(key): count
            for key, count in pool.admission.waiting_counts.items()
        },
        pool.budget.saved,
    )
