"""Records of the answer counts of many hosts."""

from __future__ import annotations

import attrs
import orjson
import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.versions import attempt_times
from hoistmoor.core.relay.versions import durations as durations_lib
from hoistmoor.core.relay.versions import evidence as evidence_lib
from hoistmoor.relay import records
from hoistmoor.relay.versions import rollout_codec

RECORD_BYTES = 262_144  # Bytes of a record that the store accepts.


def make_durations() -> dict[str, durations_lib.Durations]:
    """Returns the durations of streams that a host got in some seconds."""
    made = {}
    for stage in (attempt_times.Stage.FIRST, attempt_times.Stage.PACE):
        made[stage.value] = durations_lib.Durations()
        for number in range(1, 6):
            made[stage.value].record_reached(number / 5)
            made[stage.value].record_unreached(number / 3)
    return made


def make_counts(hosts: int, routes: int) -> list[evidence_lib.Evidence]:
    """Returns the counts of some hosts on some routes."""
    tally = evidence_lib.Tally(1234, 567, 89, make_durations())
    return [
        evidence_lib.Evidence(
            "desk",
            7,
            f"edge-bangna-{host}-{host:016x}",
            {
                f"route-{route}": evidence_lib.RouteEvidence(tally, tally)
                for route in range(routes)
            },
        )
        for host in range(hosts)
    ]


@pytest.mark.parametrize(
    ("hosts", "routes"), [(0, 0), (1, 1), (7, 10), (360, 10), (3, 400)]
)
def test_the_counts_of_all_hosts_fit_the_records_of_a_report(
    hosts: int, routes: int
) -> None:
    counts = make_counts(hosts, routes)
    found: list[evidence_lib.Evidence] = []
    for data in rollout_codec.split_report("run", counts):
        assertions.assert_that(len(data), matchers.LessThan(RECORD_BYTES))
        report = rollout_codec.decode_report(data)
        assertions.assert_that(report.run_name, matchers.Equals("run"))
        found += report.evidence
    assertions.assert_that(found, matchers.Equals(counts))


def test_a_small_report_is_one_record() -> None:
    counts = make_counts(7, 10)
    (data,) = rollout_codec.split_report("run", counts)
    report = rollout_codec.EvidenceReport("run", tuple(counts))
    assertions.assert_that(data, matchers.Equals(rollout_codec.encode(report)))


@attrs.frozen
class EarlierTally:
    """Counts as hosts of an earlier version know them."""

    answers: int = 0
    failures: int = 0
    slow: int = 0


@attrs.frozen
class EarlierRoute:
    """Counts of one route as hosts of an earlier version know them."""

    target: EarlierTally
    others: EarlierTally


@attrs.frozen
class EarlierEvidence:
    """Counts of one host as hosts of an earlier version know them."""

    service: str
    number: int
    host: str
    routes: dict[str, EarlierRoute]


@attrs.frozen
class EarlierReport:
    """A report as hosts of an earlier version know it."""

    run_name: str
    evidence: tuple[EarlierEvidence, ...]


def test_hosts_of_an_earlier_version_read_a_report() -> None:
    (data,) = rollout_codec.split_report("run", make_counts(1, 1))
    report = records.decode(data, EarlierReport)
    tally = EarlierTally(1234, 567, 89)
    assertions.assert_that(
        report.evidence[0].routes,
        matchers.Equals({"route-0": EarlierRoute(tally, tally)}),
    )


def test_a_report_of_an_earlier_version_has_no_durations() -> None:
    counts = {"answers": 30, "failures": 1, "slow": 2}
    data = orjson.dumps(
        {
            "run_name": "run",
            "evidence": [
                {
                    "service": "desk",
                    "number": 7,
                    "host": "edge-1",
                    "routes": {"once": {"target": counts, "others": counts}},
                }
            ],
        }
    )
    (evidence,) = rollout_codec.decode_report(data).evidence
    assertions.assert_that(evidence.taken_at, matchers.Equals(0.0))
    assertions.assert_that(
        evidence.routes["once"].target,
        matchers.Equals(evidence_lib.Tally(30, 1, 2)),
    )


@pytest.mark.parametrize(
    "durations", ["[1, 2]", '{"first": [{}]}', '{"first": [{"x": 1}, {}]}']
)
def test_malformed_durations_make_a_report_unreadable(durations: str) -> None:
    (data,) = rollout_codec.split_report(
        "run", [evidence_lib.Evidence("desk", 7, "edge-1", {"once": _empty()})]
    )
    text = data.decode().replace(
        '"durations":{}', f'"durations":{durations}', 1
    )
    assertions.assert_that(
        lambda: rollout_codec.decode_report(text.encode()),
        matchers.raises(ValueError),
    )


def _empty() -> evidence_lib.RouteEvidence:
    return evidence_lib.RouteEvidence()
