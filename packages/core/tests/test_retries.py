import random

from persimmonferry_core.retries import RetryBudget, RetryPolicy


def test_retries_stay_under_their_share_when_everything_fails():
    policy = RetryPolicy(share=0.1, min_retries=3, window_s=10.0)
    budget = RetryBudget(policy, seed=1)
    generator = random.Random(2)
    requests = retries = 0
    now = 0.0
    while now < 300.0:
        now += generator.expovariate(20.0)
        requests += 1
        budget.record_request(now)
        if budget.allow(1, now, ran=True) is not None:
            retries += 1
    windows = 300.0 / policy.window_s * 2
    assert 0.05 * requests <= retries <= policy.share * requests + windows * 3


def test_backoff_grows_with_jitter_that_is_reproducible_by_its_seed():
    first = RetryBudget(RetryPolicy(min_retries=100), seed=7)
    second = RetryBudget(RetryPolicy(min_retries=100), seed=7)
    delays = [first.allow(1 + index % 2, 0.0, ran=True) for index in range(40)]
    assert delays == [second.allow(1 + index % 2, 0.0, ran=True) for index in range(40)]
    assert all(delay <= 0.02 for delay in delays[::2])
    assert all(delay <= 0.04 for delay in delays[1::2])
    assert max(delays[1::2]) > 0.02
    assert len(set(delays)) == len(delays)


def test_attempts_of_one_request_are_bounded():
    budget = RetryBudget(RetryPolicy(min_retries=100, attempts=3))
    assert budget.allow(2, 0.0, ran=True) is not None
    assert budget.allow(3, 0.0, ran=False) is None


def test_reserved_retries_count_until_they_are_sent_or_cancelled():
    policy = RetryPolicy(share=0.0, min_retries=2, window_s=10.0)
    budget = RetryBudget(policy)
    first, second = (budget.reserve(1, 0.0, ran=True) for _ in range(2))
    assert budget.reserve(1, 30.0, ran=True) is None
    budget.cancel(first)
    budget.record_sent(second, 30.0)
    assert budget.allow(1, 30.0, ran=True) is not None
    assert budget.allow(1, 39.9, ran=True) is None
    assert budget.allow(1, 40.1, ran=True) is not None
    assert (budget.granted, budget.refused) == (4, 2)
