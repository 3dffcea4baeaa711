"""Upstreams that asked callers to retry after some time."""

__all__ = ["UpstreamCooldowns"]


class UpstreamCooldowns:
    """
    The time until which each upstream refuses calls.

    Load pattern: a full upstream refuses calls and says when to retry. Any call sent
    there earlier would be refused as well and cost its caller time.

    >>> cooldowns = UpstreamCooldowns()
    >>> cooldowns.note("u1", 1, 12.0)
    >>> cooldowns.list_cooling(11.9), cooldowns.list_cooling(12.0)
    (frozenset({'u1'}), frozenset())
    """

    def __init__(self) -> None:
        self._until_s: dict[str, float] = {}
        self._incarnations: dict[str, int] = {}

    def note(self, upstream: str, incarnation: int, until_s: float) -> None:
        """Record until when an upstream refuses calls; the latest time counts."""
        self._until_s[upstream] = max(until_s, self._until_s.get(upstream, until_s))
        self._incarnations[upstream] = incarnation

    def clear_outdated(self, upstream: str, incarnation: int) -> None:
        """End the cooldown of an upstream that has restarted since."""
        if self._incarnations.get(upstream, incarnation) < incarnation:
            del self._until_s[upstream], self._incarnations[upstream]

    def list_cooling(self, now: float) -> frozenset[str]:
        """Return the upstreams whose cooldown has not ended."""
        if self._until_s:
            self._until_s = {
                name: end_s for name, end_s in self._until_s.items() if end_s > now
            }
            self._incarnations = {
                name: self._incarnations[name] for name in self._until_s
            }
        return frozenset(self._until_s)

    def find_wait(self, upstream: str, now: float) -> float:
        """Return the seconds until an upstream takes calls again, 0 if it does now."""
        return max(0.0, self._until_s.get(upstream, now) - now)
