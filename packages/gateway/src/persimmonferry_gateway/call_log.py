"""Rate-limited log of calls, so that load can't fill the log."""

import logging
from typing import Any

__all__ = ["RateLimitedLog"]

# More than the calls that a gateway ends in a second at twice its usual load.
LINES_PER_S = 200.0
BURST_LINES = 400.0


class RateLimitedLog:
    """
    Logs lines at a limited rate (token bucket), with the number of lines left out.

    Lines of answered calls are left out first: they may use only half of the bucket.
    """

    def __init__(self, log: logging.Logger) -> None:
        self._log = log
        self._tokens = BURST_LINES
        self._updated_s: float | None = None
        self._left_out = 0

    def write(
        self, event: str, fields: dict[str, Any], now: float, *, is_failure: bool
    ) -> None:
        """Log a line unless the rate is exceeded."""
        if self._updated_s is not None:
            earned = (now - self._updated_s) * LINES_PER_S
            self._tokens = min(BURST_LINES, self._tokens + earned)
        self._updated_s = now
        floor = 1.0 if is_failure else BURST_LINES / 2
        if self._tokens < floor:
            self._left_out += 1
            return
        self._tokens -= 1.0
        if self._left_out:
            fields = {**fields, "left_out": self._left_out}
            self._left_out = 0
        self._log.info(event, extra=fields)
