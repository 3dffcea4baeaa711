"""Handles prompts for model engines: queues, assigns, streams and resumes them."""

import asyncio
import functools

from persimmonferry_core.attempt_budgets import AttemptBudget, choose_prompt_budget
from persimmonferry_core.codes import ResultCode
from persimmonferry_core.deployment import UpstreamRecord
from persimmonferry_core.dispatch import Assignment, PromptRequest, Refused
from persimmonferry_core.exceptions import NotRun
from persimmonferry_core.quarantine import hash_parts
from persimmonferry_core.runs import RunEnd

from persimmonferry_gateway.call_handler import AttemptFailed, CallHandler
from persimmonferry_gateway.call_notes import AttemptProgress
from persimmonferry_gateway.dispatch_document import name_tier

__all__ = ["PromptHandler"]

# Share of the time until the caller gives up that a prompt may wait for an engine; the
# rest is for its first event.
MAX_WAIT_SHARE = 0.75
# After which a prompt may return whose service is none of engines.
NO_ENGINE_RETRY_S = 0.5
# Results of an answer whose connection was lost.
_LOSS_CODES = frozenset((ResultCode.UPSTREAM_LOST, ResultCode.ANSWER_TRUNCATED))


class PromptHandler(CallHandler):
    """Handles a prompt for a model engine."""

    async def _serve(self) -> None:
        context = self._context
        parts = self._find_parts()
        self._check_quarantine()
        await self._find_origin()
        if self._engine is None:
            raise NotRun(ResultCode.NO_UPSTREAM, "", NO_ENGINE_RETRY_S)
        self._queue(context.dispatcher.offer(self._make_request(), self._arrival_s))
        while True:
            assignment = await self._wait_for_assignment(parts)
            await self._prepare_continuation(assignment.upstream)
            self._check_quarantine()
            record = context.cluster.find_record(assignment.upstream)
            now = context.read_clock()
            if context.dispatcher.availability.is_evacuated(assignment.upstream):
                # It was assigned before the evacuation was known, and was not sent.
                answer = context.dispatcher.failed(
                    self._id,
                    False,
                    now,
                    connected=False,
                    withdrawn=True,
                    build=self._build,
                )
                self._queue(answer)
                continue
            if record is None or self._build not in ("", record.build):
                answer = context.dispatcher.failed(
                    self._id, False, now, build=self._build
                )
                self._queue(answer)
                continue
            context.quarantine.record_sent(parts, now)
            context.withdrawals[self._id] = self._withdraw
            try:
                await self._attempt(record, int(assignment.version))
            except AttemptFailed as failure:
                self._report_crash(record, failure)
                self._fail(failure)
                continue
            finally:
                del context.withdrawals[self._id]
            self._finish(assignment.version)
            return

    def _find_parts(self) -> frozenset[int]:
        return super()._find_parts() | self._shared_hashes

    @functools.cached_property
    def _shared_hashes(self) -> frozenset[int]:
        return hash_parts(self._list_shared_parts())

    def _report_crash(self, record: UpstreamRecord, failure: AttemptFailed) -> None:
        """Report an engine that was lost before the first content of an answer."""
        super()._report_crash(record, failure)
        is_begun = self._progress is AttemptProgress.ANSWER_BEGUN
        if failure.ran and is_begun and failure.error.code in _LOSS_CODES:
            for parts in (super()._find_parts(), self._shared_hashes):
                self._report_lost_parts(record, parts)

    def _record_content(self) -> None:
        self._context.dispatcher.started(self._id, self._context.read_clock())
        self._context.crash_reports.report_answer(self._shared_hashes)

    def _fail(self, failure: AttemptFailed) -> None:
        """Queue the call again if it may be retried, otherwise raise its error."""
        self._record_loss(failure)
        now = self._context.read_clock()
        answer = self._context.dispatcher.failed(
            self._id,
            failure.ran,
            now,
            connected=failure.arrived,
            withdrawn=self._is_withdrawn or failure.is_upstream_sound,
            endless=failure.endless,
            resend_s=failure.resend_s,
            build=self._build,
        )
        self._attempts -= 0 if failure.arrived else 1
        is_begun = self._caller.is_head_sent
        if failure.endless and is_begun:
            # What the caller has received need not be a part of its answer.
            raise failure.error
        if failure.ran and not (self._route.is_resumable and self._can_repeat()):
            raise failure.error
        if isinstance(answer, Refused):
            if is_begun or failure.ran:
                raise failure.error
            raise NotRun(answer.code, failure.error.detail, answer.retry_after_s)
        self._queue(answer)

    def _queue(self, answer: object) -> None:
        if isinstance(answer, Refused):
            raise NotRun(answer.code, "", answer.retry_after_s)
        self._context.waiting[self._id] = asyncio.get_running_loop().create_future()
        self._context.schedule_assignment()

    async def _wait_for_assignment(self, parts: frozenset[int]) -> Assignment:
        context = self._context
        context.waiting_parts[self._id] = parts
        try:
            answer = await context.waiting[self._id]
        finally:
            context.waiting.pop(self._id, None)
            context.waiting_parts.pop(self._id, None)
        if isinstance(answer, Refused):
            raise NotRun(answer.code, "", answer.retry_after_s)
        return answer

    def _finish(self, version: str) -> None:
        context = self._context
        prompt = self._call.prompt
        tokens = self._count_answer_tokens()
        end = RunEnd(self._id, version, tokens, prompt.prompt_tokens, 0, "")
        context.dispatcher.finished(self._id, end, context.read_clock())
        context.schedule_assignment()

    def _count_answer_tokens(self) -> int:
        """Estimate the tokens of the answer from the id of its last event."""
        last_id = self._splitter.last_id or ""
        if not last_id.isdecimal():
            return self._call.prompt.max_tokens
        return min(
            self._call.prompt.max_tokens, int(last_id) * self._engine.event_tokens
        )

    def _record_first_event(self) -> None:
        now = self._context.read_clock()
        dispatcher = self._context.dispatcher
        dispatcher.progressed(self._id, 1, now)
        if self.notes.upstreams:
            upstream, names = self.notes.upstreams[-1], self._block_names()
            sizes = tuple(part.tokens for part in self._call.prompt.parts)
            dispatcher.record_held(upstream, names, sizes)
            self._context.queue_held(upstream, names, sizes)

    def _record_return(self, after_s: float) -> None:
        context = self._context
        promise = context.dispatcher.promise_return(
            self._fingerprint, self._find_start_limit(), after_s, context.read_clock()
        )
        if promise is not None:
            context.announce_return(promise)

    def _release(self) -> None:
        now = self._context.read_clock()
        if self._has_upstream_timed_out(now):
            self._context.dispatcher.failed(self._id, True, now)
        self._context.dispatcher.cancel(self._id, self._context.read_clock())
        self._context.schedule_assignment()

    def _make_request(self) -> PromptRequest:
        prompt = self._call.prompt
        return PromptRequest(
            self._id,
            self._account.name if self._account else "",
            name_tier(self._route, self._rank),
            self._service,
            prompt.prompt_tokens,
            prompt.max_tokens,
            self._arrival_s,
            block_names=self._block_names(),
            block_bytes=int(self._engine.token_bytes),
            block_tokens=1,
            block_sizes=tuple(part.tokens for part in prompt.parts),
            caller_deadline_s=self._find_start_limit(),
            build=self._build,
            fingerprint=self._fingerprint,
        )

    def _choose_budget(self, version: int | None, now: float) -> AttemptBudget:
        context, prompt = self._context, self._call.prompt
        stream_s = context.dispatcher.estimate_longest_answer(
            self._service, prompt.max_tokens
        )
        return choose_prompt_budget(
            max(0.0, self._deadline_s - now),
            self._find_answer_timeout(),
            stream_s,
            self._find_start_limit() - now,
            context.find_weights_left(prompt.model, version),
            context.find_weights_limit(),
            self._arrival_s + self._find_silence_limit() - now,
        )

    def _find_start_limit(self) -> float:
        """Return until when the call may wait for an engine."""
        return self._arrival_s + MAX_WAIT_SHARE * self._find_silence_limit()

    def _find_silence_limit(self) -> float:
        """Return after how long without an answer the caller leaves."""
        return min(self._budget_s, self._route.silence_limit_s or self._budget_s)

    def _block_names(self) -> tuple[str, ...]:
        prompt = self._call.prompt
        wanted = self._context.cluster.find_wanted_version(prompt.model)
        scope = self._cache_scope(wanted)
        return tuple(f"{scope}/{part.name}" for part in prompt.parts)
