"""Bytes and processor time of evidence at each host: raw or counted.

Run with ``python benchmarks/ratings.py``. Raw ratings are a page of the rating
service, as every host polls it; counted ones are what one writer would append
to the evidence stream every five seconds, with a good and a bad count for each
version, kind, bucket and escalation that was rated.
"""

from __future__ import annotations

import base64
import collections
import random
import sys
import time

import attrs
import orjson

from hoistmoor.core.routing import messages
from hoistmoor.core.routing import quality_estimates
from hoistmoor.core.table import model

VERSIONS = 12
KINDS = ("question", "ledger", "receipt")
RATED_SHARE = 0.1
RATES = (2.4, 85.0, 425.0, 850.0)  # Requests a second over all hosts.
PERIOD_S = 5.0
HOSTS = 360


def make_ratings(count: int, seed: int) -> list[messages.Rating]:
    """Returns ratings of dearer versions less often than of cheaper ones."""
    source = random.Random(seed)
    weights = [1.0 / (1 + i) for i in range(VERSIONS)]
    found = []
    for number in range(count):
        place = source.choices(range(VERSIONS), weights)[0]
        attempt = f"host-{source.randrange(HOSTS)}.18f2a3b4c.{number:x}.1"
        found.append(
            messages.Rating(
                quality_estimates.make_answer_id(
                    attempt,
                    source.betavariate(5, 1.5),
                    escalated=source.random() < 0.2,
                ),
                f"model-{place % 4}",
                f"2025-{place // 4 + 1:02}",
                source.choice(KINDS),
                source.random() < 0.88,
                1764687600.0 + number / 7.0,
            )
        )
    return found


def raw_bytes(ratings: list[messages.Rating]) -> int:
    """Returns the size of a page of the rating service."""
    rows = [attrs.asdict(rating) for rating in ratings]
    return len(orjson.dumps({"next": 10**9, "ratings": rows}))


def counted_bytes(ratings: list[messages.Rating]) -> tuple[int, int]:
    """Returns the size of one record as read from the log, and its cells."""
    cells: dict[tuple[str, str, int, bool], list[int]] = (
        collections.defaultdict(lambda: [0, 0])
    )
    for rating in ratings:
        bucket, escalated = quality_estimates.parse_answer_id(rating.answer_id)
        version = f"{rating.model}@{rating.version}"
        cell = cells[version, rating.kind, bucket, escalated]
        cell[not rating.good] += 1
    by_kind: dict[str, dict[str, list[list[int]]]] = {}
    for (version, kind, bucket, escalated), (good, bad) in cells.items():
        rows = by_kind.setdefault(version, {}).setdefault(kind, [])
        rows.append([bucket, int(escalated), good, bad])
    record = {"from": 10**9, "next": 10**9, "fencing": 99, "cells": by_kind}
    payload = base64.b64encode(orjson.dumps(record)).decode()
    line = {"offset": 10**6, "at": 1764687600.5, "payload": payload}
    return len(orjson.dumps(line)), len(cells)


def seconds_per_rating(ratings: list[messages.Rating]) -> float:
    """Returns the processor time of counting one rating in the estimates."""
    rows = {
        f"{r.model}@{r.version}": model.Version(
            r.model,
            r.version,
            "llm",
            model.Stage.ACTIVE,
            1.0,
            100,
            400,
            0.88,
            0,
            2,
        )
        for r in ratings
    }
    known = quality_estimates.QualityEstimates()
    start = time.process_time()
    for rating in ratings:
        row = rows[f"{rating.model}@{rating.version}"]
        known.on_rating(rating, row, rating.at)
    return (time.process_time() - start) / len(ratings)


def main() -> None:
    """Prints a line for each rate of requests."""
    write = sys.stdout.write
    cost = seconds_per_rating(make_ratings(2000, 1))
    write(f"one rating: {cost * 1e6:.1f} us of estimates\n")
    write("requests/s  ratings/s  raw B/s  counted B/s  cells  core\n")
    for rate in RATES:
        ratings = make_ratings(round(rate * RATED_SHARE * PERIOD_S) or 1, 2)
        counted, cells = counted_bytes(ratings)
        write(
            f"{rate:10.1f} {rate * RATED_SHARE:10.1f} "
            f"{raw_bytes(ratings) / PERIOD_S:8.0f} {counted / PERIOD_S:12.0f} "
            f"{cells:6} {rate * RATED_SHARE * cost:5.2%}\n"
        )


if __name__ == "__main__":
    main()
