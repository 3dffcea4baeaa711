"""Upstreams of which it is not known whether they take calls."""

__all__ = ["UnreadAnswers"]

# Between two calls to an upstream until one of its answers has been read.
INTERVAL_S = 1.0


class UnreadAnswers:
    """
    Spaces the calls to upstreams whose last answer could not be read.

    Load pattern: an upstream states that it takes no calls for a time, but bytes of no
    request hide this from the entry, and a burst of calls follows.

    >>> unread = UnreadAnswers()
    >>> unread.record("u1")
    >>> unread.record_sent("u1", 5.0)
    >>> unread.list_spaced(5.5), unread.list_spaced(6.0)
    (frozenset({'u1'}), frozenset())
    """

    def __init__(self) -> None:
        # Until when each of them gets no other call.
        self._until_s: dict[str, float] = {}

    def record(self, upstream: str) -> None:
        """Record that an answer of an upstream could not be read."""
        self._until_s.setdefault(upstream, float("-inf"))

    def record_sent(self, upstream: str, now: float) -> None:
        """Record that a call is sent to an upstream."""
        if upstream in self._until_s:
            self._until_s[upstream] = now + INTERVAL_S

    def clear(self, upstream: str) -> None:
        """Record that an answer was read, or that the upstream has started again."""
        self._until_s.pop(upstream, None)

    def list_spaced(self, now: float) -> frozenset[str]:
        """Return the upstreams that get no other call now."""
        if not self._until_s:
            return frozenset()
        return frozenset(name for name, end_s in self._until_s.items() if end_s > now)

    def find_wait(self, upstream: str, now: float) -> float:
        """Return the seconds until an upstream gets another call, 0 if it does now."""
        return max(0.0, self._until_s.get(upstream, now) - now)
