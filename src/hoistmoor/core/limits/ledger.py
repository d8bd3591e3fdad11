"""Spend limit shares of this host: reservations, asks and returns."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from hoistmoor.core.limits import ask_schedule
from hoistmoor.core.limits import handoffs
from hoistmoor.core.limits import local_shares
from hoistmoor.core.limits import records
from hoistmoor.core.limits import shares
from hoistmoor.core.limits import transfers
from hoistmoor.core.table import model

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from hoistmoor.core import identity

SNAPSHOT_SECONDS = 600.0  # Age at which a new snapshot is due.
# Seconds over which the hosts' snapshots are spread.
_SNAPSHOT_SPREAD_SECONDS = 300.0
# Fraction of a share reserved for urgent requests while the log is down.
_URGENT_FRACTION = 0.25


class ReserveResult(enum.Enum):
    """Result of reserving a cost."""

    RESERVED = enum.auto()
    WAIT = enum.auto()  # A share must be requested and read back first.
    EXHAUSTED = enum.auto()  # The limit is used up.
    UNKNOWN = enum.auto()  # The grants of other hosts are not known.


class ShareLedger:
    """Manages the spend limit shares of one incarnation of one host.

    Attributes:
        incarnation: Incarnation of this process.
        fold: State of the limits stream.
        local_shares: Shares that this process holds.
        in_force: The table in force.
        log_is_up: Whether shares can be requested from the log.
        transfers: Transfers between this host and its peers.
        handoffs: Handoffs from and to hosts that stop.
    """

    def __init__(self, incarnation: identity.Incarnation) -> None:
        self.incarnation = incarnation
        self.fold = shares.ShareFold()
        self.local_shares = local_shares.LocalShares()
        self.in_force = model.ActiveTable(-1, model.Table())
        self.log_is_up = True
        self.transfers = transfers.Transfers(incarnation, self.local_shares)
        self.handoffs = handoffs.Handoffs(incarnation, self.local_shares)
        self._serial = 0
        self._schedule = ask_schedule.AskSchedule(incarnation.host)

    @property
    def hosts(self) -> int:
        """Number of live entry hosts."""
        return self._schedule.hosts

    @hosts.setter
    def hosts(self, count: int) -> None:
        self._schedule.hosts = count

    def apply(self, offset: int, at: float, record: object, now: float) -> bool:
        """Applies the next record of the limits stream.

        Returns:
            Whether the record grants or refuses this process a share.
        """
        is_affected = False
        for grant in self.fold.apply(offset, at, record):
            if self._is_own_grant(grant):
                is_affected = True
                self.local_shares.credit(
                    grant.account, grant.day, grant.serial, grant.amount, now
                )
        return is_affected

    def reserve(
        self,
        account: str,
        cost: int,
        day: int,
        now: float,
        urgent: bool = True,
    ) -> ReserveResult:
        """Reserves ``cost`` micros for a request that arrived on ``day``."""
        terms = self.terms(account, day)
        if cost > terms.limit:
            return ReserveResult.EXHAUSTED
        reserved_fraction = (
            0.0 if urgent or self.log_is_up else _URGENT_FRACTION
        )
        if self.local_shares.reserve(cost, day, now, terms, reserved_fraction):
            return ReserveResult.RESERVED
        if not self.fold.is_complete(day):
            return ReserveResult.UNKNOWN
        share = self.local_shares.share(account, day)
        if local_shares.is_exhausted(share, terms, now):
            return ReserveResult.EXHAUSTED
        return ReserveResult.WAIT

    def terms(self, account: str, day: int) -> local_shares.LimitTerms:
        """Returns the known state of an account's limit."""
        row = self.in_force.table.accounts.get(account)
        day_sum = self.fold.sum_for(account, day)
        return local_shares.LimitTerms(
            account,
            row.spend_limit if row else 0,
            self.in_force.revision,
            day_sum.granted if day_sum else 0,
            day_sum.refused if day_sum else 0,
            self.hosts,
            self._schedule.is_settled,
        )

    def request_transfer(
        self, donor: str, account: str, cost: int, day: int, urgent: bool
    ) -> transfers.TransferRequest:
        """Returns a transfer request for a peer, on behalf of a request.

        Args:
            donor: Name of the peer.
            account: Client account.
            cost: Micros that the request needs.
            day: UTC day on which the request arrived.
            urgent: Whether the request is urgent.
        """
        terms = self.terms(account, day)
        demand = self.local_shares.share(account, day).demand
        low_water = int(demand * local_shares.LOW_WATER_SECONDS)
        amount = max(2 * cost, low_water, terms.floor // 2)
        return self.transfers.request(donor, account, day, amount, urgent)

    def grant_transfer(
        self, request: transfers.TransferRequest, now: float
    ) -> transfers.TransferAnswer:
        """Answers a peer's request, deducting from this host's share."""
        terms = self.terms(request.account, request.day)
        return self.transfers.grant(request, terms, now)

    def plan(
        self, now: float, needs: Mapping[str, int]
    ) -> tuple[records.ShareRequest, ...]:
        """Returns the share requests to append now, at most one per day.

        Args:
            now: Seconds since the epoch.
            needs: Micros needed by waiting requests, by account.
        """
        today = records.day_of(now)
        self.local_shares.drop_before(today)
        if self.in_force.revision >= 0:
            self._schedule.on_table(now)
        planned = [self._plan_day(today, now, needs)]
        if self._schedule.is_prefetch_time(now):
            planned.append(self._plan_day(today + 1, now, {}))
        return tuple(request for request in planned if request)

    def revert(self, request: records.ShareRequest) -> None:
        """Reverts a share request that the log did not store."""
        for ask in request.asks:
            self.local_shares.clear_pending(
                ask.account, request.day, request.serial
            )
        for returned in request.returns:
            share = self.local_shares.share(returned.account, request.day)
            share.granted += returned.amount

    def release_all(self, now: float) -> tuple[records.ShareRequest, ...]:
        """Returns all unused shares of a stopping host, one request per day."""
        by_day: dict[int, list[records.ShareReturn]] = {}
        for (account, day), share in sorted(self.local_shares.shares.items()):
            if day >= records.day_of(now) and share.left > 0:
                item = records.ShareReturn(account, share.left)
                by_day.setdefault(day, []).append(item)
        return tuple(
            self._request(day, (), tuple(returns), now)
            for day, returns in sorted(by_day.items())
        )

    def is_snapshot_due(self, now: float) -> bool:
        """Returns whether this host should append a snapshot."""
        age = now - self.fold.snapshot_at
        max_age = (
            SNAPSHOT_SECONDS
            + self._schedule.position * _SNAPSHOT_SPREAD_SECONDS
        )
        return self.fold.can_snapshot and age >= max_age

    def _plan_day(
        self, day: int, now: float, needs: Mapping[str, int]
    ) -> records.ShareRequest | None:
        if not self.fold.is_complete(day):
            return None
        asks = tuple(self._asks(day, now, needs))
        asking = {ask.account for ask in asks}
        returns = tuple(self._returns(day, now, asking | set(needs)))
        if not asks and not returns:
            return None
        return self._request(day, asks, returns, now)

    def _asks(
        self, day: int, now: float, needs: Mapping[str, int]
    ) -> Iterator[records.ShareAsk]:
        accounts = self.in_force.table.accounts
        # Before its turn, a host only asks for accounts with waiting requests.
        for account in sorted(
            accounts if self._schedule.may_ask_ahead(now) else needs
        ):
            terms = self.terms(account, day)
            share = self.local_shares.share(account, day)
            amount = local_shares.plan_ask(
                share, terms, now, needs.get(account, 0)
            )
            if amount:
                yield records.ShareAsk(
                    account, amount, terms.limit, terms.revision
                )

    def _returns(
        self, day: int, now: float, needing: set[str]
    ) -> Iterator[records.ShareReturn]:
        for (account, share_day), share in sorted(
            self.local_shares.shares.items()
        ):
            if share_day != day or account in needing:
                continue
            terms = self.terms(account, day)
            amount = local_shares.plan_return(
                share, terms, now - self._schedule.delay
            )
            if amount:
                yield records.ShareReturn(account, amount)

    def _request(
        self,
        day: int,
        asks: tuple[records.ShareAsk, ...],
        returns: tuple[records.ShareReturn, ...],
        now: float,
    ) -> records.ShareRequest:
        self._serial += 1
        for ask in asks:
            share = self.local_shares.share(ask.account, day)
            share.pending = self._serial
            share.asked_at = now
        for returned in returns:
            share = self.local_shares.share(returned.account, day)
            share.granted -= returned.amount
            share.returned_at = now
            share.refused_seen = self.terms(returned.account, day).refused
        return records.ShareRequest(
            self.incarnation.host,
            self.incarnation.number,
            self._serial,
            day,
            asks,
            returns,
        )

    def _is_own_grant(self, grant: shares.Grant) -> bool:
        owner = grant.host, grant.incarnation
        return owner == (self.incarnation.host, self.incarnation.number)
