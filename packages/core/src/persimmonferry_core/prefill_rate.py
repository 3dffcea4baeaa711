"""Estimates the prefill rate of an engine from its times to first token."""

import math

__all__ = ["PrefillRateEstimator"]

# Follows a slowdown within seconds, and still averages out single requests.
SAMPLE_DECAY_S = 8.0
# Prior until first tokens were observed: fixed time of a prompt regardless of its
# length, and the weight of the two prior samples, a short and a long prompt.
ASSUMED_OVERHEAD_S = 0.04
PRIOR_WEIGHT = 1.0
PRIOR_SHORT_TOKENS = 500.0
PRIOR_LONG_TOKENS = 12_000.0
MIN_TOKENS_PER_S = 1_000.0
MAX_TOKENS_PER_S = 10_000_000.0


class PrefillRateEstimator:
    """
    Linear regression of the time to first token on the tokens to be computed.

    Load pattern: engines that report no prefill rate, differ in speed, and queue
    prompts. A single sample says little. The slope reflects slow engines and the work
    of other runs; the intercept is the fixed time of a prompt, which would look like a
    low rate for short prompts if it were not separated.

    :param tokens_per_s: assumed until first tokens were observed.
    """

    def __init__(self, tokens_per_s: float) -> None:
        self._weight = 0.0
        self._tokens = 0.0
        self._seconds = 0.0
        self._tokens_squared = 0.0
        self._product = 0.0
        self._updated_s: float | None = None
        self.overhead_s = ASSUMED_OVERHEAD_S
        self.tokens_per_s = tokens_per_s
        self._prior = [
            (tokens, ASSUMED_OVERHEAD_S + tokens / tokens_per_s)
            for tokens in (PRIOR_SHORT_TOKENS, PRIOR_LONG_TOKENS)
        ]

    def record(self, tokens: float, seconds: float, now: float) -> None:
        """
        Add the sample of a first token.

        :param tokens: computed for this prompt and for the prompts queued before it.
        :param seconds: from the dispatch to the first token.

        >>> pace = PrefillRateEstimator(50_000.0)
        >>> for step in range(200):
        ...     pace.record(2_000.0 if step % 2 else 9_000.0,
        ...                 0.03 + (0.02 if step % 2 else 0.09), step * 0.1)
        >>> 85_000 < pace.tokens_per_s < 100_000, round(pace.overhead_s, 2)
        (True, 0.03)
        """
        if self._updated_s is not None:
            self._fade(math.exp(-max(0.0, now - self._updated_s) / SAMPLE_DECAY_S))
        self._updated_s = now
        self._add(tokens, max(0.0, seconds), 1.0)
        self._fit()

    def _fade(self, kept: float) -> None:
        self._weight *= kept
        self._tokens *= kept
        self._seconds *= kept
        self._tokens_squared *= kept
        self._product *= kept

    def _add(self, tokens: float, seconds: float, weight: float) -> None:
        self._weight += weight
        self._tokens += weight * tokens
        self._seconds += weight * seconds
        self._tokens_squared += weight * tokens * tokens
        self._product += weight * tokens * seconds

    def _fit(self) -> None:
        for tokens, seconds in self._prior:
            self._add(tokens, seconds, PRIOR_WEIGHT)
        spread = self._weight * self._tokens_squared - self._tokens**2
        slope = (self._weight * self._product - self._tokens * self._seconds) / spread
        slope = min(max(slope, 1 / MAX_TOKENS_PER_S), 1 / MIN_TOKENS_PER_S)
        intercept = (self._seconds - slope * self._tokens) / self._weight
        self.overhead_s = max(0.0, intercept)
        self.tokens_per_s = 1.0 / slope
        for tokens, seconds in self._prior:
            self._add(tokens, seconds, -PRIOR_WEIGHT)
