"""Base classes of the exception hierarchy.

Each message states the problem, followed by the action to take.
"""

from __future__ import annotations

KEY_EXCERPT = 80  # Characters of a long key that a message quotes.


class HoistmoorError(Exception):
    """Base class of all exceptions raised by this project.

    Attributes:
        problem: What went wrong, as one sentence without a full stop.
        remedy: What the reader should do next, as one sentence.
    """

    def __init__(self, problem: str, remedy: str) -> None:
        super().__init__(f"{problem}. {remedy}")
        self.problem = problem
        self.remedy = remedy


class ConfigurationError(HoistmoorError):
    """A flag, environment variable or table cell has an invalid value."""


class CodecError(HoistmoorError):
    """External data cannot be decoded to a known record."""


class PlatformError(HoistmoorError):
    """A platform service did not perform the requested operation."""


class LogUnavailableError(PlatformError):
    """The log service is unreachable or refused the call: nothing stored."""


class LogOutcomeUnknownError(PlatformError):
    """An append got no reply, so it may or may not have taken effect."""


class LogRewoundError(LogOutcomeUnknownError):
    """The log has lost records that it had acknowledged.

    Guarantees that depend on these records, such as claims on non-idempotent
    calls, no longer hold.
    """

    def __init__(self, stream: str, known: int, now: int) -> None:
        super().__init__(
            f"stream {stream} had reached offset {known} but assigned offset "
            f"{now} again",
            "Find out which records were lost, then restart this host.",
        )


class RecordLimitError(PlatformError):
    """A record does not fit the format of the log, so it cannot be written.

    Attributes:
        key: Beginning of the record's key.
    """

    def __init__(self, key: str, part: str, size: int, limit: int) -> None:
        beginning = key[:KEY_EXCERPT]
        super().__init__(
            f"the {part} of record {beginning!r} has {size} bytes; {limit} fit",
            "Shorten the names from which the record is made.",
        )
        self.key = beginning


class LogEraChangedError(PlatformError):
    """The log was restored from an older copy, so older offsets are invalid."""

    def __init__(self, stream: str, known: int, now: int) -> None:
        super().__init__(
            f"stream {stream} is in era {now}, but era {known} was requested",
            "Read the newest records of the stream.",
        )


class LogOffsetExpiredError(PlatformError):
    """The requested offset is older than the retention period of the log.

    Attributes:
        first_offset: Oldest offset that can still be read.
    """

    def __init__(self, stream: str, offset: int, first_offset: int) -> None:
        super().__init__(
            f"offset {offset} of stream {stream} is older than its retention",
            f"Read from offset {first_offset}.",
        )
        self.first_offset = first_offset
