"""Converts membership digests to and from protobuf messages."""

from __future__ import annotations

from hoistmoor.core.membership import messages
from hoistmoor.core.membership import view
from hoistmoor.peers import peer_pb2

_WIRE_STATES = {
    view.MemberState.ALIVE: peer_pb2.ALIVE,
    view.MemberState.SUSPECT: peer_pb2.SUSPECT,
    view.MemberState.LEAVING: peer_pb2.LEAVING,
    view.MemberState.DEAD: peer_pb2.DEAD,
}


def to_wire(digest: messages.Digest) -> peer_pb2.Digest:
    """Converts a digest to a protobuf message."""
    return peer_pb2.Digest(
        sender=digest.sender,
        incarnation=digest.incarnation,
        version=digest.version,
        state=_WIRE_STATES[digest.state],
        table_mark=digest.table_revision + 1,
        view_hash=digest.view_hash,
        members=map(_member_to_wire, digest.members),
        servers=map(_server_to_wire, digest.servers),
        part_hashes=digest.part_hashes,
    )


def from_wire(digest: peer_pb2.Digest) -> messages.Digest:
    """Converts a protobuf message to a digest."""
    return messages.Digest(
        sender=digest.sender,
        incarnation=digest.incarnation,
        version=digest.version,
        state=view.MemberState(digest.state),
        table_revision=digest.table_mark - 1,
        view_hash=digest.view_hash,
        members=tuple(map(_member_from_wire, digest.members)),
        servers=tuple(map(_server_from_wire, digest.servers)),
        part_hashes=tuple(digest.part_hashes),
    )


def _member_to_wire(member: messages.MemberNews) -> peer_pb2.MemberNews:
    return peer_pb2.MemberNews(
        name=member.name,
        incarnation=member.incarnation,
        version=member.version,
        state=_WIRE_STATES[member.state],
        http_address=member.http_address,
        peer_address=member.peer_address,
        failure_domain=member.failure_domain,
        region=member.region,
        age=member.age,
    )


def _member_from_wire(member: peer_pb2.MemberNews) -> messages.MemberNews:
    return messages.MemberNews(
        name=member.name,
        incarnation=member.incarnation,
        version=member.version,
        state=view.MemberState(member.state),
        http_address=member.http_address,
        peer_address=member.peer_address,
        failure_domain=member.failure_domain,
        region=member.region,
        age=member.age,
    )


def _server_to_wire(server: messages.ServerNews) -> peer_pb2.ServerNews:
    return peer_pb2.ServerNews(
        address=server.address, incarnation=server.incarnation, age=server.age
    )


def _server_from_wire(server: peer_pb2.ServerNews) -> messages.ServerNews:
    return messages.ServerNews(server.address, server.incarnation, server.age)
