"""Stand-in for the platform's rate-limited weight store."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs
import xxhash

from hoistmoor.clients import weights
from hoistmoor.standins import responses
from hoistmoor.standins import token_bucket

if TYPE_CHECKING:
    from aiohttp import web

_MEBIBYTE = 1024 * 1024


class WeightStoreStandin:
    """A weight store that contains every version."""

    def __init__(self, calls_per_second: float = 5.0) -> None:
        self.call_limiter = token_bucket.TokenBucket(calls_per_second)

    def add_routes(self, application: web.Application) -> None:
        """Registers the routes of the weight store."""
        application.router.add_get(
            "/weights/{model}/{version}", self.handle_info
        )

    async def handle_info(self, request: web.Request) -> web.Response:
        """Returns the size and the digest of a version's weights."""
        if not self.call_limiter.try_take(time.time()):
            response = responses.json_response({"error": "rate-limited"}, 429)
            response.headers["Retry-After"] = "1"
            return response
        model = request.match_info["model"]
        version = request.match_info["version"]
        digest = xxhash.xxh3_128_hexdigest(f"{model}@{version}".encode())
        size = (1 + int(digest[:2], 16)) * _MEBIBYTE
        info = weights.WeightInfo(model, version, size, digest)
        return responses.json_response(attrs.asdict(info))
