"""An in-memory registry that can simulate the failures of a real one."""

import asyncio

from persimmonferry_core.exceptions import (
    HistoryReplaced,
    HistoryUnavailable,
    LeaseEnded,
    PlatformAnswerLost,
    PlatformUnavailable,
    SwapConflict,
)
from persimmonferry_gateway.interfaces import Changes, Item, Snapshot


class FakeRegistry:
    def __init__(self):
        self.items: dict[str, Item] = {}
        self.leases: dict[str, int] = {}
        self.open_leases: set[int] = set()
        self.history: list[Item] = []
        self.revision = 1
        self.era = 1
        self.restored_at = 0
        self.is_unavailable = False
        self.drops_answers = False
        self.oldest = 0
        # For which answers wait to be read.
        self.delay_s = 0.0
        self.calls: list[str] = []
        self._changed = asyncio.Event()

    def put(self, key, value):
        self.revision += 1
        item = Item(key, value, self.revision)
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = item
        self.history.append(item)
        self._changed.set()
        self._changed = asyncio.Event()
        return self.revision

    def restore(self, *keys):
        """Come back from an older copy, with these items only, and without leases."""
        self.era += 1
        self.revision += 1
        self.restored_at = self.revision
        self.items = {key: self.items[key] for key in keys}
        self.leases.clear()
        self.open_leases.clear()
        self._changed.set()
        self._changed = asyncio.Event()

    def expire_lease(self, lease):
        self.open_leases.discard(lease)
        for key, holder in list(self.leases.items()):
            if holder == lease:
                del self.leases[key]
                self.put(key, None)

    def _record_call(self, call):
        self.calls.append(call)
        if self.is_unavailable:
            raise PlatformUnavailable("registry is unavailable")

    async def list_items(self, prefix):
        self._record_call("list")
        snapshot = Snapshot(tuple(self.items.values()), self.revision, self.era)
        await asyncio.sleep(self.delay_s)
        return snapshot

    async def watch(self, prefix, after, wait_s):
        self._record_call("watch")
        self._check_history(after)
        try:
            async with asyncio.timeout(wait_s):
                while after >= self.restored_at and not self._find(after):
                    await self._changed.wait()
        except TimeoutError:
            pass
        self._record_call("watch ends")
        self._check_history(after)
        changes = Changes(self._find(after), self.revision)
        await asyncio.sleep(self.delay_s)
        return changes

    def _check_history(self, after):
        if after < self.restored_at:
            raise HistoryReplaced("lost")
        if after < self.oldest:
            raise HistoryUnavailable("old")

    def _find(self, after):
        return tuple(item for item in self.history if item.revision > after)

    async def write(self, key, value, expected, lease):
        self._record_call("write")
        known = self.items.get(key)
        present = known.revision if known else 0
        if present != expected:
            raise SwapConflict(key, present)
        if lease and lease not in self.open_leases:
            raise LeaseEnded(lease)
        revision = self.put(key, value)
        self.leases[key] = lease
        if self.drops_answers:
            raise PlatformAnswerLost("response dropped")
        return revision

    async def open_lease(self, ttl_s):
        self._record_call("open")
        self.revision += 1
        self.open_leases.add(self.revision)
        return self.revision

    async def renew_lease(self, lease):
        self._record_call("keep")
        if lease not in self.open_leases:
            raise LeaseEnded(lease)

    async def end_lease(self, lease):
        self._record_call("end")
        self.expire_lease(lease)
