"""
The agent's side of calls to a plain service, and the decoding of its replies.

:class:`AttemptExecutor` runs each non-idempotent attempt at most once and reports its
outcome. The agent process registers :meth:`AttemptExecutor.call` and
:meth:`AttemptExecutor.query` as peer routes.
"""

import enum
import logging
from collections.abc import Callable

from persimmonferry_core.attempts import (
    Admitted,
    Answered,
    Attempt,
    AttemptOutcome,
    AttemptState,
    AttemptTable,
    Denied,
    Finished,
    Lost,
    NeverSeen,
    Refused,
    Repeated,
    Running,
)
from persimmonferry_core.codes import Ran, ResultCode
from persimmonferry_core.exceptions import FerryError, NotRun, OutcomeUnknown
from persimmonferry_core.interfaces import PlainService
from persimmonferry_core.runs import CallAnswer, CallOrder
from persimmonferry_wire.generated.runs.ttypes import (
    AttemptQuery,
    AttemptReply,
    CallReply,
    CallRequest,
    Failure,
)

__all__ = ["AttemptExecutor", "decode_reply", "decode_state"]

_log = logging.getLogger(__name__)

_CODES = {code.number: code for code in ResultCode}


class _State(enum.IntEnum):
    NEVER_SEEN = 0
    RUNNING = 1
    ANSWERED = 2
    NOT_RUN = 3
    UNKNOWN = 4


class AttemptExecutor:
    """
    Runs attempts at the plain service of one agent, non-idempotent ones at most once.

    :param find_refusal: returns why new work is refused now, or None.
    :param read_clock: returns the present time in seconds since 1970.
    """

    def __init__(
        self,
        table: AttemptTable,
        service: PlainService,
        find_refusal: Callable[[], NotRun | None],
        read_clock: Callable[[], float],
    ) -> None:
        self._table = table
        self._service = service
        self._find_refusal = find_refusal
        self._read_clock = read_clock
        self._running = 0

    @property
    def running(self) -> int:
        """Number of calls that the service has not answered yet."""
        return self._running

    async def call(self, request: CallRequest) -> CallReply:
        """Run the call if this attempt may start, and reply with its outcome."""
        if request.idempotent:
            return _encode_outcome(request.run_id, await self._run(request))
        attempt = Attempt(request.run_id, request.incarnation, request.start_deadline_s)
        match self._table.admit(attempt, self._read_clock()):
            case Admitted():
                ending = await self._run(request)
                self._table.finish(request.run_id, ending)
                return _encode_outcome(request.run_id, ending)
            case Repeated():
                duplicate = OutcomeUnknown(ResultCode.DUPLICATE_RUN)
                return _encode_error(request.run_id, duplicate)
            case Denied(error):
                return _encode_error(request.run_id, error)

    async def query(self, query: AttemptQuery) -> AttemptReply:
        """Reply with the state of an attempt, and fence it if requested."""
        attempt = Attempt(query.run_id, query.incarnation, query.start_deadline_s)
        ask = self._table.fence if query.fence else self._table.query
        state = ask(attempt, self._read_clock())
        return _encode_state(query.run_id, state, self._table.incarnation)

    async def _run(self, request: CallRequest) -> AttemptOutcome:
        refusal = self._find_refusal()
        if refusal is not None:
            return Refused(refusal.code, refusal.detail, refusal.retry_after_s)
        self._running += 1
        try:
            return Answered(await self._service.call(_build_order(request)))
        except NotRun as error:
            return Refused(error.code, error.detail, error.retry_after_s)
        except FerryError as error:
            return Lost(error.code, error.detail)
        except Exception:
            _log.exception("call failed", extra={"run_id": request.run_id})
            return Lost(ResultCode.INTERNAL_FAULT)
        finally:
            self._running -= 1


def decode_reply(run_id: str, reply: CallReply) -> AttemptOutcome:
    """
    Return the outcome that an agent's reply contains.

    :raises OutcomeUnknown: the reply is for another attempt, or reports that the agent
        received this attempt twice; then only a query returns its outcome.
    """
    if reply.run_id != run_id:
        raise OutcomeUnknown(ResultCode.ANSWER_MISMATCHED)
    if reply.failure is None:
        answer = CallAnswer(run_id, reply.status, reply.content_type, reply.body)
        return Answered(answer)
    failure = reply.failure
    code = _CODES.get(failure.code, ResultCode.INTERNAL_FAULT)
    if code is ResultCode.DUPLICATE_RUN:
        raise OutcomeUnknown(
            ResultCode.UPSTREAM_LOST, "the agent received the attempt twice"
        )
    if code.ran is Ran.NO:
        return Refused(code, failure.detail or "", failure.retry_after_s)
    return Lost(code, failure.detail or "")


def decode_state(attempt: Attempt, reply: AttemptReply) -> AttemptState:
    """
    Return the state of an attempt that an agent's reply contains.

    :raises OutcomeUnknown: the reply is for another attempt.
    """
    match reply.state:
        case _State.NEVER_SEEN:
            return NeverSeen()
        case _State.RUNNING:
            return Running()
        case _State.ANSWERED if reply.reply is None:
            return Finished(Answered(None))
    if reply.reply is None:
        return Finished(Lost(ResultCode.UPSTREAM_LOST))
    return Finished(decode_reply(attempt.run_id, reply.reply))


def _build_order(request: CallRequest) -> CallOrder:
    return CallOrder(
        run_id=request.run_id,
        method=request.method,
        path=request.path,
        content_type=request.content_type,
        body=request.body,
    )


def _encode_outcome(run_id: str, ending: AttemptOutcome) -> CallReply:
    match ending:
        case Answered(CallAnswer() as answer):
            return _encode_answer(answer)
        case Refused(code, detail, retry_after_s):
            return _encode_failure(run_id, code, detail, retry_after_s)
        case Lost(code, detail):
            return _encode_failure(run_id, code, detail, None)
    raise ValueError(f"no message can carry the outcome {ending}")


def _encode_answer(answer: CallAnswer) -> CallReply:
    return CallReply(answer.run_id, answer.status, answer.content_type, answer.body)


def _encode_error(run_id: str, error: FerryError) -> CallReply:
    return _encode_failure(run_id, error.code, error.detail, error.retry_after_s)


def _encode_failure(
    run_id: str, code: ResultCode, detail: str, retry_after_s: float | None
) -> CallReply:
    failure = Failure(code.number, detail, retry_after_s)
    return CallReply(run_id, 0, "", b"", failure)


def _encode_state(run_id: str, state: AttemptState, incarnation: int) -> AttemptReply:
    match state:
        case NeverSeen():
            return AttemptReply(_State.NEVER_SEEN, None, incarnation)
        case Running():
            return AttemptReply(_State.RUNNING, None, incarnation)
        case Finished(Answered(None)):
            return AttemptReply(_State.ANSWERED, None, incarnation)
        case Finished(Answered(answer)):
            return AttemptReply(_State.ANSWERED, _encode_answer(answer), incarnation)
        case Finished(Refused() as ending):
            reply = _encode_outcome(run_id, ending)
            return AttemptReply(_State.NOT_RUN, reply, incarnation)
        case Finished(Lost() as ending):
            reply = _encode_outcome(run_id, ending)
            return AttemptReply(_State.UNKNOWN, reply, incarnation)
    raise ValueError(f"no message can carry the state {state}")
