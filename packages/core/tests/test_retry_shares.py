import random

import pytest
from persimmonferry_core.retries import RetryBudget, RetryPolicy
from persimmonferry_core.retry_shares import RETENTION_S, RetryShares
from retry_counter import FIXED, RATIO, WINDOW_S, RetryCounter

NAMES = tuple(f"e{number}" for number in range(5))


class Fleet:
    """Entries whose upstreams fail every call; each retries what its budget allows."""

    def __init__(self):
        self.counter = RetryCounter()
        self._random = random.Random(7)
        self._entries = {}
        for name in NAMES:
            self.start(name, -100.0)

    def start(self, name, now):
        """Start a process, whose first list has all entries."""
        shares = RetryShares(name, now)
        shares.set_entries(NAMES, now)
        self._entries[name] = shares, RetryBudget(seed=1)

    def list_only(self, names, now):
        """Give all entries a list that has only some of them."""
        for shares, _ in self._entries.values():
            shares.set_entries(names, now)

    def call(self, now):
        """Offer a call to one of the entries."""
        name = self._random.choice(NAMES)
        shares, budget = self._entries[name]
        fixed = shares.divide(FIXED / 2, WINDOW_S, now)
        budget.policy = RetryPolicy(RATIO / 2, fixed, WINDOW_S, counts_refusals=True)
        budget.record_request(now)
        self.counter.calls.append(now)
        if budget.allow(1, now, ran=True) is not None:
            self.counter.retries.append(now)

    def find_excess(self):
        """Return the most retries beyond what is allowed in any window."""
        return self.counter.find_worst()[0]


# Each start began a new budget.
@pytest.mark.parametrize("interval_s", [0.5, 2.0, 5.0, 9.0, 11.0])
def test_entries_that_restart_all_together_retry_beyond_the_budget(interval_s):
    fleet = Fleet()
    due_s = 8.0
    for step in range(60 * 60):
        now = step / 60
        if now >= due_s:
            due_s += interval_s
            for name in NAMES:
                fleet.start(name, now)
        fleet.call(now)
    assert fleet.counter.retries
    assert fleet.find_excess() <= 0


def test_entries_that_restart_in_turn_retry_beyond_the_budget():
    fleet = Fleet()
    for step in range(60 * 60):
        now = step / 60
        if step % 60 == 0:
            fleet.start(NAMES[step // 60 % len(NAMES)], now)
        fleet.call(now)
    assert fleet.find_excess() <= 0


# The fixed part was divided by the entries that were listed at the moment.
def test_entries_that_drop_off_the_list_leave_their_shares_to_others():
    fleet = Fleet()
    for step in range(60 * 60):
        now = step / 60
        if step % 200 == 100:
            fleet.list_only(NAMES[step // 200 % len(NAMES) :][:1], now)
        if step % 200 == 150:
            fleet.list_only(NAMES, now)
        fleet.call(now)
    assert fleet.find_excess() <= 0


def test_an_entry_has_no_share_before_its_first_list_and_in_its_first_window():
    shares = RetryShares("e1", 100.0)
    assert shares.divide(30, WINDOW_S, 200.0) == 0
    shares.set_entries(["e1", "e2", "e3"], 101.0)
    assert shares.divide(30, WINDOW_S, 109.9) == 0
    assert shares.divide(30, WINDOW_S, 110.0) == 10


def test_entries_that_left_count_until_they_must_have_given_up_their_share():
    shares = RetryShares("e1", 0.0)
    shares.set_entries(["e1", "e2"], 20.0)
    shares.set_entries(["e1"], 30.0)
    shares.confirm(30.0 + RETENTION_S)
    assert shares.divide(30, WINDOW_S, 29.9 + RETENTION_S) == 15
    assert shares.divide(30, WINDOW_S, 30.0 + RETENTION_S) == 30
    # The other one gives its share up a window before the others take it.
    left = RetryShares("e2", 0.0)
    left.set_entries(["e1", "e2"], 30.0)
    left.set_entries(["e1"], 31.0)
    assert left.divide(30, WINDOW_S, 30.0 + RETENTION_S - WINDOW_S - 0.1) == 15
    assert left.divide(30, WINDOW_S, 30.0 + RETENTION_S - WINDOW_S) == 0
    left.set_entries(["e1", "e2"], 200.0)
    assert left.divide(30, WINDOW_S, 200.0) == 15
