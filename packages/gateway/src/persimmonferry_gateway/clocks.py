"""The clock for what must not outlive a suspension of the process."""

import time

__all__ = ["read_boot_clock"]


def read_boot_clock() -> float:
    """Return seconds on a clock that goes on while the process is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
