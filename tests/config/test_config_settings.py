"""Settings: all faults together, and the secret neither shown nor a flag."""

from __future__ import annotations

import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.config import command_line
from hoistmoor.config import settings as settings_lib
from hoistmoor.core import errors

SECRET = "0123456789abcdefgh"
VALID_ARGUMENTS = [
    *("--host", "a", "--failure-domain", "bangna"),
    *("--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0"),
    *("--log-url", "http://127.0.0.1:1"),
]


@pytest.fixture(autouse=True)
def secret(monkeypatch: pytest.MonkeyPatch) -> None:
    """Sets a secret in the environment."""
    monkeypatch.setenv("HOISTMOOR_SECRET", SECRET)


def test_flag_takes_precedence_over_variable(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setenv("HOISTMOOR_HOST", "from-variable")
    monkeypatch.setenv("HOISTMOOR_STOP_TIMEOUT", "7.5")
    settings = command_line.read(settings_lib.EntrySettings, VALID_ARGUMENTS)
    assertions.assert_that(settings.host, matchers.Equals("a"))
    assertions.assert_that(settings.stop_timeout, matchers.Equals(7.5))
    assertions.assert_that(settings.secret, matchers.Equals(SECRET))


def test_all_faults_are_reported_with_their_flags() -> None:
    arguments = ["--listen", "localhost:80", "--stop-timeout", "nan"]
    with pytest.raises(errors.ConfigurationError) as caught:
        command_line.read(settings_lib.EntrySettings, arguments)
    for flag in (
        *("--host", "--failure-domain", "--listen", "--peer-listen"),
        *("--log-url", "--stop-timeout"),
    ):
        assertions.assert_that(
            str(caught.value), matchers.Contains(f"{flag} (HOISTMOOR_")
        )


def test_wildcard_requires_an_advertised_address() -> None:
    arguments = [*VALID_ARGUMENTS, "--listen", "0.0.0.0:80"]
    with pytest.raises(errors.ConfigurationError, match="--advertise"):
        command_line.read(settings_lib.EntrySettings, arguments)


def test_secret_is_rejected_as_a_flag() -> None:
    arguments = [*VALID_ARGUMENTS, f"--secret={SECRET}"]
    with pytest.raises(errors.ConfigurationError) as caught:
        command_line.read(settings_lib.EntrySettings, arguments)
    assertions.assert_that(
        str(caught.value), matchers.Not(matchers.Contains(SECRET))
    )


def test_secret_is_not_in_the_repr_of_settings() -> None:
    settings = command_line.read(settings_lib.EntrySettings, VALID_ARGUMENTS)
    assertions.assert_that(
        repr(settings), matchers.Not(matchers.Contains(SECRET))
    )


def test_invalid_settings_exit_with_code_2(
    capsys: pytest.CaptureFixture[str],
) -> None:
    with pytest.raises(SystemExit) as caught:
        command_line.read_or_exit(settings_lib.EntrySettings, [])
    assertions.assert_that(caught.value.code, matchers.Equals(2))
    output = capsys.readouterr()
    assertions.assert_that(output.err, matchers.Contains("--host"))
    assertions.assert_that(output.out, matchers.Equals(""))
