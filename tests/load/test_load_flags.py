"""All load commands reject addresses off loopback."""

from __future__ import annotations

import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.load import main

LOCAL, REMOTE = "http://127.0.0.1:1", "http://10.0.0.1:1"


@pytest.mark.parametrize(
    "arguments",
    [
        ("run", "--kind", "chat", "--entry", LOCAL, "--entry", REMOTE),
        ("compare", "--kind", "chat", "--entry", LOCAL, "--direct", REMOTE),
        ("compare", "--kind", "chat", "--entry", REMOTE, "--direct", LOCAL),
        ("wait", REMOTE),
    ],
)
def test_address_off_loopback_is_rejected(
    capsys: pytest.CaptureFixture[str], arguments: tuple[str, ...]
) -> None:
    code = main.main(list(arguments))
    assertions.assert_that(code, matchers.Equals(2))
    assertions.assert_that(
        capsys.readouterr().err,
        matchers.Contains(f"'{REMOTE}' is not on loopback"),
    )
