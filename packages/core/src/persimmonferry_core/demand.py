"""Exponentially decaying rate of recent demand."""

import math

__all__ = ["DecayingRate"]


class DecayingRate:
    """
    Rate of a quantity, averaged over about the last ``window_s`` seconds.

    >>> rate = DecayingRate(window_s=10.0)
    >>> rate.add(50.0, now=0.0)
    >>> rate.estimate(now=0.0), round(rate.estimate(now=10.0), 2)
    (5.0, 1.84)
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._sum = 0.0
        self._updated_s = 0.0

    def add(self, amount: float, now: float) -> None:
        """Count an amount at time ``now``."""
        self._sum = self._decayed(now) + amount
        self._updated_s = now

    def estimate(self, now: float) -> float:
        """Return the amount per second."""
        return self._decayed(now) / self._window_s

    def _decayed(self, now: float) -> float:
        elapsed = max(0.0, now - self._updated_s)
        return self._sum * math.exp(-elapsed / self._window_s)
