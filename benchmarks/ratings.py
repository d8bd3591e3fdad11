"""Measures traffic and processor time of raw and of counted ratings.

Run with ``python benchmarks/ratings.py``. Raw ratings are a page of the rating
service, as every host polls it. Counted ratings are what a single writer would
append to the evidence stream every five seconds: a good and a bad count for
each rated combination of version, kind, bucket and escalation.
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

VERSION_COUNT = 12
KINDS = ("question", "ledger", "receipt")
RATED_FRACTION = 0.1
RATES = (2.4, 85.0, 425.0, 850.0)  # Requests a second over all hosts.
PERIOD_SECONDS = 5.0
HOST_COUNT = 360


def make_ratings(count: int, seed: int) -> list[messages.Rating]:
    """Returns random ratings, fewer of the more expensive versions."""
    rng = random.Random(seed)
    weights = [1.0 / (1 + i) for i in range(VERSION_COUNT)]
    ratings = []
    for number in range(count):
        index = rng.choices(range(VERSION_COUNT), weights)[0]
        attempt = f"host-{rng.randrange(HOST_COUNT)}.18f2a3b4c.{number:x}.1"
        ratings.append(
            messages.Rating(
                quality_estimates.make_answer_id(
                    attempt,
                    rng.betavariate(5, 1.5),
                    escalated=rng.random() < 0.2,
                ),
                f"model-{index % 4}",
                f"2025-{index // 4 + 1:02}",
                rng.choice(KINDS),
                rng.random() < 0.88,
                1764687600.0 + number / 7.0,
            )
        )
    return ratings


def measure_raw_bytes(ratings: list[messages.Rating]) -> int:
    """Returns the bytes of a page of the rating service."""
    rows = [attrs.asdict(rating) for rating in ratings]
    return len(orjson.dumps({"next": 10**9, "ratings": rows}))


def measure_counted_bytes(ratings: list[messages.Rating]) -> tuple[int, int]:
    """Returns the bytes of one record read from the log, and its cells."""
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
    """Returns the processor time of adding one rating to the estimates."""
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
    estimates = quality_estimates.QualityEstimates()
    start = time.process_time()
    for rating in ratings:
        row = rows[f"{rating.model}@{rating.version}"]
        estimates.on_rating(rating, row, rating.at)
    return (time.process_time() - start) / len(ratings)


def main() -> None:
    """Prints a line for each rate of requests."""
    write = sys.stdout.write
    rating_seconds = seconds_per_rating(make_ratings(2000, 1))
    write(f"one rating: {rating_seconds * 1e6:.1f} us of estimates\n")
    write("requests/s  ratings/s  raw B/s  counted B/s  cells  core\n")
    for rate in RATES:
        ratings = make_ratings(
            round(rate * RATED_FRACTION * PERIOD_SECONDS) or 1, 2
        )
        counted_size, cells = measure_counted_bytes(ratings)
        write(
            f"{rate:10.1f} {rate * RATED_FRACTION:10.1f} "
            f"{measure_raw_bytes(ratings) / PERIOD_SECONDS:8.0f} "
            f"{counted_size / PERIOD_SECONDS:12.0f} "
            f"{cells:6} {rate * RATED_FRACTION * rating_seconds:5.2%}\n"
        )


if __name__ == "__main__":
    main()
