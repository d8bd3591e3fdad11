"""Identities of hosts, requests and attempts."""

from __future__ import annotations

import attrs


@attrs.frozen
class Incarnation:
    """One run of a process on a host.

    Attributes:
        host: Name of the host from its settings; must not contain ``.``.
        number: Start time in milliseconds since the Unix epoch. A later run
            on the same host has a higher number.
    """

    host: str
    number: int

    def __str__(self) -> str:
        """Returns the form used in ids: ``host.number`` with a hex number."""
        return f"{self.host}.{self.number:x}"


@attrs.frozen
class RequestId:
    """Identifies a request and the process that handled it.

    Attributes:
        incarnation: Process that received the request.
        serial: Sequence number of the request in that process, from 1.
    """

    incarnation: Incarnation
    serial: int

    def __str__(self) -> str:
        """Returns the form shown to callers: ``host.number.serial``."""
        return f"{self.incarnation}.{self.serial:x}"

    @classmethod
    def parse(cls, text: str) -> RequestId:
        """Parses a request id.

        Raises:
            ValueError: ``text`` is not of the form ``host.number.serial``.
        """
        host, number, serial = text.split(".")
        return cls(Incarnation(host, int(number, 16)), int(serial, 16))


@attrs.frozen
class AttemptId:
    """Identifies one attempt to send a request to a backend server.

    Attributes:
        request: Id of the request.
        ordinal: Sequence number of the attempt within the request, from 1.
    """

    request: RequestId
    ordinal: int

    def __str__(self) -> str:
        """Returns the form sent to backend servers."""
        return f"{self.request}.{self.ordinal:x}"
