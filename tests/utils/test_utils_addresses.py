"""Parsing of addresses: an IP address and a port, never a host name."""

from __future__ import annotations

import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core import errors
from hoistmoor.utils import addresses


@pytest.mark.parametrize("text", ["127.0.0.1:80", "[::1]:65535", "0.0.0.0:0"])
def test_valid_addresses_round_trip(text: str) -> None:
    assertions.assert_that(str(addresses.parse(text)), matchers.Equals(text))


@pytest.mark.parametrize(
    "text", ["localhost:80", "127.0.0.1", "127.0.0.1:65536", "", ":80", "1.2:x"]
)
def test_invalid_addresses_are_rejected(text: str) -> None:
    with pytest.raises(errors.ConfigurationError):
        addresses.parse(text)
