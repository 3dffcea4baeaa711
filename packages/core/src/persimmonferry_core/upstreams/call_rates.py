"""Ceilings on the calls that all entries together send to an upstream in a second."""

import math
import random
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from persimmonferry_core.upstreams.subsets import rank_entries

__all__ = ["CallRates", "ColdBound", "RateCeiling", "SentNews"]

# Ceilings hold for any second; calls count for a little longer, as two of them may
# arrive closer together than they were sent.
WINDOW_S = 1.05
# Part of an upstream's bound that is kept free for calls that entries send at the same
# moment, and at least as many calls.
MARGIN_SHARE = 0.12
MIN_MARGIN_CALLS = 2
# A call that was sent this long ago is known to the other entries.
SETTLE_S = 0.05
# Entries that wait for the same upstream send one after the other: each waits for a
# random part of this time for each of them.
TURN_S = 0.04
# An entry that last found a ceiling reached this long ago was waiting for it.
WAITING_S = 0.1
# From this part of a ceiling on, an entry that has just called waits for its turn.
UPPER_SHARE = 0.6
# An entry that begins to use an upstream has no share of its own for this time: until
# then, others may not know that it uses it.
SHARE_DELAY_S = 3.0
# Without any event for this time, the process was suspended: what it receives now may
# have waited as long.
SUSPENSION_S = 0.5
DISTRUST_S = 0.3
DEFAULT_CONTACT_S = 0.5
# Shortest wait that is stated.
MIN_WAIT_S = 0.005
# A result holds for this time, unless something is sent or received.
FRESH_S = 0.05


@dataclass(frozen=True)
class ColdBound:
    """
    How far above its stated rate a cold upstream may be called.

    >>> ColdBound(1.5, 5.0).make_ceiling(9.4)
    RateCeiling(calls=16, cold_calls=9)
    >>> ColdBound(1.5, 5.0).make_ceiling(0.0) is None
    True
    """

    factor: float
    extra_calls: float

    def make_ceiling(self, cold_calls_per_s: float) -> "RateCeiling | None":
        """Return the ceilings of an upstream, None if it states no rate while cold."""
        if cold_calls_per_s <= 0:
            return None
        bound = math.floor(cold_calls_per_s * self.factor + self.extra_calls)
        margin = max(MIN_MARGIN_CALLS, math.ceil(MARGIN_SHARE * bound))
        calls = max(1, bound - margin)
        return RateCeiling(calls, max(1, min(calls, math.floor(cold_calls_per_s))))


@dataclass(frozen=True)
class RateCeiling:
    """
    Most calls in a second that all entries together send to an upstream.

    :param calls: at any time, as it may become cold before anyone knows.
    :param cold_calls: while it is known to be cold.
    """

    calls: int
    cold_calls: int


@dataclass(frozen=True)
class SentNews:
    """
    What an entry states of its calls.

    :param stated_ms: on the entry's own clock.
    :param ages: time since each of its last calls was sent, by upstream.
    :param unheard: entries from which it has received nothing lately.
    """

    stated_ms: int
    ages: Mapping[str, tuple[float, ...]]
    unheard: frozenset[str]


@dataclass
class _Peer:
    """
    What is known of another entry.

    :param hears_us: whether it receives what this entry states.
    """

    stated_ms: int
    received_s: float
    hears_us: bool


@dataclass
class _Upstream:
    """
    Calls to an upstream within the window.

    :param share_s: when this entry may use all of its share.
    :param turn_s: before then, this entry leaves the next call to others.
    :param draw: random part of the time to wait after the last call of this entry.
    """

    ceiling: RateCeiling
    cold_until_s: float = -math.inf
    own: deque[float] = field(default_factory=deque)
    peers: dict[str, tuple[float, ...]] = field(default_factory=dict)
    shares: dict[str, int] = field(default_factory=dict)
    shared_calls: int = 0
    held_share: int = 0
    share_s: float | None = None
    spent_s: float = -math.inf
    turn_s: float = -math.inf
    draw: float = 0.0
    free_until_s: float = -math.inf

    def find_limit(self, now: float) -> int:
        is_cold = now < self.cold_until_s
        return self.ceiling.cold_calls if is_cold else self.ceiling.calls


class CallRates:
    """
    Keeps the calls of all entries to an upstream within a ceiling at any time.

    Load pattern: a burst reaches an upstream that has just started again, or has lost
    what made it fast, before any entry has been told. Entries that hear each other
    count all their calls together. One that can't know what others send leaves them
    their share of the ceiling, so that groups that are cut off from each other stay
    below it together.

    :param entry: name of the entry that decides.
    :param seed: of the random waits.

    >>> rates = CallRates("e1")
    >>> rates.set_ceiling("u1", RateCeiling(calls=2, cold_calls=1))
    >>> rates.take("u1", 10.0)
    >>> rates.find_wait("u1", 10.1)
    0.0
    >>> rates.record_cold("u1", 13.0, 10.1)
    True
    >>> rates.list_spent(10.2), rates.list_spent(11.2)
    (frozenset({'u1'}), frozenset())
    """

    def __init__(self, entry: str, seed: int = 0) -> None:
        self._entry = entry
        self._random = random.Random(f"{entry} {seed}")
        self._entries = frozenset((entry,))
        self._users: Mapping[str, frozenset[str]] = {}
        self._upstreams: dict[str, _Upstream] = {}
        self._peers: dict[str, _Peer] = {}
        self._sharers: frozenset[str] | None = None
        self._is_known = False
        self._began_s: float | None = None
        self._contact_s = DEFAULT_CONTACT_S
        self._seen_s = -math.inf
        self._trusted_s = -math.inf

    def set_entries(self, entries: Iterable[str]) -> None:
        """Set the names of all entries."""
        self._entries = frozenset(entries) | {self._entry}
        self._peers = {
            name: peer for name, peer in self._peers.items() if name in self._entries
        }
        self._discard_shares()

    def record_listed(self) -> None:
        """
        Record that this entry was listed before its process started.

        Load pattern: all entries lose power and start again at once. The others then
        leave it its share from the start.
        """
        self._is_known = True

    def set_users(self, users: Mapping[str, frozenset[str]]) -> None:
        """
        Set the entries that use upstreams which not all of them use.

        :param users: by upstream; empty where it is unknown.
        """
        self._users = users
        self._discard_shares()

    def set_contact_timeout(self, seconds: float) -> None:
        """Set how long an entry that has sent nothing is taken to be in contact."""
        self._contact_s = max(DEFAULT_CONTACT_S, seconds)

    def set_ceiling(self, upstream: str, ceiling: RateCeiling | None) -> None:
        """Set the ceiling of an upstream, None for none."""
        known = self._upstreams.get(upstream)
        if ceiling is None:
            self._upstreams.pop(upstream, None)
            self._sharers = None
        elif known is None:
            self._upstreams[upstream] = _Upstream(ceiling)
            self._sharers = None
        else:
            known.ceiling = ceiling
            known.free_until_s = -math.inf

    def has_ceiling(self, upstream: str) -> bool:
        """Whether the calls to an upstream are counted."""
        return upstream in self._upstreams

    def record_cold(self, upstream: str, until_s: float, now: float) -> bool:
        """
        Record that an upstream is cold until a time; the latest one counts.

        :returns: whether it was not known to be cold.
        """
        state = self._upstreams.get(upstream)
        if state is None or until_s <= now:
            return False
        was_cold = now < state.cold_until_s
        state.cold_until_s = max(until_s, state.cold_until_s)
        state.free_until_s = -math.inf
        return not was_cold

    def take(self, upstream: str, now: float) -> None:
        """Count a call that is sent to an upstream."""
        state = self._upstreams.get(upstream)
        if state is not None:
            state.own.append(now)
            state.draw = self._random.random()
            state.free_until_s = -math.inf

    def record_peer(self, peer: str, news: SentNews, now: float) -> None:
        """Record what another entry states of its calls, unless it is outdated."""
        self._note_time(now)
        known = self._peers.get(peer)
        is_recent = known is not None and now < known.received_s + self._contact_s
        if is_recent and news.stated_ms < known.stated_ms:
            return
        for name, ages in news.ages.items():
            state = self._upstreams.get(name)
            if state is not None:
                state.peers[peer] = tuple(now - age_s for age_s in ages)
                state.free_until_s = -math.inf
        if now >= self._trusted_s and peer in self._entries:
            hears_us = self._entry not in news.unheard
            self._peers[peer] = _Peer(news.stated_ms, now, hears_us)

    def describe_sent(self, upstreams: Iterable[str], now: float) -> SentNews:
        """Return this entry's calls to these upstreams, for other entries."""
        ages: dict[str, tuple[float, ...]] = {}
        for name in upstreams:
            state = self._upstreams.get(name)
            if state is not None:
                _drop_outdated(state, now)
                ages[name] = tuple(now - sent_s for sent_s in state.own)
        return SentNews(int(now * 1000), ages, self._list_unheard(now))

    def list_called(self, now: float) -> tuple[str, ...]:
        """Return the upstreams with a ceiling that this entry has called lately."""
        oldest_s = now - WINDOW_S
        return tuple(
            name
            for name, state in self._upstreams.items()
            if state.own and state.own[-1] > oldest_s
        )

    def list_peers(self) -> frozenset[str]:
        """Return the other entries that use an upstream with a ceiling."""
        if self._sharers is None:
            users = (self._find_users(name) for name in self._upstreams)
            self._sharers = frozenset().union(*users) - {self._entry}
        return self._sharers

    def list_ceilings(self, now: float) -> dict[str, int]:
        """Return the ceiling in force of each upstream, in calls in a second."""
        return {name: item.find_limit(now) for name, item in self._upstreams.items()}

    def list_cold(self, now: float) -> dict[str, float]:
        """Return the upstreams known to be cold, and for how many seconds yet."""
        return {
            name: state.cold_until_s - now
            for name, state in self._upstreams.items()
            if now < state.cold_until_s
        }

    def list_spent(self, now: float) -> frozenset[str]:
        """Return the upstreams to which this entry must not send a call yet."""
        return frozenset(
            name
            for name, state in self._upstreams.items()
            if now >= state.free_until_s and self.find_wait(name, now) > 0.0
        )

    def find_wait(self, upstream: str, now: float) -> float:
        """Return the seconds until a call may be sent, as far as known."""
        state = self._upstreams.get(upstream)
        if state is None:
            return 0.0
        self._note_time(now)
        if now < state.free_until_s:
            return 0.0
        wait_s = self._find_wait(upstream, state, now)
        if not wait_s:
            state.free_until_s = now + FRESH_S
        return wait_s

    def _find_wait(self, upstream: str, state: _Upstream, now: float) -> float:
        _drop_outdated(state, now)
        limit = state.find_limit(now)
        self._update_shares(upstream, state, limit, now)
        total, sharing = len(state.own), 0
        for peer in state.shares.keys() | state.peers.keys():
            if peer == self._entry:
                continue
            sent = len(state.peers.get(peer, ()))
            if self._is_in_contact(peer, now):
                sharing += 1
            else:
                sent = max(sent, state.shares.get(peer, 0))
            total += sent
        own_share = state.shares.get(self._entry, 0)
        if sharing < len(state.shares.keys() - {self._entry}):
            # Others may not leave this entry what it doesn't hold yet.
            limit -= max(0, own_share - state.held_share)
        if total >= limit:
            state.spent_s = now
            return _find_next_end(state, now)
        return self._find_turn(state, total, limit, sharing, now)

    def _find_turn(
        self, state: _Upstream, total: int, limit: int, sharing: int, now: float
    ) -> float:
        """Return how long to leave the rest of a ceiling to others that also wait."""
        if not sharing:
            return 0.0
        spread_s = sharing * TURN_S
        if now <= state.spent_s + WAITING_S:
            state.turn_s = now + self._random.random() * spread_s
        state.spent_s = -math.inf
        if state.own:
            unknown = sum(1 for sent_s in state.own if sent_s > now - SETTLE_S)
            # The others may do at this moment what this entry does.
            if unknown and total + sharing * (unknown + 1) > limit:
                return max(MIN_WAIT_S, state.own[-1] + SETTLE_S - now)
            if total >= UPPER_SHARE * limit:
                turn_s = state.own[-1] + SETTLE_S + state.draw * spread_s
                state.turn_s = max(state.turn_s, turn_s)
        return max(0.0, state.turn_s - now)

    def _update_shares(
        self, upstream: str, state: _Upstream, limit: int, now: float
    ) -> None:
        if limit != state.shared_calls or not state.shares:
            ranked = rank_entries(upstream, self._find_users(upstream))
            share, rest = divmod(limit, len(ranked))
            state.shares = {
                name: share + (rank < rest) for rank, name in enumerate(ranked)
            }
            state.shared_calls = limit
        own_share = state.shares.get(self._entry, 0)
        is_start = self._is_known and now < self._began_s + SHARE_DELAY_S
        if own_share <= state.held_share or is_start:
            state.held_share, state.share_s = own_share, None
        elif state.share_s is None:
            state.share_s = now + SHARE_DELAY_S
        elif now >= state.share_s:
            state.held_share, state.share_s = own_share, None

    def _find_users(self, upstream: str) -> frozenset[str]:
        return (self._users.get(upstream) or self._entries) | {self._entry}

    def _discard_shares(self) -> None:
        self._sharers = None
        for state in self._upstreams.values():
            state.shares = {}
            state.free_until_s = -math.inf

    def _is_in_contact(self, peer: str, now: float) -> bool:
        known = self._peers.get(peer)
        if known is None or not known.hears_us:
            return False
        return now < known.received_s + self._contact_s

    def _list_unheard(self, now: float) -> frozenset[str]:
        limit_s = now - self._contact_s
        heard = {
            name for name, peer in self._peers.items() if peer.received_s > limit_s
        }
        return self.list_peers() - heard

    def _note_time(self, now: float) -> None:
        """Forget who was in contact if this process has been suspended."""
        if self._began_s is None:
            self._began_s = self._seen_s = now
        if now > self._seen_s + max(SUSPENSION_S, self._contact_s):
            self._peers.clear()
            self._trusted_s = now + DISTRUST_S
        self._seen_s = max(now, self._seen_s)


def _drop_outdated(state: _Upstream, now: float) -> None:
    """Drop the calls that no longer count."""
    oldest_s = now - WINDOW_S
    while state.own and state.own[0] <= oldest_s:
        state.own.popleft()
    for peer, sent in tuple(state.peers.items()):
        if min(sent, default=oldest_s) <= oldest_s:
            recent = tuple(sent_s for sent_s in sent if sent_s > oldest_s)
            state.peers[peer] = recent
            if not recent:
                del state.peers[peer]


def _find_next_end(state: _Upstream, now: float) -> float:
    """Return the seconds until the first of the calls no longer counts."""
    sent = [*state.own, *(at for times in state.peers.values() for at in times)]
    return max(MIN_WAIT_S, min(sent, default=now) + WINDOW_S - now)
