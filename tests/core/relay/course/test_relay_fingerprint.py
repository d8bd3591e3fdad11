"""Which tries of callers are tries of the same request."""

from __future__ import annotations

import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.course import fingerprint

REQUEST = ("POST", "shop.example", "/chat/a?x=1", "farm", b"body")


def test_the_same_request_has_the_same_fingerprint() -> None:
    first = fingerprint.of_request(*REQUEST)
    assertions.assert_that(
        fingerprint.of_request(*REQUEST), matchers.Equals(first)
    )
    assertions.assert_that(
        first, matchers.HasLength(2 * fingerprint.DIGEST_BYTES)
    )


@pytest.mark.parametrize(
    "other",
    [
        ("GET", "shop.example", "/chat/a?x=1", "farm", b"body"),
        ("POST", "else.example", "/chat/a?x=1", "farm", b"body"),
        ("POST", "shop.example", "/chat/a?x=2", "farm", b"body"),
        ("POST", "shop.example", "/chat/a?x=1", "barn", b"body"),
        ("POST", "shop.example", "/chat/a?x=1", "farm", b"bodY"),
        ("POST", "shop.example", "/chat/a?x=1", "", b"farm\0body"),
    ],
)
def test_what_is_asked_and_for_whom_tells_requests_apart(
    other: tuple[str, str, str, str, bytes],
) -> None:
    assertions.assert_that(
        fingerprint.of_request(*other),
        matchers.Not(matchers.Equals(fingerprint.of_request(*REQUEST))),
    )
