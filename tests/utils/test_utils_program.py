"""Error messages of programs that cannot start."""

from __future__ import annotations

import pathlib
import socket
import subprocess
import sys

import pytest
from testtools import assertions
from testtools import matchers

SCRIPTS = pathlib.Path(sys.executable).parent

SETTINGS = {
    "HOISTMOOR_HOST": "a",
    "HOISTMOOR_FAILURE_DOMAIN": "d",
    "HOISTMOOR_LOG_URL": "http://127.0.0.1:1",
    "HOISTMOOR_PEER_LISTEN": "127.0.0.1:0",
    "HOISTMOOR_SECRET": "not-much-of-a-secret",
}


@pytest.mark.parametrize("program", ["hoistmoor-entry", "hoistmoor-steward"])
def test_port_in_use_fails_with_a_single_line_and_a_remedy(
    program: str,
) -> None:
    with socket.create_server(("127.0.0.1", 0)) as occupied:
        address = f"127.0.0.1:{occupied.getsockname()[1]}"
        completed = subprocess.run(
            [SCRIPTS / program, "--listen", address],
            env=SETTINGS,
            capture_output=True,
            text=True,
            timeout=60,  # Seconds until the program is killed.
            check=False,
        )
    assertions.assert_that(completed.returncode, matchers.Equals(1))
    assertions.assert_that(
        completed.stderr.splitlines(),
        matchers.MatchesListwise(
            [matchers.MatchesRegex(f".*{address}.*set another address")]
        ),
    )
