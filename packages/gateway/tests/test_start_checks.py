import asyncio

import pytest
from persimmonferry_core.upstream_starts import StartVerdict, UpstreamStart, judge_start
from persimmonferry_gateway.interfaces import EngineReport
from persimmonferry_gateway.start_checks import StartChecks

START = UpstreamStart("u1", 17, 100.0)


class Evidence:
    """The registry's copy of an entry, and what its upstream reports."""

    def __init__(self, current_s, incarnation=17, reported=None, responds=True):
        self.current_s, self.incarnation = current_s, incarnation
        self.reported, self.responds = reported, responds
        self.reads, self.reports = 0, 0
        self.checks = StartChecks(
            lambda start: judge_start(start, self.incarnation, self.current_s),
            self._catch_up,
            self._ask_report,
            lambda: 200.0,
        )

    async def _catch_up(self, until_s):
        self.reads += 1
        if self.responds:
            self.current_s = until_s
        return self.responds

    async def _ask_report(self, upstream):
        self.reports += 1
        await asyncio.sleep(0.001)
        return EngineReport((), False, 0, self.reported)

    def confirm(self):
        return asyncio.run(self.checks.confirm(START))


@pytest.mark.parametrize("incarnation", [17, None])
def test_what_was_read_after_the_connection_was_made_needs_no_call(incarnation):
    evidence = Evidence(101.0, incarnation)
    assert evidence.confirm()
    assert (evidence.reads, evidence.reports) == (0, 0)


# The copy of an entry was taken for the process that answered.
def test_a_start_is_confirmed_by_a_copy_that_is_older_than_the_connection():
    evidence = Evidence(99.0)
    assert evidence.confirm()
    assert evidence.current_s >= START.stated_s
    assert not Evidence(99.0, incarnation=23).confirm()


@pytest.mark.parametrize(
    ("reported", "is_confirmed"), [(17, True), (23, False), (None, False)]
)
def test_the_upstream_is_asked_without_the_registry(reported, is_confirmed):
    evidence = Evidence(99.0, reported=reported, responds=False)
    assert evidence.confirm() == is_confirmed
    assert evidence.reports == 1


def test_many_checks_of_an_upstream_share_its_report():
    evidence = Evidence(99.0, reported=17, responds=False)

    async def scenario():
        checks = (evidence.checks.confirm(START) for _ in range(20))
        assert all(await asyncio.gather(*checks))

    asyncio.run(scenario())
    assert evidence.reports == 1


def test_an_undecided_start_counts_as_the_expected_one():
    undecided = Evidence(99.0, responds=False)
    assert undecided.checks.judge(START) is StartVerdict.UNDECIDED
    assert not undecided.confirm()
