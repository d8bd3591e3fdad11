# ruff: noqa: D102
"""Tests of the ``hoistmoor table`` commands against a platform stand-in."""

from __future__ import annotations

import asyncio
import pathlib
import shutil
import threading
from typing import TYPE_CHECKING

from aiohttp import web
import attrs
import pytest

from hoistmoor.clients import hosts as host_client
from hoistmoor.console import application
from hoistmoor.console import exit_codes
from hoistmoor.console.commands.table import publisher
from hoistmoor.console.commands.table import sheet_directory as directories
from hoistmoor.core import streams
from hoistmoor.standins import fault_registry
from hoistmoor.standins import faults
from hoistmoor.standins import hosts as hosts_standin
from hoistmoor.standins import log as log_standin
from hoistmoor.standins import web_application as standin_web

if TYPE_CHECKING:
    from collections.abc import Coroutine, Iterator
from concurrent import futures

ExitCode = exit_codes.ExitCode

_WAIT_TIMEOUT = 20.0  # Seconds; only fails a test that hangs.
_EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"


@attrs.define
class Platform:
    """Server with a log, a host list and the status page of an entry host."""

    book: fault_registry.FaultRegistry = attrs.field(
        factory=fault_registry.FaultRegistry
    )
    log: log_standin.LogStandin = attrs.field(init=False)
    hosts: hosts_standin.HostListStandin = attrs.field(init=False)
    url: str = ""
    entry_revision: int = 1 << 30

    def make_application(self) -> web.Application:
        app = standin_web.make_application(self.book)
        self.log = log_standin.LogStandin(self.book)
        self.log.add_routes(app)
        self.hosts = hosts_standin.HostListStandin(self.book)
        self.hosts.add_routes(app)
        app.router.add_get("/status", self._handle_status)
        return app

    def list_entry(self, name: str, address: str) -> None:
        listed_host = host_client.ListedHost(
            name,
            address,
            "bangna",
            host_client.Role.ENTRY,
            host_client.ListedState.LIVE,
            1,
        )
        self.hosts.replace_rows(
            {**self.hosts.current_rows, name: listed_host}, 0.0
        )

    async def _handle_status(self, _: web.Request) -> web.Response:
        return web.json_response({"table_revision": self.entry_revision})

    @property
    def records(self) -> int:
        """Number of records on the table's stream."""
        stream = self.log.streams.get(streams.TABLE)
        return stream.next_offset if stream else 0


@pytest.fixture
def platform() -> Iterator[Platform]:
    platform = Platform()
    loop = asyncio.new_event_loop()
    runner = web.AppRunner(platform.make_application())

    async def start() -> None:
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()

    def run(coroutine: Coroutine[None, None, None]) -> None:
        asyncio.run_coroutine_threadsafe(coroutine, loop).result(_WAIT_TIMEOUT)

    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()
    run(start())
    host, port = runner.addresses[0][:2]
    platform.url = f"http://{host}:{port}"
    platform.list_entry("entry-1", f"{host}:{port}")
    yield platform
    run(runner.cleanup())
    loop.call_soon_threadsafe(loop.stop)
    thread.join(_WAIT_TIMEOUT)
    loop.close()


@pytest.fixture
def directory(tmp_path: pathlib.Path) -> pathlib.Path:
    return pathlib.Path(shutil.copytree(_EXAMPLES / "taemsuk", tmp_path / "a"))


def _publish(
    platform: Platform, directory: pathlib.Path, author: str, *flags: str
) -> int:
    arguments = ["table", "publish", str(directory), "--author", author]
    return application.main([*arguments, "--log-url", platform.url, *flags])


def _fetch(platform: Platform, out: pathlib.Path, *flags: str) -> pathlib.Path:
    arguments = ["table", "show", "--out", str(out), "--log-url", platform.url]
    assert application.main([*arguments, *flags]) == ExitCode.DONE
    return out


def _replace(directory: pathlib.Path, sheet: str, old: str, new: str) -> None:
    path = directory / f"{sheet}.csv"
    text = path.read_text()
    assert old in text
    path.write_text(text.replace(old, new))


@pytest.fixture
def fetched_directories(
    platform: Platform, directory: pathlib.Path, tmp_path: pathlib.Path
) -> tuple[pathlib.Path, ...]:
    """Directories of two operators with the sheets that ann published."""
    _publish(platform, directory, "ann")
    names = ("first", "second")
    return tuple(_fetch(platform, tmp_path / name) for name in names)


@pytest.mark.parametrize("name", ["taemsuk", "hafnarfjordur"])
def test_example_sheets_have_no_faults(name: str) -> None:
    assert application.main(["table", "check", str(_EXAMPLES / name)]) == 0


def test_faulty_sheets_are_reported_and_not_published(
    platform: Platform,
    directory: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    _replace(directory, "calls", ",no,urgent", ",perhaps,urgent")
    _replace(directory, "grants", "isan-ledger,khao-small", "isan,khao-small")

    assert (
        application.main(["table", "check", str(directory)]) == ExitCode.FAULTS
    )
    assert _publish(platform, directory, "ann") == ExitCode.FAULTS

    errors = capsys.readouterr().err
    assert "calls.csv, line 2" in errors
    assert "column idempotent: 'perhaps' is neither yes nor no" in errors
    assert "grants.csv, line 5" in errors
    assert platform.records == 0


def test_edit_is_published_and_shown_in_diff_and_history(
    platform: Platform,
    directory: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert _publish(platform, directory, "ann") == ExitCode.DONE
    _replace(directory, "versions", "khao-small,2025-11,", "khao-small,2026,")
    diff = ["table", "diff", str(directory), "--log-url", platform.url]
    assert application.main(diff) == ExitCode.DONE
    assert _publish(platform, directory, "ann") == ExitCode.DONE
    assert _publish(platform, directory, "ann") == ExitCode.DONE
    history = ["table", "history", "--log-url", platform.url]
    assert application.main(history) == ExitCode.DONE

    text = capsys.readouterr().out
    assert "in force at 1 entry hosts" in text
    assert "+ versions row 'khao-small@2026'" in text
    assert "- versions row 'khao-small@2025-11'" in text
    assert "nothing to change" in text
    assert text.rstrip().endswith("accepted")
    assert platform.records == 2


def test_conflict_names_the_row_and_the_author_of_the_other_edit(
    platform: Platform,
    fetched_directories: tuple[pathlib.Path, ...],
    capsys: pytest.CaptureFixture[str],
) -> None:
    first, second = fetched_directories
    _replace(first, "accounts", "training,", "trainees,")
    _replace(first, "grants", "training,", "trainees,")
    _replace(second, "accounts", "5000000,2.0,4", "9000000,2.0,4")

    assert _publish(platform, first, "ann") == ExitCode.DONE
    diff = ["table", "diff", str(second), "--log-url", platform.url]
    assert application.main(diff) == ExitCode.REJECTED
    assert _publish(platform, second, "bo") == ExitCode.REJECTED

    errors = capsys.readouterr().err
    assert "accounts row 'training' was changed by ann at 1" in errors
    assert platform.records == 2


def test_one_of_two_concurrent_edits_of_a_row_is_accepted(
    platform: Platform, fetched_directories: tuple[pathlib.Path, ...]
) -> None:
    for directory, spend in zip(
        fetched_directories, ("7000000", "8000000"), strict=True
    ):
        _replace(directory, "accounts", "5000000,2.0,4", f"{spend},2.0,4")

    with futures.ThreadPoolExecutor() as pool:
        codes = pool.map(
            _publish, (platform,) * 2, fetched_directories, ("ann", "bo")
        )

    assert sorted(codes) == [ExitCode.DONE, ExitCode.REJECTED]


def test_edits_of_different_rows_are_merged(
    platform: Platform, fetched_directories: tuple[pathlib.Path, ...]
) -> None:
    first, second = fetched_directories
    _replace(first, "limits", "max_attempts,3.0", "max_attempts,2.0")
    _replace(second, "limits", "retry_ratio,0.1", "retry_ratio,0.2")

    assert _publish(platform, first, "ann") == ExitCode.DONE
    assert _publish(platform, second, "bo") == ExitCode.DONE

    merged = (second / "limits.csv").read_text()
    assert "max_attempts,2.0" in merged
    assert "retry_ratio,0.2" in merged


def test_publish_succeeds_if_sheets_cannot_be_updated(
    platform: Platform,
    directory: pathlib.Path,
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    _publish(platform, directory, "ann")
    fetched = _fetch(platform, tmp_path / "fetched")
    _replace(fetched, "limits", "max_attempts,3.0", "max_attempts,2.0")

    def raise_permission_error(*_: object) -> None:
        raise PermissionError("read-only")

    monkeypatch.setattr(directories, "write", raise_permission_error)
    assert _publish(platform, fetched, "ann") == ExitCode.DONE
    assert platform.records == 2


def test_sheets_without_a_base_do_not_revert_changes_by_others(
    platform: Platform,
    directory: pathlib.Path,
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    _publish(platform, directory, "ann")
    fetched = _fetch(platform, tmp_path / "fetched")
    _replace(fetched, "versions", "2025-11,moor-llm,candidate", _WITHDRAWN)
    assert _publish(platform, fetched, "steward") == ExitCode.DONE

    assert _publish(platform, directory, "ann") == ExitCode.REJECTED
    assert "by another: versions row 'khao-small@2025-11' was changed by" in (
        capsys.readouterr().err
    )
    assert _publish(platform, directory, "ann", "--overwrite") == ExitCode.DONE


_WITHDRAWN = "2025-11,moor-llm,withdrawn"


def test_reverting_to_an_older_revision(
    platform: Platform, directory: pathlib.Path, tmp_path: pathlib.Path
) -> None:
    _publish(platform, directory, "ann")
    _replace(directory, "limits", "max_attempts,3", "max_attempts,2")
    _publish(platform, directory, "ann")

    old = _fetch(platform, tmp_path / "old", "--revision", "0")
    assert _publish(platform, old, "bo") == ExitCode.DONE

    now = _fetch(platform, tmp_path / "now")
    assert "max_attempts,3.0" in (now / "limits.csv").read_text()


def test_lost_append_reply_is_resolved_from_the_log(
    platform: Platform, directory: pathlib.Path
) -> None:
    platform.book.add(faults.ApplyButLoseReply(method="POST", count=1))

    assert _publish(platform, directory, "ann") == ExitCode.DONE
    assert platform.records == 1


def test_lost_append_is_reported_as_unknown(
    platform: Platform,
    directory: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    monkeypatch.setattr(publisher, "SETTLE_SECONDS", 0.5)
    platform.book.add(faults.CutBeforeAnswer(method="POST", count=1))

    assert _publish(platform, directory, "ann") == ExitCode.UNKNOWN
    assert "may or may not be on the log" in capsys.readouterr().err
    assert _publish(platform, directory, "ann") == ExitCode.DONE


def test_publish_during_an_outage_fails_and_changes_nothing(
    platform: Platform, directory: pathlib.Path
) -> None:
    platform.book.add(faults.Outage())

    assert _publish(platform, directory, "ann") == ExitCode.UNAVAILABLE
    assert platform.records == 0


def test_lagging_hosts_are_reported(
    platform: Platform,
    directory: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    platform.entry_revision = -1
    platform.list_entry("entry-2", "127.0.0.1:1")

    code = _publish(platform, directory, "ann", "--wait", "0.5")

    assert code == ExitCode.LAGGING
    errors = capsys.readouterr().err
    assert "lags: entry-1 at" in errors
    assert "still at revision -1" in errors
    assert "lags: entry-2 at 127.0.0.1:1: no response" in errors


def test_missing_log_url_is_reported_with_its_flag(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.delenv("HOISTMOOR_LOG_URL", raising=False)
    assert application.main(["table", "show"]) == ExitCode.USAGE
    assert "--log-url" in capsys.readouterr().err
