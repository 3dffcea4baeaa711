"""Handles one call from its arrival to its outcome: answered, not run or unknown."""

import asyncio
import functools
import logging
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from typing import NoReturn

from persimmonferry_adapters.http_client import (
    ConnectionReuse,
    RequestFailure,
    make_upstream_error,
)
from persimmonferry_core.attempt_budgets import AttemptBudget, find_resend_time
from persimmonferry_core.cache_stores import CacheStoreIndex
from persimmonferry_core.codes import ResultCode
from persimmonferry_core.deployment import (
    AccountKeys,
    CallKind,
    CallRoute,
    UpstreamRecord,
)
from persimmonferry_core.dispatch import (
    Dispatcher,
)
from persimmonferry_core.exceptions import FerryError, NotRun, OutcomeUnknown
from persimmonferry_core.fetch_sources import choose_fetch_timeout, is_fetch_faster
from persimmonferry_core.fingerprints import format_hash, hash_call
from persimmonferry_core.held_bytes import Place
from persimmonferry_core.incoming import IncomingCall
from persimmonferry_core.quarantine import Quarantine
from persimmonferry_core.returns import ReturnPromise
from persimmonferry_core.stream_origins import (
    MAX_LIFETIME_S,
    ServiceBuild,
    StreamOrigin,
    hash_stream,
)
from persimmonferry_core.upstream_starts import ENTRY_DELAY_S, UpstreamStart

from persimmonferry_gateway.answer_identity import AnswerFinder
from persimmonferry_gateway.call_log import RateLimitedLog
from persimmonferry_gateway.call_notes import (
    AnswerEnd,
    AttemptNote,
    AttemptProgress,
    CallNotes,
    OriginSource,
    to_ms,
)
from persimmonferry_gateway.callers import CallerConnection
from persimmonferry_gateway.clocks import read_boot_clock
from persimmonferry_gateway.cluster_state import ClusterState
from persimmonferry_gateway.crash_reports import CrashReports
from persimmonferry_gateway.events import EndlessStream, EventSplitter
from persimmonferry_gateway.interfaces import Codec, ForwardOptions, ResponseHead
from persimmonferry_gateway.metrics import CallMetrics
from persimmonferry_gateway.start_checks import StartChecks
from persimmonferry_gateway.stream_directory import StreamDirectory
from persimmonferry_gateway.upstream_client import (
    CancellableClient,
    Framing,
    UpstreamExchange,
)

__all__ = ["AttemptFailed", "CallContext", "CallHandler"]

# Idle connections are reused for this long when the upstream sends no idle timeout.
DEFAULT_IDLE_S = 4.0
# Upstreams close idle connections after a whole number of seconds; a call must not
# arrive while one is being closed.
IDLE_MARGIN_S = 1.0
# Calls are ended this long before the caller's deadline, so that the error reaches it.
REPLY_MARGIN_S = 0.02
# A call that may be repeated is sent to another upstream when no response has begun
# after this many times the route's objective.
ANSWER_TIMEOUT_OBJECTIVES = 3.0
# Ids of other calls and of events are cut to this length in logs.
MAX_LOGGED_ID_CHARS = 128
# Callers honour a Retry-After up to this share of the time they have left.
MAX_RETRY_AFTER_SHARE = 1 / 3
# After which a stream that can't go on may be taken up again.
UNKNOWN_STREAM_RETRY_S = 1.0
# Added to the rank of calls past their objective; greater than the ranks of routes.
LATE_RANK_PENALTY = 5

_log = logging.getLogger(__name__)


@dataclass
class CallContext:
    """
    What all calls of a gateway share.

    :param entry: name of this gateway.
    :param schedule_assignment: has the dispatcher start the requests that can start.
    :param announce_return: announces to the other gateways when a refused prompt was
        told to return.
    :param queue_held: queues the parts that an engine has cached for the next message
        to the other gateways.
    :param check_version: asks an engine for the version of its weights.
    :param kept: index of the parts of prompts that are stored at store VMs.
    :param log: of calls that have ended.
    :param starts: tells which process of an upstream took a connection.
    :param catch_up: receives the changes of the registry until a time on the boot
        clock.
    :param learn_upstreams: asks other gateways for upstreams of a build if none is
        known and the registry does not respond.
    :param measure_silence: returns for how long changes of the registry may not have
        been received.
    :param announce_call: tells the other gateways of a call to a plain service.
    :param record_limit: records the limit that an upstream stated with a response to a
        call, which was sent at the given time.
    :param find_fetch_deadline: returns the deadline of a fetch that may take the given
        seconds, None when parts must not be fetched now.
    :param find_weights_left: returns the seconds for which prompts may still begin on a
        version of a model's weights, None without a limit.
    :param find_weights_limit: returns the seconds after which no prompt may begin on
        replaced weights.
    :param waiting: futures of the requests that the dispatcher has queued.
    :param waiting_parts: hashes of the parts of these requests.
    :param withdrawals: functions that end the attempts of prompts at engines, unless
        they have started.
    :param idle_s: time for which connections may be reused, by upstream.
    """

    entry: str
    codec: Codec
    cluster: ClusterState
    dispatcher: Dispatcher
    client: CancellableClient
    read_clock: Callable[[], float]
    schedule_assignment: Callable[[], None]
    queue_held: Callable[[str, tuple[str, ...], tuple[int, ...]], None]
    announce_return: Callable[[ReturnPromise], None]
    check_version: Callable[[str], None]
    kept: CacheStoreIndex
    log: RateLimitedLog
    metrics: CallMetrics
    record_limit: Callable[[UpstreamRecord, ResponseHead, float], None]
    find_fetch_deadline: Callable[[float], float | None]
    find_weights_left: Callable[[str, int], float | None]
    find_weights_limit: Callable[[], float]
    quarantine: Quarantine
    crash_reports: CrashReports
    streams: StreamDirectory
    starts: StartChecks
    catch_up: Callable[[float], Awaitable[bool]]
    learn_upstreams: Callable[[ServiceBuild], Awaitable[None]]
    measure_silence: Callable[[], float]
    announce_call: Callable[[str], None]
    waiting: dict[str, asyncio.Future] = field(default_factory=dict)
    waiting_parts: dict[str, frozenset[int]] = field(default_factory=dict)
    withdrawals: dict[str, Callable[[], None]] = field(default_factory=dict)
    idle_s: dict[str, float] = field(default_factory=dict)


class AttemptFailed(Exception):
    """
    An attempt that failed without a complete answer.

    :param ran: whether it may have run.
    :param arrived: False when no connection to the upstream could be made.
    :param endless: whether it was ended, as its answer held more than was asked for.
    :param is_upstream_sound: whether its upstream is not to blame.
    :ivar resend_s: until then its upstream may still work on it.
    """

    def __init__(
        self,
        error: FerryError,
        *,
        ran: bool,
        arrived: bool = True,
        endless: bool = False,
        is_upstream_sound: bool = False,
    ) -> None:
        super().__init__(error)
        self.endless = endless
        self.is_upstream_sound = is_upstream_sound
        self.resend_s = 0.0
        self.error = error
        self.ran = ran
        self.arrived = arrived

    def describe(self) -> str:
        """Return what is known of the attempt, for the log."""
        if not self.arrived:
            return "not sent"
        cause = f"{self.error.code.name.lower()} {self.error.detail}".rstrip()
        return f"{'may have run' if self.ran else 'not run'}: {cause}"


class CallHandler:
    """
    Handles one call.

    :param number: unique within the process.
    """

    def __init__(
        self,
        context: CallContext,
        number: int,
        call: IncomingCall,
        route: CallRoute,
        account: AccountKeys | None,
        caller: CallerConnection,
    ) -> None:
        self.notes = CallNotes()
        self._context = context
        self._id = str(number)
        self._call = call
        self._route = route
        self._account = account
        self._caller = caller
        self._set_service(_choose_service(route))
        self._arrival_s = context.read_clock()
        budget_s = route.timeout_s
        if call.budget_s is not None:
            budget_s = min(budget_s, call.budget_s)
        self._budget_s = budget_s
        self._deadline_s = self._arrival_s + budget_s
        self._finder = AnswerFinder(context.codec.decode_response_head)
        resumes_after = call.resumes_after if route.is_resumable else None
        self._splitter = EventSplitter(
            resumes_after,
            self._finder.has_answer,
            call.prompt.max_tokens if call.prompt else None,
        )
        # That began the stream; empty until then.
        self._build = ""
        # Of a stream that began with this call.
        self._origin: StreamOrigin | None = None
        self._attempts = 0
        self._may_have_run = False
        self._avoid: frozenset[str] = frozenset()
        self._tried_addresses: set[str] = set()
        self._exchange: UpstreamExchange | None = None
        self._sent_s: float | None = None
        self._progress = AttemptProgress.SENT
        self._is_withdrawn = False

    def _set_service(self, name: str) -> None:
        """Set the service, and its engines as configured now: that may change later."""
        service = self._context.cluster.deployment.find_service(name)
        self._service = name
        self._engine = service.engine if service else None

    async def run(self) -> None:
        """Handle the call; every outcome is answered, logged and counted."""
        limit_s = self._deadline_s - REPLY_MARGIN_S - self._context.read_clock()
        try:
            async with asyncio.timeout(max(0.0, limit_s)):
                await self._serve()
                # Nobody waits for what is not read in time.
                await self._caller.wait_until_sent()
            self.notes.outcome = self.notes.outcome or "answered"
        except TimeoutError:
            self._end_at_deadline()
        except FerryError as error:
            self._end_with(error)
        except asyncio.CancelledError:
            self.notes.outcome = "caller left"
            self._caller.abort()
        except Exception:
            _log.exception("unexpected error in call handler")
            self._end_with(OutcomeUnknown(ResultCode.INTERNAL_FAULT))
        finally:
            if self._exchange is not None:
                self._exchange.cancel()
            self._release()
            self._log_end()
            # What refers to the handler may be collected much later.
            self._call = replace(self._call, body=b"")

    def _record_loss(self, failure: AttemptFailed) -> None:
        """Note how far an attempt got that did not end with a whole answer."""
        if failure.ran:
            self.notes.losses.append(self._progress)

    @functools.cached_property
    def _fingerprint(self) -> int:
        """Hash that is equal for calls of one caller with the same path and body."""
        return hash_call(self._call, self._account.name if self._account else "")

    def _find_parts(self) -> frozenset[int]:
        """Return the hashes for which the call may be quarantined."""
        return frozenset((self._fingerprint,))

    def _check_quarantine(self) -> None:
        """
        Refuse a call that is quarantined.

        :raises NotRun: with the time for which it stays quarantined.
        """
        context = self._context
        wait_s = context.quarantine.find_wait(self._find_parts(), context.read_clock())
        if wait_s is not None:
            raise NotRun(ResultCode.CALL_QUARANTINED, "", wait_s)

    @functools.cached_property
    def _stream(self) -> int:
        """Number of the stream, which an earlier call of the caller may have begun."""
        call_id = self._call.resumes_call or self._call.call_id
        return hash_stream(call_id, self._account.name if self._account else "")

    async def _find_origin(self) -> None:
        """
        Find where a stream began that the caller takes up again.

        :raises NotRun: that is not known, and any of several builds may have begun it.
        """
        call, route, streams = self._call, self._route, self._context.streams
        if call.resumes_after is None or not route.is_resumable:
            return
        services = {target.service for target in route.targets}
        known = streams.find_known(self._stream)
        self.notes.origin = OriginSource.OTHER_GATEWAY
        if known is not None:
            self.notes.origin = OriginSource.REMEMBERED
        found = await streams.find(self._stream) if known or call.resumes_call else None
        if found is not None and not await streams.confirm(found):
            self._refuse_unknown_origin()
        if found is None or found.service not in services:
            if not await streams.have_one_build_each(services):
                self._refuse_unknown_origin()
            self.notes.origin = OriginSource.ONLY_BUILD
            self._build = streams.find_only_build(self._service) or ""
        else:
            self._set_service(found.service)
            self._build = found.build
            await self._context.learn_upstreams(
                ServiceBuild(found.service, found.build)
            )

    def _refuse_unknown_origin(self) -> NoReturn:
        self.notes.origin = OriginSource.UNKNOWN
        raise NotRun(ResultCode.STREAM_UNKNOWN, "", UNKNOWN_STREAM_RETRY_S)

    def _record_origin(self, record: UpstreamRecord) -> None:
        """Record the build that began the stream, before its caller has any of it."""
        if self._build or not self._route.is_resumable:
            return
        self._build = record.build
        connected_s = self._exchange.connected_s
        start = UpstreamStart(record.name, record.incarnation, connected_s)
        budget_s = max(self._budget_s, self._call.budget_s or 0.0)
        expires_s = self._arrival_s + min(budget_s, MAX_LIFETIME_S)
        self._origin = StreamOrigin(
            self._stream,
            self._service,
            record.build,
            expires_s,
            start,
            self._context.entry,
        )
        self._context.streams.record(self._origin)

    def _report_crash(self, record: UpstreamRecord, failure: AttemptFailed) -> None:
        """Report an upstream that was lost before it had begun an answer."""
        is_lost = failure.ran and self._exchange.is_ended_by_upstream
        if is_lost and not self._is_withdrawn:
            self._report_lost_parts(record, frozenset((self._fingerprint,)))

    def _report_lost_parts(self, record: UpstreamRecord, parts: frozenset[int]) -> None:
        self._context.crash_reports.report_crash(
            record.name, record.incarnation, parts, self._call.call_id
        )

    def _report_answer(self) -> None:
        """Report that an upstream answers the call."""
        parts = frozenset((self._fingerprint,))
        self._context.crash_reports.report_answer(parts)

    def _list_shared_parts(self) -> list[str]:
        prompt = self._call.prompt
        return [part.name for part in prompt.shared_parts] if prompt else []

    def _log_end(self) -> None:
        notes, begin_s = self.notes, self._arrival_s
        fields = {
            "call": self._call.call_id,
            "fingerprint": format_hash(self._fingerprint),
            "route": self._route.name,
            "service": self._service,
            "account": self._account.name if self._account else None,
            "outcome": notes.outcome,
            "cause": notes.cause,
            "upstreams": notes.upstreams,
            "attempts": [attempt.describe(begin_s) for attempt in notes.attempts],
            "version": notes.version,
            "limited_attempts": notes.limited_attempts,
            "kept_connections": notes.kept_connections,
            "losses": [progress.value for progress in notes.losses],
            "answer_ends": [end.describe() for end in notes.answer_ends],
            "parts": self._list_shared_parts(),
            "resumes_call": _limit_id(self._call.resumes_call),
            "resumes_after": _limit_id(self._call.resumes_after),
            "origin": notes.origin and notes.origin.value,
            "fetched_tokens": notes.fetched_tokens,
            "saved_tokens": notes.saved_tokens,
            "budget_ms": to_ms(self._budget_s),
            "started_ms": notes.started_s and to_ms(notes.started_s - begin_s),
            "first_ms": notes.first_s and to_ms(notes.first_s - begin_s),
            "total_ms": to_ms(self._context.read_clock() - begin_s),
        }
        now = self._context.read_clock()
        is_failure = notes.outcome != "answered"
        self._context.log.write("call ended", fields, now, is_failure=is_failure)
        self._context.metrics.record(
            fields["account"] or "",
            self._route.name,
            notes.outcome,
            len(notes.upstreams),
            notes.limited_attempts,
            [progress.value for progress in notes.losses],
            notes.first_s and notes.first_s - begin_s,
            now - begin_s,
        )

    async def _serve(self) -> None:
        raise NotImplementedError

    def _release(self) -> None:
        raise NotImplementedError

    def _has_upstream_timed_out(self, now: float) -> bool:
        """Whether the last upstream has not responded to the call in time."""
        if self.notes.first_s is not None or self._sent_s is None:
            return False
        return now - self._sent_s >= ANSWER_TIMEOUT_OBJECTIVES * self._route.objective_s

    def _end_at_deadline(self) -> None:
        if self._caller.is_answer_ended:
            self.notes.outcome = "caller read too slowly"
            self._caller.abort()
            return
        if self._may_have_run:
            self._end_with(OutcomeUnknown(ResultCode.UPSTREAM_TIMEOUT))
        else:
            self._end_with(NotRun(ResultCode.WAIT_NOT_KEPT))

    def _end_with(self, error: FerryError) -> None:
        self.notes.outcome = error.code.name.lower()
        self.notes.cause = error.detail
        if self._caller.is_head_sent:
            self._caller.abort()
            return
        if isinstance(error, NotRun) and self._may_have_run:
            error = OutcomeUnknown(ResultCode.UPSTREAM_LOST, error.detail)
        if error.retry_after_s is not None:
            left_s = self._deadline_s - self._context.read_clock()
            error.retry_after_s = min(
                error.retry_after_s, left_s * MAX_RETRY_AFTER_SHARE
            )
        self._caller.send_error(error)
        if error.retry_after_s is not None:
            self._record_return(error.retry_after_s)

    def _record_return(self, after_s: float) -> None:
        """Record when the caller is told to return."""

    async def _attempt(self, record: UpstreamRecord, version: int | None) -> None:
        """
        Send the call to an upstream and relay its answer.

        :raises AttemptFailed: no complete answer was received.
        """
        note = AttemptNote(record.name, self._context.read_clock(), version)
        note.build, note.incarnation = record.build, record.incarnation
        note.registry_age_s = self._context.measure_silence()
        if version is not None:
            note.replaced_s = self._find_replaced_age(version)
        self.notes.attempts.append(note)
        self._is_withdrawn = False
        try:
            await self._send(record, version)
            note.end = "answered"
        except AttemptFailed as found:
            failure = found
            if self._is_withdrawn:
                error = OutcomeUnknown(ResultCode.WEIGHTS_REPLACED, record.name)
                failure = AttemptFailed(error, ran=found.ran, arrived=found.arrived)
            note.end = failure.describe()
            if self._exchange.is_answer_hidden:
                self._context.dispatcher.record_unread_answer(record.name)
            self._exchange.close()
            if self._exchange.is_cut_off:
                sent_s = self._exchange.sent_s
                failure.resend_s = find_resend_time(sent_s, note.budget_s)
            raise failure from None
        finally:
            if self._exchange is not None:
                note.local_port = self._exchange.local_port
                note.received_bytes = self._exchange.received_bytes
                self._exchange.close()
                note.is_cut_off = self._exchange.is_cut_off

    def _withdraw(self) -> None:
        """End the present attempt unless its answer has begun."""
        if self._progress is AttemptProgress.CONTENT_RECEIVED or not self._exchange:
            return
        self._is_withdrawn = True
        self._exchange.cancel()

    def _find_replaced_age(self, version: int) -> float | None:
        """Return for how long newer weights have been wanted, None if none are."""
        model = self._call.prompt.model
        replaced_s = self._context.cluster.find_replacement_time(model, version)
        return None if replaced_s is None else read_boot_clock() - replaced_s

    async def _send(self, record: UpstreamRecord, version: int | None) -> None:
        context = self._context
        now = context.read_clock()
        self._attempts += 1
        self.notes.upstreams.append(record.name)
        # All open connections may be lost, as the one of the attempt before.
        needs_new = record.address in self._tried_addresses
        self._tried_addresses.add(record.address)
        if context.dispatcher.availability.limits.find(record.name) is not None:
            self.notes.limited_attempts += 1
        self.notes.started_s = self.notes.started_s or now
        budget = self._choose_budget(version, now)
        self.notes.attempts[-1].budget_s = budget.work_s
        options = ForwardOptions(
            upstream=record.name,
            budget_s=budget.work_s,
            account=self._account.name if self._account else None,
            version=version,
            cache_scope=self._cache_scope(version),
            rank=self._engine_rank(now) if self._call.prompt else None,
            resumes_after=self._splitter.last_id or self._call.resumes_after,
        )
        if version is not None:
            options = self._add_cache_sources(options, version)
        exchange = self._exchange = UpstreamExchange(
            context.client,
            record.address,
            self._call.method,
            self._call.target,
            context.codec.encode_call(self._call, options),
            self._call.body,
            call_id=self._call.call_id,
            decode_head=context.codec.decode_response_head,
            reuse=ConnectionReuse.NEW if needs_new else ConnectionReuse.NO_RESEND,
            idle_s=context.idle_s.get(record.name, DEFAULT_IDLE_S),
            timeout_s=options.budget_s + 1.0,
        )
        was_possible = self._may_have_run
        # Set before sending, as a timeout may end the call at any moment; restored if
        # the upstream states that it did not run the call.
        self._may_have_run = True
        self._sent_s = now
        self._progress = AttemptProgress.SENT
        try:
            async with asyncio.timeout(budget.answer_s):
                head = await exchange.wait_for_head()
        except TimeoutError:
            if asyncio.current_task().cancelling():
                raise
            exchange.cancel()
            self._sent_s = None
            error = OutcomeUnknown(ResultCode.UPSTREAM_TIMEOUT)
            raise AttemptFailed(error, ran=True) from None
        if head is None:
            self._sent_s = None
            if not exchange.was_sent:
                self._may_have_run = was_possible
            error = make_upstream_error(
                exchange.loss or RequestFailure.CONNECTION_LOST, record.name
            )
            sent = exchange.was_sent
            raise AttemptFailed(error, ran=sent, arrived=sent)
        self._sent_s = None
        self.notes.kept_connections += exchange.is_connection_kept
        if exchange.mismatch is not None:
            raise self._reject_answer(exchange, exchange.mismatch.value)
        self._record_head(record, head)
        context.record_limit(record, head, now)
        if head.did_not_run:
            self._may_have_run = was_possible
            if head.is_other_upstream and version is not None:
                context.check_version(record.name)
            error = NotRun(ResultCode.UPSTREAM_REFUSED, f"status {head.status}")
            raise AttemptFailed(error, ran=False)
        if head.reads_as_not_run:
            detail = f"status {head.status}, not stated whether it ran"
            error = OutcomeUnknown(ResultCode.UPSTREAM_LOST, detail)
            raise AttemptFailed(error, ran=True)
        is_stream = head.status == 200 and self._route.kind is CallKind.STREAM
        if self._caller.is_head_sent and not is_stream:
            exchange.cancel()
            error = OutcomeUnknown(ResultCode.UPSTREAM_LOST, f"status {head.status}")
            raise AttemptFailed(error, ran=True)
        if is_stream and self._build:
            await self._check_start(record, exchange)
        self.notes.version = head.version
        if head.status < 300:
            self._progress = AttemptProgress.ANSWER_BEGUN
        if is_stream:
            await self._relay_stream(exchange, head, record)
        else:
            await self._relay_whole(exchange, head)

    async def _check_start(
        self, record: UpstreamRecord, exchange: UpstreamExchange
    ) -> None:
        """
        Check that the upstream has not started again with another build.

        :raises AttemptFailed: it has, or may have.
        """
        start = UpstreamStart(record.name, record.incarnation, exchange.connected_s)
        if not await self._context.starts.confirm_running(start):
            exchange.cancel()
            error = OutcomeUnknown(ResultCode.UPSTREAM_LOST, "start not confirmed")
            raise AttemptFailed(error, ran=True, is_upstream_sound=True)

    async def _prepare_continuation(self, upstream: str) -> None:
        """
        Find out which build began the stream, and which one the upstream has now.

        What remains open is decided when the upstream answers.

        :raises NotRun: the build that began the stream is not certain.
        """
        if not self._build:
            return
        context = self._context
        if self._origin and not await context.streams.confirm(self._origin):
            raise NotRun(ResultCode.STREAM_UNKNOWN, "start not confirmed")
        now = read_boot_clock()
        record = context.cluster.find_record(upstream)
        if not await context.catch_up(now) and record is not None:
            present = UpstreamStart(upstream, record.incarnation, now - ENTRY_DELAY_S)
            await context.starts.confirm(present)

    def _choose_budget(self, version: int | None, now: float) -> AttemptBudget:
        """Return the limits on the time of the present attempt."""
        left_s = max(0.0, self._deadline_s - now)
        return AttemptBudget(left_s, self._find_answer_timeout())

    def _find_answer_timeout(self) -> float | None:
        """Return after how long without an answer the call may go on elsewhere."""
        if not self._can_repeat():
            return None
        return ANSWER_TIMEOUT_OBJECTIVES * self._route.objective_s

    def _add_cache_sources(
        self, options: ForwardOptions, version: int
    ) -> ForwardOptions:
        """Add where to fetch the shared parts of a prompt and where to store them."""
        prompt, kept, cluster = (
            self._call.prompt,
            self._context.kept,
            self._context.cluster,
        )
        now = read_boot_clock()
        may_fetch = self._context.find_fetch_deadline(0.0) is not None
        if not may_fetch or not cluster.may_read_stored(prompt.model, version, now):
            return options
        is_wanted = cluster.find_wanted_version(prompt.model) == version
        fetches: list[str | None] = []
        saves: list[str | None] = []
        names = [f"{options.cache_scope}/{part.name}" for part in prompt.shared_parts]
        engines = self._find_engines(options.upstream, tuple(names))
        for part, name, engine in zip(prompt.shared_parts, names, engines, strict=True):
            source = kept.find(name, now)
            home = None
            if is_wanted and not source:
                home = kept.choose_save_target(name, part.tokens, now)
            self.notes.fetched_tokens += part.tokens if source or engine else 0
            self.notes.saved_tokens += part.tokens if home else 0
            fetches.append(source.address if source else engine)
            saves.append(home.address if home else None)
        # The last part is not shared with other calls.
        return replace(
            options,
            fetch_from=(*fetches, None),
            save_to=(*saves, None),
            fetch_until_s=self._find_fetch_deadline(fetches),
        )

    def _find_fetch_deadline(self, sources: list[str | None]) -> float | None:
        """Return the deadline for fetching parts, None when none is fetched."""
        if not any(sources):
            return None
        parts = zip(self._call.prompt.shared_parts, sources, strict=True)
        tokens = sum(part.tokens for part, source in parts if source)
        rate = self._context.dispatcher.find_prefill_rate(self._service)
        objective_end_s = self._arrival_s + self._route.objective_s
        left_s = objective_end_s - self._context.read_clock()
        fetch_s = choose_fetch_timeout(left_s, tokens / max(1.0, rate))
        return self._context.find_fetch_deadline(fetch_s)

    def _find_engines(self, upstream: str, names: tuple[str, ...]) -> list[str | None]:
        """Return, for each part, the address of another engine to fetch it from."""
        context = self._context
        engine = self._engine
        rate = context.dispatcher.find_prefill_rate(self._service)
        if engine is None or not is_fetch_faster(
            engine.token_bytes, engine.link_bytes_per_s, rate
        ):
            return [None] * len(names)
        found = context.dispatcher.find_fetch_sources(
            upstream, names, context.read_clock()
        )
        records = [name and context.cluster.find_record(name) for name in found]
        return [record.address if record else None for record in records]

    def _record_head(self, record: UpstreamRecord, head: ResponseHead) -> None:
        context = self._context
        now = context.read_clock()
        note = self.notes.attempts[-1]
        note.head_s, note.refused_s = now, head.refuses_for_s
        context.dispatcher.record_read_answer(record.name)
        if head.idle_s is not None:
            context.idle_s[record.name] = head.idle_s - IDLE_MARGIN_S
        context.cluster.record_load(record.name, head.load, head.version, now)
        if head.cold_left_s is not None:
            context.cluster.record_cold(
                record.name, head.cold_left_s, "its answer", now
            )
        if head.is_leaving:
            context.cluster.record_leaving(record.name, now)
        if head.refuses_for_s is not None:
            until_s = now + head.refuses_for_s
            context.dispatcher.set_cooldown(record.name, record.incarnation, until_s)

    async def _relay_whole(
        self, exchange: UpstreamExchange, head: ResponseHead
    ) -> None:
        body = await exchange.read_body()
        self.notes.answer_ends.append(AnswerEnd(exchange.framing, 0, exchange.loss))
        if exchange.loss is not None:
            error = make_upstream_error(exchange.loss, "in the answer")
            raise AttemptFailed(error, ran=True)
        is_framed = exchange.framing is not Framing.CONNECTION
        if self._finder.has_answer(body, is_framed=is_framed):
            raise self._reject_answer(exchange, "another answer in the body")
        if exchange.ends_in_another:
            raise self._reject_answer(exchange, "body completed by another answer")
        self._report_answer()
        if head.status >= 500 and self._can_repeat():
            error = OutcomeUnknown(ResultCode.UPSTREAM_LOST, f"status {head.status}")
            raise AttemptFailed(error, ran=True)
        self.notes.first_s = self._context.read_clock()
        self.notes.outcome = (
            "answered" if head.status < 300 else f"status {head.status}"
        )
        if head.status < 300:
            self._record_content()
        self._caller.send_complete(head.status, head.reason, list(head.headers), body)

    async def _relay_stream(
        self, exchange: UpstreamExchange, head: ResponseHead, record: UpstreamRecord
    ) -> None:
        while (chunk := await exchange.read_chunk()) is not None:
            try:
                events = self._splitter.feed(chunk)
            except ValueError as cause:
                exchange.cancel()
                self._splitter.discard_partial()
                failure = self._reject_answer(exchange, str(cause))
                failure.endless = isinstance(cause, EndlessStream)
                raise failure from None
            exchange.held.set_size(Place.EVENT, self._splitter.buffered_bytes)
            if not events:
                continue
            if self._progress is not AttemptProgress.CONTENT_RECEIVED:
                self._progress = AttemptProgress.CONTENT_RECEIVED
                self.notes.attempts[-1].first_s = self._context.read_clock()
                self._report_answer()
                self._record_content()
            if not self._caller.is_head_sent:
                self.notes.first_s = self._context.read_clock()
                self._record_origin(record)
                self._record_first_event()
                self._caller.send_head(head.status, head.reason, list(head.headers))
            self._caller.send_chunk(events)
            # More of the stream is received when the caller has read this.
            await self._caller.wait_until_sent()
        loss = exchange.loss or self._find_truncation(exchange)
        partial_bytes = self._splitter.partial_bytes
        self.notes.answer_ends.append(AnswerEnd(exchange.framing, partial_bytes, loss))
        if loss is not None:
            self._splitter.discard_partial()
            error = make_upstream_error(loss, "in the stream")
            raise AttemptFailed(error, ran=True)
        rest = self._splitter.flush()
        if not self._caller.is_head_sent:
            self._caller.send_head(head.status, head.reason, list(head.headers))
        self._caller.send_chunk(rest)
        self._caller.finish()

    def _reject_answer(self, exchange: UpstreamExchange, cause: str) -> AttemptFailed:
        """Log an answer that is not relayed, and return the failure of its attempt."""
        upstream = self.notes.upstreams[-1]
        received = exchange.head.call_id
        fields = {
            "call": self._call.call_id,
            "cause": cause,
            "upstream": upstream,
            "attempt": self._attempts,
            "received_call": _limit_id(received),
            "status": exchange.head.status,
            "is_connection_kept": exchange.is_connection_kept,
            "local_port": exchange.local_port,
            "is_answer_begun": self._caller.is_head_sent,
        }
        now = self._context.read_clock()
        self._context.log.write("answer not relayed", fields, now, is_failure=True)
        error = OutcomeUnknown(ResultCode.ANSWER_MISMATCHED, f"{upstream}: {cause}")
        return AttemptFailed(error, ran=True)

    def _find_truncation(self, exchange: UpstreamExchange) -> RequestFailure | None:
        """Return why a stream that has ended is not complete, None if it is."""
        is_empty = self._progress is not AttemptProgress.CONTENT_RECEIVED
        is_unframed = exchange.framing is Framing.CONNECTION
        if self._splitter.has_partial or (is_empty and is_unframed):
            return RequestFailure.TRUNCATED
        return None

    def _record_first_event(self) -> None:
        """Record the first event of the stream; by default nothing."""

    def _record_content(self) -> None:
        """Record the first content of an attempt's answer; by default nothing."""

    def _can_repeat(self) -> bool:
        return self._route.may_repeat and self._attempts < self._route.max_attempts

    def _engine_rank(self, now: float) -> int:
        """
        Return the rank at the engine.

        A call that is past its objective must not delay those that can still meet it.
        """
        is_late = now > self._arrival_s + self._route.objective_s
        return self._rank + (LATE_RANK_PENALTY if is_late else 0)

    @property
    def _rank(self) -> int:
        if self._account is not None and self._account.rank is not None:
            return self._account.rank
        return self._route.rank

    def _cache_scope(self, version: int | None) -> str | None:
        """Return the scope of the cache: the version, and an isolated account."""
        if version is None:
            return None
        if self._account is not None and self._account.is_isolated:
            return f"{version}.{self._account.name}"
        return f"{version}"


def _limit_id(text: str | None) -> str | None:
    return text and text[:MAX_LOGGED_ID_CHARS]


def _choose_service(route: CallRoute) -> str:
    weights = [target.weight for target in route.targets]
    if len(weights) == 1 or sum(weights) <= 0:
        return route.targets[0].service
    return random.choices(route.targets, weights)[0].service
