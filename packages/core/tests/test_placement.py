from persimmonferry_core.placement import PauseList, rank_stores

NAMES = [f"c-{index}-aa" for index in range(400)]
STORES = [f"s{index}" for index in range(5)]


def test_removing_a_store_moves_only_its_blocks_to_their_second_choice():
    rest = [store for store in STORES if store != "s2"]
    for name in NAMES:
        first, second = rank_stores(name, STORES)
        assert rank_stores(name, rest)[0] == (second if first == "s2" else first)


def test_blocks_spread_evenly_regardless_of_the_order_of_the_stores():
    chosen = [rank_stores(name, STORES)[0] for name in NAMES]
    assert chosen == [rank_stores(name, STORES[::-1])[0] for name in NAMES]
    assert all(50 <= chosen.count(store) <= 110 for store in STORES)


def test_a_paused_store_is_asked_again_after_the_pause():
    pauses = PauseList(pause_s=5.0)
    pauses.pause("s1", now=10.0)
    assert pauses.exclude_paused(["s1", "s2"], now=14.9) == ("s2",)
    assert pauses.exclude_paused(["s1", "s2"], now=15.0) == ("s1", "s2")
