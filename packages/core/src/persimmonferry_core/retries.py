"""Retry budget as a share of recent requests, and backoff with seeded jitter."""

import random
from dataclasses import dataclass

__all__ = ["RetryBudget", "RetryGrant", "RetryPolicy"]


@dataclass(frozen=True)
class RetryPolicy:
    """
    Limits and delays of retries.

    :param share: retries allowed as a share of the requests in the window.
    :param min_retries: retries allowed in a window without any requests; enough for
        the runs of two upstreams that fail at once.
    :param attempts: most attempts of one request, including the first.
    :param counts_refusals: whether an attempt that provably did not run also uses the
        budget; for upstreams that count every request they receive.
    """

    share: float = 0.1
    min_retries: int = 16
    window_s: float = 10.0
    attempts: int = 3
    base_delay_s: float = 0.02
    max_delay_s: float = 1.0
    counts_refusals: bool = False


@dataclass(frozen=True)
class RetryGrant:
    """
    A retry that is allowed, and has not been sent yet.

    :param delay_s: before the retry may be sent.
    :param is_counted: whether it uses the budget.
    """

    delay_s: float
    is_counted: bool


class RetryBudget:
    """
    Limits retries and resumptions to a share of the recent requests.

    The window has two halves; the older one counts until the newer one is complete, so
    the budget covers between half a window and a whole one. A retry counts when it is
    sent; until then it takes its place in each window, however long it waits.

    :param seed: of the jitter.
    :ivar granted: retries that were allowed since the start.
    :ivar refused: retries that were not allowed since the start.
    """

    def __init__(self, policy: RetryPolicy | None = None, seed: int = 0) -> None:
        self.policy = policy or RetryPolicy()
        self._random = random.Random(seed)
        self._half_start_s = 0.0
        self._requests = [0, 0]
        self._retries = [0, 0]
        self._unsent = 0
        self.granted = 0
        self.refused = 0

    def record_request(self, now: float) -> None:
        """Count a request that was admitted."""
        self._advance(now)
        self._requests[0] += 1

    def allow(self, attempts: int, now: float, *, ran: bool) -> float | None:
        """
        Take one retry from the budget, which is sent after its delay.

        :returns: the delay in seconds, None if it is not allowed; else as ``reserve``.
        """
        grant = self.reserve(attempts, now, ran=ran)
        if grant is None:
            return None
        self.record_sent(grant, now)
        return grant.delay_s

    def reserve(self, attempts: int, now: float, *, ran: bool) -> RetryGrant | None:
        """
        Reserve one retry, which is then sent or cancelled.

        An attempt that did not run put no load on an upstream. Unless the policy counts
        refusals, its retry is limited only by the number of attempts, so that no
        request fails because an upstream stops or is gone.

        :param attempts: of the request so far.
        :param ran: whether the failed attempt may have run.
        :returns: None if the retry is not allowed.
        """
        self._advance(now)
        policy = self.policy
        if attempts >= policy.attempts:
            return None
        is_counted = ran or policy.counts_refusals
        if is_counted:
            allowed = policy.min_retries + policy.share * sum(self._requests)
            if sum(self._retries) + self._unsent + 1 > allowed:
                self.refused += 1
                return None
            self._unsent += 1
            self.granted += 1
        ceiling = min(policy.max_delay_s, policy.base_delay_s * 2 ** (attempts - 1))
        return RetryGrant(ceiling * self._random.random(), is_counted)

    def record_sent(self, grant: RetryGrant, now: float) -> None:
        """Count a reserved retry, as it is sent now."""
        if grant.is_counted:
            self._advance(now)
            self._unsent -= 1
            self._retries[0] += 1

    def cancel(self, grant: RetryGrant) -> None:
        """Give a reserved retry back, as it will not be sent."""
        if grant.is_counted:
            self._unsent -= 1

    def _advance(self, now: float) -> None:
        half_s = self.policy.window_s / 2
        halves = int((now - self._half_start_s) / half_s)
        if halves <= 0:
            return
        self._half_start_s += halves * half_s
        self._requests = [0, self._requests[0] if halves == 1 else 0]
        self._retries = [0, self._retries[0] if halves == 1 else 0]
