"""Stand-in for a model engine."""

import asyncio
import json
from collections import deque
from dataclasses import asdict, dataclass
from typing import Any

from persimmonferry_adapters.forms import (
    BLOCK_NAME_HEADER,
    OCTETS_TYPE,
    decode_engine_order,
    decode_run_order,
    encode_json,
)
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
from persimmonferry_standins.faults import (
    CrossAnswer,
    CutStream,
    DelayAnswer,
    DropCacheEvents,
    Hang,
    LoseAnswer,
)
from persimmonferry_standins.server import LOOPBACK, Handler, Route, StandIn
from persimmonferry_standins.tokens import block_bytes

__all__ = ["EngineSettings", "EngineStandIn"]

RUNS_PATH = "/v1/runs"
STREAM_TYPE = "application/x-ndjson"
WEIGHTS_TIMEOUT_S = 600.0
REFUSAL_STATUS = 409


@dataclass(frozen=True)
class EngineSettings:
    """
    What a model engine is like.

    :param cache_blocks: blocks that fit into its memory.
    :param block_tokens: tokens in one block.
    :param bytes_per_token: size of exported blocks.
    :param event_lag_s: time from a cache event to its publication.
    :param load_lag_s: age of the load that is reported.
    :param weights_s: time to load weights or an adapter without a weight store.
    :param weights_url: base URL of the weight store, empty for none.
    :param fenced: whether it refuses an order with an old fencing number.
    :param tick_s: time between two groups of tokens.
    :param heartbeat_s: longest silence of a run that waits.
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


@dataclass(frozen=True)
class _LoadSample:
    taken_s: float
    load: EngineLoad


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
        self.log = CacheLog(self.settings.event_lag_s)
        self.cache = PrefixCache(self.settings.cache_blocks, self.log, self.counters)
        rates = Rates(
            self.settings.slots,
            self.settings.prefill_tokens_per_s,
            self.settings.decode_tokens_per_s,
        )
        self.batch = Batch(rates, self.cache)
        self.handlers: dict[str, _RunHandler] = {}
        self._seen: set[str] = set()
        self._highest_fencing = 0
        self._loading = 0
        self._samples: deque[_LoadSample] = deque()
        self._work = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    def make_routes(self) -> list[Route]:
        """Return the routes of a model engine."""
        options = {"standin": self}
        return [
            (RUNS_PATH, _RunHandler, options),
            (r"/v1/cancel", _CancelHandler, options),
            (r"/v1/load", _LoadHandler, options),
            (r"/v1/cache_events", _EventsHandler, options),
            (r"/v1/blocks/([^/]+)", _BlockHandler, options),
            (r"/v1/orders", _OrderHandler, options),
        ]

    def make_state(self) -> dict[str, Any]:
        """Return the version and the names of the cached blocks."""
        return {"version": self.version, "blocks": list(self.cache.names)}

    def change_state(self, values: dict[str, Any]) -> None:
        """Evict all blocks on ``{"evict": true}``."""
        if values.get("evict"):
            self.cache.evict_all(self.now())

    def now(self) -> float:
        """The present time of the loop."""
        return asyncio.get_running_loop().time()

    async def start(self) -> None:
        """Listen and compute."""
        await super().start()
        loops = (self._compute(), self._send_heartbeats(), self._sample_load())
        self._tasks = [asyncio.ensure_future(loop) for loop in loops]

    async def stop(self, grace_s: float = 0.0) -> None:
        """Stop; runs that are not done within ``grace_s`` are cut."""
        await super().stop(grace_s)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks = []
        for run in self.batch.runs:
            self.batch.remove(run)

    def find_refusal(self, order: RunOrder) -> ResultCode | None:
        """Return why the engine can't run an order, or None."""
        if order.run_id in self._seen:
            return ResultCode.DUPLICATE_RUN
        if self._loading or order.version != self.version:
            return ResultCode.WRONG_VERSION
        if order.model != self.settings.model:
            return ResultCode.UPSTREAM_REFUSED
        if order.adapter and order.adapter not in self.adapters:
            return ResultCode.UPSTREAM_REFUSED
        return None

    def submit(self, order: RunOrder, handler: "_RunHandler") -> Run:
        """Start a run."""
        self._seen.add(order.run_id)
        self.counters["runs_started"] += 1
        self.log.dropping = self.find_fault(DropCacheEvents) is not None
        self.handlers[order.run_id] = handler
        run = self.batch.submit(order, handler.emit)
        self._work.set()
        return run

    def cancel(self, run_id: str) -> None:
        """Stop a run and close its stream."""
        handler = self.handlers.get(run_id)
        if handler is not None:
            self.counters["runs_cancelled"] += 1
            handler.end_early(ResultCode.UPSTREAM_REFUSED, "cancelled")

    def forget(self, run: Run) -> None:
        """Take a run out of the batch."""
        self.handlers.pop(run.order.run_id, None)
        self.batch.remove(run)

    def read_load(self) -> EngineLoad:
        """Return the load as it is reported now."""
        if not self.settings.load_lag_s:
            return self._measure_load()
        limit = self.now() - self.settings.load_lag_s
        while len(self._samples) > 1 and self._samples[1].taken_s <= limit:
            self._samples.popleft()
        return self._samples[0].load

    async def carry_out(self, order: EngineOrder) -> ResultCode | None:
        """Carry out an order, or return why it is refused."""
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
            self._samples.append(_LoadSample(self.now(), self._measure_load()))
            await asyncio.sleep(self.settings.load_lag_s / 4)


class _EngineHandler(Handler):
    standin: EngineStandIn

    def refuse(self) -> None:
        self.refuse_with(ResultCode.UPSTREAM_REFUSED, "refused", status=503)

    def refuse_with(
        self, code: ResultCode, reason: str, status: int = REFUSAL_STATUS
    ) -> None:
        try:
            fields = json.loads(self.request.body)
            run_id = fields.get("run_id", "")
        except (ValueError, AttributeError):
            run_id = ""
        self.set_status(status)
        self.finish(_make_refusal(run_id, code, reason))


def _make_refusal(run_id: str, code: ResultCode, reason: str) -> bytes:
    refused = {"code": code.number, "reason": reason, "retry_after_s": 1.0}
    return encode_json({"run_id": run_id, "refused": refused}) + b"\n"


class _RunHandler(_EngineHandler):
    async def post(self) -> None:
        try:
            order = decode_run_order(self.request.body)
        except ValueError:
            self.refuse_with(ResultCode.UPSTREAM_REFUSED, "malformed", status=400)
            return
        refusal = self.standin.find_refusal(order)
        if refusal is not None:
            self.refuse_with(refusal, refusal.text)
            return
        self._order = order
        self._ended = asyncio.Event()
        self._shown_run_id = self._choose_run_id()
        cut = self._take(CutStream)
        self._cut_after = cut.after_tokens if cut else None
        if self._take(LoseAnswer):
            self._cut_after = 0
        late = self._take(DelayAnswer)
        self._silent_until_s = self.standin.now() + (late.delay_s if late else 0.0)
        self._last_line_s = self.standin.now()
        self._sent_tokens = 0
        self.set_header("Content-Type", STREAM_TYPE)
        self._run = self.standin.submit(order, self)
        await self._ended.wait()
        await asyncio.sleep(self._silent_until_s - self.standin.now())

    def emit(self, run: Run, tokens: tuple[str, ...], done: bool) -> None:
        """Send a group of tokens and, at the end, the end mark."""
        self.standin.counters["tokens_generated"] += len(tokens)
        if self._cut_after is not None:
            tokens = tokens[: self._cut_after - self._sent_tokens]
        first = len(run.order.delivered) + self._sent_tokens
        self._sent_tokens += len(tokens)
        if tokens:
            self._send({"first": first, "tokens": tokens})
        if self._cut_after is not None and self._sent_tokens >= self._cut_after:
            self._cut()
        elif done:
            self._finish_run(run)

    def send_heartbeat(self) -> None:
        """Show that the run is alive if nothing else did."""
        silence = self.standin.now() - self._last_line_s
        if silence >= self.standin.settings.heartbeat_s / 2:
            self._send({"heartbeat": True})

    def end_early(self, code: ResultCode, reason: str) -> None:
        """End the run without an end mark; only a run that waits was not run."""
        if not self._ended.is_set():
            if self._run in self.standin.batch.waiting:
                self._write(_make_refusal(self._shown_run_id, code, reason))
            self._leave_batch()

    def on_connection_close(self) -> None:
        """Stop the run; its caller has gone."""
        super().on_connection_close()
        if hasattr(self, "_run") and not self._ended.is_set():
            self.standin.counters["runs_cancelled"] += 1
            self._leave_batch()

    def _choose_run_id(self) -> str:
        if not self._take(CrossAnswer):
            return self._order.run_id
        others = (run_id for run_id in self.standin.handlers)
        return next(others, "another-run")

    def _finish_run(self, run: Run) -> None:
        counters = self.standin.counters
        counters["runs_finished"] += 1
        counters["prompt_tokens"] += run.prompt_tokens
        counters["cached_tokens"] += run.cached_tokens
        end = {
            "version": run.order.version,
            "total_tokens": run.next_index,
            "prompt_tokens": run.prompt_tokens,
            "cached_tokens": run.cached_tokens,
            "finish_reason": "length",
        }
        self._send({"end": end})
        self._leave_batch()

    def _cut(self) -> None:
        self._auto_finish = False
        self._leave_batch()
        # The loop first writes out what was sent before.
        asyncio.get_running_loop().call_soon(self.close_connection)

    def _leave_batch(self) -> None:
        self.standin.forget(self._run)
        self._ended.set()

    def _send(self, fields: dict[str, Any]) -> None:
        self._write(encode_json({"run_id": self._shown_run_id, **fields}) + b"\n")

    def _write(self, line: bytes) -> None:
        now = self.standin.now()
        self._last_line_s = now
        self.write(line)
        if now >= self._silent_until_s:
            self.flush()


class _CancelHandler(_EngineHandler):
    async def post(self) -> None:
        self.standin.cancel(json.loads(self.request.body)["run_id"])
        await self.answer_json({})


class _LoadHandler(_EngineHandler):
    async def get(self) -> None:
        await self.answer_json(asdict(self.standin.read_load()))


class _EventsHandler(_EngineHandler):
    async def get(self) -> None:
        after = int(self.get_query_argument("after", "0"))
        events = self.standin.log.read(after, self.standin.now())
        await self.answer_json(
            {
                "events": [
                    {
                        "sequence": event.sequence,
                        "kind": event.kind.value,
                        "block": event.block_name,
                    }
                    for event in events
                ]
            }
        )


class _BlockHandler(_EngineHandler):
    async def get(self, name: str) -> None:
        if name not in self.standin.cache:
            await self.answer(status=404)
            return
        self.standin.counters["blocks_exported"] += 1
        self.set_header("Content-Type", OCTETS_TYPE)
        self.set_header(BLOCK_NAME_HEADER, name)
        await self.answer(block_bytes(name, self._block_size()))

    async def put(self, name: str) -> None:
        standin = self.standin
        standin.counters["blocks_imported"] += 1
        if self.request.body != block_bytes(name, self._block_size()):
            standin.counters["corrupt_imports"] += 1
        standin.log.dropping = standin.find_fault(DropCacheEvents) is not None
        standin.cache.store(name, "", standin.now())
        await self.answer()

    def _block_size(self) -> int:
        settings = self.standin.settings
        return settings.block_tokens * settings.bytes_per_token


class _OrderHandler(_EngineHandler):
    async def post(self) -> None:
        order = decode_engine_order(self.request.body)
        refusal = await self.standin.carry_out(order)
        if refusal is not None:
            self.refuse_with(refusal, refusal.text)
            return
        await self.answer_json({})
