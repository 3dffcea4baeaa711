"""Reads and writes cache blocks at the store VMs of the failure domain."""

from collections.abc import Callable, Iterator, Mapping

from persimmonferry_core.blocks import open_block, seal
from persimmonferry_core.codes import ResultCode
from persimmonferry_core.exceptions import FerryError, StoreError
from persimmonferry_core.interfaces import Store
from persimmonferry_core.placement import PauseList, rank_stores

__all__ = ["EXTERNAL_ERRORS", "BlockStores"]

UNREACHABLE_PAUSE_S = 5.0
FULL_PAUSE_S = 10.0
SLOW_ERROR_S = 0.25

EXTERNAL_ERRORS = (FerryError, OSError, ValueError)


class BlockStores:
    """
    Access to blocks across the store VMs of a failure domain.

    :param find_stores: returns the stores of the failure domain by VM name.
    :param clock: returns the present time in seconds.
    """

    def __init__(
        self, find_stores: Callable[[], Mapping[str, Store]], clock: Callable[[], float]
    ) -> None:
        self._find_stores = find_stores
        self._clock = clock
        self._unreachable = PauseList(UNREACHABLE_PAUSE_S)
        self._full = PauseList(FULL_PAUSE_S)

    async def fetch(self, name: str) -> bytes:
        """
        Return the data of a block that passed every check.

        :raises StoreError: no store returned a valid block.
        """
        for store_name, store in self._choose(name, self._unreachable):
            start_s = self._clock()
            try:
                return await _read_checked(store, name)
            except EXTERNAL_ERRORS as error:
                self._record_error(store_name, error, start_s)
        raise StoreError(ResultCode.BLOCK_INVALID, "no store returned a valid block")

    async def holds(self, name: str) -> bool:
        """Whether a store has the block with its commit mark."""
        for store_name, store in self._choose(name, self._unreachable):
            start_s = self._clock()
            try:
                if await store.read_generation(name):
                    return True
            except EXTERNAL_ERRORS as error:
                self._record_error(store_name, error, start_s)
        return False

    async def put(self, name: str, data: bytes) -> bool:
        """Write and commit a block; return False when no store took it."""
        sealed = seal(name, data)
        for store_name, store in self._choose(name, self._unreachable, self._full):
            start_s = self._clock()
            try:
                generation = await store.write(name, sealed)
                await store.commit(name, generation)
                return True
            except EXTERNAL_ERRORS as error:
                self._record_error(store_name, error, start_s)
        return False

    def _choose(self, name: str, *pauses: PauseList) -> Iterator[tuple[str, Store]]:
        stores = self._find_stores()
        open_names = tuple(stores)
        for pause in pauses:
            open_names = pause.exclude_paused(open_names, self._clock())
        return ((choice, stores[choice]) for choice in rank_stores(name, open_names))

    def _record_error(self, store_name: str, error: Exception, start_s: float) -> None:
        now = self._clock()
        match getattr(error, "code", ResultCode.STORE_UNAVAILABLE):
            case ResultCode.BLOCK_INVALID if now - start_s < SLOW_ERROR_S:
                pass
            case ResultCode.STORE_FULL:
                self._full.pause(store_name, now)
            case _:
                # A store that is slow to report an error may be about to fail.
                self._unreachable.pause(store_name, now)


async def _read_checked(store: Store, name: str) -> bytes:
    stored = await store.read(name)
    data = open_block(name, stored)
    # The space may have been freed and reused during the transfer.
    if await store.read_generation(name) != stored.generation:
        raise StoreError(ResultCode.BLOCK_INVALID, "block freed during the read")
    return data
