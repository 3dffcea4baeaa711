"""How the C library allocates the memory of a process."""

import ctypes
import logging

__all__ = ["return_freed_blocks"]

# Parameter of mallopt, from malloc.h of the GNU C library.
M_MMAP_THRESHOLD = -3
# Blocks from this size on are mapped one by one.
MAPPED_BLOCK_BYTES = 128 * 1024

_log = logging.getLogger(__name__)


def return_freed_blocks() -> None:
    """
    Have large blocks returned to the kernel as soon as they are freed.

    Load pattern: many large bodies are received side by side and end in any order. The
    GNU C library raises the size from which it maps blocks when one is freed, up to 32
    MiB, and then moves growing blocks about in its heap: the gaps that they leave take
    as much memory as the bodies. A size that was set is not raised.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is None or not mallopt(M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES):
        _log.info("size of mapped blocks not set")
