"""gRPC codec that passes encoded messages through.

Signatures cover the encoded bytes, so signing code needs exactly those.
"""

from __future__ import annotations

from grpclib.encoding import base


class RawCodec(base.CodecBase):
    """Sends and receives messages as encoded bytes."""

    __content_subtype__ = "proto"

    def encode(self, message: bytes, message_type: object) -> bytes:
        """Returns the message unchanged."""
        return message

    def decode(self, data: bytes, message_type: object) -> bytes:
        """Returns the received bytes unchanged."""
        return data
