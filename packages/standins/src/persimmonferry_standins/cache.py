"""Prefix cache of the engine stand-in and the events that it publishes."""

import hashlib
from collections import Counter, OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from persimmonferry_core.runs import CacheEvent, CacheEventKind, RunOrder

__all__ = ["CacheLog", "PrefixCache", "digest_prefixes"]


@dataclass(frozen=True)
class _Published:
    event: CacheEvent
    visible_s: float


class CacheLog:
    """
    Cache events, published with a lag.

    :param lag_s: time from an event to its publication.
    :param is_dropping: returns whether events are being dropped.
    """

    def __init__(
        self, lag_s: float, is_dropping: Callable[[], bool] = lambda: False
    ) -> None:
        self._lag_s = lag_s
        self._is_dropping = is_dropping
        self._sequence = 0
        self._published: list[_Published] = []

    def append(self, kind: CacheEventKind, name: str, now: float) -> None:
        """Record an event; a dropped one leaves a gap in the sequence numbers."""
        self._sequence += 1
        if not self._is_dropping():
            event = CacheEvent(self._sequence, kind, name)
            self._published.append(_Published(event, now + self._lag_s))

    def read(self, after: int, now: float) -> tuple[CacheEvent, ...]:
        """Return the published events after a sequence number."""
        return tuple(
            item.event
            for item in self._published
            if item.event.sequence > after and item.visible_s <= now
        )


def digest_prefixes(order: RunOrder) -> tuple[str, ...]:
    """
    Return a digest of model, version, adapter and prefix for each block of an order.

    Two runs may share a block only if their digests of it are equal; equal names are
    not enough.
    """
    words = order.prompt.split()
    state = hashlib.sha256()
    state.update(f"{order.model}\0{order.version}\0{order.adapter}".encode())
    digests = []
    for index in range(len(order.block_names)):
        start = index * order.block_tokens
        block = words[start : start + order.block_tokens]
        state.update(("\0" + "\0".join(block)).encode())
        digests.append(state.hexdigest())
    return tuple(digests)


class PrefixCache:
    """
    Cache blocks with least-recently-used eviction.

    :param capacity: number of blocks.
    :param counters: counts under ``wrong_block_hits`` each reuse of a block that was
        computed for another version, adapter or prefix.
    """

    def __init__(self, capacity: int, log: CacheLog, counters: Counter[str]) -> None:
        self._capacity = capacity
        self._log = log
        self._counters = counters
        self._contents: OrderedDict[str, str] = OrderedDict()

    def __contains__(self, name: str) -> bool:
        return name in self._contents

    @property
    def names(self) -> tuple[str, ...]:
        """The names of the cached blocks, least recently used first."""
        return tuple(self._contents)

    def use_prefix(self, names: Sequence[str], digests: Sequence[str]) -> int:
        """Return how many leading blocks are cached, and mark them as used."""
        count = 0
        for name, digest in zip(names, digests, strict=True):
            if name not in self._contents:
                break
            if self._contents[name] not in ("", digest):
                self._counters["wrong_block_hits"] += 1
            self._contents.move_to_end(name)
            count += 1
        return count

    def store(self, name: str, digest: str, now: float) -> None:
        """
        Cache a block, and evict others if the cache is full.

        :param digest: from ``digest_prefixes``; empty, for an imported block, matches
            any prefix.
        """
        if name in self._contents:
            self._contents.move_to_end(name)
            return
        self._contents[name] = digest
        self._log.append(CacheEventKind.STORED, name, now)
        while len(self._contents) > self._capacity:
            evicted, _ = self._contents.popitem(last=False)
            self._log.append(CacheEventKind.REMOVED, evicted, now)

    def evict_all(self, now: float) -> None:
        """Evict every block."""
        for name in self._contents:
            self._log.append(CacheEventKind.REMOVED, name, now)
        self._contents.clear()
