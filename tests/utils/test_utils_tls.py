"""TLS files: reloaded on a change, kept if the new ones are invalid."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import shutil
import ssl
from typing import TYPE_CHECKING

import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core import errors
from hoistmoor.utils import tls

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_FIXTURES = pathlib.Path(__file__).parents[1] / "fixtures" / "tls"


def _copy(name: str, where: pathlib.Path) -> None:
    shutil.copy(_FIXTURES / f"{name}.crt", where / "tls.crt")
    shutil.copy(_FIXTURES / f"{name}.key", where / "tls.key")


@pytest.fixture
def files(tmp_path: pathlib.Path) -> tls.TlsFiles:
    _copy("host", tmp_path)
    return tls.TlsFiles(
        str(tmp_path / "tls.crt"),
        str(tmp_path / "tls.key"),
        str(_FIXTURES / "ca.crt"),
    )


async def _subject(files: tls.TlsFiles) -> str:
    """Returns the common name of the certificate on a new connection."""
    async with _connect(files.caller_context, files.peer_client_context) as (
        _,
        writer,
    ):
        certificate = writer.get_extra_info("peercert")
    return str(dict(part[0] for part in certificate["subject"])["commonName"])


@contextlib.asynccontextmanager
async def _connect(
    server: ssl.SSLContext, client: ssl.SSLContext
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """Yields a connection to a server that greets each accepted client."""

    def greet(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"welcome")
        writer.close()

    server_socket = await asyncio.start_server(
        greet, "127.0.0.1", 0, ssl=server
    )
    port = server_socket.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", port, ssl=client
    )
    yield reader, writer
    writer.close()
    server_socket.close()


async def _is_accepted(files: tls.TlsFiles, client: ssl.SSLContext) -> bool:
    """Returns whether the peer port greets a client, or else disconnects it."""
    try:
        async with _connect(files.peer_context, client) as (reader, _):
            return bool(await reader.read())
    except OSError:
        return False


async def test_peer_port_accepts_only_hosts(files: tls.TlsFiles) -> None:
    assert await _is_accepted(files, files.peer_client_context)
    unknown_client = tls.make_link(str(_FIXTURES / "ca.crt")).verify
    assert isinstance(unknown_client, ssl.SSLContext)
    # The client presents no certificate.
    assert not await _is_accepted(files, unknown_client)
    unknown_client.load_cert_chain(
        _FIXTURES / "stranger.crt", _FIXTURES / "stranger.key"
    )
    assert not await _is_accepted(files, unknown_client)


async def test_new_files_are_loaded(
    files: tls.TlsFiles, tmp_path: pathlib.Path
) -> None:
    assert not files.reload_if_changed()
    assertions.assert_that(await _subject(files), matchers.Equals("host"))
    _copy("renewed", tmp_path)
    assert files.reload_if_changed()
    assertions.assert_that(await _subject(files), matchers.Equals("renewed"))


async def test_mismatched_or_missing_files_are_not_loaded(
    files: tls.TlsFiles, tmp_path: pathlib.Path
) -> None:
    shutil.copy(_FIXTURES / "renewed.crt", tmp_path / "tls.crt")
    assert not files.reload_if_changed()  # The new key is still missing.
    assertions.assert_that(await _subject(files), matchers.Equals("host"))
    shutil.copy(_FIXTURES / "renewed.key", tmp_path / "tls.key")
    assert files.reload_if_changed()
    (tmp_path / "tls.crt").unlink()
    assert not files.reload_if_changed()
    assertions.assert_that(await _subject(files), matchers.Equals("renewed"))


def test_missing_files_are_named_in_the_error(
    tmp_path: pathlib.Path,
) -> None:
    missing = str(tmp_path / "none.crt")
    with pytest.raises(errors.ConfigurationError, match=r"none\.crt"):
        tls.TlsFiles(missing, missing, missing)
    with pytest.raises(errors.ConfigurationError, match=r"none\.crt"):
        tls.make_link(missing)
