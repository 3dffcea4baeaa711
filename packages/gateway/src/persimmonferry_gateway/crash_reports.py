"""Reports which calls crashed upstreams, and stores what is quarantined."""

import asyncio
import hashlib
import json
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from persimmonferry_core.exceptions import PlatformError, SwapConflict
from persimmonferry_core.fingerprints import format_hash
from persimmonferry_core.quarantine import (
    RETENTION_S,
    Crash,
    Quarantine,
    QuarantinedParts,
)
from persimmonferry_daemon.periodic import BackgroundTask

from persimmonferry_gateway.call_log import RateLimitedLog
from persimmonferry_gateway.interfaces import Item, Registry, Snapshot
from persimmonferry_gateway.registry_items import apply_each

__all__ = ["CrashReports"]

RETRY_S = 1.0
MAX_REMOVED_KEYS = 256
MAX_ANNOUNCED_PARTS = 4096
MAX_HASH = (1 << 64) - 1

_log = logging.getLogger(__name__)


@dataclass(frozen=True)
class _StoredEntry:
    """
    An entry of the registry.

    :param lease: at whose end it is removed.
    """

    quarantined: QuarantinedParts
    lease: int
    revision: int


class CrashReports:
    """
    Keeps the quarantine of all gateways up to date.

    Crashes are sent to the other gateways at once. Quarantined parts are also stored in
    the registry, as a gateway that starts later received none of the messages.

    :param announce_crash: sends a crash to all other gateways.
    :param announce_sound: sends them parts that are sound.
    :param notify: called when calls may have to be refused that were not before.
    :param prefix: of the keys in the registry.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        registry: Registry,
        prefix: str,
        read_clock: Callable[[], float],
        announce_crash: Callable[[Crash], None],
        announce_sound: Callable[[frozenset[int]], None],
        notify: Callable[[], None],
    ) -> None:
        self._quarantine = quarantine
        self._registry = registry
        self._prefix = prefix
        self._read_clock = read_clock
        self._announce_crash = announce_crash
        self._announce_sound = announce_sound
        self._notify = notify
        self._stored: dict[str, _StoredEntry] = {}
        self._obsolete_leases: set[int] = set()
        # Parts that this gateway announced as sound last, oldest first.
        self._announced: dict[int, None] = {}
        # Keys whose entries were removed last, oldest first.
        self._removed: dict[str, None] = {}
        self._log = RateLimitedLog(_log)
        self._logged: frozenset[QuarantinedParts] = frozenset()
        self._is_changed = asyncio.Event()
        self._background = BackgroundTask(self._store_changes)

    def start(self) -> None:
        """Start storing quarantined parts in the registry."""
        self._background.start()

    async def stop(self) -> None:
        """Stop storing; what is stored stays for the other gateways."""
        await self._background.stop()

    def report_crash(
        self, upstream: str, incarnation: int, parts: frozenset[int], call_id: str
    ) -> None:
        """Report that an upstream was lost when it had begun a call."""
        now = self._read_clock()
        crash = self._quarantine.drop_answered(Crash(upstream, incarnation, parts, now))
        if not self._quarantine.record_crash(crash, now):
            return
        self._log_crash(crash, {"by": "its connection", "call": call_id}, now)
        self._announce_crash(crash)
        self._log_changes()
        self._is_changed.set()
        self._notify()

    def report_answer(self, parts: frozenset[int]) -> None:
        """Report an answer to a call with these parts."""
        if not parts:
            return
        sound = self._quarantine.record_answer(parts, self._read_clock())
        if not sound:
            return
        self._announce_sound(sound)
        self._announced |= dict.fromkeys(sound)
        while len(self._announced) > MAX_ANNOUNCED_PARTS:
            del self._announced[next(iter(self._announced))]
        self._log_changes()
        for entry in self._stored.values():
            if entry.quarantined.parts & sound:
                self._obsolete_leases.add(entry.lease)
        self._is_changed.set()

    def receive(
        self, crashes: tuple[Crash, ...], sound: frozenset[int], sender: str
    ) -> None:
        """Apply what another gateway has observed."""
        now = self._read_clock()
        if sound:
            self._quarantine.record_sound(sound, now)
            self._log_changes()
        is_new = False
        for crash in crashes:
            if self._quarantine.record_crash(crash, now):
                is_new = True
                self._log_crash(crash, {"by": sender}, now)
        if is_new:
            self._log_changes()
            self._notify()

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Replace what is stored with all items of the registry."""
        self._stored.clear()
        if not snapshot.is_restored:
            self.apply_items(snapshot.items)
            return
        # What was released since the copy was made is released again.
        self.apply_items(
            item for item in snapshot.items if item.key not in self._removed
        )
        self._obsolete_leases |= {
            item.lease for item in snapshot.items if item.key in self._removed
        }
        if self._obsolete_leases or self._is_first_to_store():
            self._is_changed.set()

    def apply_items(self, items: Iterable[Item]) -> None:
        """Apply changed items of the registry."""
        own = (item for item in items if item.key.startswith(self._prefix))
        apply_each(own, self._apply_item)

    def count_crashes(self) -> dict[str, int]:
        """Return the number of crashes, by quarantined parts."""
        quarantined = self._quarantine.list_quarantined()
        return {_to_text(item.parts): item.crashes for item in quarantined}

    def _apply_item(self, item: Item) -> None:
        former = self._stored.pop(item.key, None)
        if item.value is None:
            self._record_removed(item.key)
            # Leases may expire in an outage; one gateway stores the parts again.
            if former and self._quarantine.is_first_to_test(former.quarantined.parts):
                self._is_changed.set()
            return
        try:
            entry = _decode_entry(item)
        except (
            ValueError,
            TypeError,
            KeyError,
            OverflowError,
            RecursionError,
        ) as error:
            cause = {"key": item.key, "cause": repr(error)}
            _log.warning("entry of quarantined parts malformed", extra=cause)
            return
        self._stored[item.key] = entry
        self._removed.pop(item.key, None)
        if self._quarantine.restore(entry.quarantined, self._read_clock()):
            self._notify()
        elif entry.quarantined.parts & self._announced.keys():
            # It was being written when this gateway released the parts.
            self._obsolete_leases.add(entry.lease)
            self._is_changed.set()

    def _record_removed(self, key: str) -> None:
        self._removed[key] = None
        if len(self._removed) > MAX_REMOVED_KEYS:
            del self._removed[next(iter(self._removed))]

    def _is_first_to_store(self) -> bool:
        """Whether parts are missing in the registry that this gateway is to store."""
        return any(
            self._prefix + _make_key(item.parts) not in self._stored
            and self._quarantine.is_first_to_test(item.parts)
            for item in self._quarantine.list_quarantined()
        )

    def _log_crash(self, crash: Crash, origin: dict[str, str], now: float) -> None:
        fields = {"upstream": crash.upstream, "parts": _to_text(crash.parts), **origin}
        self._log.write("upstream lost with call", fields, now, is_failure=True)

    def _log_changes(self) -> None:
        quarantined = frozenset(self._quarantine.list_quarantined())
        for item in quarantined - self._logged:
            fields = {"parts": _to_text(item.parts), "crashes": item.crashes}
            _log.warning("parts quarantined", extra=fields)
        known = {item.parts for item in quarantined}
        for item in self._logged:
            if item.parts not in known:
                fields = {"parts": _to_text(item.parts)}
                _log.info("parts released from quarantine", extra=fields)
        self._logged = quarantined

    async def _store_changes(self) -> None:
        while True:
            await self._is_changed.wait()
            self._is_changed.clear()
            try:
                await self._end_obsolete()
                for item in self._quarantine.list_quarantined():
                    await self._store(item)
            except PlatformError as error:
                fields = {"prefix": self._prefix, "cause": str(error)}
                _log.warning("quarantined parts not stored", extra=fields)
                self._is_changed.set()
                await asyncio.sleep(RETRY_S)

    async def _end_obsolete(self) -> None:
        for lease in tuple(self._obsolete_leases):
            await self._registry.end_lease(lease)
            self._obsolete_leases.discard(lease)

    async def _store(self, item: QuarantinedParts) -> None:
        key = self._prefix + _make_key(item.parts)
        known = self._stored.get(key)
        if known is not None and known.quarantined.crashes >= item.crashes:
            return
        lease = await self._registry.open_lease(RETENTION_S)
        expected = known.revision if known else 0
        try:
            await self._registry.write(key, _encode_entry(item, lease), expected, lease)
        except SwapConflict:
            # Another gateway has stored these parts; the watch returns its entry.
            await self._registry.end_lease(lease)


def _to_text(parts: Iterable[int]) -> str:
    """
    Return hashes of parts as text for logs and metrics.

    >>> _to_text((255, -1))
    'ffffffffffffffff,00000000000000ff'
    """
    return ",".join(map(format_hash, sorted(parts)))


def _make_key(parts: Iterable[int]) -> str:
    """Return a key of bounded length for any number of parts."""
    return hashlib.blake2b(_to_text(parts).encode(), digest_size=16).hexdigest()


def _encode_entry(item: QuarantinedParts, lease: int) -> bytes:
    # Gateways of earlier versions read the lease from the value.
    document = {"parts": sorted(item.parts), "crashes": item.crashes, "lease": lease}
    return json.dumps(document).encode()


def _decode_entry(item: Item) -> _StoredEntry:
    document = json.loads(item.value)
    parts = frozenset(int(part) for part in document["parts"])
    if not parts or max(map(abs, parts)) > MAX_HASH >> 1:
        raise ValueError("no parts, or parts that are not hashes")
    quarantined = QuarantinedParts(parts, int(document["crashes"]))
    return _StoredEntry(quarantined, item.lease, item.revision)
