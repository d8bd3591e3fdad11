"""Infers which prompt parts crash servers from what ran at each crash.

Requests with a crashing part may differ in everything else, and most of what
they share is shared with sound requests. A part that crashes servers is never
served, so whatever was served recently is no candidate. Of the other parts,
those present at most crashes explain them; what remains is explained by the
next ones (greedy hitting set, as in group testing with few defectives).

A request that is the only one at all crashes of a part is the cause itself; see
``suspects``. Parts that were always together cannot be told apart: one alone
is innocent until it crashes a server, or the other one does.

A host has served few of the parts that all hosts serve together. Among many
simultaneous crashes, three may have a part in common by chance. So the other
hosts are given time to report that they served it, unless it was at so many of
the crashes that chance is ruled out.

A prompt may have thousands of parts, nearly all of which were in the same runs.
One of each such group stands for all of them, so that the time to find a cause
grows with their number only.
"""

from __future__ import annotations

import collections
from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

MIN_CRASHES = 3  # Crashes that identify a part; two may be a coincidence.
# Crashes among these at which a run with the part had begun. Another one may
# have been abandoned by its host for a larger model, or show at no host.
MIN_BEGUN = 2
# Crashes that identify a part whose runs were all still waiting.
MIN_WAITING_CRASHES = 5
# Fraction of a service's crashes that a part must explain to be its main cause.
MAIN_FRACTION = 0.5
# Crashes, and requests that had begun at them, that identify the main cause
# without waiting for other hosts. Of ten requests with one of 84 parts each,
# three share one by chance in 1 of 60 cases, four in 1 of 3,000.
MIN_SURE = 4
# Seconds after which other hosts that served a part have said so: if a cause is
# the main one, and if there are many crashes to exchange.
MAIN_SETTLE_SECONDS = 1.0
SETTLE_SECONDS = 2.0


@attrs.frozen
class Crash:
    """A crash with the parts that may have caused it.

    Attributes:
        server: Identity of the server.
        at: Monotonic time of the crash.
        known_for: Seconds for which this host has known of it.
        runs: Parts of each run that may be the cause, by fingerprint.
        begun: Fingerprints of the runs that had begun.
    """

    server: str
    at: float
    known_for: float
    runs: Mapping[str, frozenset[str]]
    begun: frozenset[str] = frozenset()

    def parts(self) -> set[str]:
        """Returns all parts that may be the cause."""
        return set().union(*self.runs.values())

    def has_together(self, parts: frozenset[str]) -> bool:
        """Returns whether one run had all of some parts."""
        return any(parts <= each for each in self.runs.values())

    def has_begun(self, part: str) -> bool:
        """Returns whether a run with a part had begun."""
        return any(part in self.runs[each] for each in self.begun)

    def requests_with(self, part: str, *, begun: bool) -> set[str]:
        """Returns the fingerprints of the requests with a part.

        Args:
            part: The part.
            begun: Whether to return only those whose responses had begun.
        """
        candidates = self.begun if begun else self.runs.keys()
        return {each for each in candidates if part in self.runs[each]}


@attrs.frozen
class Cause:
    """Parts that crash servers, if a request has all of them.

    Attributes:
        parts: The parts; one unless they were always together.
        crashes: The crashes that they explain.
        is_certain: Whether that is enough to refuse requests.
    """

    parts: frozenset[str]
    crashes: tuple[Crash, ...]
    is_certain: bool


def find_causes(crashes: Iterable[Crash]) -> list[Cause]:
    """Returns the parts that explain crashes, the likeliest cause first.

    Args:
        crashes: Crashes of one service's servers, without parts that were
            served.
    """
    every, groups = _merge_equal_parts(tuple(crashes))
    remaining = every
    causes: list[Cause] = []
    while True:
        by_part = _crashes_by_part(remaining)
        if not by_part:
            return causes
        part = max(sorted(by_part), key=lambda each: _score(each, by_part))
        explained = by_part[part]
        if len(explained) < MIN_BEGUN:
            return causes
        causes.append(
            Cause(
                frozenset(
                    member
                    for each in _inseparable(part, by_part)
                    for member in groups[each]
                ),
                tuple(explained),
                _is_certain(part, explained, every),
            )
        )
        remaining = tuple(each for each in remaining if each not in explained)


def _merge_equal_parts(
    crashes: tuple[Crash, ...],
) -> tuple[tuple[Crash, ...], dict[str, list[str]]]:
    """Keeps one of the parts that were in the same runs.

    Returns:
        The crashes with the parts that were kept, and all parts for which each
        of these stands.
    """
    runs_by_part = collections.defaultdict(list)
    for number, crash in enumerate(crashes):
        for fingerprint, parts in crash.runs.items():
            for part in parts:
                runs_by_part[part].append((number, fingerprint))
    parts_by_runs = collections.defaultdict(list)
    for part in sorted(runs_by_part):
        parts_by_runs[tuple(runs_by_part[part])].append(part)
    groups = {parts[0]: parts for parts in parts_by_runs.values()}
    kept = frozenset(groups)
    merged = tuple(
        attrs.evolve(
            crash,
            runs={name: parts & kept for name, parts in crash.runs.items()},
        )
        for crash in crashes
    )
    return merged, groups


def _crashes_by_part(crashes: Iterable[Crash]) -> dict[str, list[Crash]]:
    by_part = collections.defaultdict(list)
    for crash in crashes:
        for part in crash.parts():
            by_part[part].append(crash)
    return by_part


def _score(part: str, by_part: Mapping[str, list[Crash]]) -> int:
    """Returns how well a part explains crashes; runs that had begun count."""
    return sum(1 + crash.has_begun(part) for crash in by_part[part])


def _inseparable(
    part: str, by_part: Mapping[str, list[Crash]]
) -> frozenset[str]:
    """Returns the parts that were at the same crashes in the same runs."""
    crashes = by_part[part]
    found = {part}
    for other in sorted(by_part):
        together = frozenset({*found, other})
        if by_part[other] == crashes and all(
            crash.has_together(together) for crash in crashes
        ):
            found.add(other)
    return frozenset(found)


def _is_certain(
    part: str, explained: list[Crash], every: tuple[Crash, ...]
) -> bool:
    begun = [crash for crash in explained if crash.has_begun(part)]
    is_enough = len(explained) >= MIN_CRASHES and len(begun) >= MIN_BEGUN
    if not is_enough and len(explained) < MIN_WAITING_CRASHES:
        return False
    if _is_one_request(part, begun if is_enough else explained, is_enough):
        return False
    known_for = explained[MIN_CRASHES - 1].known_for
    if known_for >= SETTLE_SECONDS:
        return True
    if not is_enough or not _is_main(explained, every):
        return False
    requests = set[str]().union(
        *(crash.requests_with(part, begun=True) for crash in begun)
    )
    is_sure = min(len(explained), len(requests)) >= MIN_SURE
    return is_sure or known_for >= MAIN_SETTLE_SECONDS


def _is_main(explained: list[Crash], every: tuple[Crash, ...]) -> bool:
    """Returns whether a part explains most crashes since the first of it."""
    since = min(crash.at for crash in explained)
    total = sum(crash.at >= since for crash in every)
    return len(explained) >= total * MAIN_FRACTION


def _is_one_request(part: str, crashes: list[Crash], begun: bool) -> bool:
    """Returns whether a single request explains some crashes."""
    return bool(
        set.intersection(
            *(crash.requests_with(part, begun=begun) for crash in crashes)
        )
    )
