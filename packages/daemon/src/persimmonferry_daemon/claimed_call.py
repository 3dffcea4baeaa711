"""
Runs one non-idempotent call under a claim.

The compare-and-swap that makes a claim the current one of its key permits this
process to send the claim's attempt once. The next claim requires a proof that the
attempt has not run and never will. Each of these is a proof: this process owns the
claim and has not sent the attempt; no byte of the attempt left the process; the agent
refused it, or fenced it on request.
"""

import itertools
from collections.abc import Callable

from persimmonferry_core.attempts import (
    Answered,
    Attempt,
    AttemptOutcome,
    AttemptState,
    Finished,
    Lost,
    NeverSeen,
    Refused,
    Running,
)
from persimmonferry_core.codes import ResultCode
from persimmonferry_core.exceptions import NotRun, OutcomeUnknown, RanBefore
from persimmonferry_core.idempotency import digest_body
from persimmonferry_core.journal import Claim, JournalEntry, SegmentLocation
from persimmonferry_core.retries import RetryBudget
from persimmonferry_core.runs import CallAnswer
from persimmonferry_wire.generated.runs.ttypes import CallRequest

from persimmonferry_daemon.agent_links import (
    AgentHandle,
    Agents,
    PlainRequest,
    build_call,
)
from persimmonferry_daemon.attempt_executor import decode_reply, decode_state
from persimmonferry_daemon.claims import ClaimJournal
from persimmonferry_daemon.liveness import call_with_liveness_probes

__all__ = ["ClaimedCall"]

START_WINDOW_S = 5.0
RETRY_AFTER_S = 1.0


class ClaimedCall:
    """
    Runs one request at most once; retries only attempts that provably did not run.

    :param location: journal segment of the key.
    """

    def __init__(
        self,
        *,
        request: PlainRequest,
        location: SegmentLocation,
        key_digest: str,
        claims: ClaimJournal,
        agents: Agents,
        budget: RetryBudget,
        read_clock: Callable[[], float],
        create_run_id: Callable[[], str],
    ) -> None:
        self._request = request
        self._location = location
        self._key_digest = key_digest
        self._claims = claims
        self._agents = agents
        self._budget = budget
        self._read_clock = read_clock
        self._create_run_id = create_run_id
        self._body_digest = digest_body(
            request.service.name,
            request.method,
            request.path,
            request.content_type,
            request.body,
        )
        self._excluded: frozenset[str] = frozenset()
        self._not_run_claim: Claim | None = None
        self._refusal: Refused | None = None

    async def run(self) -> CallAnswer:
        """
        Return the answer of the request's only run.

        :raises NotRun: this call started nothing, and nothing will start for it.
        :raises OutcomeUnknown: it may have run.
        :raises RanBefore: it still runs, or its answer is no longer stored.
        """
        try:
            return await self._run()
        except NotRun:
            if self._not_run_claim is not None and self._refusal is not None:
                self._claims.record(self._location, self._not_run_claim, self._refusal)
            raise

    async def _run(self) -> CallAnswer:
        for attempts in itertools.count(1):
            answer = await self._claim_and_attempt()
            if answer is not None:
                return answer
            # An attempt that gets here provably did not run.
            if self._budget.allow(attempts, self._read_clock(), ran=False) is None:
                raise self._build_refusal()

    async def _claim_and_attempt(self) -> CallAnswer | None:
        try:
            handle = self._choose()
        except NotRun as error:
            return await self._resolve_without_upstream(error)
        claim = self._build_claim(handle)
        replaces = self._not_run_claim.run_id if self._not_run_claim is not None else ""
        try:
            entry = await self._claims.claim(self._location, claim, replaces)
        except NotRun as error:
            return await self._resolve_cached(error)
        if entry.claim.run_id == claim.run_id:
            return await self._attempt(claim)
        return await self._resolve_entry(entry)

    def _choose(self) -> AgentHandle:
        now = self._read_clock()
        return self._agents.choose(self._request.service, self._excluded, now)

    def _build_claim(self, handle: AgentHandle) -> Claim:
        attempt = Attempt(
            run_id=self._create_run_id(),
            incarnation=handle.incarnation,
            start_deadline_s=round(self._read_clock() + START_WINDOW_S, 3),
        )
        return Claim(
            key_digest=self._key_digest,
            body_digest=self._body_digest,
            agent=handle.name,
            address=handle.address,
            attempt=attempt,
        )

    async def _resolve_without_upstream(self, error: NotRun) -> CallAnswer | None:
        """Resolve an earlier call with the key, since no new one can be started."""
        if self._not_run_claim is not None:
            raise error
        try:
            entry = await self._claims.find(self._location, self._key_digest)
        except NotRun as unavailable:
            # Unlike the first error, it leaves open whether an earlier call has run.
            return await self._resolve_cached(unavailable)
        if entry is None:
            raise error
        return await self._resolve_or_raise(entry, error)

    async def _resolve_cached(self, error: NotRun) -> CallAnswer | None:
        """Resolve an earlier call from the cached segment, without the platform."""
        entry = self._claims.find_cached(self._location, self._key_digest)
        if entry is None or self._not_run_claim is not None:
            raise error
        return await self._resolve_or_raise(entry, error)

    async def _resolve_or_raise(self, entry: JournalEntry, error: NotRun) -> CallAnswer:
        answer = await self._resolve_entry(entry)
        if answer is None:
            raise error
        return answer

    async def _attempt(self, claim: Claim) -> CallAnswer | None:
        """Send the attempt that the claim permits; called once for each claim."""
        attempt = claim.attempt
        if self._read_clock() >= attempt.start_deadline_s:
            refused = Refused(
                ResultCode.PLATFORM_UNAVAILABLE,
                "the claim was written after its start deadline",
            )
            return self._settle(claim, Finished(refused))
        handle = AgentHandle(claim.agent, attempt.incarnation, claim.address)
        message = build_call(
            self._request,
            handle,
            attempt.run_id,
            attempt.start_deadline_s,
            idempotent=False,
        )
        try:
            ending = await self._send(handle, message)
        except OutcomeUnknown as error:
            return await self._recover(claim, error)
        return self._settle(claim, Finished(ending))

    async def _send(self, handle: AgentHandle, message: CallRequest) -> AttemptOutcome:
        try:
            reply = await call_with_liveness_probes(self._agents, handle, message)
        except NotRun as error:
            return Refused(error.code, error.detail, error.retry_after_s)
        return decode_reply(message.run_id, reply)

    async def _recover(self, claim: Claim, error: OutcomeUnknown) -> CallAnswer | None:
        """Query the agent for the outcome of an attempt without a complete reply."""
        try:
            state = await self._query(claim, fence=True)
        except OutcomeUnknown:
            raise error from None
        match state:
            case Running() | NeverSeen():
                raise OutcomeUnknown(error.code, error.detail, RETRY_AFTER_S)
        return self._settle(claim, state)

    async def _resolve_entry(self, entry: JournalEntry) -> CallAnswer | None:
        """Return the answer of an earlier call; None when it provably has not run."""
        claim = entry.claim
        if claim.body_digest != self._body_digest:
            raise NotRun(ResultCode.IDEMPOTENCY_KEY_REUSED)
        match entry.ending:
            case Answered(None):
                return await self._fetch_answer(claim)
            case None:
                return await self._resolve_unfinished(claim)
            case ending:
                return self._settle(claim, Finished(ending), recorded=True)

    async def _fetch_answer(self, claim: Claim) -> CallAnswer:
        try:
            state = await self._query(claim, fence=False)
        except OutcomeUnknown:
            raise RanBefore(ResultCode.ANSWER_NOT_HELD) from None
        match state:
            case Finished(Answered(CallAnswer() as answer)):
                return answer
        raise RanBefore(ResultCode.ANSWER_NOT_HELD)

    async def _resolve_unfinished(self, claim: Claim) -> CallAnswer | None:
        # Before the start deadline, the claim's owner may still send the attempt. The
        # skew of this clock only affects delay: safety rests on the agent's refusal.
        fence = self._read_clock() >= claim.attempt.start_deadline_s
        return self._settle(claim, await self._query(claim, fence))

    async def _query(self, claim: Claim, fence: bool) -> AttemptState:
        attempt = claim.attempt
        handle = AgentHandle(claim.agent, attempt.incarnation, claim.address)
        message = CallRequest(
            run_id=attempt.run_id,
            incarnation=attempt.incarnation,
            start_deadline_s=attempt.start_deadline_s,
        )
        reply = await self._agents.query(handle, message, fence)
        return decode_state(attempt, reply)

    def _settle(
        self, claim: Claim, state: AttemptState, *, recorded: bool = False
    ) -> CallAnswer | None:
        """Return or raise the outcome of a state; None if it provably has not run."""
        match state:
            case Running() | NeverSeen():
                raise RanBefore(ResultCode.STILL_RUNNING, "", RETRY_AFTER_S)
            case Finished(Refused() as refusal):
                self._not_run_claim = claim
                self._refusal = refusal
                self._excluded |= {claim.agent}
                return None
        if not recorded:
            self._claims.record(self._location, claim, state.ending)
        match state.ending:
            case Lost(code, detail):
                raise OutcomeUnknown(code, detail)
            case Answered(None):
                raise RanBefore(ResultCode.ANSWER_NOT_HELD)
            case Answered(answer):
                return answer
        raise ValueError(f"{state} is not the state of an attempt")

    def _build_refusal(self) -> NotRun:
        refusal = self._refusal
        if refusal is None:
            return NotRun(ResultCode.RETRIES_EXHAUSTED, "", RETRY_AFTER_S)
        retry_after_s = refusal.retry_after_s or RETRY_AFTER_S
        return NotRun(refusal.code, refusal.detail, retry_after_s)
