from dataclasses import replace

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from persimmonferry_core.membership import (
    MIN_REPORT_TIMEOUT_S,
    REPORT_BYTES,
    Observation,
    ReportedUpstream,
    UpstreamTable,
)
from persimmonferry_core.routing import UpstreamReport
from persimmonferry_core.topology import Address

ADDRESS = Address("127.0.0.1", 9)
REPORT = UpstreamReport(
    name="u1",
    incarnation=5,
    sequence=1,
    failure_domain="a",
    service="notes",
    model="m",
    version="v1",
    leaving=False,
    running=0,
    waiting=0,
    waiting_prefill_tokens=0,
    slots=8,
    prefill_tokens_per_s=1000.0,
    decode_tokens_per_s=50.0,
)


def test_a_report_of_an_older_incarnation_changes_nothing():
    table = UpstreamTable()
    table.observe(REPORT, ADDRESS, 0.0)
    old = replace(REPORT, incarnation=4, sequence=99, leaving=True)
    assert table.observe(old, ADDRESS, 0.1) is Observation.STALE
    assert table.list_usable("notes") == (ReportedUpstream(REPORT, ADDRESS),)


def test_a_suspected_upstream_is_avoided_until_its_next_report():
    table = UpstreamTable()
    table.observe(REPORT, ADDRESS, 0.0)
    assert table.suspect("u1", 5)
    assert table.list_usable("notes") == ()
    fresh = replace(REPORT, sequence=2)
    table.observe(fresh, ADDRESS, 0.2)
    assert table.list_usable("notes") == (ReportedUpstream(fresh, ADDRESS),)


@pytest.mark.parametrize("incarnation, kept", [(9, "u2"), (3, "u1")])
def test_an_address_used_again_belongs_to_the_newer_incarnation(incarnation, kept):
    table = UpstreamTable()
    table.observe(REPORT, ADDRESS, 0.0)
    table.observe(replace(REPORT, name="u2", incarnation=incarnation), ADDRESS, 0.1)
    assert [item.report.name for item in table.list_all()] == [kept]


def test_report_traffic_stays_within_its_budget_with_many_upstreams():
    table = UpstreamTable()
    for number in range(300):
        report = replace(REPORT, name=f"u{number}")
        table.observe(report, Address("127.0.0.1", number), 0.0)
    assert 300 * REPORT_BYTES / table.compute_report_interval() <= 4096
    assert table.expire(3 * table.compute_report_interval()) == ()
    assert len(table.expire(5 * table.compute_report_interval())) == 300


class TableMachine(RuleBasedStateMachine):
    """Compares the table with a model that holds the newest report of each upstream."""

    def __init__(self):
        super().__init__()
        self.table = UpstreamTable()
        self.now = 0.0
        self.newest = {}

    @rule(
        name=st.sampled_from(["u1", "u2", "u3"]),
        incarnation=st.integers(1, 3),
        sequence=st.integers(1, 4),
        leaving=st.booleans(),
    )
    def report(self, name, incarnation, sequence, leaving):
        report = replace(
            REPORT,
            name=name,
            incarnation=incarnation,
            sequence=sequence,
            leaving=leaving,
        )
        address = Address("127.0.0.1", ord(name[1]))
        self.table.observe(report, address, self.now)
        known = self.newest.get(name)
        order = (incarnation, sequence)
        if known is None or order > (known[0].incarnation, known[0].sequence):
            self.newest[name] = (report, self.now, False)

    @rule(name=st.sampled_from(["u1", "u2", "u3"]), incarnation=st.integers(1, 3))
    def suspect(self, name, incarnation):
        self.table.suspect(name, incarnation)
        known = self.newest.get(name)
        if known is not None and known[0].incarnation == incarnation:
            self.newest[name] = (known[0], known[1], True)

    @rule(elapsed=st.sampled_from([0.2, 0.7, 1.5]))
    def advance(self, elapsed):
        self.now += elapsed
        self.table.expire(self.now)
        self.newest = {
            name: row
            for name, row in self.newest.items()
            if self.now - row[1] <= MIN_REPORT_TIMEOUT_S
        }

    @invariant()
    def usable_upstreams_are_neither_expired_nor_leaving_nor_suspected(self):
        expected = {
            report.name
            for report, _, suspected in self.newest.values()
            if not report.leaving and not suspected
        }
        usable = self.table.list_usable("notes")
        assert {item.report.name for item in usable} == expected


TestTable = TableMachine.TestCase
TestTable.settings = settings(derandomize=True, max_examples=60, deadline=None)
