"""The boot clock of this VM, and bounds for a remote clock."""

import logging
import os
import time
from pathlib import Path

__all__ = ["ClockBounds", "estimate_process_start", "read_boot_clock"]

# Bounds are discarded after this time, in which clocks of VMs drift apart by far less
# than a millisecond.
MAX_BOUNDS_AGE_S = 20.0
# Remote times are whole milliseconds, and clocks drift.
CLOCK_TOLERANCE_S = 0.005
# A start that seems longer ago is a time on another clock.
MAX_START_S = 60.0
# Position of the start time in /proc/PID/stat, after the name in parentheses.
START_FIELD = 19
PROCESS_STATUS = Path("/proc/self/stat")

_log = logging.getLogger(__name__)


def read_boot_clock() -> float:
    """Return seconds on a clock that also advances while the process is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def estimate_process_start() -> float:
    """
    Return about when this process started, on the boot clock; never much later.

    The process may have been stopped or waited for the processor since then. Where the
    kernel's record is of another clock, only the processor time is known.
    """
    now = read_boot_clock()
    latest_s = now - time.process_time()
    try:
        started_s = _read_process_start()
    except (OSError, ValueError, IndexError) as error:
        fields = {"path": str(PROCESS_STATUS), "cause": str(error)}
        _log.warning("start of the process unknown", extra=fields)
        return latest_s
    is_same_clock = now - MAX_START_S <= started_s <= now
    return min(started_s, latest_s) if is_same_clock else latest_s


def _read_process_start() -> float:
    """Return when this process started, as the kernel recorded it."""
    _, _, fields = PROCESS_STATUS.read_text().rpartition(")")
    return int(fields.split()[START_FIELD]) / os.sysconf("SC_CLK_TCK")


class ClockBounds:
    """
    Bounds of the offset of a remote clock from the local one.

    A response is written after its request was sent and before it was received, so
    each one yields a lower and an upper bound. The tightest ones are used.

    >>> clock = ClockBounds()
    >>> clock.record(100.0, 10.0, 10.5)
    >>> clock.record(101.0, 11.0, 11.1)
    >>> round(clock.earliest_remote(12.0), 3), round(clock.earliest_local(102.0), 3)
    (101.9, 12.0)
    >>> clock.is_before(102.0, 12.0), clock.is_before(102.0, 12.2)
    (False, True)
    """

    def __init__(self) -> None:
        self._min_offset_s: float | None = None
        self._max_offset_s: float | None = None
        self._learned_s = float("-inf")

    def record(self, remote_s: float, asked_s: float, received_s: float) -> None:
        """
        Update the bounds with a response.

        :param remote_s: when it was written, on the remote clock.
        :param asked_s: when the request was sent, on the local clock, as is
            ``received_s``.
        """
        min_offset_s, max_offset_s = remote_s - received_s, remote_s - asked_s
        is_outdated = self.is_outdated(received_s)
        # Bounds that exclude each other mean that the remote clock was set.
        if (
            is_outdated
            or min_offset_s > self._max_offset_s
            or max_offset_s < self._min_offset_s
        ):
            self._min_offset_s, self._max_offset_s, self._learned_s = (
                min_offset_s,
                max_offset_s,
                received_s,
            )
            return
        self._min_offset_s = max(self._min_offset_s, min_offset_s)
        self._max_offset_s = min(self._max_offset_s, max_offset_s)

    def is_outdated(self, now: float) -> bool:
        """Whether the bounds are too old or there are none yet."""
        return now >= self._learned_s + MAX_BOUNDS_AGE_S

    def earliest_remote(self, now: float) -> float | None:
        """Return the earliest remote time possible at a local time, None if unknown."""
        return None if self._min_offset_s is None else now + self._min_offset_s

    def earliest_local(self, remote_s: float) -> float | None:
        """Return the earliest local time possible at a remote time, None if unknown."""
        return None if self._max_offset_s is None else remote_s - self._max_offset_s

    def is_before(self, remote_s: float, local_s: float) -> bool:
        """Whether a remote time is certainly earlier than a local one."""
        if self._min_offset_s is None:
            return False
        return remote_s - self._min_offset_s < local_s - CLOCK_TOLERANCE_S
