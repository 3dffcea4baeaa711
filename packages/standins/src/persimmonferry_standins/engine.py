"""Stand-in for a model engine."""

import asyncio
from dataclasses import dataclass
from typing import Any

from persimmonferry_core.codes import ResultCode
from persimmonferry_core.runs import (
    EngineLoad,
    EngineOrder,
    LoadAdapter,
    LoadVersion,
    RunOrder,
)
from tornado.httpclient import AsyncHTTPClient

from persimmonferry_standins.batching import Batch, Rates, Run
from persimmonferry_standins.cache import CacheLog, PrefixCache
from persimmonferry_standins.engine_handlers import (
    RUNS_PATH,
    RunHandler,
    make_engine_routes,
)
from persimmonferry_standins.faults import (
    DropCacheEvents,
    Hang,
)
from persimmonferry_standins.load import LaggedLoad
from persimmonferry_standins.server import LOOPBACK, Route, StandIn

__all__ = ["EngineSettings", "EngineStandIn"]

WEIGHTS_TIMEOUT_S = 600.0


@dataclass(frozen=True)
class EngineSettings:
    """
    Parameters of a simulated model engine.

    :param cache_blocks: capacity of its prefix cache, in blocks.
    :param block_tokens: tokens in one block.
    :param bytes_per_token: size of exported blocks, per token.
    :param event_lag_s: time from a cache event to its publication.
    :param load_lag_s: minimum age of the load that is reported.
    :param weights_s: time to load weights or an adapter without a weight store.
    :param weights_url: base URL of the weight store, empty for none.
    :param fenced: whether it refuses an order whose fencing token is lower than one
        that it received before.
    :param tick_s: interval at which runs advance and emit tokens.
    :param heartbeat_s: longest silence on the stream of a run that emits no tokens.
    """

    model: str = "model"
    version: str = "v1"
    adapters: tuple[str, ...] = ()
    slots: int = 8
    prefill_tokens_per_s: float = 20_000.0
    decode_tokens_per_s: float = 100.0
    cache_blocks: int = 64
    block_tokens: int = 1000
    bytes_per_token: int = 64
    event_lag_s: float = 0.0
    load_lag_s: float = 0.0
    weights_s: float = 0.0
    weights_url: str = ""
    fenced: bool = True
    tick_s: float = 0.02
    heartbeat_s: float = 0.5


class EngineStandIn(StandIn):
    """
    A model engine with simulated compute.

    Counters: ``runs_started``, ``runs_finished``, ``runs_cancelled``,
    ``tokens_generated``, ``prompt_tokens``, ``cached_tokens``, ``corrupt_imports``,
    ``wrong_block_hits``, ``orders_done``, ``orders_refused``.
    """

    def __init__(
        self,
        settings: EngineSettings | None = None,
        port: int = 0,
        host: str = LOOPBACK,
    ) -> None:
        super().__init__(port, host)
        self.settings = settings or EngineSettings()
        self.version = self.settings.version
        self.adapters = set(self.settings.adapters)
        self.log = CacheLog(self.settings.event_lag_s, self._is_dropping_events)
        self.cache = PrefixCache(self.settings.cache_blocks, self.log, self.counters)
        rates = Rates(
            self.settings.slots,
            self.settings.prefill_tokens_per_s,
            self.settings.decode_tokens_per_s,
        )
        self.batch = Batch(rates, self.cache)
        self.handlers: dict[str, RunHandler] = {}
        self._accepted_run_ids: set[str] = set()
        self._highest_fencing = 0
        self._loading = 0
        self._reported_load = LaggedLoad(self.settings.load_lag_s)
        self._work = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    def make_routes(self) -> list[Route]:
        """Return the routes of a model engine."""
        return make_engine_routes(self)

    def make_state(self) -> dict[str, Any]:
        """Return the version and the names of the cached blocks."""
        return {"version": self.version, "blocks": list(self.cache.names)}

    def change_state(self, values: dict[str, Any]) -> None:
        """Evict all blocks on ``{"evict": true}``."""
        if values.get("evict"):
            self.cache.evict_all(self.now())

    def now(self) -> float:
        """Return the event loop's time in seconds."""
        return asyncio.get_running_loop().time()

    async def start(self) -> None:
        """Start to listen, compute, send heartbeats and sample the load."""
        await super().start()
        loops = (self._compute(), self._send_heartbeats(), self._sample_load())
        self._tasks = [asyncio.ensure_future(loop) for loop in loops]

    async def stop(self, grace_s: float = 0.0) -> None:
        """Stop; runs that have not finished within ``grace_s`` are truncated."""
        await super().stop(grace_s)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks = []
        for run in self.batch.runs:
            self.batch.remove(run)

    def find_refusal(self, order: RunOrder) -> ResultCode | None:
        """Return the result code with which an order is refused, or None."""
        if order.run_id in self._accepted_run_ids:
            return ResultCode.DUPLICATE_RUN
        if self._loading or order.version != self.version:
            return ResultCode.WRONG_VERSION
        if order.model != self.settings.model:
            return ResultCode.UPSTREAM_REFUSED
        if order.adapter and order.adapter not in self.adapters:
            return ResultCode.UPSTREAM_REFUSED
        return None

    def submit(self, order: RunOrder, handler: RunHandler) -> Run:
        """Queue a run, whose tokens go to its handler."""
        self._accepted_run_ids.add(order.run_id)
        self.counters["runs_started"] += 1
        self.handlers[order.run_id] = handler
        run = self.batch.submit(order, handler.emit)
        self._work.set()
        return run

    def cancel(self, run_id: str) -> None:
        """Stop a run and close its stream; unknown ids are ignored."""
        handler = self.handlers.get(run_id)
        if handler is not None:
            self.counters["runs_cancelled"] += 1
            handler.end_early(ResultCode.UPSTREAM_REFUSED, "cancelled")

    def remove_run(self, run: Run) -> None:
        """Remove a run and its handler."""
        self.handlers.pop(run.order.run_id, None)
        self.batch.remove(run)

    def read_load(self) -> EngineLoad:
        """Return the load that is reported now, which lags by ``load_lag_s``."""
        if not self.settings.load_lag_s:
            return self._measure_load()
        return self._reported_load.read(self.now()) or self._measure_load()

    async def carry_out(self, order: EngineOrder) -> ResultCode | None:
        """Execute an order, or return the result code of its refusal."""
        if order.fencing < self._highest_fencing and self.settings.fenced:
            self.counters["orders_refused"] += 1
            return ResultCode.FENCING_REFUSED
        self._highest_fencing = max(order.fencing, self._highest_fencing)
        match order.order:
            case LoadVersion(model, version):
                await self._load_weights(model, version)
                self.version = version
            case LoadAdapter(model, adapter):
                await self._fetch_weights(model, adapter)
                self.adapters.add(adapter)
        self.counters["orders_done"] += 1
        return None

    async def _load_weights(self, model: str, version: str) -> None:
        self._loading += 1
        for run in tuple(self.batch.waiting):
            handler = self.handlers[run.order.run_id]
            handler.end_early(ResultCode.WRONG_VERSION, "weights are being loaded")
        try:
            await self._fetch_weights(model, version)
        finally:
            self._loading -= 1

    async def _fetch_weights(self, model: str, name: str) -> None:
        if not self.settings.weights_url:
            await asyncio.sleep(self.settings.weights_s * self.slow_factor)
            return
        url = f"{self.settings.weights_url}/v1/weights/{model}/{name}"
        client = AsyncHTTPClient()
        await client.fetch(url, request_timeout=WEIGHTS_TIMEOUT_S)

    def _is_dropping_events(self) -> bool:
        return self.find_fault(DropCacheEvents) is not None

    def _measure_load(self) -> EngineLoad:
        settings = self.settings
        return EngineLoad(
            model=settings.model,
            version="" if self._loading else self.version,
            running=len(self.batch.running),
            waiting=len(self.batch.waiting),
            waiting_prefill_tokens=self.batch.waiting_prefill_tokens,
            slots=settings.slots,
            prefill_tokens_per_s=settings.prefill_tokens_per_s / self.slow_factor,
            decode_tokens_per_s=settings.decode_tokens_per_s / self.slow_factor,
            loading=self._loading > 0,
        )

    async def _compute(self) -> None:
        before = self.now()
        while True:
            if not self.batch.runs:
                self._work.clear()
                await self._work.wait()
                before = self.now()
            await asyncio.sleep(self.settings.tick_s)
            now = self.now()
            elapsed, before = now - before, now
            if self.find_fault(Hang, RUNS_PATH, "POST") is None:
                self.batch.advance(elapsed / self.slow_factor, now)

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(self.settings.heartbeat_s / 2)
            if self.find_fault(Hang, RUNS_PATH, "POST") is None:
                for handler in tuple(self.handlers.values()):
                    handler.send_heartbeat()

    async def _sample_load(self) -> None:
        if not self.settings.load_lag_s:
            return
        while True:
            self._reported_load.append(self._measure_load(), self.now())
            await asyncio.sleep(self.settings.load_lag_s / 4)
