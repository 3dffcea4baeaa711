"""Quarantine of prompts with parts that crash the engines which answer them."""

import functools
import hashlib
import itertools
import math
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from persimmonferry_core.upstream_subsets import rank_entries

__all__ = [
    "RETENTION_S",
    "Crash",
    "Quarantine",
    "QuarantinedParts",
    "hash_parts",
]

# Crashes with common parts after which prompts with these parts are refused.
MIN_CRASHES = 2
# A part is sound if a prompt with it was answered within this time before a crash.
ANSWER_AGE_S = 3.0
# Time after the last crash until one prompt is sent as a test; doubled with each crash
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
# Sets of common parts that are kept, and parts of one prompt that are compared.
MAX_PATTERNS = 64
MAX_PARTS = 96
# Latest crashes of each set; more of them would not change the time until a test.
MAX_CRASHES = 16
# Parts of crashes whose next answer is to be announced.
MAX_REPORTED = 4096
HASH_BYTES = 8


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
    The loss of an answer that had begun, but had no content yet.

    :param upstream: the engine that was lost, and its incarnation.
    :param parts: hashes of the prompt's parts that may have caused it.
    :param lost_s: when it was lost.
    """

    upstream: str
    incarnation: int
    parts: frozenset[int]
    lost_s: float


@dataclass(frozen=True)
class QuarantinedParts:
    """
    Prompts with all of these parts are refused.

    :param crashes: number of crashes that have these parts in common.
    """

    parts: frozenset[int]
    crashes: int


@dataclass
class _Pattern:
    """
    Parts that some crashes have in common.

    :param crashes: when each engine was lost, by its name and incarnation.
    :param restored_crashes: number of crashes when the parts were restored, and when
        that was.
    :param last_s: when the last engine was lost, or the parts were restored.
    :param tested_s: when this entry last sent a prompt as a test.
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
        """Whether prompts with these parts are refused."""
        return self.count() >= MIN_CRASHES

    @property
    def test_s(self) -> float:
        """When a prompt with these parts may be sent as a test."""
        doublings = min(self.count(), MAX_CRASHES) - MIN_CRASHES
        return self.last_s + min(MAX_TEST_S, FIRST_TEST_S * 2.0**doublings)

    @property
    def expires_s(self) -> float:
        """When the parts are forgotten."""
        return self.last_s + (RETENTION_S if self.is_quarantined else SUSPICION_S)


class Quarantine:
    """
    Refuses prompts with parts that crash the engines which answer them.

    Load pattern: one part crashes each engine that begins an answer to a prompt with
    it. Such prompts arrive at any entry, so each entry observes only some of the
    crashes, and sound prompts share all other parts. Entries therefore exchange what
    they observed. The parts that crashes have in common are quarantined together:
    only prompts with all of them are refused. Any answer shows that its parts are
    sound, which leaves fewer of them in common.

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
        self._patterns: dict[frozenset[int], _Pattern] = {}
        # When each part was last answered, oldest first, for ``ANSWER_AGE_S``.
        self._answered_s: dict[int, float] = {}
        # When each part was last reported with a crash; an answer removes it.
        self._reported_s: dict[int, float] = {}
        # When each crash of an engine with these parts was first reported.
        self._received_s: dict[tuple[str, int, frozenset[int]], float] = {}
        self._expired_s = -math.inf

    def set_entries(self, entries: Iterable[str]) -> None:
        """Set the names of all entries."""
        self._entries = frozenset(entries) | {self._entry}
        self._places.clear()

    def drop_answered(self, crash: Crash) -> Crash:
        """Return a crash without the parts that this entry observed to be sound."""
        oldest_s = crash.lost_s - ANSWER_AGE_S
        parts = frozenset(
            part
            for part in crash.parts
            if self._answered_s.get(part, -math.inf) < oldest_s
        )
        return replace(crash, parts=parts)

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
        for part in crash.parts:
            self._reported_s.pop(part, None)
            self._reported_s[part] = crash.lost_s
        while len(self._reported_s) > MAX_REPORTED:
            del self._reported_s[next(iter(self._reported_s))]
        parts = self.drop_answered(crash).parts
        lost = _Pattern({(crash.upstream, crash.incarnation): crash.lost_s})
        lost.last_s = crash.lost_s
        known = self._patterns.get(parts)
        if not parts or (known and known.crashes.keys() >= lost.crashes.keys()):
            return False
        found = {parts: lost}
        for other, pattern in self._patterns.items():
            common = other & parts
            if common:
                merged = found.setdefault(common, _Pattern())
                merged.add(pattern)
                merged.add(lost)
        for common, pattern in found.items():
            self._patterns.setdefault(common, _Pattern()).add(pattern)
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
        for known, pattern in tuple(self._patterns.items()):
            sound = known & parts
            if not sound or pattern.last_s > answered_s:
                continue
            del self._patterns[known]
            if known - sound:
                self._patterns.setdefault(known - sound, _Pattern()).add(pattern)

    def find_wait(self, parts: frozenset[int], now: float) -> float | None:
        """Return the seconds for which a prompt is refused, None if it may be sent."""
        self._expire(now)
        waits = [
            self._find_pattern_wait(common, pattern, now)
            for common, pattern in self._patterns.items()
            if common <= parts and pattern.is_quarantined
        ]
        return max(waits, default=0.0) or None

    def record_sent(self, parts: frozenset[int], now: float) -> None:
        """Record a prompt that is sent to an engine; it may be a test."""
        for common, pattern in self._patterns.items():
            if common <= parts:
                pattern.tested_s = now

    def restore(self, quarantined: QuarantinedParts, now: float) -> None:
        """Restore quarantined parts that other entries have stored."""
        self._reported_s.update(dict.fromkeys(quarantined.parts, now))
        pattern = self._patterns.setdefault(quarantined.parts, _Pattern())
        if quarantined.crashes > pattern.count():
            pattern.restored_crashes = quarantined.crashes
            pattern.restored_s = now
            pattern.last_s = max(pattern.last_s, now)

    def is_first_to_test(self, parts: frozenset[int]) -> bool:
        """Whether this entry is the first that may test these parts."""
        return self._find_place(parts) == 0

    def list_quarantined(self) -> tuple[QuarantinedParts, ...]:
        """Return the quarantined parts, without those that contain others."""
        found = {
            parts: pattern.count()
            for parts, pattern in self._patterns.items()
            if pattern.is_quarantined
        }
        return tuple(
            QuarantinedParts(parts, crashes)
            for parts, crashes in found.items()
            if not any(other < parts for other in found)
        )

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

    def _drop_excess(self) -> None:
        """Drop the patterns of the fewest and oldest crashes."""
        excess = len(self._patterns) - MAX_PATTERNS
        if excess > 0:
            ranked = sorted(
                self._patterns,
                key=lambda parts: (
                    self._patterns[parts].is_quarantined,
                    self._patterns[parts].last_s,
                ),
            )
            for parts in ranked[:excess]:
                del self._patterns[parts]
                self._places.pop(parts, None)
