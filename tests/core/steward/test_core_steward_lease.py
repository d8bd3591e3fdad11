"""Granting, renewal and release of the lease, and takeover delays."""

from __future__ import annotations

import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core import identity
from hoistmoor.core.steward import actor as actor_lib
from hoistmoor.core.steward import fold as fold_lib
from hoistmoor.core.steward import lease as lease_lib
from hoistmoor.core.steward import records

A = identity.Incarnation("a", 1)
B = identity.Incarnation("b", 1)
READ_DELAY_SECONDS = 0.02  # Until a host has read the request of another.


@pytest.fixture
def fold() -> fold_lib.StewardFold:
    """Returns a fold in which A holds the lease from log time 100 to 115."""
    lease_fold = fold_lib.StewardFold()
    lease_fold.apply(0, 100.0, records.LeaseRequest(A, 15.0))
    return lease_fold


@pytest.mark.parametrize(("at", "holder"), [(114.9, A), (115.0, B), (99.0, A)])
def test_request_is_granted_from_expiry_in_log_time(
    fold: fold_lib.StewardFold, at: float, holder: identity.Incarnation
) -> None:
    fold.apply(1, at, records.LeaseRequest(B, 15.0))
    lease = fold.state.lease
    assert lease
    assertions.assert_that(lease.holder, matchers.Equals(holder))


def test_late_renewal_is_accepted_until_another_grant(
    fold: fold_lib.StewardFold,
) -> None:
    renewal = records.LeaseRenewal(A, 0, 15.0)
    assert fold.apply(1, 130.0, renewal) is fold_lib.ApplyResult.ACCEPTED
    fold.apply(2, 145.0, records.LeaseRequest(B, 15.0))
    assert fold.apply(3, 146.0, renewal) is fold_lib.ApplyResult.REJECTED


def test_released_lease_is_available_immediately(
    fold: fold_lib.StewardFold,
) -> None:
    fold.apply(1, 101.0, records.LeaseRelease(0))
    fold.apply(2, 101.0, records.LeaseRequest(B, 15.0))
    lease = fold.state.lease
    assert lease
    assertions.assert_that(lease.fencing, matchers.Equals(2))


def test_log_clock_going_backwards_does_not_extend_a_lease(
    fold: fold_lib.StewardFold,
) -> None:
    fold.apply(1, 116.0, None)
    fold.apply(2, 50.0, records.LeaseRequest(B, 15.0))
    lease = fold.state.lease
    assert lease
    assertions.assert_that(lease.holder, matchers.Equals(B))


def test_frozen_holder_is_inactive_until_it_has_read() -> None:
    actor = actor_lib.Actor(A)
    actor.begin(0, 0.0)
    actor.lease_record_sent_at = 100.0
    actor.on_record(0, 100.0, records.LeaseRequest(A, 15.0), 100.0)
    assert actor.active_fencing_token(114.0) == 0
    assert actor.active_fencing_token(160.0) is None
    actor.on_record(1, 120.0, records.LeaseRequest(B, 15.0), 160.0)
    assert actor.active_fencing_token(160.0) is None
    assert actor.release_record() is None


@pytest.mark.parametrize("hosts", [2, 9, 36, 360, 1000])
def test_few_hosts_send_a_request_however_many_wait(hosts: int) -> None:
    request_counts = []
    for fencing in range(50):
        delays = sorted(
            lease_lib.takeover_delay(f"host{n}", fencing) for n in range(hosts)
        )
        bound = delays[0] + READ_DELAY_SECONDS
        request_counts.append(sum(delay <= bound for delay in delays))
    assert sum(request_counts) / len(request_counts) < 3
