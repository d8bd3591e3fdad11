"""Mutual authentication of entry hosts."""

from __future__ import annotations

import functools
import ipaddress
from typing import TYPE_CHECKING

import attrs

from hoistmoor.core.security import calls
from hoistmoor.peers import client
from hoistmoor.peers import guard as guard_lib
from hoistmoor.peers import signing
from hoistmoor.utils import addresses
from hoistmoor.utils import logs
from hoistmoor.utils import tls as tls_lib

if TYPE_CHECKING:
    from collections.abc import Callable

    from hoistmoor.config import settings as settings_lib
    from hoistmoor.core import identity
    from hoistmoor.utils import metrics as metrics_lib

_LOG = logs.PartLogger("security")


@attrs.frozen
class PeerAuth:
    """Signing and verification of calls between entry hosts.

    Attributes:
        clients: Connections to peers, which sign each call.
        guard: Accepts only calls with a valid signature.
        tls: TLS files; None for unencrypted connections.
    """

    clients: client.PeerClientPool
    guard: guard_lib.CallGuard
    tls: tls_lib.TlsFiles | None

    @property
    def link(self) -> tls_lib.Link:
        """URL scheme and TLS verification for HTTP requests to other hosts."""
        return self.tls.link if self.tls else tls_lib.PLAIN

    @classmethod
    def make(
        cls,
        settings: settings_lib.EntrySettings,
        incarnation: identity.Incarnation,
        clock: Callable[[], float],
        metrics: metrics_lib.Metrics,
    ) -> PeerAuth:
        """Creates an instance from a host's settings.

        Raises:
            ConfigurationError: The TLS files are invalid.
        """
        tls = _tls_files(settings)
        signer = calls.Signer(
            incarnation.host, incarnation.number, settings.secrets
        )
        make_client = functools.partial(
            client.PeerClient,
            signing=signing.CallSigning(signer, clock),
            tls=tls.peer_client_context if tls else None,
        )
        verifier = calls.Verifier(
            settings.peer_advertise or settings.peer_listen,
            settings.secrets,
            clock(),
        )
        return cls(
            client.PeerClientPool(make_client=make_client),
            guard_lib.CallGuard(verifier, clock, metrics),
            tls,
        )


def _tls_files(
    settings: settings_lib.EntrySettings,
) -> tls_lib.TlsFiles | None:
    if not settings.tls_certificate:
        _warn_if_unencrypted(settings)
        return None
    return tls_lib.TlsFiles(
        settings.tls_certificate, settings.tls_key, settings.tls_ca
    )


def _warn_if_unencrypted(settings: settings_lib.EntrySettings) -> None:
    for address in (settings.listen, settings.peer_listen):
        ip = ipaddress.ip_address(addresses.parse(address).ip)
        if not ip.is_loopback:
            _LOG.warning(
                "Connections to %s are not encrypted. See --tls-certificate",
                address,
            )
