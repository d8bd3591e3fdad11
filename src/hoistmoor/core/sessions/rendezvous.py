"""Rendezvous hashing of sessions to versions and to home hosts."""

from __future__ import annotations

import math
from typing import Protocol, TYPE_CHECKING

import attrs
import xxhash

from hoistmoor.core.table import model

if TYPE_CHECKING:
    from collections.abc import Iterable

_HASH_BITS = 64
_UNIFORM_BITS = 52  # Plus one half, exact in a double: 0 < x < 1.


class EntryHost(Protocol):
    """An entry host that can store copies of pins."""

    @property
    def name(self) -> str:
        """Name of the host."""

    @property
    def failure_domain(self) -> str:
        """Failure domain that the host belongs to."""


@attrs.frozen
class HomeHost:
    """A minimal ``EntryHost``.

    Attributes:
        name: Name of the host.
        failure_domain: Failure domain that the host belongs to.
    """

    name: str
    failure_domain: str


def is_usable(table: model.Table, account: str, version_key: str) -> bool:
    """Returns whether a session of ``account`` may be pinned to a version."""
    version = table.versions.get(version_key)
    if version is None or version.stage is model.Stage.WITHDRAWN:
        return False
    return table.grant_for(account, version) is not None


def choose_version(
    table: model.Table, account: str, session: str, model_name: str
) -> str | None:
    """Returns the version for a new session, or None if none is eligible.

    The choice is deterministic: hosts with the same table revision choose the
    same version. Candidate versions, whose quality is not established yet,
    receive new sessions only if no active version is eligible.

    Args:
        table: The table in force.
        account: Client account that owns the session.
        session: Name of the session.
        model_name: Name of a model; the result is None for any other name.
    """
    owner = f"{account}|{session}"
    granted = [
        version
        for version in table.versions_by_model.get(model_name, ())
        if version.weight > 0 and table.grant_for(account, version)
    ]
    for stage in (model.Stage.ACTIVE, model.Stage.CANDIDATE):
        rows = [version for version in granted if version.stage is stage]
        if rows:
            return max(rows, key=lambda row: _version_score(row, owner)).key
    return None


def home_hosts(
    hosts: Iterable[EntryHost], account: str, session: str
) -> tuple[str, ...]:
    """Returns the names of the hosts that store a session's pin, at most two.

    The second host is in another failure domain than the first if possible.
    When a single host joins or leaves, at least one of two home hosts remains
    the same.
    """
    owner = f"|{account}|{session}".encode()
    ranked = [
        (_host_score(host.name, owner), host.name, host.failure_domain)
        for host in hosts
    ]
    if len(ranked) < 2:
        return tuple(name for _, name, _ in ranked)
    _, first, domain = max(ranked)
    other_domains = [item for item in ranked if item[2] != domain]
    others = other_domains or [item for item in ranked if item[1] != first]
    return first, max(others)[1]


def _version_score(version: model.Version, owner: str) -> tuple[float, str]:
    # Weighted rendezvous hashing: sessions are distributed in proportion to
    # the weights, and a weight change moves only as many as necessary.
    bits = _hash(f"{version.key}|{owner}") >> (_HASH_BITS - _UNIFORM_BITS)
    uniform = (bits + 0.5) / 2.0**_UNIFORM_BITS
    return -version.weight / math.log(uniform), version.key


def _host_score(name: str, owner: bytes) -> int:
    return xxhash.xxh3_64_intdigest(name.encode() + owner)


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
