"""Runs prompts at an agent's engine and streams their answers to entries."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import replace

from persimmonferry_core.answers import Answer, AnswerTable
from persimmonferry_core.codes import ResultCode
from persimmonferry_core.exceptions import FerryError, NotRun, OutcomeUnknown
from persimmonferry_core.interfaces import Engine
from persimmonferry_core.runs import LoadVersion, RunEnd, RunOrder, TokenBatch
from persimmonferry_wire import decode, encode_frame
from persimmonferry_wire.generated.runs.ttypes import EndMark, RunFrame, RunRequest
from tornado.web import RequestHandler

from persimmonferry_daemon.block_transfers import BlockTransferManager
from persimmonferry_daemon.drain import DrainGate
from persimmonferry_daemon.failures import to_failure
from persimmonferry_daemon.periodic import PeriodicTask

__all__ = ["EngineRuns", "RunHandler"]

HEARTBEAT_INTERVAL_S = 0.4
ORPHAN_TIMEOUT_S = 30.0
TRIM_INTERVAL_S = 5.0
VERSION_RETRY_S = 0.5
BUSY_RETRY_S = 0.1

_log = logging.getLogger(__name__)


class EngineRuns:
    """
    All runs of one engine.

    A run belongs to the agent and not to the connection that requested it: when the
    entry that streams the answer fails, another entry can attach to the run.

    :param gate: refuses new runs while the agent is stopping or draining.
    :param find_held: returns the model and the weight version that are loaded.
    :param count_slots: returns how many runs the engine batches.
    """

    def __init__(
        self,
        engine: Engine,
        gate: DrainGate,
        blocks: BlockTransferManager,
        find_held: Callable[[], LoadVersion],
        count_slots: Callable[[], int],
        read_clock: Callable[[], float],
    ) -> None:
        self._engine = engine
        self._gate = gate
        self._blocks = blocks
        self._find_held = find_held
        self._count_slots = count_slots
        self._read_clock = read_clock
        self._answers = AnswerTable()
        self._tasks: set[asyncio.Task] = set()
        self._trimming = PeriodicTask(self._trim, lambda: TRIM_INTERVAL_S)

    def start(self) -> None:
        """Start to remove old answers at intervals."""
        self._trimming.start()

    async def stop(self) -> None:
        """Stop the background work."""
        await self._trimming.stop()

    def attach_or_start(self, request: RunRequest) -> Answer:
        """
        Return the running or finished answer of the request's key, or start a run.

        :raises NotRun: the agent is stopping, or the engine has another version.
        """
        held = self._answers.find(request.answer_key)
        if held is not None:
            return held
        if self._answers.find_run(request.run_id) is not None:
            raise OutcomeUnknown(ResultCode.DUPLICATE_RUN, request.run_id)
        self._check_new_run(request)
        answer = self._answers.open(
            request.answer_key, request.run_id, tuple(request.delivered)
        )
        run = self._run(_read_order(request), answer, request.import_domain)
        task = asyncio.create_task(run)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return answer

    def has_answer(self, answer_key: str) -> bool:
        """Return whether the answer of a key is stored or being generated."""
        return self._answers.find(answer_key) is not None

    async def cancel(self, run_id: str) -> bool:
        """Cancel a run; return whether it was in progress."""
        answer = self._answers.find_run(run_id)
        if answer is None or answer.has_ended:
            return False
        await self._engine.cancel(run_id)
        return True

    async def cancel_orphan(self, answer: Answer) -> None:
        """
        Cancel a run to which no connection is attached any more.

        A run with an answer key continues for ``ORPHAN_TIMEOUT_S`` first, since its
        caller may retry the request.
        """
        if answer.key:
            await asyncio.sleep(ORPHAN_TIMEOUT_S)
        if not answer.is_followed and not answer.has_ended:
            await self._engine.cancel(answer.run_id)

    async def _run(self, order: RunOrder, answer: Answer, import_domain: str) -> None:
        try:
            with self._gate.track_work():
                end = await self._generate(order, answer, import_domain)
                answer.finish(end, self._read_clock())
        except FerryError as error:
            self._blocks.abort_run(order.run_id)
            answer.fail(error, self._read_clock())
        except Exception:
            _log.exception("run failed", extra={"run_id": order.run_id})
            self._blocks.abort_run(order.run_id)
            failure = OutcomeUnknown(ResultCode.INTERNAL_FAULT)
            answer.fail(failure, self._read_clock())
        else:
            await self._blocks.complete_run(order, end)

    async def _generate(
        self, order: RunOrder, answer: Answer, import_domain: str
    ) -> RunEnd:
        result = await self._blocks.prepare(order, self._read_clock(), import_domain)

        def deliver(batch: TokenBatch) -> None:
            self._blocks.finish_prefill(order.run_id)
            _append_batch(answer, batch)

        end = await self._engine.run(order, deliver)
        if end.version != order.version:
            # Marks the block names as tainted before the check below fails the run:
            # their blocks may be of the other version.
            await self._blocks.complete_run(order, end)
        _check_end(order, answer, end)
        return replace(
            end,
            imported_blocks=result.blocks,
            imported_bytes=result.total_bytes,
            import_s=result.elapsed_s,
        )

    def _check_new_run(self, request: RunRequest) -> None:
        refusal = self._gate.find_refusal()
        if refusal is not None:
            raise refusal
        held = self._find_held()
        if held != LoadVersion(request.model, request.version):
            detail = f"{held.model} {held.version}"
            raise NotRun(ResultCode.WRONG_VERSION, detail, VERSION_RETRY_S)
        free = self._count_slots() - len(self._tasks)
        if request.keep_free >= max(free, 0):
            # All runs of the engine start here, so this count is exact, while an
            # entry sees other entries' runs only in reports.
            raise NotRun(ResultCode.UPSTREAM_BUSY, "", BUSY_RETRY_S)

    async def _trim(self) -> None:
        self._answers.trim(self._read_clock())


def _read_order(request: RunRequest) -> RunOrder:
    return RunOrder(
        run_id=request.run_id,
        model=request.model,
        version=request.version,
        adapter=request.adapter,
        prompt=request.prompt,
        max_tokens=request.max_tokens,
        priority=request.priority,
        delivered=tuple(request.delivered),
        block_names=tuple(request.block_names),
        block_tokens=request.block_tokens,
    )


def _append_batch(answer: Answer, batch: TokenBatch) -> None:
    # A gap or a foreign batch leaves the answer short, and the end mark then
    # does not match: the run fails instead of giving a wrong answer.
    if batch.run_id == answer.run_id:
        answer.extend(batch.first_index, batch.tokens)


def _check_end(order: RunOrder, answer: Answer, end: RunEnd) -> None:
    if end.run_id != order.run_id:
        raise OutcomeUnknown(ResultCode.ANSWER_MISMATCHED, "another run's end mark")
    if end.version != order.version:
        raise OutcomeUnknown(ResultCode.ANSWER_MISMATCHED, "another weight version")
    if end.total_tokens != len(answer.tokens):
        detail = f"{len(answer.tokens)} of {end.total_tokens} tokens"
        raise OutcomeUnknown(ResultCode.ANSWER_TRUNCATED, detail)


class RunHandler(RequestHandler):
    """Streams the frames of one answer to an entry."""

    def initialize(self, runs: EngineRuns) -> None:
        """Set the runs that the handler serves."""
        self._runs = runs
        self._answer: Answer | None = None
        self._run_id = ""
        self._sent = 0
        self._is_idle = True
        self._ended = asyncio.Event()
        self._disconnected = False

    def on_connection_close(self) -> None:
        """Stop streaming when the entry disconnects."""
        self._disconnected = True
        self._ended.set()

    async def post(self) -> None:
        """Stream the requested run, which is started if there is none yet."""
        request = decode(RunRequest, self.request.body)
        # With Nagle's algorithm, small frames would wait for the ACK of earlier ones.
        self.request.connection.stream.set_nodelay(True)
        self.set_header("Content-Type", "application/x-thrift-frames")
        self._run_id = request.run_id
        self._sent = len(request.delivered)
        try:
            answer = self._runs.attach_or_start(request)
        except FerryError as error:
            self._send(RunFrame(self._run_id, 0, [], failure=to_failure(error)))
            return
        self._answer = answer
        answer.follow(self._push)
        try:
            self._push()
            await self._send_heartbeats()
        finally:
            answer.unfollow(self._push)
        if self._disconnected and not answer.is_followed:
            await self._runs.cancel_orphan(answer)

    def _push(self) -> None:
        """Send the tokens not sent yet, under the run id of this request."""
        if self._ended.is_set():
            return
        answer = self._answer
        tokens = answer.tokens[self._sent :]
        if answer.has_ended:
            self._send(_last_frame(answer, self._run_id, self._sent, tokens))
            self._ended.set()
        elif tokens:
            self._send(RunFrame(self._run_id, self._sent, tokens))
            self._sent += len(tokens)

    async def _send_heartbeats(self) -> None:
        """Send an empty frame after each interval without one, until the run ends."""
        while not self._ended.is_set():
            self._is_idle = True
            try:
                async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                    await self._ended.wait()
            except TimeoutError:
                if self._is_idle:
                    self._send(RunFrame(self._run_id, self._sent, []))

    def _send(self, frame: RunFrame) -> None:
        self._is_idle = False
        self.write(encode_frame(frame))
        self.flush()


def _last_frame(answer: Answer, run_id: str, sent: int, tokens: list[str]) -> RunFrame:
    if answer.failure is not None:
        return RunFrame(run_id, sent, tokens, failure=to_failure(answer.failure))
    end = answer.end
    mark = EndMark(
        end.version,
        end.total_tokens,
        end.prompt_tokens,
        end.cached_tokens,
        end.finish_reason,
        end.imported_blocks,
        end.imported_bytes,
        end.import_s,
    )
    return RunFrame(run_id, sent, tokens, end=mark)
