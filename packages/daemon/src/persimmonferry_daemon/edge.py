"""Callers' HTTP requests: completions, chat and plain services."""

import asyncio
import json
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Any

from persimmonferry_core.accounts import hash_key
from persimmonferry_core.bodies import PromptBody, parse_chat, parse_completion
from persimmonferry_core.codes import ResultCode
from persimmonferry_core.exceptions import FerryError, NotRun
from persimmonferry_core.held_bytes import HeldBytes
from persimmonferry_core.request_room import HeldRequest, Refusal, RequestRoom
from persimmonferry_core.runs import CallAnswer
from persimmonferry_core.schema import (
    ClientAccount,
    Service,
    ServiceKind,
    TeamDocument,
)
from persimmonferry_core.settings import EntrySettings
from tornado.web import stream_request_body

from persimmonferry_daemon.agent_links import PlainRequest
from persimmonferry_daemon.calls import CallDispatcher
from persimmonferry_daemon.drain import DrainGate
from persimmonferry_daemon.histograms import Histograms, Measure
from persimmonferry_daemon.prompt_service import (
    CallerDisconnected,
    Prompt,
    PromptAnswer,
    PromptService,
)
from persimmonferry_daemon.servers import ErrorHandler, describe_error

__all__ = ["CallHandler", "Edge", "ModelsHandler", "PromptHandler"]

MAX_REQUEST_ID_CHARACTERS = 200
MAX_UNSENT_BYTES = 1024 * 1024
CONFIGURATION_RETRY_AFTER_S = 1.0


class Edge:
    """
    Dependencies shared by the callers' handlers.

    :param read_document: returns the document in force, None before the first.
    :ivar room: decides which bodies are received.
    """

    def __init__(
        self,
        read_document: Callable[[], TeamDocument | None],
        gate: DrainGate,
        prompts: PromptService,
        calls: CallDispatcher,
        histograms: Histograms,
        limits: EntrySettings,
    ) -> None:
        self._read_document = read_document
        self.gate = gate
        self.prompts = prompts
        self.calls = calls
        self.histograms = histograms
        self.limits = limits
        self.room = RequestRoom(HeldBytes(), limits.body_memory_bytes)
        self.room.body_bytes = limits.max_body_bytes
        self.room.idle_s = limits.body_timeout_s
        shared = {"edge": self}
        chat = {"parse": parse_chat, "form": _ChatForm()}
        completion = {"parse": parse_completion, "form": _CompletionForm()}
        self.rules = [
            ("/v1/chat/completions", PromptHandler, shared | chat),
            ("/v1/completions", PromptHandler, shared | completion),
            ("/v1/models", ModelsHandler, shared),
            ("/services/([^/]+)(/.*)", CallHandler, shared),
        ]

    def read_document(self) -> TeamDocument:
        """
        Return the document in force.

        :raises NotRun: this process has none yet.
        """
        document = self._read_document()
        if document is None:
            raise NotRun(ResultCode.NO_CONFIGURATION, "", CONFIGURATION_RETRY_AFTER_S)
        return document


class _CallerHandler(ErrorHandler):
    """Base of the handlers of callers' requests."""

    def initialize(self, edge: Edge, **_: Any) -> None:
        self._edge = edge

    def authenticate(self) -> ClientAccount:
        """
        Return the client account of the request's key.

        :raises NotRun: the key is missing or not valid.
        """
        scheme, _, key = self.request.headers.get("Authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not key:
            raise NotRun(ResultCode.INVALID_KEY, "send 'Authorization: Bearer KEY'")
        account = self._edge.read_document().find_account(hash_key(key.strip()))
        if account is None:
            raise NotRun(ResultCode.INVALID_KEY)
        return account

    def find_service(
        self, account: ClientAccount, name: str, kind: ServiceKind
    ) -> Service:
        """
        Return a service that exists and that the account may use.

        :raises NotRun: it may not, or the service is of another kind.
        """
        service = self._edge.read_document().find_service(name)
        if service is None or service.kind is not kind:
            raise NotRun(ResultCode.UNKNOWN_SERVICE, repr(name[:64]))
        if name not in account.services:
            raise NotRun(ResultCode.ACCESS_DENIED, f"service {name}")
        return service

    def read_request_id(self) -> str:
        """
        Return the id that the caller gave, empty when there is none.

        :raises NotRun: it is too long.
        """
        request_id = self.request.headers.get("Idempotency-Key", "").strip()
        if len(request_id) > MAX_REQUEST_ID_CHARACTERS:
            raise NotRun(ResultCode.MALFORMED_REQUEST, "Idempotency-Key is too long")
        return request_id


@stream_request_body
class _BodyHandler(_CallerHandler):
    """
    Base of the handlers that read a body of limited size in a limited time.

    A body is received only while there is room for it, and for a caller with a key.
    """

    def prepare(self) -> None:
        """Check key and declared length, and start the timeout of the body."""
        self.body = bytearray()
        self._timer: asyncio.TimerHandle | None = None
        self._held: HeldRequest | None = None
        self._room_found: asyncio.Future | None = None
        # Checked here instead of by Tornado, so that the error gets a result code.
        self.request.connection.set_max_body_size(sys.maxsize)
        try:
            self.authenticate()
        except FerryError as error:
            self.send_failure(error)
            return
        length = self.request.headers.get("Content-Length", "0")
        if length.isdecimal() and int(length) > self._edge.limits.max_body_bytes:
            self._refuse(ResultCode.BODY_TOO_LARGE)
            return
        self._held = self._edge.room.begin(
            self._resume, self._refuse_for_room, time.monotonic()
        )
        timeout_s = self._edge.limits.body_timeout_s
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(
            timeout_s, self._refuse, ResultCode.CALLER_TOO_SLOW
        )

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Append a chunk of the body; the next one follows when there is room."""
        if self._finished:
            return None
        self.body += chunk
        if len(self.body) > self._edge.limits.max_body_bytes:
            self._refuse(ResultCode.BODY_TOO_LARGE)
            return None
        if self._held.receive(len(chunk), time.monotonic()):
            return None
        self._room_found = asyncio.get_running_loop().create_future()
        return self._room_found

    def end_body(self) -> bytes:
        """Return the whole body."""
        self._cancel_timer()
        self._held.complete()
        body, self.body = bytes(self.body), bytearray()
        return body

    def on_finish(self) -> None:
        """Drop the body when the response has been sent."""
        self._drop_body()

    def on_connection_close(self) -> None:
        """Drop the body when the caller disconnects."""
        self._cancel_timer()
        self._drop_body()

    def _drop_body(self) -> None:
        # Cycles keep the handler until the garbage is collected.
        self.body = bytearray()
        if self._held is not None:
            self._held.release()
        self._resume()

    def _resume(self) -> None:
        """Read on; called when there is room again."""
        found, self._room_found = self._room_found, None
        if found is not None and not found.done():
            found.set_result(None)

    def _refuse_for_room(self, refusal: Refusal) -> None:
        self._refuse(refusal.code, refusal.retry_s)

    def _refuse(self, code: ResultCode, retry_s: float | None = None) -> None:
        self._cancel_timer()
        if not self._finished:
            self.send_failure(NotRun(code, "", retry_s))

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()


class PromptHandler(_BodyHandler):
    """Answers a prompt, in one response or as server-sent events."""

    def initialize(
        self,
        edge: Edge,
        parse: Callable[[bytes], PromptBody],
        form: "_CompletionForm",
    ) -> None:
        """Set the shared dependencies, the parser of bodies and the form of answers."""
        super().initialize(edge)
        self._parse = parse
        self._form = form
        self._prompt: Prompt | None = None
        self._stream_begun = False

    def on_connection_close(self) -> None:
        """Cancel the prompt when the caller disconnects."""
        super().on_connection_close()
        if self._prompt is not None:
            self._prompt.cancel()

    async def post(self) -> None:
        """Run the prompt of the body."""
        try:
            with self._edge.gate.hold():
                await self._answer()
        except FerryError as error:
            self._send_error(error)
        except CallerDisconnected:
            return

    async def _answer(self) -> None:
        account = self.authenticate()
        body = self._parse(self.end_body())
        self.find_service(account, body.service, ServiceKind.MODEL)
        self._prompt = Prompt(
            account=account,
            body=body,
            request_id=self.read_request_id(),
            is_retry=_is_retry(self.request.headers.get("X-Retry-Count", "")),
            arrived_at=time.monotonic(),
            deliver=self._stream_tokens if body.stream else _ignore,
        )
        answer = await self._edge.prompts.run(self._prompt)
        if body.stream:
            self._end_stream(answer)
        else:
            self._send_whole(answer)

    def _send_whole(self, answer: PromptAnswer) -> None:
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(self._form.describe_whole(answer)))

    def _stream_tokens(self, tokens: list[str]) -> None:
        if not self._stream_begun:
            self._begin_stream()
        text = json.dumps("".join(tokens), ensure_ascii=False)
        self._send_event(self._form.write_part(text))

    def _begin_stream(self) -> None:
        self._stream_begun = True
        # With Nagle's algorithm, small events would wait for the ACK of earlier ones.
        self.request.connection.stream.set_nodelay(True)
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("Cache-Control", "no-store")

    def _end_stream(self, answer: PromptAnswer) -> None:
        if not self._stream_begun:
            self._begin_stream()
        event = json.dumps(self._form.describe_last(answer), ensure_ascii=False)
        self._send_event(event)
        self.finish("data: [DONE]\n\n")

    def _send_event(self, event: str) -> None:
        if self.request.connection.stream.closed():
            return
        self.write(f"data: {event}\n\n")
        self.flush()
        self._check_backlog()

    def _check_backlog(self) -> None:
        stream = self.request.connection.stream
        if len(stream._write_buffer) > MAX_UNSENT_BYTES:
            # A caller that does not read must not fill this process's memory.
            stream.close()

    def _send_error(self, error: FerryError) -> None:
        if self.request.connection.stream.closed():
            return
        if not self._stream_begun:
            self.send_failure(error)
            return
        # No [DONE] follows: an interrupted stream must not look complete.
        self.write(f"event: error\ndata: {json.dumps(describe_error(error))}\n\n")
        self.finish()


class CallHandler(_BodyHandler):
    """Forwards a call to a plain service."""

    def initialize(self, edge: Edge) -> None:
        """Set the shared dependencies."""
        super().initialize(edge)
        self._account: ClientAccount | None = None
        self._service_name = ""
        self._claims_read = False

    def knows_earlier(self) -> bool:
        """Whether the claims of earlier calls were read."""
        return self._claims_read

    async def _handle(self, service: str, path: str) -> None:
        self._service_name = service
        try:
            with self._edge.gate.hold():
                answer = await self._call(service, path)
        except FerryError as error:
            self._record(Measure.REFUSAL)
            self.send_failure(error)
            return
        self._record(Measure.WHOLE_ANSWER)
        self.set_status(answer.status)
        self.set_header("Content-Type", answer.content_type)
        self.set_header("X-Result-Code", str(ResultCode.ANSWERED.number))
        self.finish(answer.body)

    def _record(self, measure: Measure) -> None:
        if self._account is not None:
            elapsed_s = self.request.request_time()
            self._edge.histograms.record(
                self._account.name, self._service_name, measure, elapsed_s
            )

    async def _call(self, service: str, path: str) -> CallAnswer:
        account = self.authenticate()
        self._account = account
        request = PlainRequest(
            account=account.name,
            service=self.find_service(account, service, ServiceKind.PLAIN),
            method=self.request.method,
            path=f"{path}?{self.request.query}" if self.request.query else path,
            content_type=self.request.headers.get("Content-Type", ""),
            body=self.end_body(),
            idempotency_key=self.read_request_id() or None,
        )
        self._claims_read = True
        return await self._edge.calls.call(request, time.time())

    get = post = put = patch = delete = _handle


class ModelsHandler(_CallerHandler):
    """Lists the model services that the caller's account may use."""

    def get(self) -> None:
        """Send the list in the usual format of APIs for language models."""
        try:
            account = self.authenticate()
            document = self._edge.read_document()
        except FerryError as error:
            self.send_failure(error)
            return
        names = [
            service.name
            for service in document.services
            if service.kind is ServiceKind.MODEL and service.name in account.services
        ]
        data = [{"id": name, "object": "model"} for name in names]
        self.finish({"object": "list", "data": data})


class _CompletionForm:
    """JSON of completions."""

    def describe_whole(self, answer: PromptAnswer) -> dict[str, Any]:
        choice = {
            "index": 0,
            "text": answer.text,
            "finish_reason": answer.end.finish_reason,
        }
        return _describe("text_completion", choice) | {"usage": _describe_usage(answer)}

    def write_part(self, text: str) -> str:
        """Return the event of some tokens; formatted by hand since it is sent often."""
        return (
            '{"object": "text_completion", "choices": [{"index": 0, '
            f'"text": {text}, "finish_reason": null}}]}}'
        )

    def describe_last(self, answer: PromptAnswer) -> dict[str, Any]:
        choice = {"index": 0, "text": "", "finish_reason": answer.end.finish_reason}
        return _describe("text_completion", choice) | {"usage": _describe_usage(answer)}


class _ChatForm(_CompletionForm):
    """JSON of chat completions."""

    def describe_whole(self, answer: PromptAnswer) -> dict[str, Any]:
        choice = {
            "index": 0,
            "message": {"role": "assistant", "content": answer.text},
            "finish_reason": answer.end.finish_reason,
        }
        return _describe("chat.completion", choice) | {"usage": _describe_usage(answer)}

    def write_part(self, text: str) -> str:
        """Return the event of some tokens; formatted by hand since it is sent often."""
        return (
            '{"object": "chat.completion.chunk", "choices": [{"index": 0, '
            f'"delta": {{"content": {text}}}, "finish_reason": null}}]}}'
        )

    def describe_last(self, answer: PromptAnswer) -> dict[str, Any]:
        choice = {"index": 0, "delta": {}, "finish_reason": answer.end.finish_reason}
        usage = {"usage": _describe_usage(answer)}
        return _describe("chat.completion.chunk", choice) | usage


def _describe(kind: str, choice: dict[str, Any]) -> dict[str, Any]:
    return {"object": kind, "choices": [choice]}


def _describe_usage(answer: PromptAnswer) -> dict[str, Any]:
    end = answer.end
    return {
        "prompt_tokens": end.prompt_tokens,
        "completion_tokens": end.total_tokens,
        "total_tokens": end.prompt_tokens + end.total_tokens,
        "prompt_tokens_details": {"cached_tokens": end.cached_tokens},
    }


def _ignore(tokens: list[str]) -> None:
    pass


def _is_retry(count: str) -> bool:
    return count.isdecimal() and int(count) > 0
