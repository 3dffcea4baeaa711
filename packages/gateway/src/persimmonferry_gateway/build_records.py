"""Records in the registry which builds serve, for gateways that start later."""

import asyncio
import json
import logging
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass

from persimmonferry_core.exceptions import LeaseEnded, PlatformError, SwapConflict
from persimmonferry_core.fingerprints import format_hash
from persimmonferry_core.stream_origins import ServiceBuild, hash_stream
from persimmonferry_daemon.periodic import BackgroundTask

from persimmonferry_gateway.interfaces import Item, Registry, Snapshot
from persimmonferry_gateway.registry_items import apply_each

__all__ = ["BuildRecords"]

# The longest lease that the registry gives. A record outlasts its build by what is left
# of it after the last renewal.
LEASE_S = 600.0
RENEWAL_INTERVAL_S = 60.0
RETRY_S = 1.0

_log = logging.getLogger(__name__)


@dataclass(frozen=True)
class _Record:
    """A record in the registry, which is removed at the end of its lease."""

    item: ServiceBuild
    lease: int


class BuildRecords:
    """
    Keeps the registry's records of the builds that serve.

    One gateway writes each record and renews its lease while the build serves. After
    the build has left, the record stays until the lease ends.

    :param prefix: of the keys in the registry.
    :param is_responsible: whether this gateway writes the record of a build.
    """

    def __init__(
        self,
        registry: Registry,
        prefix: str,
        is_responsible: Callable[[ServiceBuild], bool],
    ) -> None:
        self._registry = registry
        self._prefix = prefix
        self._is_responsible = is_responsible
        self._serving: frozenset[ServiceBuild] = frozenset()
        self._records: dict[str, _Record] = {}
        # Keys in use without a record here: it is malformed, or not received yet.
        self._taken: set[str] = set()
        self._is_changed = asyncio.Event()
        self._background = BackgroundTask(self._run)

    def start(self) -> None:
        """Start writing and renewing records."""
        self._background.start()

    async def stop(self) -> None:
        """Stop writing; the records stay for the other gateways."""
        await self._background.stop()

    def list_recorded(self) -> frozenset[ServiceBuild]:
        """Return the builds on record: those that serve, or did until lately."""
        return frozenset(record.item for record in self._records.values())

    def set_serving(self, builds: Mapping[str, frozenset[str]]) -> None:
        """Set the builds that serve in each service."""
        self._serving = frozenset(
            ServiceBuild(service, build)
            for service, found in builds.items()
            for build in found
        )
        if self._list_missing():
            self._is_changed.set()

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the records with those of the registry."""
        self._records.clear()
        self._taken.clear()
        self.apply_items(snapshot.items)

    def apply_items(self, items: Iterable[Item]) -> None:
        """Apply changed items of the registry."""
        own = (item for item in items if item.key.startswith(self._prefix))
        apply_each(own, self._apply_item)

    def _apply_item(self, item: Item) -> None:
        self._records.pop(item.key, None)
        self._taken.discard(item.key)
        if item.value is None:
            return
        try:
            self._records[item.key] = _decode_record(item)
        except (ValueError, TypeError, KeyError, RecursionError) as error:
            cause = {"key": item.key, "cause": repr(error)}
            _log.warning("record of a build malformed", extra=cause)
            self._taken.add(item.key)

    def _list_own(self) -> list[ServiceBuild]:
        return sorted(filter(self._is_responsible, self._serving))

    def _list_missing(self) -> list[ServiceBuild]:
        known = self._records.keys() | self._taken
        return [item for item in self._list_own() if self._key(item) not in known]

    async def _run(self) -> None:
        while True:
            try:
                async with asyncio.timeout(RENEWAL_INTERVAL_S):
                    await self._is_changed.wait()
            except TimeoutError:
                await self._act(self._renew, self._list_own())
            self._is_changed.clear()
            await self._act(self._write, self._list_missing())

    async def _act(
        self,
        act: Callable[[ServiceBuild], Awaitable[None]],
        items: Iterable[ServiceBuild],
    ) -> None:
        """Write or renew records, and try again later when the registry fails."""
        try:
            for item in items:
                await act(item)
        except PlatformError as error:
            fields = {"prefix": self._prefix, "cause": str(error)}
            _log.warning("builds not recorded", extra=fields)
            self._is_changed.set()
            await asyncio.sleep(RETRY_S)

    async def _write(self, item: ServiceBuild) -> None:
        key = self._key(item)
        lease = await self._registry.open_lease(LEASE_S)
        try:
            await self._registry.write(key, _encode_record(item), 0, lease)
        except SwapConflict:
            # Another gateway has recorded it; the watch returns its record.
            self._taken.add(key)
            await self._registry.end_lease(lease)
        else:
            self._records[key] = _Record(item, lease)
            fields = {"service": item.service, "build": item.build}
            _log.info("build recorded", extra=fields)

    async def _renew(self, item: ServiceBuild) -> None:
        record = self._records.get(self._key(item))
        if record is None:
            return
        try:
            await self._registry.renew_lease(record.lease)
        except LeaseEnded:
            # The watch may not have returned the removal yet.
            self._records.pop(self._key(item), None)

    def _key(self, item: ServiceBuild) -> str:
        return self._prefix + format_hash(hash_stream(item.build, item.service))


def _encode_record(item: ServiceBuild) -> bytes:
    return json.dumps({"service": item.service, "build": item.build}).encode()


def _decode_record(item: Item) -> _Record:
    document = json.loads(item.value)
    service, build = document["service"], document["build"]
    if not (isinstance(service, str) and isinstance(build, str)):
        raise ValueError("service and build are not strings")
    return _Record(ServiceBuild(service, build), item.lease)
