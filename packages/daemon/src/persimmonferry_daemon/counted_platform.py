"""Counts a process's calls to the platform's key-value service."""

from collections import Counter

from persimmonferry_core.interfaces import Lease, Platform, Versioned

__all__ = ["CountedPlatform"]


class CountedPlatform:
    """
    Counts the calls to a platform by kind; a watch counts once, however long it waits.

    :param platform: carries out the calls.
    """

    def __init__(self, platform: Platform) -> None:
        self.calls: Counter[str] = Counter()
        self._platform = platform

    async def read(self, key: str) -> Versioned:
        """Count and pass on; see ``Platform``."""
        self.calls["read"] += 1
        return await self._platform.read(key)

    async def swap(self, key: str, value: bytes, expected: int) -> Versioned:
        """Count and pass on; see ``Platform``."""
        self.calls["swap"] += 1
        return await self._platform.swap(key, value, expected)

    async def watch(self, key: str, after: int, wait_s: float) -> Versioned | None:
        """Count and pass on; see ``Platform``."""
        self.calls["watch"] += 1
        return await self._platform.watch(key, after, wait_s)

    async def acquire_lease(
        self, name: str, holder: str, duration_s: float, now: float
    ) -> Lease | None:
        """Count and pass on; see ``Platform``."""
        self.calls["acquire_lease"] += 1
        return await self._platform.acquire_lease(name, holder, duration_s, now)

    async def release_lease(self, lease: Lease) -> None:
        """Count and pass on; see ``Platform``."""
        self.calls["release_lease"] += 1
        await self._platform.release_lease(lease)
