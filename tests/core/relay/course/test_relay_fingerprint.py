"""Fingerprints identify retries of the same request."""

from __future__ import annotations

import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.course import fingerprint

REQUEST = ("POST", "shop.example", "/chat/a?x=1", "farm", b"body")


def test_equal_requests_have_equal_fingerprints() -> None:
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
def test_fingerprint_depends_on_content_and_account(
    other: tuple[str, str, str, str, bytes],
) -> None:
    assertions.assert_that(
        fingerprint.of_request(*other),
        matchers.Not(matchers.Equals(fingerprint.of_request(*REQUEST))),
    )
