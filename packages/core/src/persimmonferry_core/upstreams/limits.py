"""Limits that upstreams set on the calls that they take from all entries together."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from persimmonferry_core.upstreams.subsets import rank_entries

__all__ = ["LimitNotice", "UpstreamLimits", "make_notice"]

# A limit is shared by this many entries, and one more for each call per second. With
# n entries, w seconds see at most n calls more than the limit allows.
MIN_SHARERS = 3
# A limit below this rate is raised to it: only an answer shows that a limit has ended.
MIN_CALLS_PER_S = 0.2
# After each such time without an answer from the upstream, as many entries more share
# its limit: those that had a share may be cut off, or have no calls.
CONFIRMATION_TIMEOUT_S = 15.0
# A call that is sent later than it was due, by up to this time, does not delay the
# next ones.
MAX_DELAY_S = 0.05
# An entry's share grows only after this time: other entries may be missing from the
# list for a moment, while they still send calls.
SHARE_DELAY_S = 10.0
# Limits that no answer has confirmed for this time are forgotten.
RETENTION_S = 120.0


@dataclass(frozen=True)
class LimitNotice:
    """
    What an answer of an upstream states about its limit.

    :param upstream: its name.
    :param incarnation: of the upstream.
    :param calls_per_s: that it takes from all entries together, None for no limit.
    :param stated_s: earliest time at which it may have stated this.
    """

    upstream: str
    incarnation: int
    calls_per_s: float | None
    stated_s: float


def make_notice(
    upstream: str,
    incarnation: int,
    calls_per_s: float | None,
    sent_s: float,
    now: float,
) -> LimitNotice:
    """
    Return the notice in an answer that has just arrived.

    An answer without a limit may be older than a limit that arrived after its call was
    sent, so it only ends limits that are older than its call.

    :param sent_s: when its call was sent.

    >>> make_notice("u1", 1, 2.5, 10.0, 11.0).stated_s
    11.0
    >>> make_notice("u1", 1, None, 10.0, 11.0).stated_s
    10.0
    """
    stated_s = sent_s if calls_per_s is None else now
    return LimitNotice(upstream, incarnation, calls_per_s, stated_s)


@dataclass
class _Limit:
    """
    An upstream's limit and this entry's part of it.

    :param share: part of the limit that this entry may use, 0 to 1.
    :param since_s: when the last call of this entry was due; before the first one, an
        interval before it is due.
    :param sharer_count: how many entries are to share the limit, 0 if unknown.
    :param next_share: as ``share``, by the entries that are known now.
    :param place: of this entry among those that share the limit, from 1.
    :param raised_s: when a greater ``next_share`` takes effect.
    """

    notice: LimitNotice
    share: float = 0.0
    since_s: float = -math.inf
    sharer_count: int = 0
    next_share: float = 0.0
    place: int = 0
    raised_s: float | None = None

    @property
    def calls_per_s(self) -> float:
        """The rate of all entries together."""
        return max(MIN_CALLS_PER_S, self.notice.calls_per_s)

    @property
    def interval_s(self) -> float:
        """Seconds between two calls of this entry."""
        rate = self.share * self.calls_per_s
        return 1.0 / rate if rate else math.inf

    @property
    def due_s(self) -> float:
        """When the next call of this entry is due."""
        return self.since_s + self.interval_s if self.share else math.inf


class UpstreamLimits:
    """
    Keeps the calls of all entries to an upstream within the limit that it has set.

    Load pattern: a degraded upstream takes a fifth of its usual calls. An entry does
    not receive what others send there, and messages between entries may be lost. So a
    few of the entries that use the upstream share its limit, chosen by rendezvous
    hashing: each sends one call in its part of the time, without bursts, and the others
    none.

    :param entry: name of the entry that decides.

    >>> limits = UpstreamLimits("e1")
    >>> limits.record(LimitNotice("u1", 1, 2.0, 10.0), 10.0)
    True
    >>> limits.list_spent(10.4), limits.list_spent(10.5)
    (frozenset({'u1'}), frozenset())
    >>> limits.take("u1", 10.5)
    >>> limits.find_wait("u1", 10.75)
    0.25
    """

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._entries = frozenset((entry,))
        self._users: Mapping[str, frozenset[str]] = {}
        self._limits: dict[str, _Limit] = {}
        self._ended: dict[str, LimitNotice] = {}

    def set_entries(self, entries: Iterable[str]) -> None:
        """Set the names of all entries."""
        self._entries = frozenset(entries) | {self._entry}
        self._discard_shares()

    def set_users(self, users: Mapping[str, frozenset[str]]) -> None:
        """
        Set the entries that use upstreams which not all of them use.

        :param users: by upstream; this entry is one of them where it uses the upstream.
        """
        self._users = users
        self._discard_shares()

    def record(self, notice: LimitNotice, now: float) -> bool:
        """
        Record a notice unless a newer one is known.

        :returns: whether it was recorded.
        """
        name = notice.upstream
        self._forget_outdated(now)
        limit = self._limits.get(name)
        known = limit.notice if limit else self._ended.get(name)
        if limit is None and notice.calls_per_s is None:
            return False
        if known is not None and notice.stated_s <= known.stated_s:
            return False
        if notice.calls_per_s is None:
            self._limits.pop(name, None)
            self._ended[name] = notice
            return True
        self._ended.pop(name, None)
        if limit is None:
            limit = self._limits[name] = _Limit(notice, raised_s=now)
        limit.notice = notice
        self._update_share(limit, now)
        return True

    def find(self, upstream: str) -> float | None:
        """Return the calls per second that an upstream takes, None without a limit."""
        limit = self._limits.get(upstream)
        return limit.notice.calls_per_s if limit else None

    def list_limits(self) -> dict[str, float]:
        """Return the calls per second of each upstream that has a limit."""
        return {name: limit.notice.calls_per_s for name, limit in self._limits.items()}

    def list_shares(self) -> dict[str, float]:
        """Return the calls per second that this entry may send to these upstreams."""
        return {
            name: limit.share * limit.calls_per_s
            for name, limit in self._limits.items()
        }

    def keep_recent(self, upstream: str, incarnation: int, since_s: float) -> None:
        """Keep the limit of an upstream that may have restarted before it."""
        limit = self._limits.get(upstream)
        if limit is not None and limit.notice.stated_s >= since_s:
            limit.notice = replace(limit.notice, incarnation=incarnation)

    def clear_outdated(self, upstream: str, incarnation: int) -> None:
        """Remove the limit that another incarnation of an upstream has set."""
        limit = self._limits.get(upstream)
        if limit is not None and limit.notice.incarnation != incarnation:
            del self._limits[upstream]

    def list_unshared(self, now: float) -> frozenset[str]:
        """Return the upstreams with a limit of which this entry has no share."""
        return frozenset(
            name for name in self._limits if self.find_wait(name, now) is None
        )

    def list_spent(self, now: float) -> frozenset[str]:
        """Return the upstreams to which this entry must not send a call yet."""
        return frozenset(
            name for name in self._limits if (self.find_wait(name, now) or 0.0) > 0.0
        )

    def find_wait(self, upstream: str, now: float) -> float | None:
        """Return the seconds until a call may be sent, None without a share."""
        limit = self._limits.get(upstream)
        if limit is None:
            return 0.0
        self._update_share(limit, now)
        if not limit.share:
            return None
        return max(0.0, limit.due_s - now)

    def take(self, upstream: str, now: float) -> None:
        """Count a call that is sent to an upstream."""
        limit = self._limits.get(upstream)
        if limit is not None:
            limit.since_s = max(min(limit.due_s, now), now - MAX_DELAY_S)

    def _discard_shares(self) -> None:
        for limit in self._limits.values():
            limit.sharer_count = 0

    def _update_share(self, limit: _Limit, now: float) -> None:
        self._choose_share(limit, now)
        if limit.next_share <= limit.share:
            limit.share = limit.next_share
            limit.raised_s = None
            return
        if limit.raised_s is None:
            limit.raised_s = now + SHARE_DELAY_S
        if now < limit.raised_s:
            return
        had_share = limit.share > 0.0
        limit.share = limit.next_share
        limit.raised_s = None
        if not had_share:
            # The first calls of the sharers follow one another at the limit's rate.
            first_s = now + limit.place / limit.calls_per_s
            limit.since_s = max(limit.since_s, first_s - limit.interval_s)

    def _choose_share(self, limit: _Limit, now: float) -> None:
        """Choose the entries that share a limit, if that may have changed."""
        unconfirmed_s = max(0.0, now - limit.notice.stated_s)
        groups = 1 + int(unconfirmed_s / CONFIRMATION_TIMEOUT_S)
        count = groups * (MIN_SHARERS + int(limit.calls_per_s))
        if count == limit.sharer_count:
            return
        name = limit.notice.upstream
        sharers = rank_entries(name, self._users.get(name, self._entries))[:count]
        limit.sharer_count = count
        limit.next_share = 0.0
        if self._entry in sharers:
            limit.next_share = 1.0 / len(sharers)
            limit.place = sharers.index(self._entry) + 1

    def _forget_outdated(self, now: float) -> None:
        oldest_s = now - RETENTION_S
        for name, limit in tuple(self._limits.items()):
            if limit.notice.stated_s < oldest_s:
                del self._limits[name]
        for name, notice in tuple(self._ended.items()):
            if notice.stated_s < oldest_s:
                del self._ended[name]
