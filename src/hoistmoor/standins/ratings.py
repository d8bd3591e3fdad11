"""Stand-in for the platform's rating service.

It rates a fraction of the submitted responses, after a delay.
"""

from __future__ import annotations

import heapq
import time

from aiohttp import web
import attrs
import cattrs

from hoistmoor.clients import ratings
from hoistmoor.core import codec
from hoistmoor.core.routing import messages
from hoistmoor.standins import fault_registry
from hoistmoor.standins import faults
from hoistmoor.standins import quality_marks
from hoistmoor.standins import responses

_PATH = "/ratings"
_MAX_RATINGS = 100_000  # Number kept for readers.


@attrs.define
class RatingsStandin:
    """The rating service.

    Attributes:
        fault_registry: Registry of the active faults.
        share: Fraction of the responses that are rated, 0 to 1.
        delay: Seconds from the submission of a response to its rating.
        seed: Seed that determines which responses are rated.
        first_offset: Offset of the oldest rating kept.
        finished_ratings: Ratings kept for readers, oldest first.
        pending: Heap of responses to rate, by time of submission.
        submitted: Ids of all responses submitted.
    """

    fault_registry: fault_registry.FaultRegistry
    share: float = 1.0
    delay: float = 0.0
    seed: int = 0
    first_offset: int = 0
    finished_ratings: list[messages.Rating] = attrs.field(factory=list)
    pending: list[tuple[float, int, ratings.ModelResponse]] = attrs.field(
        factory=list
    )
    submitted: set[str] = attrs.field(factory=set)

    def add_routes(self, application: web.Application) -> None:
        """Registers the routes of the rating service."""
        application.router.add_post(_PATH + "/answers", self.handle_submit)
        application.router.add_get(_PATH, self.handle_poll)

    def submit(self, answer: ratings.ModelResponse, now: float) -> None:
        """Accepts a response for rating and ignores a duplicate."""
        if answer.answer_id in self.submitted:
            return
        self.submitted.add(answer.answer_id)
        chance = quality_marks.uniform_hash(
            self.seed, "share", answer.answer_id
        )
        if (
            chance >= self.share
            or quality_marks.read_quality(answer.text) is None
        ):
            return
        serial = len(self.submitted)
        heapq.heappush(self.pending, (now, serial, answer))

    def rate_due(self, now: float) -> None:
        """Rates the responses whose rating is due at ``now``."""
        submitted_by = now - self.delay - self.fault_registry.extra_lag(_PATH)
        while self.pending and self.pending[0][0] <= submitted_by:
            answer = heapq.heappop(self.pending)[2]
            gap = self.fault_registry.count_event(faults.Gap)
            if gap is None or gap.applied % gap.every:
                self.finished_ratings.append(_make_rating(answer, now))
        excess = len(self.finished_ratings) - _MAX_RATINGS
        if excess > 0:
            del self.finished_ratings[:excess]
            self.first_offset += excess

    async def handle_submit(self, request: web.Request) -> web.Response:
        """Accepts a list of responses."""
        fields = await responses.read_json(request)
        try:
            submitted = codec.structure(fields, list[ratings.ModelResponse])
        except cattrs.BaseValidationError as error:
            raise web.HTTPBadRequest(text=repr(error)) from error
        now = time.time()
        for answer in submitted:
            self.submit(answer, now)
        return responses.json_response({"taken": len(submitted)}, 202)

    async def handle_poll(self, request: web.Request) -> web.Response:
        """Returns the ratings from an offset on."""
        self.rate_due(time.time())
        start = max(self.first_offset, int(request.query.get("from", "0")))
        limit = int(request.query.get("limit", "1000"))
        rows = self.finished_ratings[start - self.first_offset :][:limit]
        return responses.json_response(
            {
                "next": start + len(rows),
                "ratings": [attrs.asdict(row) for row in rows],
            }
        )


def _make_rating(answer: ratings.ModelResponse, now: float) -> messages.Rating:
    return messages.Rating(
        answer_id=answer.answer_id,
        model=answer.model,
        version=answer.version,
        kind=answer.kind,
        good=quality_marks.read_quality(answer.text) is True,
        at=now,
    )
