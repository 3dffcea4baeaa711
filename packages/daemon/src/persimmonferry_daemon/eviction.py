"""Frees space in store VMs that are nearly full."""

import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from persimmonferry_core.eviction import UseHistory, is_eviction_due, plan_eviction
from persimmonferry_core.exceptions import PlatformError
from persimmonferry_core.interfaces import Lease, Platform, Store

from persimmonferry_daemon.block_stores import EXTERNAL_ERRORS

__all__ = ["StoreEvictor"]

LEASE_S = 60.0
LEASE_MARGIN_S = 5.0
WRITE_GRACE_S = 120.0

_log = logging.getLogger(__name__)


@dataclass(frozen=True)
class _OpenWrite:
    generation: int
    seen_s: float


class StoreEvictor:
    """
    Removes the blocks that are least likely to be used again.

    One process at a time evicts from a store, under a lease. Concurrent evictions are
    harmless, since a removal takes effect only at the generation that was chosen.

    :param find_stores: returns the stores of the failure domain by VM name.
    :param holder: identity of this process in leases.
    :param scope: names the stores' team and failure domain in the platform's keys.
    :param history: uses of blocks by this process.
    :param clock: returns seconds since the epoch, comparable between VMs.
    """

    def __init__(
        self,
        find_stores: Callable[[], Mapping[str, Store]],
        platform: Platform,
        holder: str,
        scope: str,
        history: UseHistory,
        clock: Callable[[], float],
    ) -> None:
        self._find_stores = find_stores
        self._platform = platform
        self._holder = holder
        self._scope = scope
        self._history = history
        self._clock = clock
        self._open_writes: dict[tuple[str, str], _OpenWrite] = {}

    async def share_history(self) -> None:
        """
        Merge the uses by this process with those that other processes wrote.

        :raises PlatformError: the platform did not respond, or another process wrote
            first.
        """
        key = f"uses/{self._scope}"
        known = await self._platform.read(key)
        self._history.merge(known.value)
        value = self._history.encode()
        if value != known.value:
            await self._platform.swap(key, value, known.revision)

    async def evict(self) -> int:
        """Free space in each store that is nearly full; return the blocks removed."""
        removed = 0
        for store_name, store in self._find_stores().items():
            try:
                removed += await self._evict_from(store_name, store)
            except EXTERNAL_ERRORS as error:
                _log.warning("eviction failed at %s: %s", store_name, error)
        return removed

    async def _evict_from(self, store_name: str, store: Store) -> int:
        usage = await store.read_usage()
        if not is_eviction_due(usage):
            return 0
        lease = await self._platform.acquire_lease(
            f"evict/{self._scope}/{store_name}", self._holder, LEASE_S, self._clock()
        )
        if lease is None:
            return 0
        names = await store.list_names()
        plan = plan_eviction(names, usage, self._history, self._clock())
        removed = 0
        for name in plan.candidates:
            lapsing = self._clock() > lease.expires_s - LEASE_MARGIN_S
            if lapsing or removed == plan.count:
                break
            removed += await self._remove(store_name, store, name)
        await self._release(lease)
        return removed

    async def _release(self, lease: Lease) -> None:
        try:
            await self._platform.release_lease(lease)
        except PlatformError:
            _log.info("lease %s was not released and will expire", lease.name)

    async def _remove(self, store_name: str, store: Store, name: str) -> int:
        generation = await store.read_generation(name)
        if not generation:
            generation = await self._find_abandoned_write(store_name, store, name)
        if not generation:
            return 0
        await store.remove(name, generation)
        return 1

    async def _find_abandoned_write(
        self, store_name: str, store: Store, name: str
    ) -> int:
        """Return the generation of a write that was not committed in time, or 0."""
        stored = await store.read(name)
        if stored.committed:
            return 0
        key = (store_name, name)
        now = self._clock()
        seen = self._open_writes.get(key)
        if seen is None or seen.generation != stored.generation:
            self._open_writes[key] = _OpenWrite(stored.generation, now)
            return 0
        if now - seen.seen_s < WRITE_GRACE_S:
            return 0
        del self._open_writes[key]
        return stored.generation
