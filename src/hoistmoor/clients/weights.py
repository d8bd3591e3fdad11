"""Client for the platform's weight store, which is rate-limited."""

from __future__ import annotations

import attrs

from hoistmoor.clients import service_client


@attrs.frozen
class WeightInfo:
    """Metadata of the weights of one version.

    Attributes:
        model: Name of the model.
        version: Name of the version.
        size_bytes: Number of bytes that an engine downloads to load it.
        digest: Hash of the weights in hexadecimal.
    """

    model: str
    version: str
    size_bytes: int
    digest: str


@attrs.define(eq=False, slots=False)
class WeightStoreClient(service_client.ServiceClient):
    """Fetches metadata of weights."""

    timeout: float = 5.0  # Seconds.

    async def fetch_info(self, model: str, version: str) -> WeightInfo:
        """Returns the metadata of one version.

        Raises:
            RateLimitedError: Too many calls; the error says when to retry.
            ServiceUnavailableError: Not found, or no valid response in time.
        """
        return await self.fetch_json(f"/weights/{model}/{version}", WeightInfo)
