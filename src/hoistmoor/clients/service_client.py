"""JSON over HTTP calls that all clients of the platform's services share."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING, TypeVar

import aiohttp
import attrs
import cattrs
import orjson

from hoistmoor.core import codec
from hoistmoor.core import errors

if TYPE_CHECKING:
    import ssl

_T = TypeVar("_T")

DEFAULT_TIMEOUT = 2.0  # Seconds.

# Exceptions that aiohttp raises when the transport of a call fails.
TRANSPORT_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)

_REMEDIES = {
    400: "Check that client and service use the same version of the API.",
    404: "Check the name and that the address is that of the service.",
}


class ServiceUnavailableError(errors.PlatformError):
    """A service of the platform gave no valid response."""


class RateLimitedError(errors.PlatformError):
    """A service of the platform rejected a call because of a rate limit.

    Attributes:
        retry_after: Seconds to wait before the next call.
    """

    def __init__(self, url: str, retry_after: float) -> None:
        super().__init__(
            f"{url} is rate-limited",
            f"Retry in {retry_after:g} seconds.",
        )
        self.retry_after = retry_after


def make_timeout(seconds: float) -> aiohttp.ClientTimeout:
    """Returns the timeout of a call, of which connecting may use up to 1 s."""
    return aiohttp.ClientTimeout(total=seconds, connect=min(seconds, 1.0))


def is_unsent(error: BaseException) -> bool:
    """Returns whether a failed call is certain not to have been sent."""
    return isinstance(
        error, aiohttp.ClientConnectorError | aiohttp.ConnectionTimeoutError
    )


def parse_json(body: bytes, cls: type[_T], source: str) -> _T:
    """Decodes the JSON body of a response as an instance of ``cls``.

    Raises:
        ServiceUnavailableError: The body is not JSON or does not match
            ``cls``.
    """
    try:
        return codec.structure(orjson.loads(body), cls)
    except (
        ValueError,
        TypeError,
        KeyError,
        cattrs.BaseValidationError,
    ) as error:
        raise ServiceUnavailableError(
            f"{source} sent a malformed response: {error!r}",
            "Check that the address is that of the service.",
        ) from error


async def fetch_json(
    session: aiohttp.ClientSession,
    url: str,
    cls: type[_T],
    timeout: float,
    params: dict[str, Any] | None = None,
    verify: ssl.SSLContext | bool = True,
) -> _T:
    """Fetches one JSON document.

    Raises:
        RateLimitedError: The service responded with status 429.
        ServiceUnavailableError: The status was neither 200 nor 429, the
            response was malformed, or there was none in time.
    """
    try:
        async with session.get(
            url, params=params, timeout=make_timeout(timeout), ssl=verify
        ) as response:
            body = await response.read()
            status = response.status
            retry_after = response.headers.get("Retry-After", "1")
    except TRANSPORT_ERRORS as error:
        raise ServiceUnavailableError(
            f"no response from {url}: {error!r}",
            "Check the address and that the service is running, then retry.",
        ) from error
    if status == 429:
        raise RateLimitedError(url, _parse_retry_after(retry_after))
    if status != 200:
        remedy = _REMEDIES.get(status, "Wait, then retry.")
        raise ServiceUnavailableError(
            f"{url} responded with HTTP status {status}", remedy
        )
    return parse_json(body, cls, url)


def _strip_trailing_slash(base_url: str) -> str:
    return base_url.rstrip("/")


@attrs.define(eq=False, slots=False)
class ServiceClient:
    """Base class for clients of the platform's services.

    Attributes:
        session: A session from ``sessions.make_session``, which the caller
            closes.
        base_url: Base URL, for example ``http://127.0.0.1:9000``.
        timeout: Timeout of one call in seconds; a long poll adds its wait.
    """

    session: aiohttp.ClientSession
    base_url: str = attrs.field(converter=_strip_trailing_slash)
    timeout: float = DEFAULT_TIMEOUT

    async def fetch_json(
        self, path: str, cls: type[_T], params: dict[str, Any] | None = None
    ) -> _T:
        """Fetches one JSON document; raises the errors of ``fetch``."""
        url = self.base_url + path
        return await fetch_json(self.session, url, cls, self.timeout, params)


async def send_json(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    content: object,
    timeout: float,
) -> tuple[int, bytes]:
    """Sends one JSON document.

    Returns:
        The status code and the body of the response.

    Raises:
        ServiceUnavailableError: No complete response in time; the call may
            have taken effect.
    """
    try:
        async with session.request(
            method,
            url,
            data=orjson.dumps(content),
            headers={"Content-Type": "application/json"},
            timeout=make_timeout(timeout),
        ) as response:
            return response.status, await response.read()
    except TRANSPORT_ERRORS as error:
        raise ServiceUnavailableError(
            f"no response from {url}: {error!r}",
            "Check whether the call took effect before sending it again.",
        ) from error


def _parse_retry_after(text: str) -> float:
    try:
        return max(0.0, float(text))
    except ValueError:
        return 1.0
