from persimmonferry_core.retry_shares import (
    CONFIRMATION_TIMEOUT_S,
    RETENTION_S,
    RetryShares,
)

WINDOW_S = 10.0


def test_an_entry_has_no_share_before_it_is_listed_and_after_its_start():
    """Neither what its predecessor has used nor who is turned away is known."""
    shares = RetryShares("e1", 100.0)
    assert shares.divide(30, WINDOW_S, 200.0) == 0
    shares.set_entries(["e2", "e3"], 101.0)
    assert shares.divide(30, WINDOW_S, 101.0) == 0
    shares.set_entries(["e1", "e2", "e3"], 99.0 + RETENTION_S)
    assert shares.divide(30, WINDOW_S, 99.9 + RETENTION_S) == 0
    assert shares.divide(30, WINDOW_S, 100.0 + RETENTION_S) == 10
    long_s = 2 * RETENTION_S
    shares.confirm(99.9 + long_s)
    assert shares.divide(30, long_s, 99.9 + long_s) == 0


def test_entries_that_left_count_until_they_must_have_given_up_their_share():
    shares = RetryShares("e1", 0.0)
    shares.set_entries(["e1", "e2"], 20.0)
    shares.set_entries(["e1"], 30.0)
    shares.confirm(30.0 + RETENTION_S)
    assert shares.divide(30, WINDOW_S, 29.9 + RETENTION_S) == 15
    assert shares.divide(30, WINDOW_S, 30.0 + RETENTION_S) == 30
    # The other one gives its share up before the others take it.
    assert CONFIRMATION_TIMEOUT_S < RETENTION_S
    left = RetryShares("e2", 0.0)
    left.set_entries(["e1", "e2"], 30.0)
    left.set_entries(["e1"], 31.0)
    assert left.divide(30, WINDOW_S, 29.9 + CONFIRMATION_TIMEOUT_S) == 15
    assert left.divide(30, WINDOW_S, 30.0 + CONFIRMATION_TIMEOUT_S) == 0
    left.set_entries(["e1", "e2"], 200.0)
    assert left.divide(30, WINDOW_S, 200.0) == 15
