"""Imports cache blocks before a run and exports them after it."""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace

from persimmonferry_core.block_imports import (
    ByteBudget,
    ImportContext,
    PendingPrefills,
    StoredHints,
    plan_import,
)
from persimmonferry_core.cache_hints import EngineCacheHints
from persimmonferry_core.eviction import UseHistory
from persimmonferry_core.exceptions import StoreError
from persimmonferry_core.interfaces import Engine, Platform, Store
from persimmonferry_core.runs import EngineLoad, RunEnd, RunOrder
from persimmonferry_core.schema import RoutingWeights

from persimmonferry_daemon.block_sources import BlockSource
from persimmonferry_daemon.block_stores import EXTERNAL_ERRORS
from persimmonferry_daemon.eviction import StoreEvictor

__all__ = ["BlockSettings", "BlockTransferManager", "ImportResult"]

ENGINE_CALL_TIMEOUT_S = 0.5
EVENT_INTERVAL_S = 1.0
EVICTION_INTERVAL_S = 60.0
SHARE_INTERVAL_S = 300.0
IMPORT_WINDOW = 4
MAX_QUEUED_EXPORTS = 1000

_SIZE_SMOOTHING = 0.2

_log = logging.getLogger(__name__)


@dataclass(frozen=True)
class BlockSettings:
    """
    Initial estimates and limits of block transfers.

    :param block_bytes: size of a block until one was transferred.
    :param link_bytes_per_s: rate of the link to the stores until it was measured.
    :param link_price_per_gb: of 10^9 bytes from the stores, in the team's currency.
    :param export_bytes_per_s: limit of the mean rate of exports.
    :param export_burst_bytes: limit of a burst of exports.
    """

    block_bytes: float = 1e6
    link_bytes_per_s: float = 1e8
    link_price_per_gb: float = 0.0
    export_bytes_per_s: float = 2e7
    export_burst_bytes: float = 4e7


@dataclass(frozen=True)
class ImportResult:
    """What was imported before a run, and how long it took."""

    blocks: int = 0
    total_bytes: int = 0
    elapsed_s: float = 0.0


@dataclass(frozen=True)
class _ActiveRun:
    """
    A run that has not ended yet.

    :param held_blocks: leading blocks that were presumably cached at its start.
    :param version_changed: whether the engine has reported another version since.
    """

    names: tuple[str, ...]
    version: str
    held_blocks: int = 0
    version_changed: bool = False
    computed: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(frozen=True)
class _Export:
    name: str
    version: str


class BlockTransferManager:
    """
    Exports an engine's cache blocks to the store VMs and imports them again.

    :param engine: the ``OrderTrackingEngine`` that weights are loaded through, if any.
    :param find_stores: returns the stores of the failure domain by VM name.
    :param holder: identity of this process in leases.
    :param scope: names the stores' team and failure domain in the platform's keys.
    :param find_weights: returns the service's weights of times and link costs.
    :param clock: returns seconds since the epoch, comparable between VMs.
    :param find_remote: returns the stores of another failure domain, by its name.
    """

    def __init__(
        self,
        engine: Engine,
        find_stores: Callable[[], Mapping[str, Store]],
        platform: Platform,
        holder: str,
        scope: str,
        find_weights: Callable[[], RoutingWeights],
        clock: Callable[[], float],
        settings: BlockSettings = BlockSettings(),
        find_remote: Callable[[str], Mapping[str, Store]] | None = None,
    ) -> None:
        self._engine = engine
        self._find_weights = find_weights
        self._clock = clock
        self._settings = settings
        self._find_remote = find_remote
        self._local = self._make_source(find_stores)
        self._remotes: dict[str, BlockSource] = {}
        self._history = UseHistory()
        self._evictor = StoreEvictor(
            find_stores, platform, holder, scope, self._history, clock
        )
        self.cached_blocks = EngineCacheHints()
        self._prefills = PendingPrefills()
        self._active_runs: dict[str, _ActiveRun] = {}
        self._stored_hints = StoredHints()
        self._tainted_versions: set[str] = set()
        self._block_bytes = settings.block_bytes
        self._budget = ByteBudget(
            settings.export_bytes_per_s, settings.export_burst_bytes
        )
        self._exports: asyncio.Queue[_Export] = asyncio.Queue(MAX_QUEUED_EXPORTS)
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Start the background work on the running loop."""
        loops = (
            self._export_forever(),
            self._repeat(self.read_events, EVENT_INTERVAL_S),
            self._repeat(self._evictor.evict, EVICTION_INTERVAL_S),
            self._repeat(self._evictor.share_history, SHARE_INTERVAL_S),
        )
        self._tasks = [asyncio.create_task(loop) for loop in loops]

    async def close(self, grace_s: float) -> None:
        """Stop once the queued exports are sent, or after ``grace_s``."""
        try:
            await asyncio.wait_for(self._exports.join(), grace_s)
        except TimeoutError:
            _log.info("%d queued exports are dropped", self._exports.qsize())
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def prepare(
        self, order: RunOrder, now: float, source_domain: str = ""
    ) -> ImportResult:
        """
        Import blocks that the engine lacks, as far as this costs less than prefill.

        Never fails the run; the caller ends each prepared run by ``complete_run`` or
        ``abort_run``, and calls ``finish_prefill`` at its first token.

        :param now: present time in seconds, by the ``clock`` of this object.
        :param source_domain: failure domain whose stores the entry chose; empty for
            that of the engine.
        """
        if not order.block_names:
            return ImportResult()
        self._history.note(order.block_names[0], now)
        self._prefills.begin(order.run_id, order.block_names, order.priority)
        self._active_runs[order.run_id] = _ActiveRun(order.block_names, order.version)
        try:
            source = self._find_source(source_domain)
            imported = await self._import_missing(order, now, source)
        except EXTERNAL_ERRORS as error:
            _log.warning("run %s: block import failed: %s", order.run_id, error)
            imported = ImportResult()
        held = self.cached_blocks.count_prefix(order.block_names)
        prompt = self._active_runs.get(order.run_id)
        if prompt:
            self._active_runs[order.run_id] = replace(prompt, held_blocks=held)
        return imported

    def _make_source(
        self, find_stores: Callable[[], Mapping[str, Store]]
    ) -> BlockSource:
        settings = self._settings
        return BlockSource(
            find_stores,
            settings.link_bytes_per_s,
            settings.link_price_per_gb,
            self._clock,
        )

    def _find_source(self, domain: str) -> BlockSource:
        if not domain or self._find_remote is None:
            return self._local
        source = self._remotes.get(domain)
        if source is None:
            find_remote = self._find_remote
            source = self._make_source(lambda: find_remote(domain))
            self._remotes[domain] = source
        return source

    async def _import_missing(
        self, order: RunOrder, now: float, source: BlockSource
    ) -> ImportResult:
        load = await self._read_load()
        if not _serves(load, order):
            return ImportResult()
        missing = self._find_missing(order)
        offer = self._make_offer(order, load, len(missing), source)
        computed_s = now + offer.queue_s + offer.missing_blocks * offer.prefill_s
        await self._wait_for_earlier_prefill(order, missing, computed_s)
        missing = self._find_missing(order)
        offer = replace(offer, missing_blocks=len(missing))
        plan = plan_import(offer, self._find_weights(), self._clock())
        planned = missing[: plan.block_count]
        return await self._import_until(order, planned, plan.deadline_s, source)

    async def _read_load(self) -> EngineLoad:
        reading = self._engine.read_load()
        load = await asyncio.wait_for(reading, ENGINE_CALL_TIMEOUT_S)
        for run_id, prompt in self._active_runs.items():
            if prompt.version != load.version:
                self._active_runs[run_id] = replace(prompt, version_changed=True)
        return load

    def _find_missing(self, order: RunOrder) -> tuple[str, ...]:
        return tuple(
            name for name in order.block_names if not self.cached_blocks.holds(name)
        )

    def _make_offer(
        self,
        order: RunOrder,
        load: EngineLoad,
        missing_blocks: int,
        source: BlockSource,
    ) -> ImportContext:
        rate = max(load.prefill_tokens_per_s, 1.0)
        return ImportContext(
            missing_blocks=missing_blocks,
            block_tokens=order.block_tokens,
            block_bytes=self._block_bytes,
            link_bytes_per_s=source.read_rate(),
            prefill_tokens_per_s=rate,
            queue_s=load.waiting_prefill_tokens / rate,
            link_price_per_gb=source.price_per_gb,
        )

    async def _wait_for_earlier_prefill(
        self, order: RunOrder, names: Sequence[str], deadline_s: float
    ) -> None:
        """Wait while earlier runs compute blocks that this one needs."""
        while earlier_id := self._prefills.find_shared(order.run_id, names):
            rest_s = deadline_s - self._clock()
            if rest_s <= 0:
                return
            try:
                await asyncio.wait_for(
                    self._active_runs[earlier_id].computed.wait(), rest_s
                )
            except TimeoutError:
                return

    async def _import_until(
        self,
        order: RunOrder,
        names: Sequence[str],
        deadline_s: float,
        source: BlockSource,
    ) -> ImportResult:
        """Import blocks in order until one is missing or the deadline has passed."""
        imported = 0
        imported_bytes = 0
        start_s = self._clock()
        rest_s = max(0.0, deadline_s - start_s)
        try:
            async with asyncio.timeout(rest_s) as limit:
                for start in range(0, len(names), IMPORT_WINDOW):
                    window = names[start : start + IMPORT_WINDOW]
                    blocks = await self._fetch_window(window, source)
                    for name, data in zip(window, blocks, strict=True):
                        if data is None or not await self._import(order, name, data):
                            elapsed_s = self._clock() - start_s
                            return ImportResult(imported, imported_bytes, elapsed_s)
                        imported += 1
                        imported_bytes += len(data)
        except TimeoutError:
            if not limit.expired():
                raise
            tried = min(len(names), imported + IMPORT_WINDOW)
            source.record_abandoned(tried * self._block_bytes, rest_s)
        return ImportResult(imported, imported_bytes, self._clock() - start_s)

    async def _fetch_window(
        self, names: Sequence[str], source: BlockSource
    ) -> list[bytes | None]:
        start_s = self._clock()
        blocks = await asyncio.gather(*(self._fetch(name, source) for name in names))
        sizes = [len(data) for data in blocks if data is not None]
        if sizes:
            source.record_transfer(sum(sizes), self._clock() - start_s)
            mean_bytes = sum(sizes) / len(sizes)
            self._block_bytes += _SIZE_SMOOTHING * (mean_bytes - self._block_bytes)
        return blocks

    async def _fetch(self, name: str, source: BlockSource) -> bytes | None:
        try:
            data = await source.stores.fetch(name)
        except StoreError:
            if source is self._local:
                self._stored_hints.forget(name)
            return None
        if source is self._local:
            self._stored_hints.note(name, self._clock())
        return data

    async def _import(self, order: RunOrder, name: str, data: bytes) -> bool:
        if not _serves(await self._read_load(), order):
            return False
        await self._engine.import_block(name, data)
        self.cached_blocks.add_assumed([name])
        return True

    def finish_prefill(self, run_id: str) -> None:
        """Record that a run's prompt was computed, at its first token."""
        prompt = self._active_runs.get(run_id)
        if prompt and not prompt.computed.is_set():
            self.cached_blocks.add_assumed(prompt.names)
            self._end_prefill(run_id, prompt)

    def abort_run(self, run_id: str) -> None:
        """Record that a run ended without a complete answer."""
        prompt = self._active_runs.get(run_id)
        if prompt and prompt.version_changed:
            # Without an end mark it is not known which version computed the blocks.
            self._tainted_versions.add(prompt.version)
        self._forget_run(run_id)

    def _forget_run(self, run_id: str) -> None:
        prompt = self._active_runs.pop(run_id, None)
        if prompt:
            self._end_prefill(run_id, prompt)

    def _end_prefill(self, run_id: str, prompt: _ActiveRun) -> None:
        self._prefills.end(run_id)
        prompt.computed.set()

    async def complete_run(self, order: RunOrder, end: RunEnd) -> None:
        """Record a run's complete answer and queue its blocks for export."""
        prompt = self._active_runs.get(order.run_id)
        if end.version != order.version:
            # The engine may have cached blocks of its own version under these names.
            self._tainted_versions.add(order.version)
            self._forget_run(order.run_id)
            return
        if prompt and end.cached_tokens < prompt.held_blocks * order.block_tokens:
            self.cached_blocks.reset()
        self.finish_prefill(order.run_id)
        self._forget_run(order.run_id)
        now = self._clock()
        for name in self._stored_hints.choose_exports(order.block_names, now):
            self._queue_export(_Export(name, order.version), now)

    def _queue_export(self, export: _Export, now: float) -> None:
        if self._exports.full():
            return
        self._stored_hints.note(export.name, now)
        self._exports.put_nowait(export)

    async def _export_forever(self) -> None:
        while True:
            export = await self._exports.get()
            try:
                await self._export(export)
            except EXTERNAL_ERRORS as error:
                self._stored_hints.forget(export.name)
                _log.info("block export failed: %s", error)
            finally:
                self._exports.task_done()

    async def _export(self, export: _Export) -> None:
        if await self._local.stores.holds(export.name):
            return
        if not await self._may_export(export):
            self._stored_hints.forget(export.name)
            return
        data = await self._engine.export_block(export.name)
        await asyncio.sleep(self._budget.reserve(len(data), self._clock()))
        if not await self._local.stores.put(export.name, data):
            self._stored_hints.forget(export.name)

    async def _may_export(self, export: _Export) -> bool:
        """Return False when the block may be of another version or is obsolete."""
        load = await self._read_load()
        if load.loading or load.version != export.version:
            return False
        return not self._is_tainted(export.version)

    def _is_tainted(self, version: str) -> bool:
        """Whether another version may have computed blocks under this one's names."""
        return version in self._tainted_versions or any(
            prompt.version_changed and prompt.version == version
            for prompt in self._active_runs.values()
        )

    async def read_events(self) -> None:
        """Read the engine's version, and apply its cache events published so far."""
        await self._read_load()
        events = await self._engine.read_cache_events(self.cached_blocks.cursor)
        self.cached_blocks.apply(events, self._clock())

    async def _repeat(self, work: Callable[[], Awaitable], interval_s: float) -> None:
        while True:
            # Jitter keeps many processes from sending requests at the same time.
            await asyncio.sleep(interval_s * random.uniform(0.5, 1.5))
            try:
                await work()
            except EXTERNAL_ERRORS as error:
                _log.info("background work failed: %s", error)


def _serves(load: EngineLoad, order: RunOrder) -> bool:
    """Whether the engine has the order's model and version and is not loading."""
    return not load.loading and (load.model, load.version) == (
        order.model,
        order.version,
    )
