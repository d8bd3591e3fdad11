"""Client for the platform's rating service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hoistmoor.clients import service_client
from hoistmoor.core.routing import messages

if TYPE_CHECKING:
    from collections.abc import Sequence


@attrs.frozen
class ModelResponse:
    """A model response submitted for rating.

    Attributes:
        answer_id: Id of the request; the service ignores further responses
            with the same id.
        model: Name of the model.
        version: Name of the version that produced the response.
        kind: Kind of request, as classified by the router.
        text: Text of the response.
    """

    answer_id: str
    model: str
    version: str
    kind: str
    text: str


@attrs.frozen
class RatingPage:
    """One page of ratings.

    Attributes:
        next: Offset at which the next page starts.
        ratings: Ratings in the order in which they were created.
    """

    next: int
    ratings: tuple[messages.Rating, ...]


class RatingsClient(service_client.ServiceClient):
    """Submits responses and polls for their ratings.

    Ratings are sparse and arrive with a delay.
    """

    async def submit(self, *responses: ModelResponse) -> None:
        """Submits responses for rating, all in one call.

        Raises:
            ServiceUnavailableError: The responses may or may not have been
                accepted; submitting them again is safe.
        """
        await self.submit_all(responses)

    async def submit_all(self, responses: Sequence[ModelResponse]) -> None:
        """Submits a sequence of responses; see ``submit``."""
        url = f"{self.base_url}/ratings/answers"
        content = [attrs.asdict(response) for response in responses]
        status, _ = await service_client.send_json(
            self.session, "POST", url, content, self.timeout
        )
        if status != 202:
            raise service_client.ServiceUnavailableError(
                f"{url} responded with HTTP status {status}",
                "Wait, then submit the responses again.",
            )

    async def poll(self, offset: int, limit: int = 1000) -> RatingPage:
        """Returns the ratings from ``offset`` on; the first offset is 0.

        Raises:
            ServiceUnavailableError: No valid response in time.
        """
        query = {"from": str(offset), "limit": str(limit)}
        return await self.fetch_json("/ratings", RatingPage, query)
