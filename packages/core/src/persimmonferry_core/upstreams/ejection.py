"""Outlier ejection of slow and failing upstreams, and their half-open probes."""

import math
from dataclasses import dataclass
from statistics import median

__all__ = ["Closed", "EjectionPolicy", "Ejector", "HalfOpen", "Open"]


@dataclass(frozen=True)
class EjectionPolicy:
    """
    When an upstream is ejected and how it is readmitted.

    :param slow_factor: limit of the smoothed slowness, as a multiple of the median.
    :param min_samples: observations before slowness can eject an upstream.
    :param failures: consecutive failures that eject an upstream.
    :param max_share: largest share of a service's upstreams that are ejected at once.
    :param base_s: length of the first ejection, doubled with each further one.
    :param max_s: longest ejection.
    :param probe_timeout_s: after which a lost probe is replaced by another one.
    :param refusal_s: for how long an upstream may refuse all runs before the refusals
        count as failures.
    """

    slow_factor: float = 3.0
    min_samples: int = 5
    failures: int = 3
    max_share: float = 0.34
    base_s: float = 5.0
    max_s: float = 120.0
    probe_timeout_s: float = 30.0
    refusal_s: float = 3.0


@dataclass(frozen=True)
class Closed:
    """Takes work without restriction."""


@dataclass(frozen=True)
class Open:
    """Takes no work until a time."""

    until_s: float


@dataclass(frozen=True)
class HalfOpen:
    """Takes one run as a probe; ``probe_s`` is when it was sent, None before that."""

    probe_s: float | None


State = Closed | Open | HalfOpen

SLOWNESS_EWMA_ALPHA = 0.2
MEDIAN_REUSE_DIVISOR = 8
# Failures that count for one failed connection; with the default policy, two
# consecutive ones eject an upstream.
UNREACHABLE_FAILURES = 2
MAX_REMOVED_HEALTHS = 256


class _Health:
    def __init__(self) -> None:
        self.state: State = Closed()
        self.slowness = 1.0
        self.samples = 0
        self.failures = 0
        self.ejections = 0
        self.refusing_since_s: float | None = None


class Ejector:
    """
    The health of the upstreams of one service.

    Slowness is the ratio of the observed to the estimated time to first token, so that
    long prompts and queues don't count against an upstream.
    """

    def __init__(self, policy: EjectionPolicy | None = None) -> None:
        self.policy = policy or EjectionPolicy()
        self._healths: dict[str, _Health] = {}
        self._removed: dict[str, _Health] = {}
        self._limited: set[str] = set()
        self._readmitted: set[str] = set()
        self._median_slowness = 1.0
        self._median_uses_left = 0

    def add(self, upstream: str, now: float) -> None:
        """
        Add an upstream.

        The health of a removed upstream is kept for a while and used again here, so
        that an upstream which repeatedly disappears and reappears is still ejected.
        """
        if upstream in self._healths:
            return
        health = self._healths[upstream] = self._removed.pop(upstream, _Health())
        if not isinstance(health.state, Closed):
            health.state = Closed()
            health.failures = max(health.failures, self.policy.failures)
        if health.failures >= self.policy.failures:
            self._try_eject(upstream, now)

    def remove(self, upstream: str) -> None:
        """Remove an upstream; readmit others if too large a share is ejected now."""
        health = self._healths.pop(upstream, None)
        if health is not None:
            self._removed[upstream] = health
        if len(self._removed) > MAX_REMOVED_HEALTHS:
            del self._removed[next(iter(self._removed))]
        self._limited.discard(upstream)
        out = [
            self._healths[name]
            for name in self._limited
            if isinstance(self._healths[name].state, Open | HalfOpen)
        ]
        out.sort(key=_slowness_of)
        excess = len(out) - self._count_allowed()
        for health in out[: max(0, excess)]:
            health.state = Closed()

    def find_limited(self, now: float) -> tuple[str, ...]:
        """Return the upstreams whose slots are limited now."""
        for name in tuple(self._limited):
            if isinstance(self.find_state(name, now), Closed):
                self._limited.discard(name)
                self._readmitted.add(name)
        return tuple(sorted(self._limited))

    def pop_readmitted(self) -> frozenset[str]:
        """Return the upstreams whose slot limit was lifted since the last call."""
        readmitted = frozenset(self._readmitted - self._limited)
        self._readmitted.clear()
        return readmitted

    def find_state(self, upstream: str, now: float) -> State:
        """Return the state at time ``now``, after any transition that is due."""
        health = self._healths.get(upstream)
        if health is None:
            return Closed()
        policy = self.policy
        match health.state:
            case Open(until_s) if now >= until_s:
                health.state = HalfOpen(None)
            case HalfOpen(float() as sent_s) if now >= sent_s + policy.probe_timeout_s:
                health.state = HalfOpen(None)
        return health.state

    def limit_slots(self, upstream: str, slots: int, now: float) -> int:
        """Return the number of slots that an upstream may use now."""
        match self.find_state(upstream, now):
            case Open():
                return 0
            case HalfOpen(probe_s):
                return 1 if probe_s is None else 0
        return slots

    def record_dispatch(self, upstream: str, now: float) -> None:
        """Record that a run was sent; at a half-open upstream it is the probe."""
        health = self._healths.get(upstream)
        if health and self.find_state(upstream, now) == HalfOpen(None):
            health.state = HalfOpen(now)

    def record_success(self, upstream: str, slowness: float, now: float) -> None:
        """
        Record a first token or a complete answer.

        :param slowness: ratio of the observed to the estimated time.
        """
        health = self._healths.get(upstream)
        if health is None:
            return
        health.failures = 0
        health.refusing_since_s = None
        health.samples += 1
        health.slowness += SLOWNESS_EWMA_ALPHA * (slowness - health.slowness)
        match self.find_state(upstream, now):
            case HalfOpen(float()) if slowness <= self._slow_limit():
                self._readmit(health)
            case HalfOpen(float()):
                self._eject(health, now)
            case Closed() if self._is_slow(health):
                self._try_eject(upstream, now)

    def record_failure(self, upstream: str, now: float) -> None:
        """Record a run that the upstream refused or lost."""
        health = self._healths.get(upstream)
        if health is None:
            if upstream in self._removed:
                self._removed[upstream].failures += 1
            return
        health.failures += 1
        match self.find_state(upstream, now):
            case HalfOpen(float()):
                self._eject(health, now)
            case Closed() if health.failures >= self.policy.failures:
                self._try_eject(upstream, now)

    def record_refusal(self, upstream: str, now: float) -> None:
        """
        Record a run that the upstream stated that it did not run.

        Load pattern: engines load new weights one after the other, and refuse what
        was on the way. They are sound: with some of them ejected after each load, the
        others get more than they can start in time. An upstream that refuses all runs
        for longer is ejected like a failing one.
        """
        health = self._healths.get(upstream)
        if health is None:
            return
        if health.refusing_since_s is None:
            health.refusing_since_s = now
        is_probe = isinstance(self.find_state(upstream, now), HalfOpen)
        if is_probe or now >= health.refusing_since_s + self.policy.refusal_s:
            self.record_failure(upstream, now)

    def record_unreachable(self, upstream: str, now: float) -> None:
        """
        Record a failed connection to an upstream.

        Load pattern: upstreams stop responding at full load. Each call sent there costs
        its caller a connection time-out, and is stronger evidence than a failed run.
        """
        health = self._healths.get(upstream)
        if health is not None:
            health.failures += UNREACHABLE_FAILURES - 1
        self.record_failure(upstream, now)

    def record_endless(self, upstream: str, now: float) -> None:
        """
        Record a stream that was cut off, as it held more than was asked for.

        Load pattern: engines begin each stream in time and then send without end. The
        first events count as successes, so the failures between them never add up, and
        each stream takes processor time from all other calls.
        """
        health = self._healths.get(upstream)
        if health is not None:
            health.failures += self.policy.failures - 1
        self.record_failure(upstream, now)

    def count_ejected(self, now: float) -> int:
        """Return how many upstreams are ejected or half-open."""
        return sum(1 for name in self._limited if self._is_ejected(name, now))

    def _is_ejected(self, upstream: str, now: float) -> bool:
        return isinstance(self.find_state(upstream, now), Open | HalfOpen)

    def _is_slow(self, health: _Health) -> bool:
        enough = health.samples >= self.policy.min_samples
        return enough and health.slowness > self._slow_limit()

    def _slow_limit(self) -> float:
        return self.policy.slow_factor * self.find_usual_slowness()

    def find_usual_slowness(self) -> float:
        """Return the median of the upstreams' slowness, at least 1."""
        self._median_uses_left -= 1
        if self._median_uses_left < 0:
            self._median_slowness = median(x.slowness for x in self._healths.values())
            self._median_uses_left = len(self._healths) // MEDIAN_REUSE_DIVISOR
        return max(1.0, self._median_slowness)

    def _count_allowed(self) -> int:
        return math.floor(self.policy.max_share * len(self._healths))

    def _try_eject(self, upstream: str, now: float) -> None:
        if self.count_ejected(now) + 1 <= self._count_allowed():
            self._limited.add(upstream)
            self._eject(self._healths[upstream], now)

    def _eject(self, health: _Health, now: float) -> None:
        duration = self.policy.base_s * 2**health.ejections
        health.ejections = min(health.ejections + 1, 10)
        health.state = Open(now + min(duration, self.policy.max_s))

    def _readmit(self, health: _Health) -> None:
        health.state = Closed()
        health.slowness = 1.0
        health.samples = 0
        health.failures = 0
        health.ejections = max(0, health.ejections - 1)


def _slowness_of(health: _Health) -> float:
    return health.slowness
