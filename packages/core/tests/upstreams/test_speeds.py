"""Upstreams that share machines: some are always slower, all are slow at times."""

import heapq
import random
from collections import Counter

import pytest
from persimmonferry_core.services import PlainService
from persimmonferry_core.upstreams import UpstreamReport, UpstreamSpeed

ENTRIES, STEP_S, SECONDS = 12, 0.005, 10.0
CALLS_PER_S, CALL_S, SLOW = 200.0, 0.06, 2.0
NAMES = ("u0", "u1", "u2", "u3")


def make_report(name, incarnation=1):
    values = (name, incarnation, 1, "z", "p", "", "")
    return UpstreamReport(*values, 0, 0, 0, 6, 0.0, 100.0)


def make_entries():
    entries = [PlainService(random.Random(seed)) for seed in range(ENTRIES)]
    for entry in entries:
        for name in NAMES:
            entry.add(make_report(name), 0.0)
    return entries


def play(states):
    """Return how many calls each upstream got; the first is twice as slow."""
    entries, generator = make_entries(), random.Random(1)
    free_s = {name: [0.0] * 6 for name in NAMES}
    ends, calls = [], Counter()
    for step in range(int(SECONDS / STEP_S)):
        now = step * STEP_S
        while ends and ends[0][0] <= now:
            _, call, entry, name = heapq.heappop(ends)
            if states:
                slowness = SLOW if name == "u0" else 1.0
                entries[entry].upstreams[name].speed.record_stated(slowness, now)
            entries[entry].finish(call, name, True, now)
        if generator.random() < CALLS_PER_S * STEP_S:
            entry = generator.randrange(ENTRIES)
            name = entries[entry].choose(frozenset(), now)
            calls[name] += 1
            entries[entry].start(f"c{step}", name, now)
            work_s = CALL_S * (SLOW if name == "u0" else 1.0)
            work_s *= generator.lognormvariate(0.0, 0.5)
            end_s = max(now, heapq.heappop(free_s[name])) + work_s
            heapq.heappush(free_s[name], end_s)
            heapq.heappush(ends, (end_s, f"c{step}", entry, name))
    return calls


@pytest.mark.parametrize("states", [False, True])
def test_a_slow_plain_upstream_of_four_gets_fewer_calls_but_some(states):
    calls = play(states)
    others = [calls[name] for name in NAMES[1:]]
    mean = sum(others) / len(others)
    assert 0 < calls["u0"] <= mean / SLOW
    assert max(others) < 1.25 * mean


def test_entries_that_get_the_same_noisy_figures_do_not_move_in_step():
    entries, generator = make_entries(), random.Random(1)
    for number in range(100):
        now = 0.1 * number
        figures = {name: generator.uniform(0.92, 1.08) for name in NAMES}
        chosen = Counter()
        for entry in entries:
            for name, figure in figures.items():
                entry.upstreams[name].speed.record_stated(figure, now)
            chosen[entry.choose(frozenset(), now)] += 1
        # More than chance would send to one of four once in a thousand such plays.
        assert max(chosen.values()) < 11


def test_an_old_figure_or_one_of_an_earlier_start_excludes_no_upstream():
    speed = UpstreamSpeed()
    for step in range(100):
        speed.record_stated(4.0, 0.1 * step)
        speed.record_answer(24.0, 0.1 * step)
    assert speed.estimate(10.0) > 8.0
    assert speed.estimate(70.0) < 1.5
    entry = make_entries()[0]
    for step in range(20):
        entry.upstreams["u0"].speed.record_stated(4.0, 0.1 * step)
    assert "u0" not in {entry.choose(frozenset(), 2.0) for _ in range(40)}
    entry.apply(make_report("u0", 2), 2.0)
    assert "u0" in {entry.choose(frozenset(), 2.0) for _ in range(40)}


@pytest.mark.parametrize("figure", [1e-9, 1e9])
def test_nonsense_that_an_upstream_states_is_bounded(figure):
    speed = UpstreamSpeed()
    speed.record_stated(figure, 0.0)
    assert 0.25 <= speed.estimate(0.0) <= 8.0
