"""Tests of ``hoistmoor withdraw``, ``drain`` and ``rollout``."""

from __future__ import annotations

import asyncio
import pathlib
import subprocess
import sys
from typing import Any, TYPE_CHECKING

import pytest

from hoistmoor.clients import log
from hoistmoor.clients import sessions
from hoistmoor.console import application
from hoistmoor.console import exit_codes
from hoistmoor.core import codec
from hoistmoor.core import identity
from hoistmoor.core import streams
from hoistmoor.core.routing import exposure
from hoistmoor.core.steward import records
from hoistmoor.core.table import edits
from hoistmoor.core.table import model

if TYPE_CHECKING:
    from collections.abc import Iterator

ExitCode = exit_codes.ExitCode
STANDIN = str(pathlib.Path(sys.executable).parent / "hoistmoor-standin")
VERSION = model.Version(
    "m", "1", "llm", model.Stage.CANDIDATE, 1, 1, 1, 0.8, 40, 2
)
TABLE = model.Table(
    versions={VERSION.key: VERSION},
    services={"llm": model.Service("llm", model.ServiceKind.ENGINE, 60.0, ())},
    servers={"s0": model.Server("s0", "llm", "10.0.0.1:1", "d0", 8, True)},
)
STEWARD_RECORDS = (
    records.LeaseRequest(identity.Incarnation("a", 1), 15.0),
    records.RolloutStart(VERSION.key, exposure.row_digest(VERSION), 0),
)


@pytest.fixture
def log_url() -> Iterator[str]:
    with subprocess.Popen(
        [STANDIN, "log"], stdout=subprocess.PIPE, text=True
    ) as process:
        assert process.stdout
        address = process.stdout.readline().split()[1]
        url = f"http://{address}"
        edit = edits.TableEdit(
            "first", -1, "op", 0.0, edits.diff(model.Table(), TABLE)
        )
        asyncio.run(append(url, streams.TABLE, edit))
        asyncio.run(append(url, streams.STEWARD, *STEWARD_RECORDS))
        yield url
        process.kill()


async def append(url: str, name: str, *stream_records: Any) -> None:
    async with sessions.make_session() as session:
        for record in stream_records:
            await log.LogClient(session, url).append(name, codec.encode(record))


def run(log_url: str, *arguments: str, author: str = "op") -> int:
    author_flags = ["--author", author] if author else []
    return application.main([*arguments, *author_flags, "--log-url", log_url])


def read_status(log_url: str, capsys: pytest.CaptureFixture[str]) -> str:
    capsys.readouterr()
    assert run(log_url, "rollout", "status", author="") == ExitCode.DONE
    return capsys.readouterr().out


def test_status_shows_pause_resume_and_drain(
    log_url: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run(log_url, "rollout", "pause", "m@1") == ExitCode.DONE
    assert run(log_url, "drain", "s0", author="gudrun") == ExitCode.DONE
    status = read_status(log_url, capsys)
    assert "steward: a.1 (fencing number 0)" in status
    assert "paused" in status
    assert "s0: draining, by gudrun" in status
    assert run(log_url, "rollout", "resume", "m@1") == ExitCode.DONE
    assert run(log_url, "drain", "s0", "--undo") == ExitCode.DONE
    status = read_status(log_url, capsys)
    assert "paused" not in status
    assert "draining" not in status


@pytest.mark.parametrize(
    "arguments",
    [
        ("drain", "nope"),
        ("withdraw", "m@9", "--wait", "0"),
        ("rollout", "pause", "m@9"),
    ],
)
def test_unknown_names_are_rejected(log_url: str, arguments: list[str]) -> None:
    assert run(log_url, *arguments) == ExitCode.USAGE


def test_withdraw_is_an_idempotent_edit(
    log_url: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run(log_url, "withdraw", "m@1", "--wait", "0") == ExitCode.DONE
    assert "withdrawn at revision 1" in capsys.readouterr().out
    assert run(log_url, "withdraw", "m@1", "--wait", "0") == ExitCode.DONE
    assert "already withdrawn" in capsys.readouterr().out


def test_unavailable_log_has_its_own_exit_code(log_url: str) -> None:
    gone = "http://127.0.0.1:9"
    assert run(gone, "drain", "s0") == ExitCode.UNAVAILABLE
    assert run(gone, "withdraw", "m@1") == ExitCode.UNAVAILABLE
    assert run(gone, "rollout", "reset") == ExitCode.UNAVAILABLE
