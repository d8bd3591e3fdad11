"""Measures false alarms and delays in the detection of degraded versions.

Run with ``python benchmarks/turns.py``. The real router gets ratings of three
kinds of request whose true quality differs from the prior; the test must not
mistake that difference for a degradation.
"""

from __future__ import annotations

import random
import statistics
import sys

import attrs

from hoistmoor.core.routing import messages
from hoistmoor.core.routing import quality_estimates
from hoistmoor.core.routing import router as router_lib
from hoistmoor.core.routing import sequential
from hoistmoor.core.table import limits
from hoistmoor.core.table import model

KINDS = {"easy": 0.94, "usual": 0.88, "hard": 0.80}
PRIOR = 0.88
STREAM_COUNT = 40
RATING_COUNT = 4000
DEGRADED_FROM = 400
CONFIDENCES = (0.5, 0.7, 0.85, 0.93, 0.97)


def make_router(confidence: float) -> router_lib.Router:
    """Returns a router with two versions and the given withdraw confidence."""
    rows = [
        model.Version(
            model=name,
            version="1",
            service="llm",
            stage=model.Stage.ACTIVE,
            weight=1.0,
            input_price=1,
            output_price=1,
            prior_quality=PRIOR,
            exposure_cap=0,
            replicas=1,
        )
        for name in ("watched", "other")
    ]
    limit = model.Limit("withdraw_confidence", confidence)
    table = model.Table(
        versions={row.key: row for row in rows}, limits={limit.key: limit}
    )
    router = router_lib.Router("d", 1, "h")
    router.on_table(model.ActiveTable(1, table))
    return router


@attrs.define
class RatingStream:
    """Ratings of one version.

    Attributes:
        rng: Source of randomness.
        quality_factor: Fraction of its quality that a degraded version keeps.
        degraded_kind: Kind that degrades; empty for all.
        ramp: Number of ratings until the degradation is complete.
    """

    rng: random.Random
    quality_factor: float = 1.0
    degraded_kind: str = ""
    ramp: int = 0

    def rating(self, number: int) -> messages.Rating:
        """Returns the rating with the given number."""
        kind = self.rng.choice(list(KINDS))
        confidence = self.rng.choice(CONFIDENCES)
        # Confidence predicts quality, but less than the prior assumes.
        probability = KINDS[kind] + 0.2 * (confidence - 0.79)
        progress = min(
            1.0, max(0.0, (number - DEGRADED_FROM) / max(1, self.ramp))
        )
        if self.degraded_kind in ("", kind):
            probability *= 1.0 - (1.0 - self.quality_factor) * progress
        return messages.Rating(
            quality_estimates.make_answer_id(
                f"a{number}", confidence, escalated=False
            ),
            "watched",
            "1",
            kind,
            self.rng.random() < probability,
            float(number),
        )


def ratings_until_withdrawn(
    stream: RatingStream, confidence: float
) -> int | None:
    """Returns the number of ratings before a withdrawal, or None."""
    router = make_router(confidence)
    for number in range(RATING_COUNT):
        router.on_rating(stream.rating(number), 5.0 * number)
        if router.drain_effects():
            return number
    return None


def main() -> None:
    """Prints both tables."""
    write = sys.stdout.write
    for confidence in (0.95, limits.DEFINITIONS["withdraw_confidence"].default):
        withdrawals = [
            ratings_until_withdrawn(
                RatingStream(random.Random(seed)), confidence
            )
            for seed in range(STREAM_COUNT)
        ]
        count = sum(withdrawal is not None for withdrawal in withdrawals)
        rating_total = sum(
            RATING_COUNT if withdrawal is None else withdrawal
            for withdrawal in withdrawals
        )
        write(
            f"confidence {confidence}: {count} false alarms in {rating_total} "
            f"ratings; stated at most one in "
            f"{sequential.threshold(confidence):.0f} for each test\n"
        )
        _write_detection_delays(confidence)


def _write_detection_delays(confidence: float) -> None:
    cases = {
        "to 0.4 of it, at once": (0.4, "", 0),
        "to 0.7 of it, at once": (0.7, "", 0),
        "to 0.4 over 200 ratings": (0.4, "", 200),
        "to 0.4, kind usual only": (0.4, "usual", 0),
    }
    for name, (quality_factor, kind, ramp) in cases.items():
        delays = []
        for seed in range(STREAM_COUNT // 2):
            stream = RatingStream(
                random.Random(1000 + seed), quality_factor, kind, ramp
            )
            withdrawn_after = ratings_until_withdrawn(stream, confidence)
            if withdrawn_after is None or withdrawn_after >= DEGRADED_FROM:
                delays.append((withdrawn_after or RATING_COUNT) - DEGRADED_FROM)
        limit = sequential.min_detection_delay(
            PRIOR, PRIOR * quality_factor, confidence
        )
        limit *= len(KINDS) if kind else 1
        sys.stdout.write(
            f"  {name}: median {statistics.median(delays):.0f}, most "
            f"{max(delays)} ratings; limit at once {limit:.0f}\n"
        )


if __name__ == "__main__":
    main()
