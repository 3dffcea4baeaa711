"""How fast an engine computes prompts, learned from its first tokens."""

import math

__all__ = ["PrefillPace"]

# Enough to follow a slowdown within seconds, and to even out single requests.
MEMORY_S = 8.0
# Weight of the assumed rate, as tokens that were seen computed at it.
PRIOR_TOKENS = 20_000.0
MIN_SECONDS_PER_TOKEN = 1e-6


class PrefillPace:
    """
    A ratio of sums: seconds until first tokens over the tokens computed for them.

    Load pattern: engines whose rate nobody reports and that differ in speed, whose
    prompts wait for each other. The time of a single request says little; the sums
    take in decoding, slow engines and prompts whose cached part was misjudged.

    :param tokens_per_s: assumed until first tokens have come.
    """

    def __init__(self, tokens_per_s: float) -> None:
        self._prior_s = PRIOR_TOKENS / tokens_per_s
        self._tokens = 0.0
        self._seconds = 0.0
        self._updated_s: float | None = None

    def record(self, tokens: float, seconds: float, now: float) -> None:
        """
        Count a first token.

        :param tokens: of the prompt and of those before it that had to be computed.
        :param seconds: from the dispatch to the first token.
        """
        if self._updated_s is not None:
            kept = math.exp(-max(0.0, now - self._updated_s) / MEMORY_S)
            self._tokens *= kept
            self._seconds *= kept
        self._updated_s = now
        self._tokens += tokens
        self._seconds += max(0.0, seconds)

    @property
    def tokens_per_s(self) -> float:
        """
        The learned rate.

        >>> pace = PrefillPace(50_000.0)
        >>> round(pace.tokens_per_s)
        50000
        >>> for second in range(60):
        ...     pace.record(10_000.0, 1.0, float(second))
        >>> 10_000 < pace.tokens_per_s < 15_000
        True
        """
        per_token = (self._seconds + self._prior_s) / (self._tokens + PRIOR_TOKENS)
        return 1.0 / max(MIN_SECONDS_PER_TOKEN, per_token)
