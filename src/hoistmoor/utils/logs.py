"""Logging to standard error, as text or JSON, with a prefix per part."""

from __future__ import annotations

import logging
import re
from typing import Any, TYPE_CHECKING

from absl import flags
from absl import logging as absl_logging
import orjson

from hoistmoor.config import settings as settings_lib

if TYPE_CHECKING:
    from collections.abc import MutableMapping

_BEARER = re.compile(r"(?i)(bearer\s+)\S+")
_PART = "part"
_HIDDEN = r"\1[hidden]"


class PartLogger(logging.LoggerAdapter[logging.Logger]):
    """Writes to the ``absl`` log, with the name of a part as a prefix.

    Args:
        part: Name of the part, such as ``entry`` or ``table``.
    """

    def __init__(self, part: str) -> None:
        super().__init__(absl_logging.get_absl_logger(), {"part": part})
        self.part = part

    def process(
        self, msg: Any, kwargs: MutableMapping[str, Any]
    ) -> tuple[Any, MutableMapping[str, Any]]:
        """Adds the prefix to a message."""
        return f"{self.part}: {msg}", {**kwargs, "extra": {_PART: self.part}}


class KeyFilter(logging.Filter):
    """Redacts bearer keys in messages.

    The programs log no headers or bodies; this is a second line of defense.
    """

    def filter(self, record: logging.LogRecord) -> bool:
        """Redacts the keys in a record's message; keeps every record."""
        message = record.getMessage()
        if _BEARER.search(message):
            record.msg = _BEARER.sub(_HIDDEN, message)
            record.args = ()
        return True


class JsonFormatter(logging.Formatter):
    """Formats records as a JSON object per line."""

    def format(self, record: logging.LogRecord) -> str:
        """Returns the line for ``record``."""
        part = getattr(record, _PART, record.name)
        line = {
            "at": round(record.created, 3),
            "level": record.levelname.lower(),
            "part": part,
            "message": record.getMessage().removeprefix(f"{part}: "),
            "process": record.process,
        }
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)
        return orjson.dumps(line).decode()


def configure(settings: settings_lib.CommonSettings) -> None:
    """Configures the logging of this process."""
    flags.FLAGS.mark_as_parsed()  # cappa parses the flags; absl's are unused.
    absl_logging.use_absl_handler()
    absl_logging.set_verbosity(settings.log_level.value)
    handler = absl_logging.get_absl_handler()
    handler.addFilter(KeyFilter())
    if settings.log_format is settings_lib.LogFormat.JSON:
        handler.setFormatter(JsonFormatter())
    # Metrics and explanations already cover each request.
    logging.getLogger("aiohttp.access").setLevel(logging.ERROR)
