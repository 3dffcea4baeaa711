"""Orders to load new weights at full load: which engine loads when."""

from dataclasses import replace

from persimmonferry_core.weight_orders import (
    MAX_LOADING_RATIO,
    ORDER_ACCEPT_TIMEOUT_S,
    ORDER_TIMEOUT_S,
    REPLACED_READ_GRACE_S,
    EngineState,
    choose_loads,
    find_start_limits,
    is_loading,
    is_order_lost,
    may_read_stored,
)


def make_engine(name, version=1, ordered=0, ordered_s=0.0, held=0):
    return EngineState(name, version, ordered, ordered_s, held)


def test_all_engines_load_new_weights_and_at_most_the_allowed_share_at_once():
    engines = {name: make_engine(name, held=len(name)) for name in "abcdefghi"}
    finished_at = {}
    most_loading = 0
    now = 0.0
    while any(engine.version < 2 for engine in engines.values()):
        for name in choose_loads(list(engines.values()), 2, now):
            engines[name] = make_engine(name, 1, 2, now)
            finished_at[name] = now + 2.0
        loading = [engine for engine in engines.values() if is_loading(engine, now)]
        most_loading = max(most_loading, len(loading))
        now += 0.15
        for name, end_s in finished_at.items():
            if now >= end_s:
                engines[name] = make_engine(name, 2, 2, 0.0)
        assert now < 10.0
    assert most_loading == round(MAX_LOADING_RATIO * len(engines))


def test_orders_that_are_carried_out_late_are_pending_concurrently():
    """No order gets a reply; each counts as lost after 1.3 s, but is done after 4 s."""
    check_s, late_s = 1.3, 4.0
    # The smallest ``versionAllMs`` of any site.
    limit_s = 11.0
    engines = {name: make_engine(name, held=len(name)) for name in "abcdefghi"}
    done_at = {}
    now = 0.0
    while any(engine.version < 2 for engine in engines.values()):
        assert now < limit_s, "some engines were never asked"
        for name in choose_loads(list(engines.values()), 2, now):
            # No order is recorded as accepted, because the engine has not counted it.
            engines[name] = replace(engines[name], asked_s=now)
            done_at.setdefault(name, now + late_s)
        now += check_s
        for name, end_s in done_at.items():
            if now >= end_s:
                engines[name] = replace(engines[name], version=2)


def test_the_engine_with_the_oldest_version_loads_first():
    engines = [make_engine("new", 2, held=1), make_engine("old", 1, held=90_000)]
    assert choose_loads(engines, 3, 0.0) == ("old",)


def test_among_equal_versions_the_engine_with_the_least_cache_loads_first():
    engines = [make_engine("full", held=5), make_engine("empty", held=1)]
    assert choose_loads(engines, 2, 0.0) == ("empty",)


def test_an_engine_gets_no_second_order_before_the_first_times_out():
    engine = make_engine("a", 1, 2, 10.0)
    assert choose_loads([engine], 3, 11.0) == ()
    assert choose_loads([engine], 3, 10.0 + ORDER_TIMEOUT_S) == ("a",)


def test_a_single_engine_loads_too():
    assert choose_loads([make_engine("a")], 2, 0.0) == ("a",)


def list_ended(limits, now):
    """Return the engines at which runs may no longer start."""
    return {name for name, limit_s in limits.items() if now >= limit_s}


def test_no_runs_start_on_weights_that_were_replaced_long_ago():
    """Leaders that freeze one after the other leave an engine on old weights."""
    named = {2: 0.0, 3: 8.9}
    limits = find_start_limits({"a": 1, "b": 2, "c": 3}, named, 8.5)
    assert list_ended(limits, 8.4) == set()
    assert list_ended(limits, 8.5) == {"a"}
    assert list_ended(limits, 17.4) == {"a", "b"}


def test_runs_may_start_at_no_engine_if_all_are_outdated():
    """The leader is frozen, and the engines delay its orders."""
    limits = find_start_limits({"a": 1, "b": 2}, {3: 0.0}, 6.5)
    assert list_ended(limits, 6.4) == set()
    assert list_ended(limits, 6.5) == {"a", "b"}


def test_stored_parts_are_read_for_a_limited_time_after_a_version_change():
    """Two version changes within four seconds."""
    named = {1: 0.0, 2: 20.0, 3: 24.0}
    assert may_read_stored(1, named, 20.0 + REPLACED_READ_GRACE_S - 0.1)
    assert not may_read_stored(1, named, 20.0 + REPLACED_READ_GRACE_S)
    assert may_read_stored(2, named, 24.0 + REPLACED_READ_GRACE_S - 0.1)
    assert not may_read_stored(2, named, 24.0 + REPLACED_READ_GRACE_S)
    assert may_read_stored(3, named, 1000.0)
    assert may_read_stored(1, {}, 1000.0)


def test_an_order_that_the_engine_has_not_counted_is_given_again():
    assert not is_order_lost(ORDER_ACCEPT_TIMEOUT_S - 0.1, 0, 0, busy=False)
    assert is_order_lost(ORDER_ACCEPT_TIMEOUT_S, 0, 0, busy=False)
    assert not is_order_lost(ORDER_ACCEPT_TIMEOUT_S, 0, 0, busy=True)
    assert not is_order_lost(ORDER_ACCEPT_TIMEOUT_S, 0, 1, busy=False)
    assert not is_order_lost(ORDER_ACCEPT_TIMEOUT_S, None, 0, busy=False)
