"""
The entry's side of calls to plain services.

:class:`CallDispatcher` runs an idempotent call under a retry budget, and any other
call at most once, under a durable claim.
"""

import asyncio
import itertools
from collections.abc import Callable

from persimmonferry_core.attempts import Answered, Lost, Refused
from persimmonferry_core.exceptions import NotRun, OutcomeUnknown
from persimmonferry_core.idempotency import is_idempotent, parse_key
from persimmonferry_core.journal import locate_segment
from persimmonferry_core.retries import RetryBudget
from persimmonferry_core.runs import CallAnswer

from persimmonferry_daemon.agent_links import (
    AgentHandle,
    Agents,
    PlainRequest,
    build_call,
)
from persimmonferry_daemon.attempt_executor import decode_reply
from persimmonferry_daemon.claimed_call import ClaimedCall
from persimmonferry_daemon.claims import ClaimJournal
from persimmonferry_daemon.liveness import call_with_liveness_probes

__all__ = ["AgentHandle", "Agents", "CallDispatcher", "PlainRequest"]


class CallDispatcher:
    """
    Runs the calls that callers make to plain services.

    :param read_clock: returns the present time in seconds since 1970.
    :param create_run_id: returns an id that no attempt of any process has had.
    """

    def __init__(
        self,
        claims: ClaimJournal,
        agents: Agents,
        read_clock: Callable[[], float],
        create_run_id: Callable[[], str],
    ) -> None:
        self._claims = claims
        self._agents = agents
        self._read_clock = read_clock
        self._create_run_id = create_run_id
        self._budget = RetryBudget()

    async def call(self, request: PlainRequest, now: float) -> CallAnswer:
        """
        Run a request and return its complete answer, or the first answer of its key.

        :raises NotRun: this call started nothing, and nothing will start for it.
        :raises OutcomeUnknown: it may have run, now or under an earlier call.
        :raises RanBefore: it still runs, or it ran and its answer is no longer stored.
        """
        self._budget.record_request(now)
        if is_idempotent(request.service, request.method, request.path):
            return await self._call_idempotent(request)
        shape = self._claims.shape
        key = parse_key(
            request.idempotency_key, now, shape.retention_s, shape.clock_margin_s
        )
        key_digest = key.digest(request.account)
        claimed = ClaimedCall(
            request=request,
            location=locate_segment(key_digest, key.issued_s, shape),
            key_digest=key_digest,
            claims=self._claims,
            agents=self._agents,
            budget=self._budget,
            read_clock=self._read_clock,
            create_run_id=self._create_run_id,
        )
        return await claimed.run()

    async def _call_idempotent(self, request: PlainRequest) -> CallAnswer:
        excluded: frozenset[str] = frozenset()
        for attempts in itertools.count(1):
            handle = self._agents.choose(request.service, excluded, self._read_clock())
            excluded |= {handle.name}
            try:
                return await self._try_once(request, handle)
            except (NotRun, OutcomeUnknown) as error:
                ran = isinstance(error, OutcomeUnknown)
                delay_s = self._budget.allow(attempts, self._read_clock(), ran=ran)
                if delay_s is None:
                    raise
                await asyncio.sleep(delay_s)

    async def _try_once(self, request: PlainRequest, handle: AgentHandle) -> CallAnswer:
        run_id = self._create_run_id()
        message = build_call(request, handle, run_id, 0.0, idempotent=True)
        reply = await call_with_liveness_probes(self._agents, handle, message)
        match decode_reply(run_id, reply):
            case Answered(CallAnswer() as answer):
                return answer
            case Refused(code, detail, retry_after_s):
                raise NotRun(code, detail, retry_after_s)
            case Lost(code, detail):
                raise OutcomeUnknown(code, detail)
        raise AssertionError("a reply has one of these endings")
