"""The root of the exception tree.

Each message says what went wrong and then what to do about it.
"""

from __future__ import annotations


class HoistmoorError(Exception):
    """Base of every error that the project raises on purpose.

    Attributes:
        problem: What went wrong, one sentence without a full stop.
        remedy: What the reader should do next, one sentence.
    """

    def __init__(self, problem: str, remedy: str) -> None:
        super().__init__(f"{problem}. {remedy}")
        self.problem = problem
        self.remedy = remedy


class ConfigurationError(HoistmoorError):
    """A flag, an environment variable or a table cell has a bad value."""


class CodecError(HoistmoorError):
    """Bytes from outside do not decode to a known record."""


class PlatformError(HoistmoorError):
    """A service of the platform did not do what was asked."""


class LogUnavailableError(PlatformError):
    """The log service refused or could not be reached: nothing was stored."""


class LogOutcomeUnknownError(PlatformError):
    """An append got no reply: it may or may not have taken effect."""


class LogRewoundError(LogOutcomeUnknownError):
    """The log has lost records that it had acknowledged.

    What rests on them, such as claims on calls that may run once, can no
    longer be kept to.
    """

    def __init__(self, stream: str, known: int, now: int) -> None:
        super().__init__(
            f"stream {stream} was known up to {known} and gave {now} again",
            "Find out what was lost, then restart this host.",
        )


class LogHistoryChangedError(PlatformError):
    """The log came back from an older copy: places before it mean nothing."""

    def __init__(self, stream: str, known: int, now: int) -> None:
        super().__init__(
            f"stream {stream} is in history {now}, and {known} was asked for",
            "Read its newest records.",
        )


class LogOffsetExpiredError(PlatformError):
    """The wanted offset is older than the log's retention.

    Attributes:
        first_offset: The oldest offset that can still be read.
    """

    def __init__(self, stream: str, wanted: int, first_offset: int) -> None:
        super().__init__(
            f"offset {wanted} of stream {stream} is past its retention",
            f"Read from offset {first_offset} on.",
        )
        self.first_offset = first_offset
