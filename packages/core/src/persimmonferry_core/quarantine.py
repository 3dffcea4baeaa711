"""Quarantine of calls, and of parts of prompts, that crash the upstreams they reach."""

import functools
import hashlib
import heapq
import itertools
import math
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import TypeVar

from persimmonferry_core.fingerprints import HASH_BYTES
from persimmonferry_core.upstreams.subsets import rank_entries

__all__ = [
    "RETENTION_S",
    "Crash",
    "Quarantine",
    "QuarantinedParts",
    "hash_parts",
]

# Crashes with common parts after which calls with these parts are refused.
MIN_CRASHES = 2
# A part is sound if a call with it was answered within this time before a crash.
ANSWER_AGE_S = 3.0
# Time after the last crash until one call is sent as a test; doubled with each crash
# after ``MIN_CRASHES``.
FIRST_TEST_S = 20.0
MAX_TEST_S = 300.0
# After each such time without a result of the test, one entry more may send one.
TEST_INTERVAL_S = 10.0
# Parts of a single crash are forgotten after the first time, quarantined ones after the
# second, longer than the longest time between two tests.
SUSPICION_S = 120.0
RETENTION_S = 600.0
EXPIRY_INTERVAL_S = 1.0
# Sets of several common parts that are kept, and parts of one prompt that are compared.
MAX_PATTERNS = 64
# Single parts that are kept; where there are more, this share of them is dropped.
MAX_SINGLES = 4096
DROPPED_SHARE = 1 / 8
MAX_PARTS = 96
# Latest crashes of each set; more of them would not change the time until a test.
MAX_CRASHES = 16
# Parts of crashes whose next answer is to be announced.
MAX_REPORTED = 4096
# Reports of crashes that are recognised when they are repeated.
MAX_RECEIVED = 8192

_Key = TypeVar("_Key")


def hash_parts(names: Iterable[str]) -> frozenset[int]:
    """
    Return numbers that stand for the first ``MAX_PARTS`` parts of a prompt.

    >>> hash_parts(("5c1e", "91bd")) > hash_parts(("91bd",))
    True
    """
    return frozenset(_hash_part(name) for name in itertools.islice(names, MAX_PARTS))


@functools.lru_cache(maxsize=8192)
def _hash_part(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big", signed=True)


@dataclass(frozen=True)
class Crash:
    """
    The loss of an upstream that had begun a call, before any content of its answer.

    :param upstream: that was lost, and its incarnation.
    :param parts: hashes that may have caused it: the call's fingerprint if its answer
        had not begun, otherwise the parts of its prompt.
    :param lost_s: when it was lost.
    """

    upstream: str
    incarnation: int
    parts: frozenset[int]
    lost_s: float


@dataclass(frozen=True)
class QuarantinedParts:
    """
    Calls with all of these parts are refused.

    :param crashes: number of crashes that have these parts in common.
    """

    parts: frozenset[int]
    crashes: int


@dataclass
class _Pattern:
    """
    Parts that some crashes have in common.

    :param crashes: when each upstream was lost, by its name and incarnation.
    :param restored_crashes: number of crashes when the parts were restored, and when
        that was.
    :param last_s: when the last upstream was lost, or the parts were restored.
    :param tested_s: when this entry last sent a call as a test.
    """

    crashes: dict[tuple[str, int], float] = field(default_factory=dict)
    restored_crashes: int = 0
    restored_s: float = -math.inf
    last_s: float = -math.inf
    tested_s: float = -math.inf

    def add(self, other: "_Pattern") -> None:
        """Add the crashes of another pattern."""
        self.crashes.update(other.crashes)
        while len(self.crashes) > MAX_CRASHES:
            del self.crashes[min(self.crashes, key=self.crashes.get)]
        if other.restored_crashes > self.restored_crashes:
            self.restored_crashes = other.restored_crashes
            self.restored_s = other.restored_s
        self.last_s = max(self.last_s, other.last_s)
        self.tested_s = max(self.tested_s, other.tested_s)

    def count(self) -> int:
        """Return the number of crashes, with those before the parts were restored."""
        later = sum(1 for lost_s in self.crashes.values() if lost_s > self.restored_s)
        return max(len(self.crashes), self.restored_crashes + later)

    @property
    def is_quarantined(self) -> bool:
        """Whether calls with these parts are refused."""
        return self.count() >= MIN_CRASHES

    @property
    def test_s(self) -> float:
        """When a call with these parts may be sent as a test."""
        doublings = min(self.count(), MAX_CRASHES) - MIN_CRASHES
        return self.last_s + min(MAX_TEST_S, FIRST_TEST_S * 2.0**doublings)

    @property
    def expires_s(self) -> float:
        """When the parts are forgotten."""
        return self.last_s + (RETENTION_S if self.is_quarantined else SUSPICION_S)


class Quarantine:
    """
    Refuses calls that crash the upstreams which begin to run them.

    Load pattern: one part of a prompt crashes each engine that begins an answer to it,
    or one call, which comes again with another id, crashes each upstream that begins
    to run it. Such calls arrive at any entry, so each entry observes only some of the
    crashes, and sound prompts share all other parts. Entries therefore exchange what
    they observed. The parts that crashes have in common are quarantined together:
    only calls with all of them are refused. Any answer shows that its parts are
    sound, which leaves fewer of them in common. The fingerprint of a call is compared
    as a part of it that only equal calls have.

    Load pattern: a crash ends all calls at its upstream, and a connection that is reset
    looks like one. So there are thousands of fingerprints with one crash, most of them
    of sound calls. Single parts are found directly, in any number of them.

    Time has to be the same for all arguments of one object; ``parts`` are hashes.

    :param entry: name of the entry that decides.

    >>> quarantine = Quarantine("e1")
    >>> quarantine.record_crash(Crash("u1", 1, frozenset({7, 8}), 1.0), 1.0)
    True
    >>> quarantine.record_crash(Crash("u2", 1, frozenset({6, 8}), 2.0), 2.0)
    True
    >>> quarantine.find_wait(frozenset({5, 8}), 3.0)
    19.0
    >>> quarantine.find_wait(frozenset({6, 7}), 3.0)
    """

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._entries = frozenset((entry,))
        self._places: dict[frozenset[int], int] = {}
        # Patterns of several parts, those of a single part, and which of these are
        # quarantined.
        self._patterns: dict[frozenset[int], _Pattern] = {}
        self._singles: dict[int, _Pattern] = {}
        self._quarantined_singles: set[int] = set()
        # When each part was last answered, oldest first, for ``ANSWER_AGE_S``.
        self._answered_s: dict[int, float] = {}
        # When each part was last reported with a crash; an answer removes it.
        self._reported_s: dict[int, float] = {}
        # When each crash of an upstream with these parts was first reported.
        self._received_s: dict[tuple[str, int, frozenset[int]], float] = {}
        self._expired_s = -math.inf

    def set_entries(self, entries: Iterable[str]) -> None:
        """Set the names of all entries."""
        self._entries = frozenset(entries) | {self._entry}
        self._places.clear()

    def drop_answered(self, crash: Crash) -> Crash:
        """Return a crash without the parts that this entry observed to be sound."""
        return replace(crash, parts=self._drop_sound(crash.parts, crash.lost_s))

    def record_crash(self, crash: Crash, now: float) -> bool:
        """
        Record a crash that this entry or another one has observed.

        :returns: whether it is a new observation about parts that may not be sound.
        """
        self._expire(now)
        # A repeated report must not bring back parts that were answered since.
        report = (crash.upstream, crash.incarnation, crash.parts)
        if report in self._received_s:
            return False
        self._received_s[report] = now
        if len(self._received_s) > MAX_RECEIVED:
            del self._received_s[next(iter(self._received_s))]
        for part in crash.parts:
            self._reported_s.pop(part, None)
            self._reported_s[part] = crash.lost_s
        while len(self._reported_s) > MAX_REPORTED:
            del self._reported_s[next(iter(self._reported_s))]
        parts = self.drop_answered(crash).parts
        lost = _Pattern({(crash.upstream, crash.incarnation): crash.lost_s})
        lost.last_s = crash.lost_s
        known = self._find_pattern(parts)
        if not parts or (known and known.crashes.keys() >= lost.crashes.keys()):
            return False
        found = {parts: lost}
        for common, pattern in self._list_overlaps(parts):
            merged = found.setdefault(common, _Pattern())
            merged.add(pattern)
            merged.add(lost)
        for common, pattern in found.items():
            self._add_pattern(common, pattern)
        self._drop_excess()
        return True

    def record_answer(self, parts: frozenset[int], now: float) -> frozenset[int]:
        """
        Record the first content of an answer to a prompt with these parts.

        Load pattern: an entry with few prompts has not observed that a common part is
        sound, and quarantines it after two crashes with different causes. The entry
        that first receives an answer after a crash therefore announces it to all.

        :returns: the parts that are to be announced as sound.
        """
        reported = parts & self._reported_s.keys()
        self.record_sound(parts, now)
        return reported

    def record_sound(self, parts: frozenset[int], answered_s: float) -> None:
        """As ``record_answer``, for an answer that another entry has announced."""
        for part in parts:
            self._answered_s.pop(part, None)
            self._answered_s[part] = answered_s
            self._reported_s.pop(part, None)
        while next(iter(self._answered_s.values())) < answered_s - ANSWER_AGE_S:
            del self._answered_s[next(iter(self._answered_s))]
        for part in parts & self._singles.keys():
            if self._singles[part].last_s <= answered_s:
                self._drop_single(part)
        for known, pattern in tuple(self._patterns.items()):
            sound = known & parts
            if not sound or pattern.last_s > answered_s:
                continue
            del self._patterns[known]
            if known - sound:
                self._add_pattern(known - sound, pattern)

    def find_wait(self, parts: frozenset[int], now: float) -> float | None:
        """Return the seconds for which a call is refused, None if it may be sent."""
        self._expire(now)
        waits = [
            self._find_pattern_wait(common, pattern, now)
            for common, pattern in self._list_contained(parts)
            if pattern.is_quarantined
        ]
        return max(waits, default=0.0) or None

    def record_sent(self, parts: frozenset[int], now: float) -> None:
        """Record a call that is sent to an upstream; it may be a test."""
        for _, pattern in self._list_contained(parts):
            pattern.tested_s = now

    def restore(self, quarantined: QuarantinedParts, now: float) -> bool:
        """
        Restore quarantined parts that other entries have stored.

        An answer may be announced before the stored entry arrives.

        :returns: False if all of them were answered lately.
        """
        parts = self._drop_sound(quarantined.parts, now)
        self._reported_s.update(dict.fromkeys(parts, now))
        known = self._find_pattern(parts)
        if parts and not (known and known.count() >= quarantined.crashes):
            restored = _Pattern({}, quarantined.crashes, now, now)
            self._add_pattern(parts, restored)
            self._drop_excess()
        return bool(parts)

    def is_first_to_test(self, parts: frozenset[int]) -> bool:
        """Whether this entry is the first that may test these parts."""
        return self._find_place(parts) == 0

    def list_quarantined(self) -> tuple[QuarantinedParts, ...]:
        """Return the quarantined parts, without those that contain others."""
        found = {
            frozenset((part,)): self._singles[part].count()
            for part in self._quarantined_singles
        }
        several = {
            parts: pattern.count()
            for parts, pattern in self._patterns.items()
            if pattern.is_quarantined and not parts & self._quarantined_singles
        }
        found |= {
            parts: crashes
            for parts, crashes in several.items()
            if not any(other < parts for other in several)
        }
        return tuple(QuarantinedParts(*item) for item in found.items())

    def _drop_sound(self, parts: frozenset[int], now: float) -> frozenset[int]:
        """Return parts without those that were answered lately."""
        oldest_s = now - ANSWER_AGE_S
        return frozenset(
            part for part in parts if self._answered_s.get(part, -math.inf) < oldest_s
        )

    def _find_pattern(self, parts: frozenset[int]) -> _Pattern | None:
        if len(parts) == 1:
            (part,) = parts
            return self._singles.get(part)
        return self._patterns.get(parts)

    def _add_pattern(self, parts: frozenset[int], pattern: _Pattern) -> None:
        """Add the crashes of a pattern to those of its parts."""
        if len(parts) > 1:
            self._patterns.setdefault(parts, _Pattern()).add(pattern)
            return
        (part,) = parts
        single = self._singles.setdefault(part, _Pattern())
        single.add(pattern)
        if single.is_quarantined:
            self._quarantined_singles.add(part)

    def _drop_single(self, part: int) -> None:
        del self._singles[part]
        self._quarantined_singles.discard(part)
        self._places.pop(frozenset((part,)), None)

    def _list_contained(
        self, parts: frozenset[int]
    ) -> list[tuple[frozenset[int], _Pattern]]:
        """Return the patterns of which a call has all parts."""
        found = [
            (frozenset((part,)), self._singles[part])
            for part in parts & self._singles.keys()
        ]
        if len(parts) > 1:
            found += [item for item in self._patterns.items() if item[0] <= parts]
        return found

    def _list_overlaps(
        self, parts: frozenset[int]
    ) -> list[tuple[frozenset[int], _Pattern]]:
        """Return the patterns with some of the parts, and the parts in common."""
        found = [
            (frozenset((part,)), self._singles[part])
            for part in parts & self._singles.keys()
        ]
        common = ((other & parts, item) for other, item in self._patterns.items())
        return found + [(shared, item) for shared, item in common if shared]

    def _find_pattern_wait(
        self, parts: frozenset[int], pattern: _Pattern, now: float
    ) -> float:
        overdue_s = now - pattern.test_s
        if overdue_s < 0.0:
            return -overdue_s
        place = self._find_place(parts)
        wait_s = place * TEST_INTERVAL_S - overdue_s
        return max(0.0, wait_s, pattern.tested_s + TEST_INTERVAL_S - now)

    def _find_place(self, parts: frozenset[int]) -> int:
        """Return this entry's place in the order of the entries that may test."""
        place = self._places.get(parts)
        if place is None:
            ranked = rank_entries(str(min(parts)), self._entries)
            place = self._places[parts] = ranked.index(self._entry)
        return place

    def _expire(self, now: float) -> None:
        if now < self._expired_s + EXPIRY_INTERVAL_S:
            return
        self._expired_s = now
        for report, received_s in tuple(self._received_s.items()):
            if received_s < now - SUSPICION_S:
                del self._received_s[report]
        for parts, pattern in tuple(self._patterns.items()):
            if pattern.expires_s <= now:
                del self._patterns[parts]
                self._places.pop(parts, None)
        for part, pattern in tuple(self._singles.items()):
            if pattern.expires_s <= now:
                self._drop_single(part)

    def _drop_excess(self) -> None:
        """Drop the patterns of the fewest and oldest crashes."""
        excess = len(self._patterns) - MAX_PATTERNS
        if excess > 0:
            for parts in _find_least_suspicious(self._patterns, excess):
                del self._patterns[parts]
                self._places.pop(parts, None)
        if len(self._singles) > MAX_SINGLES:
            count = int(MAX_SINGLES * DROPPED_SHARE)
            for part in _find_least_suspicious(self._singles, count):
                self._drop_single(part)


def _find_least_suspicious(patterns: dict[_Key, _Pattern], count: int) -> list[_Key]:
    return heapq.nsmallest(
        count,
        patterns,
        key=lambda key: (patterns[key].is_quarantined, patterns[key].last_s),
    )
