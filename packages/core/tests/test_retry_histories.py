"""Entries that retry all they may, while they restart or drop off the list."""

import random

import pytest
from persimmonferry_core.retries import RetryBudget, RetryPolicy
from persimmonferry_core.retry_shares import RetryShares
from retry_counter import FIXED, RATIO, WINDOW_S, RetryCounter

STEP_S = 0.05
LENGTH_S = 120.0
# The last two failed: entries that the registry turned away kept their shares, while
# others restarted and did not know of them.
SEEDS = (*range(60), 2410, 3887)
LEASE_S = 5.0
RENEWAL_S = LEASE_S / 3
WATCH_S = 0.5


class Registry:
    """Lists entries while their leases last; it may be away for some of them."""

    def __init__(self):
        self.ends_s = {}
        self._copy = {}
        self.away_until_s = {}

    def is_reachable(self, name, now):
        return now >= self.away_until_s.get(name, 0.0)

    def renew(self, name, now):
        self.ends_s[name] = now + LEASE_S

    def list_names(self, now):
        return [name for name, end_s in self.ends_s.items() if now < end_s]

    def copy(self):
        self._copy = dict(self.ends_s)

    def restore(self):
        """Go back to the last copy; leases that were opened since are unknown."""
        self.ends_s = dict(self._copy)


class Entry:
    """A process with its share and its budget; each call fails and is retried."""

    def __init__(self, name, now, registry, rng):
        self._name = name
        self._registry = registry
        self._shares = RetryShares(name, now)
        self._budget = RetryBudget(seed=1)
        # The halves of windows differ between processes.
        self._offset_s = rng.uniform(0.0, WINDOW_S)
        self._renewed_s = self._watched_s = float("-inf")

    def step(self, now):
        """Renew the lease and read the list, if they are due and can be."""
        if not self._registry.is_reachable(self._name, now):
            return
        if now >= self._renewed_s + RENEWAL_S:
            self._renewed_s = now
            self._registry.renew(self._name, now)
        if now >= self._watched_s + WATCH_S:
            self._watched_s = now
            self._shares.set_entries(self._registry.list_names(now), now)

    def call(self, now, *, fails):
        """Handle a call, and return whether it is retried."""
        fixed = self._shares.divide(FIXED / 2, WINDOW_S, now)
        clock_s = now + self._offset_s
        policy = RetryPolicy(RATIO / 2, fixed, WINDOW_S, counts_refusals=True)
        self._budget.policy = policy
        self._budget.record_request(clock_s)
        return fails and self._budget.allow(1, clock_s, ran=True) is not None


class History:
    """
    A fleet whose upstreams fail at times, with troubles chosen by seed.

    :param troubles: kinds that may happen.
    """

    def __init__(self, seed, troubles):
        self.counter = RetryCounter()
        self._rng = random.Random(seed)
        self._registry = Registry()
        self._names = [f"e{n}" for n in range(self._rng.randint(2, 8))]
        self._rate = self._rng.choice((4, 8, 12, 20, 40, 100))
        self._troubles = troubles
        self._starts_s = dict.fromkeys(self._names, -60.0)
        self._entries = {}

    def play(self):
        """Return the most retries beyond the allowed ones in a window, and both."""
        now = -60.0
        due_s = change_s = 5.0
        fails = True
        while now < LENGTH_S:
            now += STEP_S
            for name in [name for name, at in self._starts_s.items() if now >= at]:
                del self._starts_s[name]
                self._entries[name] = Entry(name, now, self._registry, self._rng)
            for entry in self._entries.values():
                entry.step(now)
            if now >= due_s:
                due_s = now + self._rng.choice((0.5, 1.0, 2.0, 4.0, 9.0))
                self._disturb(self._rng.choice(self._troubles), now)
            if now >= change_s:
                fails = not fails
                change_s = now + self._rng.choice((0.5, 1.0, 3.0, 5.0, 12.0))
            if now > 0:
                self._call(now, fails=fails)
        return self.counter.find_worst()

    def _call(self, now, *, fails):
        if not self._entries or self._rng.random() >= self._rate * STEP_S:
            count = 0
        else:
            count = max(1, round(self._rate * STEP_S))
        for _ in range(count):
            self.counter.calls.append(now)
            name = self._rng.choice(list(self._entries))
            if self._entries[name].call(now, fails=fails):
                self.counter.retries.append(now)

    def _disturb(self, trouble, now):
        rng, registry = self._rng, self._registry
        some = rng.sample(self._names, rng.randint(1, len(self._names)))
        match trouble:
            case "kill one":
                self._kill(some[:1], now)
            case "kill all":
                self._kill(self._names, now)
            case "turn away":
                until_s = now + rng.choice((3.0, 8.0, 20.0, 40.0, 70.0))
                registry.away_until_s |= dict.fromkeys(some, until_s)
            case "outage":
                until_s = now + rng.choice((3.0, 8.0, 20.0))
                registry.away_until_s |= dict.fromkeys(self._names, until_s)
                if rng.random() < 0.5:
                    registry.ends_s.clear()
            case "lapse":
                registry.ends_s.clear()
            case "copy":
                registry.copy()
            case "restore":
                registry.restore()

    def _kill(self, names, now):
        for name in names:
            if self._entries.pop(name, None) is not None:
                self._starts_s[name] = now + self._rng.uniform(0.2, 2.0)


TROUBLES = {
    "restarts": ("kill one", "kill all"),
    "lists": ("turn away", "outage", "lapse", "copy", "restore"),
    "all": (
        "kill one",
        "kill all",
        "turn away",
        "outage",
        "lapse",
        "copy",
        "restore",
    ),
}


# Gateways retried beyond the budget while they restarted or the list was not whole.
@pytest.mark.parametrize("kind", TROUBLES)
def test_entries_retry_beyond_the_budget_in_random_histories(kind):
    worst = [(History(seed, TROUBLES[kind]).play(), seed) for seed in SEEDS]
    broken = [item for item in worst if item[0][0] > 0]
    assert not broken, broken[:3]
