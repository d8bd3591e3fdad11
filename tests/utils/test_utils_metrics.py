"""Metrics sent over UDP, and the list of all metrics."""

from __future__ import annotations

import pathlib
import re
import socket
from typing import TYPE_CHECKING

import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core import refusals
from hoistmoor.core.security import calls
from hoistmoor.utils import metrics as metrics_lib

if TYPE_CHECKING:
    from collections.abc import Iterator

SOURCES = pathlib.Path(__file__).parents[2] / "src" / "hoistmoor"
_USE = re.compile(
    r"""metrics\.(?:count|timing|gauge)\(\s*"([^"]+)\"""", re.VERBOSE
)
_RECEIVE_TIMEOUT = 10.0


@pytest.fixture
def receiver() -> Iterator[socket.socket]:
    """A UDP socket that receives metrics in place of statsd."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind(("127.0.0.1", 0))
        receiver.settimeout(_RECEIVE_TIMEOUT)
        yield receiver


def test_refusals_and_retries_are_sent_to_the_socket(
    receiver: socket.socket,
) -> None:
    port = receiver.getsockname()[1]
    metrics = metrics_lib.Metrics(f"127.0.0.1:{port}")
    for reason in refusals.Reason:
        metrics.refusal(reason)
        assertions.assert_that(
            receiver.recv(512).decode(),
            matchers.Equals(f"hoistmoor.refusal.{reason.value}:1|c"),
        )
    for reason in metrics_lib.RETRY_REASONS:
        metrics.retry(reason)
        assertions.assert_that(
            receiver.recv(512).decode(),
            matchers.Equals(f"hoistmoor.retry.{reason.value}:1|c"),
        )
    for why in calls.RejectionReason:
        metrics.peer_refusal(why)
        assertions.assert_that(
            receiver.recv(512).decode(),
            matchers.Equals(f"hoistmoor.peer.refused.{why.value}:1|c"),
        )
    metrics.close()


def test_without_an_address_nothing_is_sent() -> None:
    metrics_lib.Metrics().timing("request.time", 3.0)


def test_all_metrics_used_in_the_sources_are_listed_and_vice_versa() -> None:
    used = {
        name
        for path in SOURCES.rglob("*.py")
        for name in _USE.findall(path.read_text())
    }
    listed = {
        name
        for name in metrics_lib.METRICS
        if not name.startswith(("refusal.", "retry.", "peer.refused."))
    }
    assertions.assert_that(used, matchers.Equals(listed))
