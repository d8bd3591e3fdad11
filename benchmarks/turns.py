"""False alarms and delay of the test for a version that turns bad.

Run with ``python benchmarks/turns.py``. Ratings of three kinds go to the real
router; the truth per kind differs from the prior, and the test must not take
that for a turn.
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
STREAMS = 40
RATINGS = 4000
TURN_AT = 400
CONFIDENCES = (0.5, 0.7, 0.85, 0.93, 0.97)


def make_router(confidence: float) -> router_lib.Router:
    """Returns a router with two versions and that withdraw confidence."""
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
class Stream:
    """Ratings of one version.

    Attributes:
        source: Its randomness.
        turned: Share that a turned version keeps of each kind's quality.
        kind: Kind that is hit; empty for all.
        ramp: Ratings until the turn is complete.
    """

    source: random.Random
    turned: float = 1.0
    kind: str = ""
    ramp: int = 0

    def rating(self, number: int) -> messages.Rating:
        """Returns the rating of that number."""
        kind = self.source.choice(list(KINDS))
        confidence = self.source.choice(CONFIDENCES)
        # Confidence tells something of quality, less than the prior holds.
        chance = KINDS[kind] + 0.2 * (confidence - 0.79)
        depth = min(1.0, max(0.0, (number - TURN_AT) / max(1, self.ramp)))
        if self.kind in ("", kind):
            chance *= 1.0 - (1.0 - self.turned) * depth
        return messages.Rating(
            quality_estimates.make_answer_id(
                f"a{number}", confidence, escalated=False
            ),
            "watched",
            "1",
            kind,
            self.source.random() < chance,
            float(number),
        )


def until_withdrawn(stream: Stream, confidence: float) -> int | None:
    """Returns the number of ratings until the first withdrawal."""
    router = make_router(confidence)
    for number in range(RATINGS):
        router.on_rating(stream.rating(number), 5.0 * number)
        if router.drain_effects():
            return number
    return None


def main() -> None:
    """Prints both tables."""
    write = sys.stdout.write
    for confidence in (0.95, limits.DEFINITIONS["withdraw_confidence"].default):
        alarms = [
            until_withdrawn(Stream(random.Random(seed)), confidence)
            for seed in range(STREAMS)
        ]
        count = sum(alarm is not None for alarm in alarms)
        seen = sum(RATINGS if a is None else a for a in alarms)
        write(
            f"confidence {confidence}: {count} false alarms in {seen} "
            f"ratings; stated at most one in "
            f"{sequential.threshold(confidence):.0f} for each test\n"
        )
        _write_delays(confidence)


def _write_delays(confidence: float) -> None:
    cases = {
        "to 0.4 of it, at once": (0.4, "", 0),
        "to 0.7 of it, at once": (0.7, "", 0),
        "to 0.4 over 200 ratings": (0.4, "", 200),
        "to 0.4, kind usual only": (0.4, "usual", 0),
    }
    for name, (turned, kind, ramp) in cases.items():
        delays = []
        for seed in range(STREAMS // 2):
            stream = Stream(random.Random(1000 + seed), turned, kind, ramp)
            found = until_withdrawn(stream, confidence)
            if found is None or found >= TURN_AT:
                delays.append((found or RATINGS) - TURN_AT)
        limit = sequential.min_detection_delay(
            PRIOR, PRIOR * turned, confidence
        )
        limit *= len(KINDS) if kind else 1
        sys.stdout.write(
            f"  {name}: median {statistics.median(delays):.0f}, most "
            f"{max(delays)} ratings; limit at once {limit:.0f}\n"
        )


if __name__ == "__main__":
    main()
