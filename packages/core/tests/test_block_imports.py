from dataclasses import replace

from hypothesis import given, settings, strategies as st
from persimmonferry_core.block_imports import (
    LINK_HALF_LIFE_S,
    STORED_HINT_S,
    ByteBudget,
    ImportContext,
    LinkEstimate,
    PendingPrefills,
    StoredHints,
    plan_import,
)
from persimmonferry_core.schema import RoutingWeights

OFFER = ImportContext(
    missing_blocks=10,
    block_tokens=1000,
    block_bytes=1e6,
    link_bytes_per_s=1e7,
    prefill_tokens_per_s=5000.0,
    queue_s=0.0,
)
FIRST_TOKEN = RoutingWeights()


def test_a_fast_link_imports_all_blocks_and_a_slow_one_only_those_the_queue_hides():
    assert plan_import(OFFER, FIRST_TOKEN, 5.0).block_count == 10
    slow = replace(OFFER, link_bytes_per_s=1e6)
    assert plan_import(slow, FIRST_TOKEN, 5.0).block_count == 0
    queued = replace(slow, queue_s=3.5)
    plan = plan_import(queued, FIRST_TOKEN, 5.0)
    assert plan.block_count == 3
    assert plan.deadline_s == 5.0 + 3.5 + 3 * 0.2


def test_routing_weights_change_the_number_of_imported_blocks():
    slow = replace(OFFER, link_bytes_per_s=4e6, link_price_per_gb=100.0)
    assert plan_import(slow, FIRST_TOKEN, 0.0).block_count == 0
    thrifty = RoutingWeights(first_token=1.0, recomputed=1.0)
    assert plan_import(slow, thrifty, 0.0).block_count == 10
    priced = replace(thrifty, link=2.0)
    assert plan_import(slow, priced, 0.0).block_count == 0


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.integers(0, 30), st.floats(1, 1e9), st.floats(1, 1e5), st.floats(0, 100))
def test_no_other_count_gives_an_earlier_first_token(missing, link, prefill, queue):
    offer = replace(
        OFFER,
        missing_blocks=missing,
        link_bytes_per_s=link,
        prefill_tokens_per_s=prefill,
        queue_s=queue,
    )

    def first_token_s(count):
        imported_s = max(queue, count * 1e6 / link)
        return imported_s + (missing - count) * 1000 / prefill

    chosen = plan_import(offer, FIRST_TOKEN, 0.0).block_count
    best = min(first_token_s(count) for count in range(missing + 1))
    assert first_token_s(chosen) <= best * (1 + 1e-9)


def test_the_rate_of_a_slow_link_returns_to_its_start_value():
    start = LinkEstimate(start_bytes_per_s=1e7, bytes_per_s=1e7)
    slow = start.add_abandoned(1e6, 10.0, now=100.0)
    assert slow.read_rate(100.0) == 5e4
    assert slow.read_rate(100.0 + 10 * LINK_HALF_LIFE_S) > 0.99e7
    assert slow.add_abandoned(1e6, 1.0, 100.0).read_rate(100.0) == 2.5e4
    faster = slow.add_transfer(1e6, 0.1, now=100.0)
    assert 5e4 < faster.read_rate(100.0) < 1e7


def test_a_block_is_exported_again_only_after_its_hint_expired_or_was_wrong():
    hints = StoredHints(max_names=3)
    for name in "abcd":
        hints.note(name, now=0.0)
    assert hints.choose_exports("abcd", now=1.0) == ("a",)
    hints.forget("c")
    assert hints.choose_exports("bcd", now=1.0) == ("c",)
    assert hints.choose_exports("bd", now=STORED_HINT_S + 1) == ("b", "d")


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(st.tuples(st.integers(1, 300), st.floats(0, 2)), max_size=30))
def test_exports_stay_within_rate_and_burst(steps):
    budget, now, sent = ByteBudget(bytes_per_s=100.0, burst_bytes=300.0), 0.0, 0
    for size, pause in steps:
        now += pause + budget.reserve(size, now + pause)
        sent += size
        assert sent <= 300.0 + 100.0 * now + 1e-6


def test_only_an_earlier_run_of_no_less_urgency_is_waited_for():
    table = PendingPrefills()
    table.begin("patient", ["a", "b"], priority=5)
    table.begin("urgent", ["a"], priority=1)
    table.begin("later", ["b", "c"], priority=5)
    assert table.find_shared("patient", ["a"]) is None
    assert table.find_shared("urgent", ["a"]) is None
    assert table.find_shared("later", ["b", "c"]) == "patient"
    assert table.find_shared("later", ["c"]) is None
    table.end("patient")
    assert table.find_shared("later", ["b"]) is None
