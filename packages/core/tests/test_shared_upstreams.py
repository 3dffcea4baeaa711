"""Entries that share engines take each other's reported work into account."""

from dataclasses import replace

from persimmonferry_core.admission import PromptRequest
from persimmonferry_core.blockindex import BlockIndex
from persimmonferry_core.dispatch import Dispatcher
from persimmonferry_core.retries import RetryBudget, RetryPolicy
from persimmonferry_core.schema import (
    Service,
    ServiceKind,
    TeamDocument,
    Tier,
)
from persimmonferry_core.upstreams.views import (
    MAX_RUN_MEMORY_RATIO,
    PeerWork,
    Route,
    Upstream,
    UpstreamReport,
)

REPORT = UpstreamReport(
    "u0", 1, 1, "z1", "s", "m", "1", 0, 0, 0, 8, 0.0, 100.0, memory_tokens=100_000
)


def make_dispatcher(engines, entry="e1"):
    service = Service("s", ServiceKind.MODEL, "m", "1", slots_per_upstream=8)
    tiers = (Tier("t", 1.0, 0, 0),)
    document = TeamDocument("", 1, (service,), tiers, (), ())
    dispatcher = Dispatcher(document, entry=entry)
    for name in engines:
        dispatcher.report(replace(REPORT, name=name), 0.0)
    return dispatcher


def offer(dispatcher, name, tokens=10_000, blocks=(), sizes=()):
    request = PromptRequest(
        name,
        "a",
        "t",
        "s",
        tokens,
        10,
        0.0,
        blocks,
        100,
        1,
        sizes,
        caller_deadline_s=3.0,
    )
    dispatcher.offer(request, 0.0)
    return [item.upstream for item in dispatcher.assign(0.0)]


def test_an_engine_with_prefill_work_of_another_entry_is_avoided():
    dispatcher = make_dispatcher(("u0", "u1"))
    dispatcher.set_peer_work("e2", {"u0": PeerWork(1, 12_000, ((0, 12_000),))}, 0.0)
    assert offer(dispatcher, "r1") == ["u1"]


def test_an_engine_is_used_again_once_another_entry_reports_no_work_there():
    dispatcher = make_dispatcher(("u0",))
    dispatcher.set_peer_work("e2", {"u0": PeerWork(8, 99_000, ((0, 50_000),))}, 0.0)
    assert offer(dispatcher, "r1") == []
    dispatcher.set_peer_work("e2", {}, 0.0)
    assert [item.upstream for item in dispatcher.assign(0.1)] == ["u0"]


def test_runs_wait_until_their_memory_is_free():
    dispatcher = make_dispatcher(("u0",))
    used = int(MAX_RUN_MEMORY_RATIO * REPORT.memory_tokens) - 9_000
    dispatcher.set_peer_work("e2", {"u0": PeerWork(2, used, ())}, 0.0)
    assert offer(dispatcher, "r1") == []
    dispatcher.set_peer_work("e2", {"u0": PeerWork(1, 40_000, ())}, 0.0)
    assert [item.upstream for item in dispatcher.assign(0.1)] == ["u0"]


def test_a_run_larger_than_the_memory_fits_an_idle_engine_only():
    upstream = Upstream(REPORT)
    assert upstream.fits_memory(500_000)
    route = Route("u0", None, 0.1, 0.1, 0.0, True, missing_tokens=10)
    upstream.add_run("r", 0, route, 0.0, memory_tokens=10)
    assert not upstream.fits_memory(500_000)


def test_reported_own_work_includes_the_tokens_that_wait_to_be_computed():
    upstream = Upstream(REPORT)
    route = Route("u0", None, 0.1, 0.1, 0.0, True, missing_tokens=700)
    upstream.add_run("r1", 0, route, 0.0, memory_tokens=900)
    upstream.add_run("r2", 1, route, 0.0, memory_tokens=900)
    assert upstream.summarise_own_work(0.0) == PeerWork(2, 1800, ((0, 700), (1, 700)))
    upstream.start_run("r1", 0.1)
    assert upstream.summarise_own_work(0.1) == PeerWork(2, 1800, ((1, 700),))
    upstream.end_run("r1", 0.2, True)
    upstream.end_run("r2", 0.2, False)
    assert upstream.summarise_own_work(0.2) == PeerWork(0, 0, ())


def test_a_paused_engine_gets_no_runs_until_every_source_has_resumed_it():
    dispatcher = make_dispatcher(("u0",))
    dispatcher.set_paused("e2", frozenset(("u0",)))
    dispatcher.set_paused("e3", frozenset(("u0",)))
    assert offer(dispatcher, "r1") == []
    dispatcher.set_paused("e2", frozenset())
    assert dispatcher.assign(0.1) == ()
    dispatcher.set_paused("e3", frozenset())
    assert offer(dispatcher, "r2") != []


def test_a_prompt_goes_to_the_engine_that_caches_its_larger_blocks():
    dispatcher = make_dispatcher(("u0", "u1"))
    dispatcher.record_held("u1", ("a", "b"), (500, 9_000))
    assert offer(dispatcher, "r1", 10_000, ("a", "b", "c"), (500, 9_000, 500)) == ["u1"]


def test_the_index_drops_the_least_recently_used_blocks_beyond_the_capacity():
    index = BlockIndex()
    index.set_capacity("u0", 1000)
    index.add_held("u0", ("a", "b"), (600, 300))
    index.add_held("u0", ("a",), (600,))
    index.add_held("u0", ("c",), (200,))
    assert index.find_holders(("b",)) == {}
    assert index.find_holders(("a",)) == {"u0": 1}
    assert index.count_tokens("u0") == 800


def test_refused_attempts_use_the_retry_budget_only_if_the_policy_counts_refusals():
    counting = RetryBudget(RetryPolicy(min_retries=2, counts_refusals=True))
    assert counting.allow(1, 0.0, ran=False) is not None
    assert counting.allow(1, 0.0, ran=False) is not None
    assert counting.allow(1, 0.0, ran=False) is None
    lenient = RetryBudget(RetryPolicy(min_retries=0))
    assert lenient.allow(1, 0.0, ran=False) is not None
