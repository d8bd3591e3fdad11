"""TLS between hosts and for callers, from files that may be replaced."""

from __future__ import annotations

import asyncio
import pathlib
import ssl

import attrs

from hoistmoor.core import errors
from hoistmoor.utils import logs

RELOAD_INTERVAL = 30.0  # Seconds between two checks of the files.
_HTTP2 = "h2"

_LOG = logs.PartLogger("security")


@attrs.frozen
class Link:
    """How to connect to other hosts over HTTP.

    Attributes:
        scheme: ``http`` or ``https``.
        verify: The ``ssl`` argument of ``aiohttp``, to verify certificates.
    """

    scheme: str = "http"
    verify: ssl.SSLContext | bool = True

    def url(self, address: str, path: str) -> str:
        """Returns the URL of a path at ``ip:port``."""
        return f"{self.scheme}://{address}{path}"


PLAIN = Link()


class TlsFiles:
    """A host's certificate, its key, and the authority of all hosts.

    Hosts connect to one another by IP address, so a certificate only proves
    that its owner is a host of the deployment, and not which one.

    Attributes:
        caller_context: Server context of the port for callers; requests no
            certificate.
        peer_context: Server context of the port for other hosts; requires a
            certificate.
        peer_client_context: Client context for calls to the peer port of other
            hosts.
        link: How to call other hosts over HTTP.
    """

    def __init__(self, certificate: str, key: str, authority: str) -> None:
        """Reads the files.

        Raises:
            ConfigurationError: A file cannot be read or is invalid.
        """
        self._files = (certificate, key, authority)
        self._loaded_states = self._file_states()
        self.caller_context = _server_context()
        self.peer_context = _server_context()
        self.peer_context.verify_mode = ssl.CERT_REQUIRED
        self.peer_client_context = _client_context()
        self._to_hosts = _client_context()
        self.link = Link("https", self._to_hosts)
        for context in (self.peer_context, self.peer_client_context):
            context.set_alpn_protocols([_HTTP2])
        self._load()

    def reload_if_changed(self) -> bool:
        """Loads the files if they have changed; returns whether it did.

        Open connections continue; new ones use the new files. Files that are
        invalid or incompletely written are not loaded.
        """
        current = self._file_states()
        if current == self._loaded_states:
            return False
        try:
            self._load()
        except errors.ConfigurationError as error:
            _LOG.error(
                "Could not load the new TLS files; keeping the old ones: %s",
                error,
            )
            return False
        self._loaded_states = current
        _LOG.info("Loaded the certificate from %s", self._files[0])
        return True

    async def reload_periodically(
        self, interval: float = RELOAD_INTERVAL
    ) -> None:
        """Reloads changed files until cancelled."""
        while True:
            await asyncio.sleep(interval)
            self.reload_if_changed()

    def _file_states(self) -> tuple[object, ...]:
        return tuple(_file_state(name) for name in self._files)

    def _load(self) -> None:
        certificate, key, authority = self._files
        try:
            # Tries the files on a new context first: a failure must not leave
            # the others partly updated.
            _server_context().load_cert_chain(certificate, key)
            for context in (
                self.caller_context,
                self.peer_context,
                self.peer_client_context,
            ):
                context.load_cert_chain(certificate, key)
            for context in (
                self.peer_context,
                self.peer_client_context,
                self._to_hosts,
            ):
                context.load_verify_locations(authority)
        except (OSError, ssl.SSLError) as error:
            raise errors.ConfigurationError(
                f"cannot load the TLS files {', '.join(self._files)}: {error}",
                "Give a certificate, its key and the authority, all in PEM.",
            ) from error


def make_link(authority: str) -> Link:
    """Returns a link to hosts whose certificates the authority signed.

    Raises:
        ConfigurationError: The file cannot be read or is invalid.
    """
    context = _client_context()
    try:
        context.load_verify_locations(authority)
    except (OSError, ssl.SSLError) as error:
        raise errors.ConfigurationError(
            f"cannot load certificates from {authority}: {error}",
            "Give certificates in PEM format.",
        ) from error
    return Link("https", context)


def _server_context() -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    return context


def _client_context() -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.check_hostname = False  # Hosts connect by IP address.
    return context


def _file_state(name: str) -> object:
    try:
        status = pathlib.Path(name).stat()
    except OSError:
        return None
    return status.st_mtime_ns, status.st_ino, status.st_size
