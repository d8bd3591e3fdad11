"""An in-memory cluster of hosts that share a bills log, with fault injection.

The cluster tracks which requests were completed, and which of their bills no
running process and no log record contains any more. A bill may be lost only if
both its owner and its holder fail before it is appended.
"""

from __future__ import annotations

import attrs

from hoistmoor.core import codec
from hoistmoor.core import identity
from hoistmoor.core.billing import bills
from hoistmoor.core.billing import held as held_lib
from hoistmoor.core.billing import pending_bills as pending_bills_lib
from hoistmoor.core.billing import statement as statement_lib

AMOUNT = 100  # Price of each bill, in micros.


@attrs.define(eq=False)
class Host:
    """One incarnation of a host and its append in progress, if any."""

    incarnation: identity.Incarnation
    pending: pending_bills_lib.PendingBills
    held: held_lib.HeldBatches
    append: bills.BillBatch | None = None  # In progress.
    stored: bool = False  # Whether the log has stored that append.
    serial: int = 0


@attrs.define(eq=False)
class Cluster:
    """Hosts, the log, and the state to check the statement against."""

    make_pending: type[pending_bills_lib.PendingBills] = (
        pending_bills_lib.PendingBills
    )
    make_held: type[held_lib.HeldBatches] = held_lib.HeldBatches
    make_statement: type[statement_lib.Statement] = statement_lib.Statement
    log: list[bytes] = attrs.field(factory=list)
    hosts: list[Host] = attrs.field(factory=list)
    in_transit: list[bytes] = attrs.field(factory=list)
    completed: set[str] = attrs.field(factory=set)
    may_be_lost: set[str] = attrs.field(factory=set)
    starts: int = 0

    def start(self, index: int) -> None:
        """Starts a host; kills the former incarnation if there is one."""
        self.starts += 1
        incarnation = identity.Incarnation(f"e{index}", self.starts)
        host = Host(
            incarnation, self.make_pending(incarnation), self.make_held()
        )
        if index == len(self.hosts):
            self.hosts.append(host)
            return
        old, self.hosts[index] = self.hosts[index], host
        if old.append is not None and not old.stored:
            self.in_transit.append(codec.encode(old.append))
        remaining = self._all_request_ids()
        for request_id in self.completed:
            if self._has_bill(old, request_id) and request_id not in remaining:
                self.may_be_lost.add(request_id)

    def _all_request_ids(self) -> set[str]:
        request_ids = {id_ for payload in self.log for id_ in _ids(payload)}
        for host in self.hosts:
            request_ids |= set(host.pending._bills)
            for batch in host.held._batches.values():
                request_ids |= {bill.request_id for bill in batch.bills}
        return request_ids

    def _has_bill(self, host: Host, request_id: str) -> bool:
        if request_id in host.pending._bills:
            return True
        return any(
            bill.request_id == request_id
            for batch in host.held._batches.values()
            for bill in batch.bills
        )

    def is_alive(self, incarnation: identity.Incarnation) -> bool:
        """Returns whether an incarnation runs, without detection delay."""
        return incarnation in {host.incarnation for host in self.hosts}

    def bill(self, host: Host) -> None:
        """Completes a request, whose response waits for a secured bill."""
        host.serial += 1
        request_id = str(identity.RequestId(host.incarnation, host.serial))
        host.pending.add(
            bills.Bill("acme", request_id, "m@1", 1, 1, AMOUNT, 1, 0.0, 1)
        )

    def hold(self, host: Host, at: Host, reply: bool) -> None:
        """Has a peer hold the host's unsecured bills; its reply may be lost."""
        batch = host.pending.next_batch_to_hold()
        if batch is None or at is host:
            return
        at.held.hold(codec.decode(codec.encode(batch)))
        if reply:
            host.pending.record_held(batch, at.incarnation)
            self.completed |= {bill.request_id for bill in batch.bills}

    def start_append(self, host: Host) -> None:
        """Sends the host's next batch to the log."""
        if host.append is None:
            host.append = host.pending.next_batch_to_append()
            host.stored = False

    def store(self, host: Host) -> None:
        """Stores the batch on the log without a reply."""
        if host.append is not None and not host.stored:
            self.log.append(codec.encode(host.append))
            host.stored = True

    def reply(self, host: Host, released: bool) -> None:
        """Delivers the reply; the release to the holders may be lost."""
        batch, host.append = host.append, None
        if batch is None or not host.stored:
            return
        self.completed |= {bill.request_id for bill in batch.bills}
        for copy in host.pending.record_appended(batch):
            for peer in self.hosts:
                if released and peer.incarnation == copy.holder:
                    peer.held.release([copy.batch_id])

    def lose_reply(self, host: Host) -> None:
        """Loses the reply; an append not yet stored may be stored later."""
        batch, host.append = host.append, None
        if batch is not None and not host.stored:
            self.in_transit.append(codec.encode(batch))

    def store_late(self) -> None:
        """Stores a batch whose sender stopped waiting for the reply."""
        if self.in_transit:
            self.log.append(self.in_transit.pop(0))

    def check_peers(self, host: Host, reply: bool) -> None:
        """Has the host detect failed peers and handle their batches."""
        for holder in host.pending.holders:
            if not self.is_alive(holder):
                host.pending.record_holder_failed(holder)
        for batch in host.held.orphans(self.is_alive):
            self.log.append(codec.encode(batch))
            if reply:
                host.held.release([batch.batch_id])

    def complete_all(self) -> None:
        """Completes all appends and failure handling without faults."""
        while self.in_transit:
            self.store_late()
        for _ in range(3):
            for host in self.hosts:
                self.check_peers(host, True)
                self.start_append(host)
                self.store(host)
                self.reply(host, True)

    def check(self) -> None:
        """Checks that each completed request is billed exactly once.

        All other requests are billed at most once.
        """
        self.complete_all()
        statement = self.make_statement()
        for offset, payload in enumerate(self.log):
            statement.apply(offset, 0.0, payload)
        assert not statement.invalid_records
        on_log = {id_ for payload in self.log for id_ in _ids(payload)}
        missing = self.completed - on_log - self.may_be_lost
        assert not missing, f"never billed: {missing}"
        total = statement_lib.StatementLine()
        for line in statement.lines.get("acme", {}).values():
            total.merge(line)
        assert total.count == len(on_log), "billed more than once"
        assert total.amount == AMOUNT * len(on_log)
        resumed = statement_lib.Statement.from_checkpoint(
            statement.checkpoint()
        )
        for offset, payload in enumerate(self.log, len(self.log)):
            resumed.apply(offset, 0.0, payload)
        assert resumed.lines == statement.lines, "a duplicate was counted"


def _ids(payload: bytes) -> list[str]:
    return [bill.request_id for bill in codec.decode(payload).bills]
