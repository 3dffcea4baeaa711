"""An entry's HTTP client of the agents: runs, calls and queries."""

import asyncio
import logging
from collections.abc import Callable

import pycurl
from persimmonferry_adapters.http_client import (
    ConnectionReuse,
    Request,
    RequestFailure,
    fetch,
)
from persimmonferry_core.codes import ResultCode
from persimmonferry_core.exceptions import NotRun, OutcomeUnknown
from persimmonferry_core.runs import RunEnd
from persimmonferry_core.topology import Address
from persimmonferry_wire import (
    FrameReader,
    PeerClient,
    PeerRequestFailed,
    encode,
)
from persimmonferry_wire.generated.runs.ttypes import (
    Acknowledgement,
    AnswerQuery,
    AttemptQuery,
    AttemptReply,
    CallReply,
    CallRequest,
    CancelRequest,
    RunFrame,
    RunRequest,
)
from tornado.httpclient import AsyncHTTPClient, HTTPResponse

from persimmonferry_daemon.failures import from_failure
from persimmonferry_daemon.paths import (
    ANSWER_PATH,
    ATTEMPT_PATH,
    CALL_PATH,
    CANCEL_PATH,
    RUN_PATH,
)

__all__ = ["AgentClient", "AnswerStream"]

SILENCE_TIMEOUT_S = 1.2
RUN_TIMEOUT_S = 600.0
CALL_TIMEOUT_S = 30.0
QUERY_TIMEOUT_S = 0.5

_log = logging.getLogger(__name__)


class AgentClient:
    """Sends requests to agents; one for each entry."""

    def __init__(self, client: AsyncHTTPClient, peers: PeerClient) -> None:
        self._client = client
        self._peers = peers

    async def run(
        self,
        address: Address,
        request: RunRequest,
        deliver: Callable[[list[str]], None],
    ) -> RunEnd:
        """
        Run a prompt at an agent's engine.

        :param deliver: called with the next tokens of the answer, in order, each once.
        :raises NotRun: the agent provably did not start it.
        :raises OutcomeUnknown: the agent stopped sending, or the answer was truncated.
        """
        answer = AnswerStream(request, deliver)
        http_request = _AbortableRequest(
            address.url + RUN_PATH,
            method="POST",
            body=encode(request),
            reuse=ConnectionReuse.NO_RESEND,
            timeout_s=RUN_TIMEOUT_S,
            streaming_callback=answer.feed,
        )
        exchange = asyncio.ensure_future(fetch(self._client, http_request))
        exchange.add_done_callback(answer.close)
        try:
            return await answer.wait()
        finally:
            http_request.aborted = True

    async def call(self, address: Address, request: CallRequest) -> CallReply:
        """
        Make a call at an agent's plain service and return the agent's complete reply.

        :raises NotRun: no byte of the request left this process.
        :raises OutcomeUnknown: no complete reply was received.
        """
        try:
            return await self._peers.ask(
                address.url + CALL_PATH,
                request,
                CallReply,
                CALL_TIMEOUT_S,
                new_connection=not request.idempotent,
            )
        except PeerRequestFailed as error:
            if error.sent:
                raise OutcomeUnknown(ResultCode.UPSTREAM_LOST, "agent lost") from error
            raise NotRun(ResultCode.NO_UPSTREAM, "agent unreachable", 0.5) from error

    async def query_attempt(
        self, address: Address, query: AttemptQuery
    ) -> AttemptReply:
        """
        Query the state of an attempt at its agent.

        :raises OutcomeUnknown: no complete reply within the timeout.
        """
        try:
            return await self._peers.ask(
                address.url + ATTEMPT_PATH, query, AttemptReply, QUERY_TIMEOUT_S
            )
        except PeerRequestFailed as error:
            raise OutcomeUnknown(ResultCode.UPSTREAM_LOST, "agent lost") from error

    async def has_answer(self, address: Address, answer_key: str) -> bool:
        """Return whether an agent stores or generates the answer of a key."""
        try:
            reply = await self._peers.ask(
                address.url + ANSWER_PATH,
                AnswerQuery(answer_key),
                Acknowledgement,
                QUERY_TIMEOUT_S,
            )
        except PeerRequestFailed:
            return False
        return reply.known

    async def cancel(self, address: Address, run_id: str) -> None:
        """Cancel a run; an agent that does not reply is not an error."""
        try:
            await self._peers.ask(
                address.url + CANCEL_PATH,
                CancelRequest(run_id),
                Acknowledgement,
                QUERY_TIMEOUT_S,
            )
        except PeerRequestFailed:
            _log.info("run not cancelled", extra={"run_id": run_id})


class _AbortableRequest(Request):
    """
    A request whose connection can be closed while the answer comes in.

    Tornado's curl client can't abort a request, so libcurl's progress callback does.
    """

    aborted = False

    def prepare(self, curl: pycurl.Curl) -> None:
        """Make libcurl check at intervals whether the request was aborted."""
        super().prepare(curl)
        curl.setopt(pycurl.NOPROGRESS, 0)
        curl.setopt(pycurl.XFERINFOFUNCTION, self._check_progress)

    def _check_progress(self, *_totals: int) -> int:
        return 1 if self.aborted else 0


class AnswerStream:
    """One streamed answer of an agent, checked frame by frame."""

    def __init__(
        self, request: RunRequest, deliver: Callable[[list[str]], None]
    ) -> None:
        self._run_id = request.run_id
        self._next_index = len(request.delivered)
        self._deliver = deliver
        self._reader = FrameReader(RunFrame)
        self._loop = asyncio.get_running_loop()
        self._result: asyncio.Future[RunEnd] = self._loop.create_future()
        self._received_at = self._loop.time()

    async def wait(self) -> RunEnd:
        """Return the end of the run; fail after ``SILENCE_TIMEOUT_S`` without data."""
        while not self._result.done():
            silence_s = self._loop.time() - self._received_at
            if silence_s >= SILENCE_TIMEOUT_S:
                self._fail(OutcomeUnknown(ResultCode.UPSTREAM_LOST, "no data received"))
                break
            await asyncio.wait((self._result,), timeout=SILENCE_TIMEOUT_S - silence_s)
        return self._result.result()

    def feed(self, data: bytes) -> None:
        """Process received bytes of the answer."""
        self._received_at = self._loop.time()
        if self._result.done():
            return
        try:
            for frame in self._reader.feed(data):
                self._handle_frame(frame)
        except ValueError:
            self._fail(OutcomeUnknown(ResultCode.ANSWER_MISMATCHED, "malformed frame"))

    def close(self, exchange: asyncio.Future[HTTPResponse | RequestFailure]) -> None:
        """Process the end of the HTTP exchange."""
        if self._result.done() or exchange.cancelled():
            return
        match exchange.result():
            case RequestFailure.NOT_SENT:
                self._fail(NotRun(ResultCode.NO_UPSTREAM, "agent unreachable", 0.5))
            case RequestFailure() as failure:
                self._fail(OutcomeUnknown(ResultCode.UPSTREAM_LOST, failure.value))
            case _:
                self._fail(OutcomeUnknown(ResultCode.ANSWER_TRUNCATED, "no end mark"))

    def _handle_frame(self, frame: RunFrame) -> None:
        if self._result.done():
            return
        if frame.run_id != self._run_id or frame.first_index > self._next_index:
            self._fail(OutcomeUnknown(ResultCode.ANSWER_MISMATCHED, "unexpected frame"))
            return
        fresh = frame.tokens[self._next_index - frame.first_index :]
        if fresh:
            self._next_index += len(fresh)
            self._deliver(fresh)
        if frame.failure is not None:
            self._fail(from_failure(frame.failure))
        elif frame.end is not None:
            self._finish(frame)

    def _finish(self, frame: RunFrame) -> None:
        mark = frame.end
        if mark.total_tokens != self._next_index:
            self._fail(
                OutcomeUnknown(ResultCode.ANSWER_TRUNCATED, "tokens are missing")
            )
            return
        end = RunEnd(
            frame.run_id,
            mark.version,
            mark.total_tokens,
            mark.prompt_tokens,
            mark.cached_tokens,
            mark.finish_reason,
            mark.imported_blocks,
            mark.imported_bytes,
            mark.import_s,
        )
        self._result.set_result(end)

    def _fail(self, error: Exception) -> None:
        if not self._result.done():
            self._result.set_exception(error)
