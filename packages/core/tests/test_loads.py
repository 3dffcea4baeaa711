"""Orders for new weights at full load: who loads when."""

from persimmonferry_core.loads import (
    LOADING_SHARE,
    ORDER_TIMEOUT_S,
    EngineState,
    choose_loads,
    find_outdated,
    is_loading,
)


def make_engine(name, version=1, ordered=0, ordered_s=0.0, held=0):
    return EngineState(name, version, ordered, ordered_s, held)


def test_all_engines_come_forward_and_never_too_many_load_at_a_time():
    engines = {name: make_engine(name, held=len(name)) for name in "abcdefghi"}
    finished_at = {}
    most = 0
    now = 0.0
    while any(engine.version < 2 for engine in engines.values()):
        for name in choose_loads(list(engines.values()), 2, now):
            engines[name] = make_engine(name, 1, 2, now)
            finished_at[name] = now + 2.0
        loading = [engine for engine in engines.values() if is_loading(engine, now)]
        most = max(most, len(loading))
        now += 0.15
        for name, end_s in finished_at.items():
            if now >= end_s:
                engines[name] = make_engine(name, 2, 2, 0.0)
        assert now < 10.0
    assert most == round(LOADING_SHARE * len(engines))


def test_the_engine_that_is_furthest_behind_goes_first():
    engines = [make_engine("new", 2, held=1), make_engine("old", 1, held=90_000)]
    assert choose_loads(engines, 3, 0.0) == ("old",)


def test_the_engine_that_loses_least_cache_goes_first_among_equals():
    engines = [make_engine("full", held=5), make_engine("empty", held=1)]
    assert choose_loads(engines, 2, 0.0) == ("empty",)


def test_an_engine_gets_no_second_order_while_one_is_in_hand():
    engine = make_engine("a", 1, 2, 10.0)
    assert choose_loads([engine], 3, 11.0) == ()
    assert choose_loads([engine], 3, 10.0 + ORDER_TIMEOUT_S) == ("a",)


def test_one_engine_alone_loads_too():
    assert choose_loads([make_engine("a")], 2, 0.0) == ("a",)


def test_engines_whose_weights_were_replaced_long_ago_are_left_out():
    """Holders that freeze one after the other leave an engine behind."""
    named = {2: 0.0, 3: 8.9}
    versions = {"a": 1, "b": 2, "c": 3}
    assert find_outdated(versions, named, 8.5, 8.4) == frozenset()
    assert find_outdated(versions, named, 8.5, 8.5) == {"a"}
    assert find_outdated(versions, named, 8.5, 17.4) == {"a", "b"}
    assert find_outdated({"a": 1}, named, 8.5, 17.4) == frozenset()
