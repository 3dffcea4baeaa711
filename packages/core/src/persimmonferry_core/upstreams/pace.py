"""How much work an upstream gets that has just started or recovered."""

import math
from dataclasses import dataclass

__all__ = ["UpstreamPaces"]

FIRST_RUNS = 1
# Relative to the median of the service.
TIMELY_SLOWNESS = 1.5
LATE_SLOWNESS = 2.0
MAX_PACED_SHARE = 0.34
# Upstreams that have answered, from which on another one counts as new.
MIN_ANSWERED = 4
MIN_ANSWERED_SHARE = 0.5
MAX_REMOVED = 1024


@dataclass
class _Pace:
    """
    The runs of this entry that an upstream may have in flight.

    :param sent_before: those without an answer that were sent before the last halving.
    """

    runs: int = FIRST_RUNS
    sent_before: int = 0


class UpstreamPaces:
    """
    The pace of each upstream of a service that has just started or recovered.

    Load pattern: a release, or crashes, bring upstreams with empty queues and caches.
    Every entry sends its next runs there at once, and they are late; or it sends a
    few runs for a fixed time, while callers wait elsewhere.

    >>> paces = UpstreamPaces()
    >>> for name in ("u1", "u2", "u3"):
    ...     paces.add(name, 1)
    >>> paces.record_answered("u1")
    >>> paces.record_answered("u2")
    >>> paces.add("u4", 1)
    >>> paces.runs
    {'u4': 1}
    >>> for _ in range(3):
    ...     paces.record_time("u4", 1.0, unanswered=1, full_runs=8)
    >>> paces.record_refusal("u4", unanswered=2)
    >>> paces.runs
    {'u4': 2}
    """

    def __init__(self) -> None:
        self._paces: dict[str, _Pace] = {}
        self._ended: set[str] = set()
        self._incarnations: dict[str, int] = {}
        self._answered: set[str] = set()
        self._removed: dict[str, int] = {}

    @property
    def runs(self) -> dict[str, int]:
        """The runs that paced upstreams may have in flight, by upstream."""
        return {name: pace.runs for name, pace in self._paces.items()}

    def is_paced(self, upstream: str) -> bool:
        """Whether the runs of an upstream are limited by its pace."""
        return upstream in self._paces

    def add(self, upstream: str, incarnation: int) -> None:
        """Record that an upstream is there; a new incarnation begins at its pace."""
        known = self._incarnations.get(upstream, self._removed.pop(upstream, None))
        self._incarnations[upstream] = incarnation
        if known == incarnation:
            return
        self._answered.discard(upstream)
        self.end(upstream)
        if self._is_in_service():
            self.begin(upstream)

    def _is_in_service(self) -> bool:
        """Whether this entry has seen the service at work."""
        others = len(self._incarnations) - 1
        enough = min(MIN_ANSWERED, MIN_ANSWERED_SHARE * others)
        return others > 0 and len(self._answered) >= enough

    def remove(self, upstream: str) -> None:
        """Record that an upstream is gone, maybe for a while only."""
        incarnation = self._incarnations.pop(upstream, None)
        self._answered.discard(upstream)
        self._paces.pop(upstream, None)
        if incarnation is not None:
            self._removed[upstream] = incarnation
        if len(self._removed) > MAX_REMOVED:
            del self._removed[next(iter(self._removed))]

    def begin(self, upstream: str) -> None:
        """Begin the pace of an upstream, unless too many others have one."""
        allowed = math.floor(MAX_PACED_SHARE * len(self._incarnations))
        if upstream in self._paces or len(self._paces) < allowed:
            self._paces[upstream] = _Pace()

    def end(self, upstream: str) -> None:
        """End the pace of an upstream."""
        if self._paces.pop(upstream, None) is not None:
            self._ended.add(upstream)

    def pop_ended(self) -> frozenset[str]:
        """Return the upstreams whose pace has ended since the last call."""
        ended = frozenset(self._ended - self._paces.keys())
        self._ended.clear()
        return ended

    def record_answered(self, upstream: str) -> None:
        """Record that an upstream has begun or completed a run."""
        if upstream in self._incarnations:
            self._answered.add(upstream)

    def record_time(
        self, upstream: str, slowness: float, unanswered: int, full_runs: int
    ) -> None:
        """
        Record how long a first event or a complete answer took.

        :param slowness: relative to the median of the service.
        :param unanswered: other runs of this entry there without a first event.
        :param full_runs: that end the pace.
        """
        pace = self._paces.get(upstream)
        if pace is None:
            return
        if slowness > LATE_SLOWNESS:
            self.record_refusal(upstream, unanswered)
            return
        pace.sent_before = min(max(0, pace.sent_before - 1), unanswered)
        if slowness > TIMELY_SLOWNESS:
            return
        pace.runs += 1
        if pace.runs >= full_runs:
            self.end(upstream)

    def record_refusal(self, upstream: str, unanswered: int) -> None:
        """Record that an upstream refused or lost a run, or was late with it."""
        pace = self._paces.get(upstream)
        if pace is None:
            return
        pace.sent_before = min(pace.sent_before, unanswered + 1)
        if pace.sent_before:
            pace.sent_before -= 1
            return
        pace.runs = max(FIRST_RUNS, pace.runs // 2)
        pace.sent_before = unanswered
