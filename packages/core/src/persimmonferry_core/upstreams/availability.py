"""Whether an upstream may get a run now, and why not."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import assert_never

from persimmonferry_core.upstreams.call_rates import CallRates
from persimmonferry_core.upstreams.cooldowns import UpstreamCooldowns
from persimmonferry_core.upstreams.limits import UpstreamLimits
from persimmonferry_core.upstreams.unread_answers import UnreadAnswers

__all__ = [
    "Closure",
    "CoolingDown",
    "Evacuated",
    "Paused",
    "RateSpent",
    "Spent",
    "Unconfirmed",
    "Unshared",
    "UpstreamAvailability",
    "name_closure",
]


@dataclass(frozen=True)
class Evacuated:
    """An operator wants nothing more to be sent to its failure domain."""

    failure_domain: str


@dataclass(frozen=True)
class Paused:
    """A component of this entry holds back all runs."""

    source: str


@dataclass(frozen=True)
class CoolingDown:
    """The upstream refuses calls until a time."""

    until_s: float


@dataclass(frozen=True)
class Unshared:
    """The upstream limits its calls, and this entry has no share of them."""

    calls_per_s: float


@dataclass(frozen=True)
class Spent:
    """This entry's share of the upstream's limit is used until a time."""

    until_s: float


@dataclass(frozen=True)
class RateSpent:
    """All entries together have sent as many calls as it takes until a time."""

    until_s: float


@dataclass(frozen=True)
class Unconfirmed:
    """The last answer could not be read; one call at a time until then."""

    until_s: float


Closure = Evacuated | Paused | CoolingDown | Unshared | Spent | RateSpent | Unconfirmed


def name_closure(closure: Closure) -> str:
    """
    Return the name of a reason, for logs and metrics.

    >>> name_closure(Paused("outdated weights")), name_closure(Spent(2.0))
    ('outdated weights', 'limit_spent')
    """
    match closure:
        case Evacuated():
            return "evacuated"
        case Paused(source):
            return source
        case CoolingDown():
            return "cooling_down"
        case Unshared():
            return "limit_unshared"
        case Spent():
            return "limit_spent"
        case RateSpent():
            return "rate_spent"
        case Unconfirmed():
            return "unconfirmed"
    assert_never(closure)


class UpstreamAvailability:
    """
    Everything that keeps runs of this entry from upstreams of any service for a time.

    Ejection, slots and memory are not part of it: they depend on the run.

    :param entry: name of the entry that decides.
    :param seed: of the random waits.

    >>> availability = UpstreamAvailability("e1")
    >>> availability.cooldowns.note("u1", 1, 12.0)
    >>> availability.set_paused("outdated weights", frozenset({"u2"}))
    >>> availability.find_wait("u1", 11.0), availability.find_closure("u2", 11.0)
    (1.0, Paused(source='outdated weights'))
    >>> sorted(availability.list_closed(11.0)), sorted(availability.list_closed(12.0))
    (['u1', 'u2'], ['u2'])
    """

    def __init__(self, entry: str, seed: int = 0) -> None:
        self.cooldowns = UpstreamCooldowns()
        self.limits = UpstreamLimits(entry)
        self.rates = CallRates(entry, seed)
        self.unread = UnreadAnswers()
        self._evacuated: Mapping[str, str] = {}
        self._paused: dict[str, frozenset[str]] = {}

    def set_entries(self, entries: Iterable[str]) -> None:
        """Set the names of all entries that share the upstreams."""
        entries = frozenset(entries)
        self.limits.set_entries(entries)
        self.rates.set_entries(entries)

    def set_users(self, users: Mapping[str, frozenset[str]]) -> None:
        """Set the entries that use upstreams which not all of them use."""
        self.limits.set_users(users)
        self.rates.set_users(users)

    def set_evacuated(self, upstreams: Mapping[str, str]) -> None:
        """Set the upstreams in evacuated failure domains, with their domains."""
        self._evacuated = upstreams

    def is_evacuated(self, upstream: str) -> bool:
        """Whether nothing more may be sent to an upstream's failure domain."""
        return upstream in self._evacuated

    def set_paused(self, source: str, upstreams: frozenset[str]) -> None:
        """Set the upstreams that one source pauses; replaces its previous set."""
        self._paused[source] = upstreams

    def record_incarnation(self, upstream: str, incarnation: int) -> None:
        """Forget what earlier incarnations of an upstream have stated."""
        self.limits.clear_outdated(upstream, incarnation)
        self.cooldowns.clear_outdated(upstream, incarnation)

    def keep_recent(self, upstream: str, incarnation: int, since_s: float) -> None:
        """
        Keep what an upstream has stated lately, as it may have restarted before.

        An upstream answers calls before entries hear of its restart.

        :param incarnation: that has just become known.
        :param since_s: earliest time at which it may have answered a call.
        """
        self.limits.keep_recent(upstream, incarnation, since_s)
        self.cooldowns.keep_recent(upstream, incarnation, since_s)

    def record_restart(self, upstream: str) -> None:
        """
        Record that an upstream has started again, or is gone.

        Calls sent to it still count: it may be cold when it is back.
        """
        self.unread.clear(upstream)
        self.cooldowns.forget_calls(upstream)

    def take(self, upstream: str, now: float) -> None:
        """Count a call that is sent to an upstream."""
        self.limits.take(upstream, now)
        self.rates.take(upstream, now)
        self.unread.record_sent(upstream, now)
        self.cooldowns.record_sent(upstream, now)

    def list_closed(self, now: float) -> frozenset[str]:
        """Return the upstreams to leave out: they don't count in the capacity."""
        return frozenset().union(
            self._evacuated,
            self.cooldowns.list_cooling(now),
            self.limits.list_unshared(now),
            *self._paused.values(),
        )

    def list_spent(self, now: float) -> frozenset[str]:
        """Return the upstreams that take no call yet, but will soon."""
        return frozenset().union(
            self.limits.list_spent(now),
            self.rates.list_spent(now),
            self.unread.list_spaced(now),
        )

    def list_limited(self) -> frozenset[str]:
        """Return the upstreams that limit how many calls they take each second."""
        return frozenset(self.limits.list_limits())

    def find_wait(self, upstream: str, now: float) -> float | None:
        """
        Return the seconds until a call may be sent, None if none may be for long.

        Pauses don't count: components of this entry end them at any time.
        """
        if upstream in self._evacuated:
            return None
        limit_s = self.limits.find_wait(upstream, now)
        if limit_s is None:
            return None
        return max(
            limit_s,
            self.rates.find_wait(upstream, now),
            self.cooldowns.find_wait(upstream, now),
            self.unread.find_wait(upstream, now),
        )

    def find_closure(self, upstream: str, now: float) -> Closure | None:
        """Return the first reason why an upstream gets no run now, or None."""
        if (domain := self._evacuated.get(upstream)) is not None:
            return Evacuated(domain)
        pause = self._find_pause(upstream)
        if pause is not None:
            return pause
        if wait_s := self.cooldowns.find_wait(upstream, now):
            return CoolingDown(now + wait_s)
        limit_s = self.limits.find_wait(upstream, now)
        if limit_s is None:
            return Unshared(self.limits.find(upstream) or 0.0)
        if limit_s:
            return Spent(now + limit_s)
        if wait_s := self.rates.find_wait(upstream, now):
            return RateSpent(now + wait_s)
        if wait_s := self.unread.find_wait(upstream, now):
            return Unconfirmed(now + wait_s)
        return None

    def count_closures(self, upstreams: Iterable[str], now: float) -> dict[str, int]:
        """Return how many upstreams get no run now, by the name of the reason."""
        found = (self.find_closure(name, now) for name in upstreams)
        return dict(Counter(name_closure(item) for item in found if item is not None))

    def _find_pause(self, upstream: str) -> Paused | None:
        for source, names in self._paused.items():
            if upstream in names:
                return Paused(source)
        return None
