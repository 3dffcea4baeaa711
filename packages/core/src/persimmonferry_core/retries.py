"""Retries: a budget as a share of recent requests, and backoff with seeded jitter."""

import random
from dataclasses import dataclass

__all__ = ["RetryBudget", "RetryPolicy"]


@dataclass(frozen=True)
class RetryPolicy:
    """
    How much may be tried again.

    :param share: retries as a share of the requests in the window.
    :param floor: retries that are allowed in a window without any requests; enough
        for the runs of two upstreams that fail at once.
    :param attempts: of one request, the first included.
    :param counts_refusals: whether an attempt that provably did not run takes from the
        budget too, where upstreams count every arrival.
    """

    share: float = 0.1
    min_retries: int = 16
    window_s: float = 10.0
    attempts: int = 3
    base_delay_s: float = 0.02
    max_delay_s: float = 1.0
    counts_refusals: bool = False


class RetryBudget:
    """
    Keeps retries and resumptions under a share of the recent requests.

    The window is cut into two halves; the older half counts until the newer is full,
    so the budget covers between one half and one whole window.

    :param seed: of the jitter.
    """

    def __init__(self, policy: RetryPolicy | None = None, seed: int = 0) -> None:
        self.policy = policy or RetryPolicy()
        self._random = random.Random(seed)
        self._half_start_s = 0.0
        self._requests = [0, 0]
        self._retries = [0, 0]

    def record_request(self, now: float) -> None:
        """Count a request that was admitted."""
        self._advance(now)
        self._requests[0] += 1

    def allow(self, attempts: int, now: float, *, ran: bool) -> float | None:
        """
        Take one retry from the budget.

        An attempt that did not run put no load on an upstream: unless the policy counts
        refusals, trying elsewhere is bounded by the number of attempts alone, so that
        an upstream that stops or is gone costs no request its answer.

        :param attempts: attempts of the request so far.
        :param ran: whether the failed attempt may have run.
        :returns: the delay before the retry in seconds, None when it is not allowed.
        """
        self._advance(now)
        policy = self.policy
        if attempts >= policy.attempts:
            return None
        if ran or policy.counts_refusals:
            allowed = policy.min_retries + policy.share * sum(self._requests)
            if sum(self._retries) + 1 > allowed:
                return None
            self._retries[0] += 1
        ceiling = min(policy.max_delay_s, policy.base_delay_s * 2 ** (attempts - 1))
        return ceiling * self._random.random()

    def _advance(self, now: float) -> None:
        half_s = self.policy.window_s / 2
        halves = int((now - self._half_start_s) / half_s)
        if halves <= 0:
            return
        self._half_start_s += halves * half_s
        self._requests = [0, self._requests[0] if halves == 1 else 0]
        self._retries = [0, self._retries[0] if halves == 1 else 0]
