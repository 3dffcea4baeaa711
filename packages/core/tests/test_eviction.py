import pytest
from persimmonferry_core.blocks import name_blocks
from persimmonferry_core.eviction import (
    ChainUse,
    UseHistory,
    estimate_reuse_delay,
    plan_eviction,
)
from persimmonferry_core.interfaces import StoreUsage

MINUTE_S = 60.0
HOUR_S = 3600.0


def name_prompt(word, blocks=5):
    return name_blocks("secret", "m", "v", "", [word] * blocks, block_tokens=1)


def test_later_blocks_of_the_chain_expected_last_are_evicted_first():
    soon, late = name_prompt("soon"), name_prompt("late")
    history = UseHistory()
    for now in (0.0, 10 * MINUTE_S, 20 * MINUTE_S):
        history.note(soon[0], now)
    for now in (-24 * HOUR_S, 0.0):
        history.note(late[0], now)
    foreign = tuple(f"foreign{index}" for index in range(10))
    usage = StoreUsage(100, 100)
    names = soon + foreign + late
    plan = plan_eviction(names, usage, history, now=25 * MINUTE_S)
    assert plan.count == 4
    assert plan.candidates == late[::-1] + soon[::-1]


def test_nothing_is_evicted_before_the_store_is_nearly_full():
    names = name_prompt("a")
    assert plan_eviction(names, StoreUsage(90, 100), UseHistory(), 0.0).count == 0
    assert plan_eviction((), StoreUsage(100, 100), UseHistory(), 0.0).count == 0


def test_a_long_overdue_chain_is_expected_later_than_one_due_soon():
    history = UseHistory()
    due, overdue = name_prompt("due")[0], name_prompt("overdue")[0]
    for now in (0.0, HOUR_S):
        history.note(overdue, now)
    for now in (0.0, 6 * HOUR_S):
        history.note(due, now)
    now = 11 * HOUR_S
    assert estimate_reuse_delay(history.find(due), now) == HOUR_S
    assert estimate_reuse_delay(history.find(overdue), now) == 10 * HOUR_S


def test_use_histories_merge_to_the_same_result_in_any_order():
    names = [name_prompt(word)[0] for word in "abc"]
    first, second = UseHistory(), UseHistory()
    for index, name in enumerate(names):
        first.note(name, 100.0 * index)
        second.note(name, 200.0 - 100.0 * index)
    both = (first.encode(), second.encode())
    for values in (both, both[::-1]):
        merged = UseHistory(max_chains=3)
        for value in values:
            merged.merge(value)
        used = [merged.find(name) for name in names]
        assert used == [ChainUse(200.0, 200.0), ChainUse(100.0), used[0]]
    small = UseHistory(max_chains=2)
    small.merge(first.encode())
    assert [small.find(name) is None for name in names] == [True, False, False]
    with pytest.raises(ValueError, match="truncated: got 1 bytes"):
        first.merge(b"x")
