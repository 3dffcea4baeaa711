"""Subsets of upstreams, and the entries that share them, in small and large fleets."""

from persimmonferry_core.upstreams.subsets import (
    MAX_PARTITION_UPSTREAMS,
    SUBSET_SIZE,
    UpstreamSubsets,
)


def make_names(letter, count):
    return tuple(f"{letter}-{number}" for number in range(count))


def make_groups(entries, upstreams, entry="g-0"):
    groups = UpstreamSubsets(entry)
    groups.set_entries(entries)
    groups.set_upstreams(upstreams)
    return groups


def test_a_single_entry_uses_all_upstreams():
    groups = UpstreamSubsets("g-0")
    groups.set_upstreams(("u-0",))
    assert groups.subset == {"u-0"}
    assert groups.neighbours == frozenset()


def test_in_a_small_fleet_every_entry_uses_all_upstreams():
    groups = make_groups(make_names("g", 5), make_names("u", SUBSET_SIZE))
    assert groups.subset == frozenset(make_names("u", SUBSET_SIZE))
    assert groups.neighbours == frozenset(make_names("g", 5)) - {"g-0"}


def test_entries_agree_on_who_uses_an_upstream():
    entries, upstreams = make_names("g", 68), make_names("u", 37)
    views = {name: make_groups(entries, upstreams, name) for name in entries}
    for name, view in views.items():
        assert len(view.subset) == SUBSET_SIZE
        for upstream in view.subset:
            users = {other for other in entries if upstream in views[other].subset}
            assert view.list_users(upstream) == users - {name}


def test_upstreams_are_used_by_similar_numbers_of_entries():
    entries, upstreams = make_names("g", 68), make_names("u", 37)
    views = [make_groups(entries, upstreams, name) for name in entries]
    counts = [sum(name in view.subset for view in views) for name in upstreams]
    mean = len(entries) * SUBSET_SIZE / len(upstreams)
    assert min(counts) > mean / 3
    assert max(counts) < 2 * mean


def test_one_added_or_removed_member_changes_few_choices():
    entries, upstreams = make_names("g", 68), make_names("u", 37)
    groups = make_groups(entries, upstreams)
    before = groups.subset
    groups.set_upstreams((*upstreams, "u-new"))
    assert len(before - groups.subset) <= 1
    gone = next(iter(before))
    groups.set_upstreams([name for name in upstreams if name != gone])
    assert len(before - groups.subset) <= 2
    groups.set_entries([name for name in entries if name != "g-7"])
    assert not any("g-7" in groups.list_users(name) for name in groups.subset)


def test_successive_changes_give_the_same_subset_as_a_new_view():
    entries = make_names("g", 68)
    groups = make_groups(entries, make_names("u", 37))
    for count in (30, 45, 12, 5, 40):
        groups.set_upstreams(make_names("u", count))
        fresh = make_groups(entries, make_names("u", count))
        assert groups.subset == fresh.subset
        assert groups.neighbours == fresh.neighbours


def test_neighbours_stay_bounded_as_the_fleet_grows():
    largest = []
    for size in (300, 1000, 2000):
        groups = make_groups(make_names("g", size), make_names("u", 5 * size))
        assert len(groups.subset) == SUBSET_SIZE
        largest.append(len(groups.neighbours))
    part = 2 * MAX_PARTITION_UPSTREAMS / 5
    assert max(largest) <= part
