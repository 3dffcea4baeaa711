"""How long work takes at an upstream, by what it states and by its answers."""

import math

__all__ = ["FadingMean", "UpstreamSpeed"]

USUAL = 1.0
MIN_SLOWNESS = 0.25
MAX_SLOWNESS = 8.0
# Weight of the prior, in samples.
STATED_PRIOR = 1.0
ANSWERED_PRIOR = 8.0
MEMORY_S = 10.0
# A stated figure holds for some tenths of a second.
STATED_HOLDS_S = 0.3


class FadingMean:
    """
    Mean of the samples of a window; without samples it fades to the usual value 1.0.

    :param prior_weight: of the usual value, in samples.

    >>> mean = FadingMean(1.0)
    >>> mean.record(2.0, 5.0)
    >>> mean.read(5.0), round(mean.read(35.0), 2)
    (1.5, 1.02)
    """

    def __init__(self, prior_weight: float) -> None:
        self._prior_weight = prior_weight
        self._excess = 0.0
        self._weight = 0.0
        self._updated_s = 0.0

    def record(self, value: float, now: float) -> None:
        """Add a sample."""
        kept = self._find_kept(now)
        self._excess = kept * self._excess + value - USUAL
        self._weight = kept * self._weight + 1.0
        self._updated_s = max(now, self._updated_s)

    def read(self, now: float) -> float:
        """Return the mean at time ``now``."""
        mean = self._excess / (self._weight + self._prior_weight)
        return USUAL + self._find_kept(now) * mean

    def _find_kept(self, now: float) -> float:
        return math.exp(-max(0.0, now - self._updated_s) / MEMORY_S)


class UpstreamSpeed:
    """
    The slowness of one upstream: 1.0 is usual, 1.5 takes one and a half times as long.

    Load pattern: upstreams share machines. Some are always slower, and each one's
    machine slows down for some tenths of a second. Callers who take the last stated
    figure for the present one all go to the same upstream, and are late for it.

    >>> speed = UpstreamSpeed()
    >>> speed.record_stated(2.5, 1.0)
    >>> speed.estimate(1.0), round(speed.estimate(3.0), 2)
    (2.5, 1.62)
    """

    def __init__(self) -> None:
        self._stated = FadingMean(STATED_PRIOR)
        self._answered = FadingMean(ANSWERED_PRIOR)
        self._last_stated: float | None = None
        self._stated_s = 0.0
        self.mean_stated = USUAL

    def record_stated(self, slowness: float, now: float) -> None:
        """Record what the upstream states of the present moment."""
        slowness = _limit(slowness)
        self._stated.record(slowness, now)
        self._last_stated = slowness
        self._stated_s = now
        self.mean_stated = self._stated.read(now)

    def record_answer(self, slowness: float, now: float) -> None:
        """
        Record how long an answer took, as a multiple of what is usual.

        What the upstream states of itself is not counted twice.
        """
        stated = self.estimate_stated(now)
        self._answered.record(_limit(slowness / stated), now)

    def estimate_stated(self, now: float) -> float:
        """Return the slowness that is expected at a time by stated figures alone."""
        if self._last_stated is None:
            return USUAL
        mean = self._stated.read(now)
        kept = math.exp(-max(0.0, now - self._stated_s) / STATED_HOLDS_S)
        return mean + kept * (self._last_stated - mean)

    def estimate(self, now: float) -> float:
        """Return the slowness that is expected at a time, at present or soon."""
        return self.estimate_stated(now) * self._answered.read(now)


def _limit(slowness: float) -> float:
    return min(max(slowness, MIN_SLOWNESS), MAX_SLOWNESS)
