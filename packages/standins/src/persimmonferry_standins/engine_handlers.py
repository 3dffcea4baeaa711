"""HTTP handlers of the engine stand-in."""

import asyncio
import json
from dataclasses import asdict
from typing import TYPE_CHECKING, Any

from persimmonferry_adapters.http_formats import (
    BLOCK_NAME_HEADER,
    OCTETS_TYPE,
    decode_engine_order,
    decode_run_order,
    encode_json,
)
from persimmonferry_core.codes import ResultCode
from persimmonferry_core.runs import RunOrder

from persimmonferry_standins.batching import Run
from persimmonferry_standins.faults import (
    CrossAnswer,
    CutStream,
    DelayAnswer,
    LoseAnswer,
)
from persimmonferry_standins.server import Handler, Route
from persimmonferry_standins.tokens import block_bytes

if TYPE_CHECKING:
    from persimmonferry_standins.engine import EngineStandIn

__all__ = ["RUNS_PATH", "RunHandler", "make_engine_routes"]

RUNS_PATH = "/v1/runs"
STREAM_TYPE = "application/x-ndjson"
REFUSAL_STATUS = 409


def make_engine_routes(standin: "EngineStandIn") -> list[Route]:
    """Return the routes of a model engine."""
    options = {"standin": standin}
    return [
        (RUNS_PATH, RunHandler, options),
        (r"/v1/cancel", _CancelHandler, options),
        (r"/v1/load", _LoadHandler, options),
        (r"/v1/cache_events", _EventsHandler, options),
        (r"/v1/blocks/([^/]+)", _BlockHandler, options),
        (r"/v1/orders", _OrderHandler, options),
    ]


class _EngineHandler(Handler):
    standin: "EngineStandIn"

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


class RunHandler(_EngineHandler):
    """Streams one run: groups of tokens, heartbeats between them and the end mark."""

    def initialize(self, standin: "EngineStandIn") -> None:
        """Set the stand-in that the handler belongs to."""
        super().initialize(standin)
        self._ended = asyncio.Event()
        self._run: Run | None = None
        self._sent_tokens = 0

    async def post(self) -> None:
        """Run the order and return once its stream has ended."""
        try:
            order = decode_run_order(self.request.body)
        except ValueError:
            self.refuse_with(ResultCode.UPSTREAM_REFUSED, "malformed", status=400)
            return
        refusal = self.standin.find_refusal(order)
        if refusal is not None:
            self.refuse_with(refusal, refusal.text)
            return
        self._sent_run_id = self._choose_run_id(order)
        cut = self._take_fault(CutStream)
        self._token_limit = cut.after_tokens if cut else None
        if self._take_fault(LoseAnswer):
            self._token_limit = 0
        delay = self._take_fault(DelayAnswer)
        self._last_line_s = self.standin.now()
        self._silent_until_s = self._last_line_s + (delay.delay_s if delay else 0.0)
        self.set_header("Content-Type", STREAM_TYPE)
        self._run = self.standin.submit(order, self)
        await self._ended.wait()
        await asyncio.sleep(self._silent_until_s - self.standin.now())

    def emit(self, run: Run, tokens: tuple[str, ...], done: bool) -> None:
        """Send a group of tokens and, at the end, the end mark."""
        self.standin.counters["tokens_generated"] += len(tokens)
        if self._token_limit is not None:
            tokens = tokens[: self._token_limit - self._sent_tokens]
        first = len(run.order.delivered) + self._sent_tokens
        self._sent_tokens += len(tokens)
        if tokens:
            self._send({"first": first, "tokens": tokens})
        if self._token_limit is not None and self._sent_tokens >= self._token_limit:
            self._cut()
        elif done:
            self._finish_run(run)

    def send_heartbeat(self) -> None:
        """Send a heartbeat if the stream was silent for half ``heartbeat_s``."""
        silence = self.standin.now() - self._last_line_s
        if silence >= self.standin.settings.heartbeat_s / 2:
            self._send({"heartbeat": True})

    def end_early(self, code: ResultCode, reason: str) -> None:
        """
        End the run without an end mark.

        A run that is still waiting gets a refusal, as it has not run; a batched one
        has run in part.
        """
        if not self._ended.is_set():
            if self._run in self.standin.batch.waiting:
                self._write(_make_refusal(self._sent_run_id, code, reason))
            self._leave_batch()

    def on_connection_close(self) -> None:
        """Cancel the run, as its client closed the connection."""
        super().on_connection_close()
        if self._run is not None and not self._ended.is_set():
            self.standin.counters["runs_cancelled"] += 1
            self._leave_batch()

    def _choose_run_id(self, order: RunOrder) -> str:
        if not self._take_fault(CrossAnswer):
            return order.run_id
        return next(iter(self.standin.handlers), "another-run")

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
        # Closed in a later iteration of the loop, once buffered lines are written.
        asyncio.get_running_loop().call_soon(self.close_connection)

    def _leave_batch(self) -> None:
        self.standin.remove_run(self._run)
        self._ended.set()

    def _send(self, fields: dict[str, Any]) -> None:
        self._write(encode_json({"run_id": self._sent_run_id, **fields}) + b"\n")

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
