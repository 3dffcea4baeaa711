from persimmonferry_core.cache_stores import (
    MAX_FILL_RATIO,
    MAX_VIEW_AGE_S,
    SAVE_TIMEOUT_S,
    CacheStoreIndex,
    PartEvent,
    choose_watchers,
    group_stores,
)
from persimmonferry_core.deployment import CacheStore


def make_store(name, capacity=10_000):
    return CacheStore(name, f"{name}:1", "z1", capacity, 1e9, 0.001)


def make_index(*stores, now=0.0):
    kept = CacheStoreIndex()
    kept.configure(stores or (make_store("s1"),))
    for name in kept.views:
        kept.replace_view(name, 7, {}, 0, now)
    return kept


def test_a_part_is_found_only_while_it_is_complete():
    kept = make_index()
    assert kept.choose_save_target("1/aa", 100, 0.0).name == "s1"
    assert kept.find("1/aa", 0.0) is None
    assert kept.apply_events("s1", 7, [PartEvent("1/aa", 100, True)], 0.1)
    assert kept.find("1/aa", 0.1).name == "s1"
    assert kept.apply_events("s1", 7, [PartEvent("1/aa", 100, False)], 0.2)
    assert kept.find("1/aa", 0.2) is None


def test_a_view_without_recent_confirmation_is_not_used():
    kept = make_index()
    kept.apply_events("s1", 7, [PartEvent("1/aa", 100, True)], 0.0)
    assert kept.find("1/aa", MAX_VIEW_AGE_S) is not None
    assert kept.find("1/aa", MAX_VIEW_AGE_S + 0.01) is None
    assert kept.choose_save_target("1/bb", 100, MAX_VIEW_AGE_S + 0.01) is None


def test_a_restarted_store_has_none_of_its_former_parts():
    kept = make_index()
    kept.apply_events("s1", 7, [PartEvent("1/aa", 100, True)], 0.0)
    assert not kept.apply_events("s1", 8, [], 0.1)
    assert kept.find("1/aa", 0.1) is None
    kept.replace_view("s1", 8, {"1/bb": 50}, 0, 0.2)
    assert kept.find("1/aa", 0.2) is None
    assert kept.find("1/bb", 0.2) is not None


def test_a_part_is_saved_again_only_after_the_save_timed_out():
    kept = make_index()
    assert kept.choose_save_target("1/aa", 100, 0.0) is not None
    assert kept.choose_save_target("1/aa", 100, 1.0) is None
    kept.apply_events("s1", 7, [], SAVE_TIMEOUT_S)
    assert kept.choose_save_target("1/aa", 100, SAVE_TIMEOUT_S) is not None


def test_a_stored_part_is_not_saved_again():
    kept = make_index()
    kept.replace_view("s1", 7, {"1/aa": 100}, 0, 0.0)
    assert kept.choose_save_target("1/aa", 100, 0.5) is None


def test_a_part_is_saved_to_the_next_store_if_the_first_is_full():
    kept = make_index(make_store("s1"), make_store("s2"))
    first = kept.choose_save_target("1/aa", 100, 0.0)
    kept = make_index(make_store("s1"), make_store("s2"))
    full = {"1/xx": int(MAX_FILL_RATIO * first.capacity_tokens)}
    kept.replace_view(first.name, 7, full, 0, 0.0)
    second = kept.choose_save_target("1/aa", 100, 0.0)
    assert second.name != first.name
    kept.replace_view(second.name, 7, {}, second.capacity_tokens, 0.0)
    assert kept.choose_save_target("1/bb", 100, 0.0) is None


def test_gateways_choose_the_same_store_and_large_stores_get_more_parts():
    stores = (make_store("small", 1_000_000), make_store("large", 10_000_000))
    one, other = make_index(*stores), make_index(*reversed(stores))
    names = [f"1/{number:x}" for number in range(300)]
    chosen = [one.choose_save_target(name, 1, 0.0).name for name in names]
    assert chosen == [other.choose_save_target(name, 1, 0.0).name for name in names]
    assert chosen.count("large") > 0.8 * len(chosen)


def test_parts_of_older_weights_are_obsolete():
    kept = make_index()
    kept.replace_view("s1", 7, {"1/aa": 1, "2/aa": 1, "1.t/bb": 1}, 0, 0.0)
    found = kept.list_obsolete(lambda name: name.startswith(("1/", "1.")))
    assert found == {"s1": ["1/aa", "1.t/bb"]}


def test_a_new_configuration_keeps_the_views_of_unchanged_stores():
    kept = make_index(make_store("s1"), make_store("s2"))
    kept.replace_view("s1", 7, {"1/aa": 1}, 0, 0.0)
    kept.configure((make_store("s1"), make_store("s3")))
    assert kept.find("1/aa", 0.0) is not None
    assert set(kept.views) == {"s1", "s3"}


def test_few_gateways_watch_the_stores_of_a_large_fleet():
    """17 stores and 68 gateways: updates of up to six stores share a message."""
    gateways = [f"g{number}" for number in range(68)]
    groups = group_stores(f"s{number:02}" for number in range(17))
    watchers = {
        name
        for group in groups.values()
        for name in choose_watchers(group, gateways, 12)
    }
    assert len(set(groups.values())) == 3
    assert len(watchers) <= 9
