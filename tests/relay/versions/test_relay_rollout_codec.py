"""Records of the answer counts of many hosts."""

from __future__ import annotations

import pytest
from testtools import assertions
from testtools import matchers

from hoistmoor.core.relay.versions import evidence as evidence_lib
from hoistmoor.relay.versions import rollout_codec

RECORD_BYTES = 262_144  # Bytes of a record that the store accepts.


def make_counts(hosts: int, routes: int) -> list[evidence_lib.Evidence]:
    """Returns the counts of some hosts on some routes."""
    tally = evidence_lib.Tally(1234, 567, 89)
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
