from persimmonferry_core.retry_shares import RETENTION_S, RetryShares

WINDOW_S = 10.0


def test_an_entry_has_no_share_before_its_first_list_and_in_its_first_window():
    shares = RetryShares("e1", 100.0)
    assert shares.divide(30, WINDOW_S, 200.0) == 0
    shares.set_entries(["e1", "e2", "e3"], 101.0)
    assert shares.divide(30, WINDOW_S, 109.9) == 0
    assert shares.divide(30, WINDOW_S, 110.0) == 10


def test_entries_that_left_count_until_they_must_have_given_up_their_share():
    shares = RetryShares("e1", 0.0)
    shares.set_entries(["e1", "e2"], 20.0)
    shares.set_entries(["e1"], 30.0)
    shares.confirm(30.0 + RETENTION_S)
    assert shares.divide(30, WINDOW_S, 29.9 + RETENTION_S) == 15
    assert shares.divide(30, WINDOW_S, 30.0 + RETENTION_S) == 30
    # The other one gives its share up a window before the others take it.
    left = RetryShares("e2", 0.0)
    left.set_entries(["e1", "e2"], 30.0)
    left.set_entries(["e1"], 31.0)
    assert left.divide(30, WINDOW_S, 30.0 + RETENTION_S - WINDOW_S - 0.1) == 15
    assert left.divide(30, WINDOW_S, 30.0 + RETENTION_S - WINDOW_S) == 0
    left.set_entries(["e1", "e2"], 200.0)
    assert left.divide(30, WINDOW_S, 200.0) == 15
