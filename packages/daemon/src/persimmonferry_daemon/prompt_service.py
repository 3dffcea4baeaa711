"""Runs callers' prompts at upstreams, from admission to the complete answer."""

import asyncio
import hashlib
import logging
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field

from persimmonferry_core.blocks import BLOCK_TOKENS, name_blocks
from persimmonferry_core.bodies import PromptBody
from persimmonferry_core.codes import Ran, ResultCode
from persimmonferry_core.dispatch import Assignment, PromptRequest
from persimmonferry_core.exceptions import FerryError, NotRun, OutcomeUnknown
from persimmonferry_core.membership import ReportedUpstream
from persimmonferry_core.runs import RunEnd, split_tokens
from persimmonferry_core.schema import ClientAccount, Service, TeamDocument
from persimmonferry_wire.generated.runs.ttypes import RunRequest

from persimmonferry_daemon.agent_client import AgentClient
from persimmonferry_daemon.histograms import Histograms, Measure
from persimmonferry_daemon.scheduling import Scheduler
from persimmonferry_daemon.upstream_directory import UpstreamDirectory

__all__ = ["CallerDisconnected", "Prompt", "PromptAnswer", "PromptService"]

DEFAULT_BLOCK_BYTES = 1_000_000

_log = logging.getLogger(__name__)


class CallerDisconnected(Exception):
    """The caller closed its connection before the answer was complete."""


@dataclass
class Prompt:
    """
    One prompt of a caller.

    :param request_id: the caller's ``Idempotency-Key``, or empty.
    :param is_retry: whether the caller marked the request as a retry.
    :param arrived_at: on the monotonic clock.
    :param deliver: called with tokens as they arrive.
    """

    account: ClientAccount
    body: PromptBody
    request_id: str
    is_retry: bool
    arrived_at: float
    deliver: Callable[[list[str]], None]
    task: asyncio.Task | None = field(default=None, init=False)

    def cancel(self) -> None:
        """Cancel the work after the caller disconnected."""
        if self.task is not None:
            self.task.cancel()


@dataclass(frozen=True)
class PromptAnswer:
    """The complete answer to a prompt."""

    text: str
    end: RunEnd


class PromptService:
    """
    Runs prompts at upstreams, with retries, until each answer is complete.

    :param read_document: returns the document in force.
    """

    def __init__(
        self,
        read_document: Callable[[], TeamDocument],
        scheduler: Scheduler,
        upstreams: UpstreamDirectory,
        agents: AgentClient,
        histograms: Histograms,
    ) -> None:
        self._read_document = read_document
        self._scheduler = scheduler
        self._upstreams = upstreams
        self._agents = agents
        self._histograms = histograms
        self._cancels: set[asyncio.Task] = set()
        self._block_bytes: dict[str, float] = {}

    async def run(self, prompt: Prompt) -> PromptAnswer:
        """
        Return the complete answer.

        :raises FerryError: the request was refused or failed; its code says how.
        :raises CallerDisconnected: the caller closed its connection.
        """
        document = self._read_document()
        service = document.find_service(prompt.body.service)
        tier = _find_tier(document, prompt.body.tier)
        block_bytes = self._block_bytes.get(service.name, DEFAULT_BLOCK_BYTES)
        work = _Work(prompt, service, tier, int(block_bytes))
        prompt.task = asyncio.ensure_future(self._run(work))
        try:
            return await prompt.task
        except asyncio.CancelledError:
            self._abort(work)
            raise CallerDisconnected from None
        except FerryError as error:
            self._record(work, Measure.REFUSAL)
            _log.info(
                "prompt not answered",
                extra={
                    "request": work.name,
                    "account": prompt.account.name,
                    "code": error.code.number,
                },
            )
            raise

    async def _run(self, work: "_Work") -> PromptAnswer:
        holder = await self._find_existing_run(work)
        if holder is not None:
            end = await self._attach(work, holder)
            if end is not None:
                return self._complete_answer(work, end)
        assignment = await self._scheduler.admit(work.request)
        self._record(work, Measure.QUEUE_WAIT)
        while True:
            end = await self._attempt(work, assignment)
            if end is not None:
                self._record_import(work, assignment, end)
                self._scheduler.finish(work.name, end)
                return self._complete_answer(work, end)
            assignment = await self._retry(work)

    def _record_import(
        self, work: "_Work", assignment: Assignment, end: RunEnd
    ) -> None:
        """Record the block size and the link throughput observed in an import."""
        if not end.imported_blocks:
            return
        self._block_bytes[work.service.name] = end.imported_bytes / end.imported_blocks
        upstream = self._upstreams.find(assignment.upstream)
        if assignment.plan is not None and upstream is not None:
            self._scheduler.record_import(
                assignment.plan.source_domain,
                upstream.report.failure_domain,
                end.imported_bytes,
                end.import_s,
            )

    async def _attempt(self, work: "_Work", assignment: Assignment) -> RunEnd | None:
        """Run one attempt; return None when it failed and may be retried elsewhere."""
        upstream = self._upstreams.find(assignment.upstream)
        if upstream is None:
            work.failure = NotRun(ResultCode.NO_UPSTREAM, "", 0.5)
            return None
        request = work.make_run_request(assignment.version)
        request.priority = assignment.priority
        request.keep_free = assignment.keep_free
        request.import_domain = assignment.plan.source_domain if assignment.plan else ""
        work.current_upstream = upstream
        work.run_id = request.run_id
        try:
            end = await self._agents.run(
                upstream.address, request, lambda tokens: self._deliver(work, tokens)
            )
        except FerryError as error:
            self._record_failure(work, upstream, error)
            return None
        work.current_upstream = None
        return end

    async def _retry(self, work: "_Work") -> Assignment:
        """
        Return the next assignment, or raise the error that ends the request.

        A prompt may run again: the tokens already delivered are sent along, and the
        next attempt continues after them.
        """
        ran = work.may_have_run
        if work.failure.code is ResultCode.UPSTREAM_BUSY:
            return await self._scheduler.requeue(work.name)
        try:
            return await self._scheduler.retry(work.name, ran=ran)
        except NotRun as refusal:
            if not ran:
                raise
            last = work.failure
            raise OutcomeUnknown(
                last.code, last.detail, refusal.retry_after_s
            ) from refusal

    def _record_failure(
        self, work: "_Work", upstream: ReportedUpstream, error: FerryError
    ) -> None:
        work.failure = error
        work.current_upstream = None
        if error.code.ran is not Ran.NO:
            work.may_have_run = True
            self._cancel_run(upstream, work.run_id)
        if error.code in _SUSPECT_CODES:
            report = upstream.report
            self._upstreams.suspect(report.name, report.incarnation)

    async def _find_existing_run(self, work: "_Work") -> ReportedUpstream | None:
        """
        Return the upstream that runs, or ran, the same request of this caller.

        The entry that received the request first may have failed. Its state is not
        replicated but reconstructed by querying the agents.
        """
        if not work.prompt.is_retry or not work.answer_key:
            return None
        reported = self._upstreams.list_service(work.service.name)
        known = await asyncio.gather(
            *(
                self._agents.has_answer(presence.address, work.answer_key)
                for presence in reported
            )
        )
        holders = (item for item, has in zip(reported, known, strict=True) if has)
        return next(holders, None)

    async def _attach(self, work: "_Work", holder: ReportedUpstream) -> RunEnd | None:
        """Attach to a run that an earlier request of this caller started."""
        request = work.make_run_request(holder.report.version)
        try:
            return await self._agents.run(
                holder.address, request, lambda tokens: self._deliver(work, tokens)
            )
        except FerryError as error:
            work.may_have_run = error.code.ran is not Ran.NO
            work.failure = error
            return None

    def _deliver(self, work: "_Work", tokens: list[str]) -> None:
        first = not work.tokens
        now = time.monotonic()
        if first:
            self._record(work, Measure.FIRST_TOKEN)
        else:
            gap_s = now - work.last_tokens_at
            self._record_duration(work, Measure.BETWEEN_TOKENS, gap_s)
        work.last_tokens_at = now
        work.tokens += tokens
        self._scheduler.record_progress(work.name, len(tokens), first=first)
        work.prompt.deliver(tokens)

    def _complete_answer(self, work: "_Work", end: RunEnd) -> PromptAnswer:
        self._record(work, Measure.WHOLE_ANSWER)
        return PromptAnswer("".join(work.tokens), end)

    def _abort(self, work: "_Work") -> None:
        self._scheduler.cancel(work.name)
        if work.current_upstream is not None and not work.answer_key:
            self._cancel_run(work.current_upstream, work.run_id)

    def _cancel_run(self, upstream: ReportedUpstream, run_id: str) -> None:
        task = asyncio.ensure_future(self._agents.cancel(upstream.address, run_id))
        self._cancels.add(task)
        task.add_done_callback(self._cancels.discard)

    def _record(self, work: "_Work", measure: Measure) -> None:
        elapsed_s = time.monotonic() - work.prompt.arrived_at
        self._record_duration(work, measure, elapsed_s)

    def _record_duration(
        self, work: "_Work", measure: Measure, duration_s: float
    ) -> None:
        account = work.prompt.account.name
        self._histograms.record(account, work.request.tier, measure, duration_s)


_SUSPECT_CODES = frozenset(
    {
        ResultCode.NO_UPSTREAM,
        ResultCode.STOPPING,
        ResultCode.UPSTREAM_LOST,
        ResultCode.WRONG_VERSION,
    }
)


class _Work:
    """State of one prompt in progress."""

    def __init__(
        self, prompt: Prompt, service: Service, tier: str, block_bytes: int
    ) -> None:
        self.prompt = prompt
        self.service = service
        self.name = uuid.uuid4().hex
        self.tokens: list[str] = []
        self.last_tokens_at = 0.0
        self.failure: FerryError | None = None
        self.may_have_run = False
        self.current_upstream: ReportedUpstream | None = None
        self.run_id = ""
        self.answer_key = _make_answer_key(prompt)
        self._attempts = 0
        self._block_bytes = block_bytes
        self._tokens = split_tokens(prompt.body.prompt)
        self.request = self._make_request(tier)

    def _make_request(self, tier: str) -> PromptRequest:
        body = self.prompt.body
        return PromptRequest(
            request_id=self.name,
            account=self.prompt.account.name,
            tier=tier,
            service=self.service.name,
            prompt_tokens=len(self._tokens),
            max_tokens=body.max_tokens,
            arrival_s=self.prompt.arrived_at,
            block_names=self._name_blocks(self.service.version),
            block_bytes=self._block_bytes,
            block_tokens=BLOCK_TOKENS,
        )

    def _name_blocks(self, version: str) -> tuple[str, ...]:
        return name_blocks(
            self.prompt.account.cache_secret,
            self.service.model,
            version,
            self.service.adapter,
            self._tokens,
        )

    def make_run_request(self, version: str) -> RunRequest:
        """
        Return the request for the next attempt, with a new run id.

        :param version: weight version of the upstream; block names depend on it.
        """
        self._attempts += 1
        names = self.request.block_names
        if version != self.service.version:
            names = self._name_blocks(version)
        return RunRequest(
            run_id=f"{self.name}-{self._attempts}",
            service_name=self.service.name,
            model=self.service.model,
            version=version,
            adapter=self.service.adapter,
            prompt=self.prompt.body.prompt,
            max_tokens=self.prompt.body.max_tokens,
            priority=0,
            delivered=list(self.tokens),
            block_names=list(names),
            block_tokens=BLOCK_TOKENS,
            answer_key=self.answer_key,
            keep_free=-1,
            import_domain="",
        )


def _make_answer_key(prompt: Prompt) -> str:
    """
    Return the key under which an agent stores the answer for the caller's retry.

    It is derived from the account's secret, so that no other account can request
    the answer.
    """
    if not prompt.request_id:
        return ""
    body = prompt.body
    digest = hashlib.blake2b(prompt.account.cache_secret.encode(), digest_size=24)
    parts = (prompt.request_id, body.service, str(body.max_tokens), body.prompt)
    for part in parts:
        data = part.encode()
        digest.update(len(data).to_bytes(8, "big") + data)
    return digest.hexdigest()


def _find_tier(document: TeamDocument, name: str) -> str:
    """
    Return the tier's name; the first one of the document when the caller named none.

    :raises NotRun: there is no such tier.
    """
    if not name:
        return document.tiers[0].name
    if document.find_tier(name) is None:
        raise NotRun(ResultCode.UNKNOWN_TIER, repr(name[:64]))
    return name
