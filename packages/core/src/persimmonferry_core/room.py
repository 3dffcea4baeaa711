"""Room of engines, and what more urgent tiers keep of it."""

import enum
import math

__all__ = ["Resource", "TierUse", "TimeAverage"]

AVERAGE_WINDOW_S = 10.0
# Averages below this many runs keep no room.
NEGLIGIBLE_RUNS = 0.01


class Resource(enum.Enum):
    """What runs of one engine share."""

    PREFILL = "prefill"
    MEMORY = "memory"
    SLOTS = "slots"


class TimeAverage:
    """Average of an amount over about the last ten seconds."""

    def __init__(self, first: float = 0.0) -> None:
        self._mean = first
        self._amount = 0.0
        self._updated_s: float | None = None

    def read(self, now: float) -> float:
        """Return the average at time ``now``."""
        self._advance(now)
        return self._mean

    def change(self, difference: float, now: float) -> None:
        """Apply a change of the amount."""
        self._advance(now)
        self._amount = max(0.0, self._amount + difference)

    def _advance(self, now: float) -> None:
        since_s = now if self._updated_s is None else self._updated_s
        share = 1.0 - math.exp(-max(0.0, now - since_s) / AVERAGE_WINDOW_S)
        self._mean += share * (self._amount - self._mean)
        self._updated_s = max(now, since_s)


class TierUse:
    """
    Memory that this entry's runs of each priority use, averaged over time.

    Load pattern: long prompts that can wait fill the memory of every engine. Short
    urgent ones would then wait for the end of an answer, or preempt one.
    """

    def __init__(self) -> None:
        self._runs: dict[int, TimeAverage] = {}
        self._tokens: dict[int, TimeAverage] = {}

    def change(self, priority: int, runs: int, tokens: int, now: float) -> None:
        """Apply the start or the end of runs."""
        self._runs.setdefault(priority, TimeAverage()).change(runs, now)
        self._tokens.setdefault(priority, TimeAverage()).change(tokens, now)

    def estimate_kept(self, priority: int, scale: float, now: float) -> float:
        """
        Return the memory tokens of each engine to keep free for more urgent runs.

        What such runs use on average counts as used already. Kept is one deviation of
        their number, at least one run.

        :param scale: engines' use by all entries, as a multiple of this entry's.
        """
        urgent = [known for known in self._runs if known < priority]
        runs = sum(self._runs[known].read(now) for known in urgent)
        if runs * scale < NEGLIGIBLE_RUNS:
            return 0.0
        tokens = sum(self._tokens[known].read(now) for known in urgent)
        return tokens / runs * max(1.0, math.sqrt(runs * scale))
