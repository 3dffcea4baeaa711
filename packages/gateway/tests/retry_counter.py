"""Judges the retries of all entries together, as tests of several packages do."""

from bisect import bisect_right

RATIO = 0.2
FIXED = 58
WINDOW_S = 10.0


class RetryCounter:
    """
    Counts calls and retries; their times must increase.

    In a window there may be ``FIXED`` retries and ``RATIO`` of the calls in it, in the
    window before, or in the one half a window before, whichever are most.
    """

    def __init__(self):
        self.calls = []
        self.retries = []

    def find_worst(self):
        """Return the most retries beyond the allowed ones in a window, and both."""
        return max((self._judge(now) for now in self.retries), default=(0, 0, 0.0))

    def _judge(self, now):
        retries = _count(self.retries, now - WINDOW_S, now)
        begins = (now - WINDOW_S, now - 1.5 * WINDOW_S, now - 2 * WINDOW_S)
        calls = max(_count(self.calls, at, at + WINDOW_S) for at in begins)
        allowed = RATIO * calls + FIXED
        return retries - allowed, retries, allowed


def _count(times, begin, end):
    return bisect_right(times, end) - bisect_right(times, begin)
