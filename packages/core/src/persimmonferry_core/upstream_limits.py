"""Limits that upstreams set on the calls that they take from all entries together."""

from dataclasses import dataclass

__all__ = ["LimitNotice", "UpstreamLimits", "make_notice"]


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


class UpstreamLimits:
    """
    The limits that upstreams have set.

    >>> limits = UpstreamLimits()
    >>> limits.record(LimitNotice("u1", 1, 2.5, 10.0))
    True
    >>> limits.record(LimitNotice("u1", 1, None, 9.0))
    False
    >>> limits.find("u1")
    2.5
    """

    def __init__(self) -> None:
        self._notices: dict[str, LimitNotice] = {}

    def record(self, notice: LimitNotice) -> bool:
        """
        Record a notice unless a newer one is known.

        :returns: whether it was recorded.
        """
        known = self._notices.get(notice.upstream)
        if known is None:
            if notice.calls_per_s is None:
                return False
        elif notice.stated_s <= known.stated_s:
            return False
        self._notices[notice.upstream] = notice
        return True

    def find(self, upstream: str) -> float | None:
        """Return the calls per second that an upstream takes, None without a limit."""
        notice = self._notices.get(upstream)
        return notice.calls_per_s if notice else None

    def list_limits(self) -> dict[str, float]:
        """Return the calls per second of each upstream that has a limit."""
        return {
            name: notice.calls_per_s
            for name, notice in self._notices.items()
            if notice.calls_per_s is not None
        }

    def clear(self, upstream: str) -> None:
        """Remove the limit of an upstream, as after its restart."""
        self._notices.pop(upstream, None)
