"""Prompts at model engines: queued, placed, streamed and resumed."""

import asyncio

from persimmonferry_core.dispatch import Assignment, PromptRequest, Refused
from persimmonferry_core.exceptions import NotRun
from persimmonferry_core.runs import RunEnd

from persimmonferry_gateway.team import name_tier
from persimmonferry_gateway.work import AttemptFailed, CallWork

__all__ = ["PromptWork"]

# Part of a caller's patience that a prompt may wait; the rest is for its first event.
PATIENCE_SHARE = 0.75


class PromptWork(CallWork):
    """Serves a prompt at a model engine."""

    async def _serve(self) -> None:
        tools = self._tools
        self._queue(tools.dispatcher.offer(self._make_request(), self._arrival_s))
        while True:
            assignment = await self._wait_for_place()
            record = tools.roster.find_record(assignment.upstream)
            now = tools.read_clock()
            if record is None:
                self._queue(tools.dispatcher.failed(self._id, False, now))
                continue
            try:
                await self._attempt(record, int(assignment.version))
            except AttemptFailed as failure:
                self._fail(failure)
                continue
            self._finish(assignment.version)
            return

    def _fail(self, failure: AttemptFailed) -> None:
        """Queue the call again where that is allowed, or end it."""
        now = self._tools.read_clock()
        answer = self._tools.dispatcher.failed(
            self._id, failure.ran, now, connected=failure.arrived
        )
        self._attempts -= 0 if failure.arrived else 1
        is_begun = self._caller.has_head
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
        self._tools.waiting[self._id] = asyncio.get_running_loop().create_future()
        self._tools.place()

    async def _wait_for_place(self) -> Assignment:
        try:
            answer = await self._tools.waiting[self._id]
        finally:
            self._tools.waiting.pop(self._id, None)
        if isinstance(answer, Refused):
            raise NotRun(answer.code, "", answer.retry_after_s)
        return answer

    def _finish(self, version: str) -> None:
        tools = self._tools
        prompt = self._call.prompt
        tokens = self._count_answer_tokens()
        end = RunEnd(self._id, version, tokens, prompt.prompt_tokens, 0, "")
        tools.dispatcher.finished(self._id, end, tools.read_clock())
        tools.place()

    def _count_answer_tokens(self) -> int:
        """Return about how many tokens the answer had, by its events."""
        engine = self._tools.roster.deployment.find_service(self._service).engine
        last_id = self._cutter.last_id or ""
        if not last_id.isdecimal():
            return self._call.prompt.max_tokens
        return min(self._call.prompt.max_tokens, int(last_id) * engine.event_tokens)

    def _note_first_event(self) -> None:
        now = self._tools.read_clock()
        dispatcher = self._tools.dispatcher
        dispatcher.started(self._id, now)
        dispatcher.progressed(self._id, 1, now)
        if self.notes.upstreams:
            upstream, names = self.notes.upstreams[-1], self._block_names()
            sizes = tuple(part.tokens for part in self._call.prompt.parts)
            dispatcher.record_held(upstream, names, sizes)
            self._tools.announce_held(upstream, names, sizes)

    def _release(self) -> None:
        now = self._tools.read_clock()
        if self._has_failed_upstream(now):
            self._tools.dispatcher.failed(self._id, True, now)
        self._tools.dispatcher.cancel(self._id, self._tools.read_clock())
        self._tools.place()

    def _make_request(self) -> PromptRequest:
        prompt = self._call.prompt
        engine = self._tools.roster.deployment.find_service(self._service).engine
        return PromptRequest(
            self._id,
            self._account.name if self._account else "",
            name_tier(self._route, self._rank),
            self._service,
            prompt.prompt_tokens,
            prompt.max_tokens,
            self._arrival_s,
            block_names=self._block_names(),
            block_bytes=int(engine.token_bytes),
            block_tokens=1,
            block_sizes=tuple(part.tokens for part in prompt.parts),
            caller_deadline_s=self._arrival_s + self._find_patience(),
        )

    def _find_patience(self) -> float:
        """Return how long the call may wait for its start."""
        silence_s = self._route.silence_limit_s or self._budget_s
        return PATIENCE_SHARE * min(self._budget_s, silence_s)

    def _block_names(self) -> tuple[str, ...]:
        prompt = self._call.prompt
        wanted = self._tools.roster.find_wanted(prompt.model)
        scope = self._name_scope(wanted)
        return tuple(f"{scope}/{part.name}" for part in prompt.parts)
