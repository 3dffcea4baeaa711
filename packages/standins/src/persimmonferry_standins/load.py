"""The load that the engine stand-in reports, which lags behind its actual load."""

from collections import deque
from dataclasses import dataclass

from persimmonferry_core.runs import EngineLoad

__all__ = ["LaggedLoad"]


@dataclass(frozen=True)
class _Sample:
    taken_s: float
    load: EngineLoad


class LaggedLoad:
    """
    Samples of the load, read with a lag.

    :param lag_s: minimum age of the sample that is read, if there is one that old.
    """

    def __init__(self, lag_s: float) -> None:
        self._lag_s = lag_s
        self._samples: deque[_Sample] = deque()

    def append(self, load: EngineLoad, now: float) -> None:
        """Add a sample."""
        self._samples.append(_Sample(now, load))

    def read(self, now: float) -> EngineLoad | None:
        """Return the newest sample that is old enough, else the oldest one."""
        limit = now - self._lag_s
        while len(self._samples) > 1 and self._samples[1].taken_s <= limit:
            self._samples.popleft()
        return self._samples[0].load if self._samples else None
