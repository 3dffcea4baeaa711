"""A copy of the registry that follows it: one list, then one watch after the other."""

import asyncio
import logging
import random
from collections.abc import Callable

from persimmonferry_core.exceptions import HistoryUnavailable, PlatformError
from persimmonferry_daemon.periodic import BackgroundTask

from persimmonferry_gateway.clocks import read_boot_clock
from persimmonferry_gateway.interfaces import Changes, Registry, Snapshot

__all__ = ["RegistryWatch"]

# Upstreams register every second or so, so a watch that hears nothing for this long
# is renewed: its connection may be silent for good.
WATCH_WAIT_S = 1.5
# Heartbeats would answer each watch at once; the pause gathers them in one call. It
# grows with the fleet, whose calls the registry shares out, up to a part of the time in
# which a configuration has to be in force.
MIN_WATCH_PAUSE_S = 0.4
WATCH_PAUSE_PER_ITEM_S = 0.008
MAX_WATCH_PAUSE_S = 0.8
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.8
ALL_KEYS = ""

_log = logging.getLogger(__name__)


class RegistryWatch:
    """
    Follows all items of the registry.

    Its field ``gap_s`` holds the seconds between its last two answers, suspensions
    included.

    :param apply_snapshot: takes over all items; those not in it are gone.
    :param apply_changes: takes over what changed since.
    :param note_contact: told whether the registry answers, when that changes.
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
        self._failures = 0
        self._keys: set[str] = set()
        self._last_response_s = float("-inf")
        self.gap_s = float("inf")
        self._background = BackgroundTask(self._run)

    def start(self) -> None:
        """Begin to follow."""
        self._background.start()

    async def stop(self) -> None:
        """End, also in the middle of a call."""
        await self._background.stop()

    async def _run(self) -> None:
        while True:
            try:
                await self._step()
            except HistoryUnavailable as error:
                _log.warning("registry history lost", extra={"cause": str(error)})
                self._revision = None
            except PlatformError as error:
                await self._back_off(error)
            except Exception:
                _log.exception("registry answer could not be taken over")
                self._revision = None
                await asyncio.sleep(MAX_BACKOFF_S)

    async def _step(self) -> None:
        if self._revision is None:
            snapshot = await self._registry.list_items(ALL_KEYS)
            self._record_response()
            self._keys = {item.key for item in snapshot.items}
            self._apply_snapshot(snapshot)
            self._revision = snapshot.revision
            return
        changes = await self._registry.watch(ALL_KEYS, self._revision, WATCH_WAIT_S)
        self._record_response()
        for item in changes.items:
            change = self._keys.discard if item.value is None else self._keys.add
            change(item.key)
        self._apply_changes(changes)
        self._revision = max(self._revision, changes.revision)
        await asyncio.sleep(_choose_pause(len(self._keys)))

    def measure_silence(self) -> float:
        """Return the seconds since the registry answered, on the boot clock."""
        return read_boot_clock() - self._last_response_s

    def _record_response(self) -> None:
        now = read_boot_clock()
        self.gap_s, self._last_response_s = now - self._last_response_s, now
        if self._failures:
            _log.warning("registry regained", extra={"failures": self._failures})
            self._record_reachable(True)
        self._failures = 0

    async def _back_off(self, error: PlatformError) -> None:
        self._failures += 1
        if self._failures == 1:
            _log.warning("registry lost", extra={"cause": str(error)})
            self._record_reachable(False)
        ceiling = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2**self._failures)
        await asyncio.sleep(random.uniform(MIN_BACKOFF_S, ceiling))


def _choose_pause(items: int) -> float:
    """
    Return the pause between two watches.

    :param items: that the registry holds.

    >>> _choose_pause(10), _choose_pause(60), _choose_pause(1000)
    (0.4, 0.48, 0.8)
    """
    pause_s = WATCH_PAUSE_PER_ITEM_S * items
    return min(MAX_WATCH_PAUSE_S, max(MIN_WATCH_PAUSE_S, pause_s))
