"""Upstreams that asked callers to retry after some time."""

import math
from dataclasses import dataclass, replace

__all__ = ["UpstreamCooldowns"]


@dataclass(frozen=True)
class _Cooldown:
    """
    Until when an upstream refuses calls.

    :param incarnation: of the upstream.
    :param sent_s: when the last call before was sent there.
    """

    until_s: float
    incarnation: int
    sent_s: float


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
        self._cooldowns: dict[str, _Cooldown] = {}
        # When the last call was sent to each upstream.
        self._sent_s: dict[str, float] = {}

    def record_sent(self, upstream: str, now: float) -> None:
        """Record that a call is sent to an upstream."""
        self._sent_s[upstream] = now

    def note(self, upstream: str, incarnation: int, until_s: float) -> None:
        """Record until when an upstream refuses calls; the latest time counts."""
        known = self._cooldowns.get(upstream)
        until_s = max(until_s, known.until_s) if known else until_s
        sent_s = self._sent_s.get(upstream, -math.inf)
        self._cooldowns[upstream] = _Cooldown(until_s, incarnation, sent_s)

    def keep_recent(self, upstream: str, incarnation: int, since_s: float) -> None:
        """Keep the cooldown of an upstream that may have restarted before it."""
        known = self._cooldowns.get(upstream)
        if known is not None and known.sent_s >= since_s:
            self._cooldowns[upstream] = replace(known, incarnation=incarnation)

    def clear_outdated(self, upstream: str, incarnation: int) -> None:
        """End the cooldown of an upstream that has restarted since."""
        known = self._cooldowns.get(upstream)
        if known is not None and known.incarnation < incarnation:
            del self._cooldowns[upstream]

    def forget_calls(self, upstream: str) -> None:
        """Forget the calls that were sent to an upstream; its cooldown goes on."""
        self._sent_s.pop(upstream, None)

    def list_cooling(self, now: float) -> frozenset[str]:
        """Return the upstreams whose cooldown has not ended."""
        if self._cooldowns:
            self._cooldowns = {
                name: item
                for name, item in self._cooldowns.items()
                if item.until_s > now
            }
        return frozenset(self._cooldowns)

    def find_wait(self, upstream: str, now: float) -> float:
        """Return the seconds until an upstream takes calls again, 0 if it does now."""
        known = self._cooldowns.get(upstream)
        return max(0.0, known.until_s - now) if known else 0.0
