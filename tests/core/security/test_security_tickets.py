"""Tests ticket signatures: secret rotation, forgery and alteration."""

from __future__ import annotations

import itertools

import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core import identity
from hoistmoor.core.once import tickets

OLD, NEW = b"an-old-secret-of-a-length", b"a-new-secret-of-a-length"
TICKET = tickets.Ticket(
    identity.Incarnation("entry-1", 5), "10.0.0.1:80", 1, "agents", 9.0
)


def test_consecutive_rotation_steps_accept_tickets() -> None:
    steps = [[OLD], [OLD, NEW], [NEW, OLD], [NEW]]
    for pair in itertools.pairwise(steps):
        for issuer, host in itertools.permutations(pair):
            found = tickets.verify(tickets.sign(TICKET, issuer), host)
            assertions.assert_that(found, matchers.Equals(TICKET))


def test_forged_tickets_and_skipped_rotation_steps_are_rejected() -> None:
    text = tickets.sign(TICKET, [OLD])
    tampered = tickets.Ticket(
        TICKET.incarnation, TICKET.address, 1, "others", 9e9
    )
    body, _, _ = tickets.sign(tampered, [NEW]).rpartition(".")
    forged = f"{body}.{text.rpartition('.')[2]}"
    for invalid in (
        tickets.sign(TICKET, [NEW]),
        forged,
        text[:-1],
        "tkt.",
        "tkt.é",
    ):
        with pytest.raises(ValueError, match="signature"):
            tickets.verify(invalid, [OLD])
