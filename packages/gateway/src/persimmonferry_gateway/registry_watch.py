"""Watches the registry: one list, then one watch call after the other."""

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import replace

from persimmonferry_core.exceptions import HistoryUnavailable, PlatformError
from persimmonferry_daemon.periodic import BackgroundTask

from persimmonferry_gateway.clocks import read_boot_clock
from persimmonferry_gateway.interfaces import Changes, Registry, Snapshot
from persimmonferry_gateway.shared_calls import SharedCall

__all__ = ["RegistryWatch"]

# Longest wait of one watch call. Upstreams renew their entries about once a second, so
# a call without changes for this long may be on a dead connection.
WATCH_WAIT_S = 1.5
# Upstreams' heartbeats would end each watch call at once; the pause batches them into
# one call. It grows with the fleet, which shares the registry's call limit, up to a
# share of the time within which a configuration must take effect.
MIN_WATCH_PAUSE_S = 0.4
WATCH_PAUSE_PER_ITEM_S = 0.008
MAX_WATCH_PAUSE_S = 0.8
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.8
# After the registry came back from an older copy, all items are read once more when the
# others have written theirs again, or their leases have expired.
REREAD_AFTER_S = 7.0
# Callers wait meanwhile; the registry answers in some milliseconds.
CATCH_UP_TIMEOUT_S = 0.25
ALL_KEYS = ""

_log = logging.getLogger(__name__)


class RegistryWatch:
    """
    Watches all items of the registry.

    A response may wait to be read, for as long as the process is suspended or busy. So
    the state is taken for as old as the call that returned it, not as its reading.

    Its field ``gap_s`` holds the seconds within which the last changes were made,
    including time in which the process was suspended.

    :param apply_snapshot: called with all items; others no longer exist, unless the
        registry was restored from an older copy.
    :param apply_changes: called with the items that changed since.
    :param record_reachable: called with whether the registry responds, on changes.
    """

    def __init__(
        self,
        registry: Registry,
        apply_snapshot: Callable[[Snapshot], None],
        apply_changes: Callable[[Changes], None],
        record_reachable: Callable[[bool], None],
    ) -> None:
        self._registry = registry
        self._apply_snapshot = apply_snapshot
        self._apply_changes = apply_changes
        self._record_reachable = record_reachable
        self._revision: int | None = None
        self._era: int | None = None
        self._reread_s = float("inf")
        self._failures = 0
        # Since a caller waited in vain; the next response ends it.
        self._is_late = False
        self._keys: set[str] = set()
        # Changes made until then have been received.
        self._current_s = float("-inf")
        self.gap_s = float("inf")
        self._background = BackgroundTask(self._run)
        self._present = SharedCall(self._ask_now, read_boot_clock)

    def start(self) -> None:
        """Start watching."""
        self._background.start()

    async def stop(self) -> None:
        """Stop watching and cancel the calls in progress."""
        await self._background.stop()
        await self._present.stop()

    async def _run(self) -> None:
        while True:
            try:
                await self._step()
            except HistoryUnavailable as error:
                _log.warning(
                    "registry history unavailable; reading all items again",
                    extra={"cause": str(error)},
                )
                self._revision = None
            except PlatformError as error:
                await self._back_off(error)
            except Exception:
                _log.exception("registry response could not be applied")
                self._revision = None
                await asyncio.sleep(MAX_BACKOFF_S)

    async def _step(self) -> None:
        asked_s = read_boot_clock()
        if self._revision is None:
            snapshot = await self._registry.list_items(ALL_KEYS)
            self._record_response()
            snapshot = self._mark_restored(snapshot, read_boot_clock())
            self._keys = {item.key for item in snapshot.items}
            self._apply_snapshot(snapshot)
            self._revision = snapshot.revision
            self._current_s = max(self._current_s, asked_s)
            return
        # After an outage all may have changed, also the registry's history.
        wait_s = 0.0 if self._failures else WATCH_WAIT_S
        changes = await self._registry.watch(ALL_KEYS, self._revision, wait_s)
        self._receive(changes, _find_current_time(changes, asked_s, wait_s))
        if read_boot_clock() >= self._reread_s:
            self._revision = None
        await asyncio.sleep(_choose_pause(len(self._keys)))

    def _receive(self, changes: Changes, current_s: float) -> None:
        """Apply the changes that no other call has returned before."""
        if self._revision is None:
            # All items are about to be read again.
            return
        self._record_response()
        items = tuple(item for item in changes.items if item.revision > self._revision)
        for item in items:
            change = self._keys.discard if item.value is None else self._keys.add
            change(item.key)
        self._apply_changes(replace(changes, items=items))
        self._revision = max(self._revision, changes.revision)
        self._current_s = max(self._current_s, current_s)

    @property
    def current_s(self) -> float:
        """Until when changes have been received, on the boot clock."""
        return self._current_s

    async def catch_up(self, until_s: float) -> bool:
        """
        Receive all changes that were made until a time, and return whether this worked.

        While the registry does not respond, this fails at once.
        """
        if self._current_s >= until_s:
            return True
        if self._failures or self._is_late:
            return False
        try:
            async with asyncio.timeout(CATCH_UP_TIMEOUT_S):
                await asyncio.sleep(until_s - read_boot_clock())
                if self._current_s < until_s:
                    await self._present.get(until_s)
        except TimeoutError:
            self._is_late = True
            _log.info("registry not read in time", extra={"for_s": CATCH_UP_TIMEOUT_S})
        return self._current_s >= until_s

    async def _ask_now(self) -> None:
        """Receive the changes until now, beside the watch call that is waiting."""
        revision = self._revision
        if revision is None:
            return
        asked_s = read_boot_clock()
        try:
            changes = await self._registry.watch(ALL_KEYS, revision, 0.0)
            self._receive(changes, asked_s)
        except PlatformError as error:
            # The next watch call meets the same error, and counts it.
            _log.info("registry not read", extra={"cause": str(error)})
        except Exception:
            _log.exception("registry response could not be applied")
            self._revision = None

    def _mark_restored(self, snapshot: Snapshot, now: float) -> Snapshot:
        """Mark the first snapshot of another era, and schedule one more."""
        is_restored = self._era not in (None, snapshot.era)
        if is_restored:
            fields = {"former_era": self._era, "era": snapshot.era}
            _log.warning("registry restored from an older copy", extra=fields)
        self._era = snapshot.era
        self._reread_s = now + REREAD_AFTER_S if is_restored else float("inf")
        return replace(snapshot, is_restored=is_restored)

    def measure_silence(self) -> float:
        """Return for how long changes may not have been received, in seconds."""
        return read_boot_clock() - self._current_s

    def _record_response(self) -> None:
        self.gap_s = read_boot_clock() - self._current_s
        self._is_late = False
        if self._failures:
            _log.warning("registry reachable", extra={"failures": self._failures})
            self._record_reachable(True)
        self._failures = 0

    async def _back_off(self, error: PlatformError) -> None:
        self._failures += 1
        if self._failures == 1:
            _log.warning("registry unreachable", extra={"cause": str(error)})
            self._record_reachable(False)
        ceiling = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2**self._failures)
        await asyncio.sleep(random.uniform(MIN_BACKOFF_S, ceiling))


def _find_current_time(changes: Changes, asked_s: float, wait_s: float) -> float:
    """
    Return until when a watch has certainly received all changes, on the boot clock.

    Changes end the wait at once, so more may have been made since the call was sent. A
    watch without changes has waited in vain.
    """
    if changes.items or read_boot_clock() < asked_s + wait_s:
        return asked_s
    return asked_s + wait_s


def _choose_pause(items: int) -> float:
    """
    Return the pause between two watch calls.

    :param items: that the registry holds.

    >>> _choose_pause(10), _choose_pause(60), _choose_pause(1000)
    (0.4, 0.48, 0.8)
    """
    pause_s = WATCH_PAUSE_PER_ITEM_S * items
    return min(MAX_WATCH_PAUSE_S, max(MIN_WATCH_PAUSE_S, pause_s))
