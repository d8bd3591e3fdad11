"""Settings of keys and TLS: validation, and no key in any message."""

from __future__ import annotations

import hashlib

import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.config import command_line
from hoistmoor.config import settings as settings_lib
from hoistmoor.core import errors

OLD, NEW = "an-old-secret-of-a-length", "a-new-secret-of-a-length"
HASH = hashlib.sha256(b"an operator's key").hexdigest()
ARGUMENTS = [
    *("--host", "entry-1", "--failure-domain", "a"),
    *("--listen", "127.0.0.1:1", "--peer-listen", "127.0.0.1:2"),
    *("--log-url", "http://127.0.0.1:3"),
]


@pytest.fixture(autouse=True)
def secret(monkeypatch: pytest.MonkeyPatch) -> None:
    """Sets two secrets in the environment."""
    monkeypatch.setenv("HOISTMOOR_SECRET", f"{OLD},{NEW}")


def _read(*arguments: str) -> settings_lib.EntrySettings:
    return command_line.read(
        settings_lib.EntrySettings, [*ARGUMENTS, *arguments]
    )


def test_lists_of_secrets_and_hashes_are_parsed() -> None:
    settings = _read("--operator-keys", f"{HASH},{HASH}")
    assertions.assert_that(settings.secrets, matchers.Equals((OLD, NEW)))
    assertions.assert_that(
        settings.operator_hashes, matchers.Equals((HASH, HASH))
    )
    assertions.assert_that(_read().operator_hashes, matchers.Equals(()))


def test_key_in_place_of_its_hash_is_rejected_and_not_shown() -> None:
    with pytest.raises(errors.ConfigurationError) as caught:
        _read("--operator-keys", "an operator's key")
    text = str(caught.value)
    assert "--operator-keys" in text
    assert "an operator's key" not in text


def test_tls_requires_all_files() -> None:
    with pytest.raises(errors.ConfigurationError) as caught:
        _read("--tls-certificate", "tls.crt")
    text = str(caught.value)
    assert "--tls-key" in text
    assert "--tls-ca" in text
