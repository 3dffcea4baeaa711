import asyncio

import pytest
from persimmonferry_core.upstream_starts import StartVerdict, UpstreamStart, judge_start
from persimmonferry_gateway.start_checks import ReportedStart, StartChecks

START = UpstreamStart("u1", 17, 100.0)


class Evidence:
    """The registry's copy of an entry, and what others state, who are asked in turn."""

    def __init__(self, current_s, incarnation=17, stated=(None,), responds=True):
        self.current_s, self.incarnation = current_s, incarnation
        self.stated, self.responds = list(stated), responds
        self.reads, self.asked = 0, 0
        self.checks = StartChecks(
            lambda start: judge_start(start, self.incarnation, self.current_s),
            self._catch_up,
            self._ask,
            self._ask,
            lambda: 200.0,
        )

    async def _catch_up(self, until_s):
        self.reads += 1
        if self.responds:
            self.current_s = until_s
        return self.responds

    async def _ask(self, upstream):
        self.asked += 1
        await asyncio.sleep(0.001)
        return self.stated.pop(0) if len(self.stated) > 1 else self.stated[0]

    def confirm(self):
        return asyncio.run(self.checks.confirm(START))


def test_what_was_read_after_the_connection_was_made_needs_no_call():
    evidence = Evidence(101.0)
    assert evidence.confirm()
    assert (evidence.reads, evidence.asked) == (0, 0)


# The copy of an entry was taken for the process that answered.
def test_a_start_is_confirmed_by_a_copy_that_is_older_than_the_connection():
    evidence = Evidence(99.0)
    assert evidence.confirm()
    assert evidence.current_s >= START.registered_by_s
    assert not Evidence(99.0, incarnation=23).confirm()


@pytest.mark.parametrize(
    ("stated", "is_confirmed", "asked"),
    [
        ([ReportedStart(17)], True, 1),
        ([ReportedStart(23)], False, 1),
        ([None, ReportedStart(17)], True, 2),
        ([None, ReportedStart(23)], False, 2),
        ([None, None], False, 2),
    ],
)
def test_others_are_asked_without_the_registry(stated, is_confirmed, asked):
    evidence = Evidence(99.0, stated=stated, responds=False)
    assert (evidence.confirm(), evidence.asked) == (is_confirmed, asked)


def test_many_checks_of_an_upstream_share_what_is_stated():
    evidence = Evidence(99.0, stated=[ReportedStart(17)], responds=False)

    async def scenario():
        checks = (evidence.checks.confirm(START) for _ in range(20))
        assert all(await asyncio.gather(*checks))

    asyncio.run(scenario())
    assert evidence.asked == 1


def test_an_undecided_start_counts_as_the_expected_one():
    undecided = Evidence(99.0, responds=False)
    assert undecided.checks.judge(START) is StartVerdict.UNDECIDED
    assert not undecided.confirm()


# The entry of a process that the registry had refused came later than others do.
@pytest.mark.parametrize(
    ("current_s", "stated", "is_confirmed", "asked"),
    [
        (100.5, ReportedStart(23), False, 1),
        (100.5, ReportedStart(17), True, 1),
        (100.5, None, True, 1),
        (102.0, ReportedStart(23), True, 0),
    ],
)
def test_an_entry_that_may_be_on_its_way_counts_more_than_the_process(
    current_s, stated, is_confirmed, asked
):
    evidence = Evidence(current_s, stated=[stated])
    assert asyncio.run(evidence.checks.confirm_running(START)) == is_confirmed
    assert evidence.asked == asked
