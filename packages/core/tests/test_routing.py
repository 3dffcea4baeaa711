import random
from collections import Counter
from dataclasses import replace

from persimmonferry_core.admission import PromptRequest, WaitingRequest
from persimmonferry_core.routing import (
    BlockIndex,
    LinkTable,
    Route,
    Router,
    Upstream,
    UpstreamReport,
)
from persimmonferry_core.schema import RoutingWeights, Service, ServiceKind
from persimmonferry_core.topology import Link

BLOCKS = tuple(f"b{index}" for index in range(10))
LINKS = (
    Link("east", "east", 0.0002, 1e9, 0.0),
    Link("west", "east", 0.005, 250e6, 0.02),
)


def make_report(name, domain="east", sequence=1, **changes):
    report = UpstreamReport(
        name, 1, sequence, domain, "notes", "m", "v1", 0, 0, 0, 4, 10_000.0, 40.0
    )
    return replace(report, **changes)


def make_router(names, weights=None, links=LINKS, seed=1):
    service = Service(
        "notes", ServiceKind.MODEL, "m", "v1", weights=weights or RoutingWeights()
    )
    index = BlockIndex()
    router = Router(service, LinkTable(links), index, random.Random(seed))
    for name in names:
        router.add(make_report(name), 0.0)
    return router, index


def make_waiting(now=0.0, latest=60.0, priority=1, blocks=BLOCKS, name="r"):
    tokens = 1000 * len(blocks) + 200
    request = PromptRequest(
        name, "a", "desk", "notes", tokens, 20, now, blocks, 10_000_000
    )
    return WaitingRequest(request, latest, 0.1, priority)


def test_a_new_urgent_run_counts_in_full_beside_an_older_non_urgent_one():
    upstream = Upstream(make_report("u0"))
    upstream.add_run("patient", 2, Route("u0", None, 1.5, 1.5, 0.0, True), 0.0)
    upstream.add_run("urgent", 0, Route("u0", None, 0.08, 0.08, 0.0, True), 1.0)
    assert upstream.estimate_backlog(0, 0.0, 1.0) == 0.08
    assert abs(upstream.estimate_backlog(2, 0.0, 1.0) - 0.58) < 1e-9
    upstream.start_run("urgent", 1.08)
    assert upstream.estimate_backlog(0, 0.0, 1.1) == 0.0


def test_work_of_other_entries_excludes_own_runs_that_the_report_may_include():
    upstream = Upstream(make_report("u0"))
    for name in ("a", "b"):
        upstream.add_run(name, 1, None, 0.0)
    upstream.end_run("a", 0.1, True)
    upstream.apply(make_report("u0", sequence=2, running=3), 0.2)
    assert upstream.other_runs == 1
    assert upstream.in_flight == 2
    assert not upstream.apply(make_report("u0", sequence=1, running=0), 0.3)
    upstream.apply(make_report("u0", sequence=3, running=3), 0.4)
    assert upstream.other_runs == 2


def test_blocks_are_imported_from_the_fastest_store_unless_computing_is_faster():
    router, index = make_router(["u0"])
    index.add_stored("west", BLOCKS)
    assert router.choose(make_waiting(), 0.0).plan.source_domain == "west"
    index.add_stored("east", BLOCKS[:9])
    plan = router.choose(make_waiting(), 0.0).plan
    assert (plan.source_domain, plan.block_names) == ("east", BLOCKS[:9])
    slow = (Link("west", "east", 0.005, 50e6, 0.02),)
    router, index = make_router(["u0"], links=slow)
    index.add_stored("west", BLOCKS)
    assert router.choose(make_waiting(), 0.0).plan is None


def test_routing_weights_decide_between_import_and_recomputation():
    for weights, is_imported in (
        (RoutingWeights(1.0, 0.0, 0.0), True),
        (RoutingWeights(1.0, 0.0, 500.0), False),
        (RoutingWeights(1.0, 2.0, 500.0), True),
    ):
        router, index = make_router(["u0"], weights)
        index.add_stored("west", BLOCKS)
        assert (router.choose(make_waiting(), 0.0).plan is not None) is is_imported


def test_no_import_is_planned_over_a_link_that_was_measured_as_slow():
    router, index = make_router(["u0"])
    index.add_stored("west", BLOCKS)
    for step in range(20):
        router.links.record("west", "east", 100_000_000, 5.0, 10.0 * step)
    assert router.choose(make_waiting(), 300.0).plan is None


def test_a_busy_upstream_with_the_blocks_is_waited_for_while_faster_and_in_time():
    router, index = make_router(["u0", "u1"])
    index.add_held("u0", BLOCKS)
    first = router.choose(make_waiting(), 0.0)
    assert first.upstream == "u0"
    filler = Route("u0", None, 0.4, 0.4, 0.0, True)
    router.add_run(make_waiting(name="filler"), filler, 0.0)
    behind = router.choose(make_waiting(), 0.0)
    assert (behind.upstream, behind.startable) == ("u0", False)
    hurried = router.choose(make_waiting(latest=0.1), 0.0)
    assert (hurried.upstream, hurried.startable) == ("u1", True)
    router.add_run(make_waiting(name="more"), replace(filler, prefill_s=5.0), 0.0)
    assert router.choose(make_waiting(), 0.0).upstream == "u1"


def test_entries_with_the_same_reports_spread_over_the_upstreams():
    names = [f"u{index}" for index in range(6)]
    chosen = Counter()
    for seed in range(60):
        router, _ = make_router(names, seed=seed)
        chosen[router.choose(make_waiting(blocks=()), 0.0).upstream] += 1
    assert len(chosen) == 6
    assert max(chosen.values()) <= 30


def test_an_upstream_with_cached_blocks_is_found_among_hundreds():
    names = [f"u{index}" for index in range(300)]
    router, index = make_router(names)
    index.add_held("u123", BLOCKS)
    assert router.choose(make_waiting(), 0.0).upstream == "u123"
    index.remove_upstream("u123")
    assert index.find_holders(BLOCKS) == {}


def test_every_upstream_is_a_primary_one_and_every_entry_has_one():
    for count in (1, 2, 3, 7, 9):
        names = [f"u{index}" for index in range(count)]
        entries = ("e0", "e1", "e2")
        primaries = []
        for entry in entries:
            router, _ = make_router(names)
            router.add(make_report("old", version=""), 0.0)
            router.set_primaries(entry, entries)
            assert set(router.summarize().names) == set(names)
            own = [name for name in names if router.upstreams[name].is_primary]
            assert own
            primaries += own
        assert set(primaries) == set(names)
        assert len(primaries) == max(count, len(entries))


def test_delays_by_transfers_of_other_entries_are_measured_and_fade():
    links = LinkTable(LINKS)
    alone = links.estimate_transfer("west", "east", 25_000_000, 0.0)
    for step in range(20):
        links.record("west", "east", 25_000_000, 1.0 + alone, 10.0 + 0.11 * step)
    assert links.estimate_transfer("west", "east", 25_000_000, 12.1) > 0.7 + alone
    later = links.estimate_transfer("west", "east", 25_000_000, 100.0)
    assert later < 1.3 * alone


def test_the_wait_for_a_busy_upstream_is_limited_by_the_weight_of_the_saved_work():
    filler = Route("u0", None, 0.3, 0.3, 0.0, True)
    for weights, limit_s in (
        (RoutingWeights(1.0, 0.0, 0.0), 1.02),
        (RoutingWeights(1.0, 1.0, 0.0), 2.04),
    ):
        router, index = make_router(["u0", "u1"], weights)
        index.add_held("u0", BLOCKS)
        chosen = []
        for step in range(30):
            now = 0.1 * step
            router.add_run(make_waiting(name="filler"), filler, now)
            route = router.choose(make_waiting(), now)
            chosen.append((route.upstream, route.startable))
            router.end_run(make_waiting(name="filler"), "u0", True, now)
        waited = chosen.index(("u1", True)) * 0.1
        assert limit_s <= waited <= limit_s + 0.1


def test_blocks_are_not_planned_for_an_upstream_with_another_version():
    router, index = make_router([])
    router.add(make_report("old", version="v0"), 0.0)
    index.add_stored("east", BLOCKS)
    route = router.choose(make_waiting(), 0.0)
    assert (route.upstream, route.plan) == ("old", None)
