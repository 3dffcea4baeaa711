"""Upstreams that want nothing more from this entry for a time."""

from collections.abc import Iterable

__all__ = ["UpstreamCooldowns"]


class UpstreamCooldowns:
    """
    Until when upstreams refuse calls.

    Load pattern: an upstream that is full turns calls away and says for how long. Each
    further call there would be one more refusal, and lost time for its caller.

    >>> cooldowns = UpstreamCooldowns()
    >>> cooldowns.note("u1", 12.0)
    >>> cooldowns.list_cooling(11.9), cooldowns.list_cooling(12.0)
    (frozenset({'u1'}), frozenset())
    """

    def __init__(self) -> None:
        self._until_s: dict[str, float] = {}

    def note(self, upstream: str, until_s: float) -> None:
        """Take over until when an upstream refuses calls."""
        self._until_s[upstream] = max(until_s, self._until_s.get(upstream, until_s))

    def clear(self, upstream: str) -> None:
        """Take calls to an upstream that has started again."""
        self._until_s.pop(upstream, None)

    def list_cooling(self, now: float) -> frozenset[str]:
        """Return the upstreams that refuse calls now."""
        if self._until_s:
            self._until_s = {
                name: end_s for name, end_s in self._until_s.items() if end_s > now
            }
        return frozenset(self._until_s)

    def find_cooldown(self, upstreams: Iterable[str], now: float) -> float | None:
        """
        Return the seconds until one of some upstreams takes calls again.

        :returns: None unless all of them refuse calls.
        """
        ends = [self._until_s.get(name, now) for name in upstreams]
        wait_s = min(ends, default=now) - now
        return wait_s if wait_s > 0 else None
