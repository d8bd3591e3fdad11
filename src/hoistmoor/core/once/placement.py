"""Placement of claim shards on hosts.

With a single shard, every host reads every claim, which is fastest while there
are few claims. With several shards, each has its own stream that a few hosts
follow, and the other hosts forward keyed requests to them. Hosts may disagree
on the placement for a while, since it only decides where a request is sent. The
shard's stream decides which request may run.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from hoistmoor.core import streams

if TYPE_CHECKING:
    from collections.abc import Iterable

FOLLOWERS = 2  # Hosts that follow each shard, to tolerate the loss of one.


def shard_of(key: str, shards: int) -> int:
    """Returns the shard of a key.

    Args:
        key: Digest of the client account and the caller's key.
        shards: Number of shards; must be the same at every host.
    """
    return xxhash.xxh3_64_intdigest(key.encode()) % shards


def stream_of(shard: int, shards: int) -> str:
    """Returns the name of a shard's stream."""
    if shards == 1:
        return streams.CLAIMS
    return f"{streams.CLAIMS}-{shards}-{shard}"


def followers(shard: int, hosts: Iterable[str]) -> tuple[str, ...]:
    """Returns the hosts that follow a shard, in order of preference.

    Uses rendezvous hashing: when a host joins or leaves, only its shards move.
    """

    def weight(host: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{shard}/{host}".encode())

    return tuple(sorted(hosts, key=weight, reverse=True)[:FOLLOWERS])
