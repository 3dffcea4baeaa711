"""Fetches of shared parts that another engine has computed and no store has yet."""

from persimmonferry_core.dispatch import Dispatcher
from persimmonferry_core.fetch_sources import choose_fetch_sources
from persimmonferry_core.schema import Service, ServiceKind, TeamDocument, Tier
from persimmonferry_core.upstreams import UpstreamReport

PARTS = ("2/system", "2/shop", "2/own")
SIZES = (500, 8000, 300)


def make_report(name, version="2", domain="z1", leaving=False, sequence=1):
    return UpstreamReport(
        name,
        1,
        sequence,
        domain,
        "s",
        "m",
        version,
        0,
        0,
        0,
        8,
        0.0,
        100.0,
        leaving,
        memory_tokens=100_000,
    )


def make_dispatcher(**changes):
    service = Service("s", ServiceKind.MODEL, "m", "2", slots_per_upstream=8)
    tiers = (Tier("t", 1.0, 0, 0),)
    dispatcher = Dispatcher(TeamDocument("", 1, (service,), tiers, (), ()))
    for name in ("e1", "e2", "e3"):
        dispatcher.report(make_report(name, **changes.get(name, {})), 0.0)
    return dispatcher


def test_a_part_that_another_engine_computed_is_fetched_from_it():
    dispatcher = make_dispatcher()
    dispatcher.record_held("e2", PARTS, SIZES)
    assert dispatcher.find_fetch_sources("e1", PARTS, 0.1) == ("e2", "e2", "e2")
    assert dispatcher.find_fetch_sources("e2", PARTS, 0.1) == (None, None, None)


def test_parts_that_the_engine_has_cached_itself_are_not_fetched():
    dispatcher = make_dispatcher()
    dispatcher.record_held("e1", PARTS[:1], SIZES[:1])
    dispatcher.record_held("e2", PARTS[:2], SIZES[:2])
    assert dispatcher.find_fetch_sources("e1", PARTS, 0.1) == (None, "e2", None)


def test_draining_and_paused_engines_are_no_sources():
    changes = {"e2": {"leaving": True}}
    dispatcher = make_dispatcher(**changes)
    for name in ("e2", "e3"):
        dispatcher.record_held(name, PARTS, SIZES)
    assert dispatcher.find_fetch_sources("e1", PARTS, 0.1) == ("e3",) * 3
    dispatcher.set_paused("holder", frozenset(("e3",)))
    assert dispatcher.find_fetch_sources("e1", PARTS, 0.1) == (None,) * 3


def test_parts_of_another_weight_version_are_not_fetched():
    dispatcher = make_dispatcher()
    dispatcher.record_held("e2", tuple(name.replace("2/", "1/") for name in PARTS))
    assert dispatcher.find_fetch_sources("e1", PARTS, 0.1) == (None,) * 3


def test_an_engine_in_the_same_failure_domain_is_preferred():
    depths = {"far": 2, "near": 2}
    found = choose_fetch_sources(depths, "e1", 2, ("far", "near"), ("near",))
    assert found == ("near", "near")
