"""Metrics of a simulation run."""

from __future__ import annotations

import collections

import attrs
import numpy as np


@attrs.define
class Metrics:
    """Counters and samples of one run of one policy.

    Attributes:
        responses_by_account: Numbers of good and of all responses delivered, by
            account.
        targets_by_account: Quality targets by account.
        cost: Cost of model requests, in micros.
        first_token_seconds: Seconds from arrival to the first token.
        token_gap_seconds: Mean seconds between the tokens of each response.
        plain_seconds: Seconds of completed plain calls, from their last try.
        refusals: Refusals, counted per try.
        unserved_requests: Model requests without a response.
        unserved_plain_calls: Plain calls without a response.
        wasted_tokens: Tokens generated but not delivered.
        useful_tokens: Tokens delivered.
        bad_responses_by_version: Bad responses delivered from regressed or bad
            versions.
        responses_by_version: Responses delivered, by version.
        regressed_rate: Responses per second of a version in the last minutes
            before it regressed.
        bad_limit: Lower bound on the bad responses that any test delivers
            before the ratings reveal the regression.
        withdrawn_at: Times at which the policy withdrew versions automatically.
    """

    responses_by_account: dict[str, list[int]] = attrs.field(
        factory=lambda: collections.defaultdict(lambda: [0, 0])
    )
    targets_by_account: dict[str, float] = attrs.field(factory=dict)
    cost: float = 0.0
    first_token_seconds: list[float] = attrs.field(factory=list)
    token_gap_seconds: list[float] = attrs.field(factory=list)
    plain_seconds: list[float] = attrs.field(factory=list)
    refusals: int = 0
    unserved_requests: int = 0
    unserved_plain_calls: int = 0
    wasted_tokens: int = 0
    useful_tokens: int = 0
    bad_responses_by_version: dict[str, int] = attrs.field(
        factory=collections.Counter
    )
    responses_by_version: dict[str, int] = attrs.field(
        factory=collections.Counter
    )
    regressed_rate: float = 0.0
    bad_limit: float = float("nan")
    withdrawn_at: dict[str, float] = attrs.field(factory=dict)

    @property
    def good(self) -> int:
        """Number of good responses delivered."""
        return sum(good for good, _ in self.responses_by_account.values())

    @property
    def delivered(self) -> int:
        """Number of responses delivered."""
        return sum(count for _, count in self.responses_by_account.values())

    def summary(self) -> dict[str, float]:
        """Returns the metrics of the report by name."""
        return {
            "cost_per_answer": self.cost / max(1, self.delivered),
            "cost_per_good": self.cost / max(1, self.good),
            "good_share": self.good / max(1, self.delivered),
            "target": self._mean_target(),
            "at_target": self._fraction_at_target(),
            "confirm_p50_ms": 1000 * _percentile(self.plain_seconds, 50),
            "confirm_p99_ms": 1000 * _percentile(self.plain_seconds, 99),
            "ttft_p95_s": _percentile(self.first_token_seconds, 95),
            "gap_p95_ms": 1000 * _percentile(self.token_gap_seconds, 95),
            "bad_after_turn": float(
                sum(self.bad_responses_by_version.values())
            ),
            "bad_limit": self.bad_limit,
            "refusals": float(self.refusals),
            "unserved": float(
                self.unserved_requests + self.unserved_plain_calls
            ),
            "wasted_share": self.wasted_tokens
            / max(1, self.wasted_tokens + self.useful_tokens),
        }

    def _mean_target(self) -> float:
        total = sum(
            self.targets_by_account.get(account, 0.0) * count
            for account, (_, count) in self.responses_by_account.items()
        )
        return total / max(1, self.delivered)

    def _fraction_at_target(self) -> float:
        """Returns the fraction of responses to accounts that met their target.

        An account misses its target only if its quality is more than two
        standard errors below it.
        """
        met = 0
        for account, (good, count) in self.responses_by_account.items():
            target = self.targets_by_account.get(account, 0.0)
            error = (target * (1.0 - target) / max(1, count)) ** 0.5
            met += count if good / count >= target - 2.0 * error else 0
        return met / max(1, self.delivered)


def _percentile(samples: list[float], rank: float) -> float:
    return float(np.percentile(samples, rank)) if samples else float("nan")
