"""Divides the retries that all entries may make together among them."""

from collections.abc import Iterable

__all__ = ["RetryShares"]

# An entry that is not listed, or can't read the list, gives its share up after this
# time. It may run on, turned away by the registry.
CONFIRMATION_TIMEOUT_S = 10.0
# Others count it for longer, as they receive changes of the list later. A process that
# has started does not know of it, and has no share for as long.
RETENTION_S = 15.0


class RetryShares:
    """
    Finds an entry's share of the fixed part of a retry budget that all entries share.

    Load pattern: the upstreams of a service fail, and entries restart or drop off the
    list meanwhile. A process does not know what the one before it has used, nor whether
    an entry that is not listed has ended. So a process has no share at first, entries
    that have left still count for a time, and an entry that may no longer count for the
    others gives its share up before.

    All times are on one clock, which counts time in which the process is suspended.

    :param entry: name of the entry that decides.
    :param started_s: when its process started.

    >>> shares = RetryShares("e1", 0.0)
    >>> shares.set_entries(["e1", "e2"], 5.0)
    >>> shares.divide(20, 10.0, 5.0)
    0
    >>> shares.confirm(15.0)
    >>> shares.divide(20, 10.0, 15.0)
    10
    """

    def __init__(self, entry: str, started_s: float) -> None:
        self._entry = entry
        self._started_s = started_s
        self._entries: frozenset[str] = frozenset()
        self._left_s: dict[str, float] = {}
        self._confirmed_s = float("-inf")

    def set_entries(self, entries: Iterable[str], now: float) -> None:
        """Set the names of the entries that are listed now."""
        listed = frozenset(entries)
        self._left_s.update(dict.fromkeys(self._entries - listed, now))
        for name in listed & self._left_s.keys():
            del self._left_s[name]
        self._entries = listed
        self.confirm(now)

    def confirm(self, now: float) -> None:
        """Record that the list has not changed until now."""
        if self._entry in self._entries:
            self._confirmed_s = now

    def count_entries(self, now: float) -> int:
        """Return the number of entries that may use the budget, including this one."""
        for name, left_s in tuple(self._left_s.items()):
            if now >= left_s + RETENTION_S:
                del self._left_s[name]
        return len(self._entries | self._left_s.keys() | {self._entry})

    def divide(self, retries: float, window_s: float, now: float) -> int:
        """
        Return how many of the retries this entry may make in a window.

        :param retries: that all entries may make together.
        """
        if now < self._started_s + max(window_s, RETENTION_S):
            return 0
        if now >= self._confirmed_s + CONFIRMATION_TIMEOUT_S:
            return 0
        return int(retries / self.count_entries(now))
