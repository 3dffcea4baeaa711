"""The gateway: owns all components of the process and connects them."""

import asyncio
import logging
import random
import time
from collections.abc import Callable, Iterable

from persimmonferry_core.cache_stores import CacheStoreIndex, StoreUpdate
from persimmonferry_core.codes import ResultCode
from persimmonferry_core.deployment import CallRoute, Deployment, UpstreamRecord
from persimmonferry_core.dispatch import Dispatcher, Refused
from persimmonferry_core.exceptions import FerryError, NotRun
from persimmonferry_core.incoming import IncomingCall
from persimmonferry_core.quarantine import Crash, Quarantine
from persimmonferry_core.retries import RetryPolicy
from persimmonferry_core.retry_shares import RetryShares
from persimmonferry_core.schema import TeamDocument
from persimmonferry_core.stream_origins import ServiceBuild, StreamOrigins
from persimmonferry_core.topology import Address
from persimmonferry_core.upstream_starts import StartVerdict, UpstreamStart
from persimmonferry_core.upstreams.limits import LimitNotice, make_notice
from persimmonferry_wire.generated.peers.ttypes import (
    EntryNews,
    StreamNews,
    WeightsNews,
)
from tornado.web import RequestHandler

from persimmonferry_gateway.build_records import BuildRecords
from persimmonferry_gateway.call_handler import CallContext, CallHandler
from persimmonferry_gateway.call_log import RateLimitedLog
from persimmonferry_gateway.callers import (
    CallerConnection,
    CallerServer,
    ReceivedRequest,
)
from persimmonferry_gateway.clocks import estimate_process_start, read_boot_clock
from persimmonferry_gateway.cluster_state import ClusterState
from persimmonferry_gateway.crash_reports import CrashReports
from persimmonferry_gateway.dispatch_document import CACHE_STORE_SOURCE
from persimmonferry_gateway.entry_questions import EntryQuestions
from persimmonferry_gateway.interfaces import (
    Changes,
    Codec,
    Item,
    Registry,
    ResponseHead,
    Snapshot,
)
from persimmonferry_gateway.leadership import LeaderElection
from persimmonferry_gateway.metrics import (
    CallMetrics,
    GatewayFigures,
    MetricsServer,
)
from persimmonferry_gateway.open_connections import limit_connections
from persimmonferry_gateway.page_server import PageServer
from persimmonferry_gateway.peers import PeerExchange
from persimmonferry_gateway.plain_handler import PlainHandler
from persimmonferry_gateway.probes import Prober
from persimmonferry_gateway.prompt_handler import PromptHandler
from persimmonferry_gateway.registration import Registration
from persimmonferry_gateway.registry_items import apply_each
from persimmonferry_gateway.registry_watch import RegistryWatch
from persimmonferry_gateway.settings import GatewaySettings
from persimmonferry_gateway.start_checks import ReportedStart, StartChecks
from persimmonferry_gateway.stores import StoreWatch
from persimmonferry_gateway.stream_directory import StreamDirectory
from persimmonferry_gateway.upstream_client import CancellableClient
from persimmonferry_gateway.weight_ages import WeightAges
from persimmonferry_gateway.weights import WeightRollout

__all__ = ["Gateway"]

OWN_PREFIX = "persimmonferry/"
ROLLOUT_KEY = OWN_PREFIX + "rollout"
# Parts are fetched only if the registry's changes until then are known, as parts of
# replaced weights are freed some seconds after newer ones are wanted.
MAX_REGISTRY_SILENCE_FOR_FETCH_S = 3.0
GATEWAY_PREFIX = OWN_PREFIX + "gateways/"
QUARANTINE_PREFIX = OWN_PREFIX + "quarantine/"
BUILD_PREFIX = OWN_PREFIX + "builds/"
# The entry of a gateway that was killed expires after this time; its messages stop at
# once.
REGISTRATION_LEASE_S = 5.0
# Interval of the checks for expired entries and for engines with outdated weights.
MAINTENANCE_INTERVAL_S = 0.25
# A pause between two of these checks that is logged.
LOGGED_STANDSTILL_S = 1.0
# No prompts are sent to engines with replaced weights from this long before the limit
# on; earlier ones only if they are expected to start in time.
OUTDATED_MARGIN_S = 1.5
# Prompts that have not started at these engines are ended this long before the limit:
# the next check is up to one interval later, and an engine has to notice it.
START_MARGIN_S = 0.75
OUTDATED_SOURCE = "outdated weights"
NO_CONFIGURATION_RETRY_S = 0.5
NS_PER_MS = 1_000_000
# Time between the end of the last calls and the kill of the process.
KILL_MARGIN_S = 0.5
CLOSE_INTERVAL_S = 0.05
# Assigning costs processor time for each waiting request, so events within this time
# share one assignment.
MIN_ASSIGN_INTERVAL_S = 0.004
# Time to close connections once they are idle, and to send the last short answers.
CLOSING_S = 0.5
# A call that arrives while the process stops is accepted if there is time for this many
# times its objective.
ANSWER_OBJECTIVES = 10
STOPPING_RETRY_S = 0.3
# Each gateway uses only this share of the retry budget: it counts retries in the two
# halves of a window, and each of them may have as many.
RETRY_MARGIN = 0.5
MAX_ATTEMPTS = 3
# Share of the process's memory for answers; joining their parts takes as much again.
ANSWER_MEMORY_SHARE = 0.25
# For bodies of requests, without the one that may be received when all is held.
REQUEST_MEMORY_SHARE = 0.25
# For both together.
SHARED_MEMORY_SHARE = 0.3

_log = logging.getLogger(__name__)


class Gateway:
    """
    One gateway process.

    :param registry: the platform's metadata store.
    :param codec: encodes and decodes the platform's calls and entries.
    :param started_s: when the process started, on the boot clock.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        registry: Registry,
        codec: Codec,
        client: CancellableClient,
        started_s: float | None = None,
    ) -> None:
        self._started_s = estimate_process_start() if started_s is None else started_s
        self._settings = settings
        self._registry = registry
        self._codec = codec
        self._loop = asyncio.get_running_loop()
        self._dispatcher = Dispatcher(
            TeamDocument("", 0, (), (), (), ()),
            seed=random.getrandbits(32),
            entry=settings.name,
            failure_domain=settings.failure_domain,
        )
        self._cluster = ClusterState(codec, self._dispatcher)
        self._cluster.set_cold_bound(settings.cold_bound, self._loop.time())
        self._peers = PeerExchange(
            settings.name,
            time.time_ns() // NS_PER_MS,
            settings.internal,
            self._dispatcher,
            self._cluster.record_version,
            self._apply_store_update,
            self._record_peer_limit,
            self._record_peer_crashes,
            self._receive_stream_news,
            self._receive_weights_news,
            self._receive_entry_news,
        )
        self._entry_questions = EntryQuestions(
            settings.name,
            lambda: self._peers.list_alive()[1:],
            self._peers.send_entries,
            self._peers.reply_entries,
            lambda: self._catch_up(read_boot_clock()),
            lambda name: self._cluster.find_settled_record(name, self._loop.time()),
            self._cluster.list_serving,
        )
        self._weight_ages = WeightAges(
            settings.name,
            self._cluster.named,
            lambda: self._peers.list_alive()[1:],
            self._peers.send_weights,
            self._peers.reply_weights,
            self._find_assumed_change_time,
            self._apply_weight_ages,
        )
        self._starts = StartChecks(
            self._judge_start,
            self._catch_up,
            self._ask_upstream,
            self._ask_gateways,
            read_boot_clock,
        )
        self._origins = StreamOrigins(settings.name)
        self._streams = StreamDirectory(
            settings.name,
            self._origins,
            self._loop.time,
            self._peers.send_streams,
            self._peers.reply_streams,
            lambda: self._catch_up(read_boot_clock()),
            self._starts,
        )
        self._build_records = BuildRecords(
            registry, BUILD_PREFIX, self._origins.is_first_holder
        )
        self._quarantine = Quarantine(settings.name)
        self._crash_reports = CrashReports(
            self._quarantine,
            registry,
            QUARANTINE_PREFIX,
            self._loop.time,
            self._peers.announce_crash,
            self._peers.announce_sound,
            self._refuse_quarantined,
        )
        self._registration = Registration(
            registry,
            GATEWAY_PREFIX + settings.name,
            str(settings.internal).encode(),
            REGISTRATION_LEASE_S,
        )
        self._gateways: dict[str, Address] = {}
        self._retry_shares = RetryShares(settings.name, self._started_s)
        self._retry_policy: RetryPolicy | None = None
        self._prober = Prober(codec, client)
        self._metrics = CallMetrics(self._read_figures)
        self._metrics_server = MetricsServer(settings.internal, self._metrics)
        self._held_bytes = client.held_bytes
        self._store_index = CacheStoreIndex()
        self._stores = StoreWatch(
            self._store_index,
            codec,
            client,
            self._record_stored,
            settings.name,
            self._peers.list_alive,
            self._peers.queue_update,
        )
        self._context = CallContext(
            settings.name,
            codec,
            self._cluster,
            self._dispatcher,
            client,
            self._loop.time,
            self._schedule_assignment,
            self._peers.queue_held,
            self._peers.announce_return,
            self._check_version,
            self._store_index,
            RateLimitedLog(_log),
            self._metrics,
            self._record_limit,
            self._find_fetch_deadline,
            self._find_weights_left,
            lambda: self._settings.replaced_weights_limit_s,
            self._quarantine,
            self._crash_reports,
            self._streams,
            self._starts,
            self._catch_up,
            self._learn_upstreams,
            lambda: self._registry_watch.measure_silence(),
            self._peers.announce_call,
        )
        self._registry_watch = RegistryWatch(
            registry,
            self._apply_snapshot,
            self._apply_changes,
            self._record_registry_reachable,
        )
        self._election = LeaderElection(
            registry, ROLLOUT_KEY, settings.name, settings.lease_s
        )
        self._rollout = WeightRollout(
            self._election,
            self._cluster,
            codec,
            client,
            settings,
            self._peers.find_last_loading,
            self._peers.announce_loading,
            self._dispatcher.count_cached_tokens,
            self._prober,
            self._stores,
            self._loop.time,
        )
        self._server = CallerServer(
            settings.callers.host,
            settings.callers.port,
            self._accept,
            self._loop.time,
            client.held_bytes,
        )
        self._limit_held_bytes()
        self._readiness = PageServer(
            settings.readiness,
            [(r"/.*", _ReadinessHandler, {"check": self._is_ready})],
        )
        self._tasks: set[asyncio.Task] = set()
        self._timers: list[asyncio.TimerHandle] = []
        self._call_number = 0
        self._is_stopping = False
        self._last_answer_s: float | None = None
        self._notice_end_s = float("inf")
        self._assign_timer: asyncio.TimerHandle | None = None
        self._assigned_s = 0.0
        self._maintained_s = read_boot_clock()
        self._update_retry_policy(read_boot_clock())

    async def start(self) -> None:
        """Start serving."""
        self._server.start()
        self._readiness.start()
        self._metrics_server.start()
        await self._peers.start()
        self._registry_watch.start()
        self._registration.start()
        self._election.start()
        self._rollout.start()
        self._crash_reports.start()
        self._build_records.start()
        self._maintain()

    async def stop(self) -> None:
        """Drain the calls in progress, then stop all components."""
        self._is_stopping = True
        self._server.is_stopping = True
        began_s = self._loop.time()
        self._notice_end_s = began_s + self._settings.balancer_notice_s
        await self._rollout.stop()
        await self._election.stop()
        # Others ask the next holders as soon as this gateway's entry is gone.
        self._streams.hand_over()
        await self._registration.stop()
        await self._drain(began_s)
        await self._server.close()
        self._streams.hand_over()
        self._weight_ages.stop()
        self._peers.stop()
        await self._metrics_server.stop()
        await self._stores.stop()
        await self._crash_reports.stop()
        await self._build_records.stop()
        await self._registry_watch.stop()

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply changed settings; calls in progress are not affected."""
        self._settings = settings
        self._limit_held_bytes()
        self._rollout.apply_settings(settings)
        self._cluster.set_cold_bound(settings.cold_bound, self._loop.time())
        self._update_retry_policy(read_boot_clock())

    def _read_figures(self) -> GatewayFigures:
        dispatcher, now = self._dispatcher, self._loop.time()
        availability = dispatcher.availability
        return GatewayFigures(
            registry_calls=self._registry.calls,
            limits=availability.limits.list_limits(),
            limit_shares=availability.limits.list_shares(),
            quarantined=self._crash_reports.count_crashes(),
            retries=dispatcher.list_retries(),
            closures=availability.count_closures(self._cluster.fleet.records, now),
            ceilings=availability.rates.list_ceilings(now),
            cold=availability.rates.list_cold(now),
            evacuated=self._cluster.evacuated,
            slowness=dispatcher.list_slowness(now),
            paces=dispatcher.list_paces(),
            room=dispatcher.measure_room(now),
            promises=dispatcher.promises,
            held_bytes=self._held_bytes,
            callers=self._server.count_callers(),
        )

    def _limit_held_bytes(self) -> None:
        """Divide the memory, the descriptors and the link of the VM."""
        settings, room = self._settings, self._server.room
        if settings.memory_bytes is not None:
            memory_bytes = settings.memory_bytes
            self._held_bytes.limit_bytes = int(ANSWER_MEMORY_SHARE * memory_bytes)
            room.limit_bytes = int(REQUEST_MEMORY_SHARE * memory_bytes)
            self._held_bytes.shared_bytes = int(SHARED_MEMORY_SHARE * memory_bytes)
        if settings.link_bytes_per_s:
            room.link_bytes_per_s = settings.link_bytes_per_s
        self._server.connections.limit, _ = limit_connections(
            settings.memory_bytes, settings.descriptors
        )

    async def _drain(self, began_s: float) -> None:
        """
        Wait for the calls in progress, and close the server.

        Callers that still connect after the balancer's notice period have no other
        gateway to connect to, so the server stays open until no calls are left or
        time runs out.
        """
        self._last_answer_s = began_s + self._settings.grace_s - KILL_MARGIN_S
        closing_s = self._last_answer_s - CLOSING_S
        now = self._loop.time()
        while now < closing_s and (
            now < began_s + self._settings.balancer_notice_s or self._tasks
        ):
            await asyncio.sleep(CLOSE_INTERVAL_S)
            now = self._loop.time()
        self._server.stop_accepting()
        while self._server.close_idle(self._loop.time()) or self._tasks:
            if self._loop.time() >= self._last_answer_s:
                _log.warning(
                    "calls aborted at the end of the grace period",
                    extra={"calls": len(self._tasks)},
                )
                return
            await asyncio.sleep(CLOSE_INTERVAL_S)

    def _check_time_left(self, route: CallRoute, call: IncomingCall) -> None:
        """
        Refuse a call that may not be answered before this process is killed.

        :raises NotRun: with the time after which to retry at another gateway.
        """
        if self._last_answer_s is None:
            return
        budget_s = min(route.timeout_s, call.budget_s or route.timeout_s)
        left_s = self._last_answer_s - self._loop.time()
        needed_s = min(budget_s, ANSWER_OBJECTIVES * route.objective_s)
        if self._loop.time() > self._notice_end_s and needed_s > left_s:
            raise NotRun(ResultCode.STOPPING, "", STOPPING_RETRY_S)

    def _is_ready(self) -> bool:
        return (
            not self._is_stopping
            and self._cluster.deployment is not None
            and bool(self._cluster.fleet.records)
        )

    def _accept(self, request: ReceivedRequest, caller: CallerConnection) -> None:
        try:
            work = self._make_handler(request, caller)
        except FerryError as error:
            caller.send_error(error)
            request.release()
            return
        task = asyncio.create_task(work.run())
        release = request.release
        task.add_done_callback(lambda _: release())
        self._tasks.add(task)
        caller.set_disconnect_callback(task.cancel)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(lambda ended: _end_unanswered(ended, caller))

    def _make_handler(
        self, request: ReceivedRequest, caller: CallerConnection
    ) -> CallHandler:
        """
        Find the route and the account of a request and return its handler.

        :raises NotRun: the request is refused.
        """
        call = self._codec.decode_call(
            request.method, request.target, request.headers, request.body
        )
        deployment = self._cluster.deployment
        if deployment is None:
            raise NotRun(ResultCode.NO_CONFIGURATION, "", NO_CONFIGURATION_RETRY_S)
        route = deployment.find_route(call.host, call.path)
        if route is None:
            raise NotRun(ResultCode.UNKNOWN_ROUTE)
        account = None
        if route.needs_key and deployment.accounts:
            account = deployment.find_account(call.key or "")
            if account is None:
                raise NotRun(ResultCode.INVALID_KEY)
        self._check_time_left(route, call)
        self._call_number += 1
        kind = PlainHandler
        if call.prompt is not None and self._is_model_route(route):
            kind = PromptHandler
        return kind(self._context, self._call_number, call, route, account, caller)

    def _is_model_route(self, route: CallRoute) -> bool:
        service = self._cluster.deployment.find_service(route.targets[0].service)
        return service is not None and service.engine is not None

    def _schedule_assignment(self) -> None:
        """Schedule an assignment, at least ``MIN_ASSIGN_INTERVAL_S`` after the last."""
        if self._assign_timer is not None:
            self._assign_timer.cancel()
        self._assign_timer = self._loop.call_at(
            self._assigned_s + MIN_ASSIGN_INTERVAL_S, self._assign
        )

    def _assign(self) -> None:
        """Start the requests that can start now, and schedule the next assignment."""
        now = self._assigned_s = self._loop.time()
        self._assign_timer = None
        for refusal in self._dispatcher.expire(now):
            self._resolve(refusal.request_id, refusal)
        assignments = self._dispatcher.assign(now)
        for assignment in assignments:
            self._resolve(assignment.request.request_id, assignment)
        started = self._dispatcher.describe_started(
            assignments, heavy_only=not self._peers.announces_every_dispatch
        )
        self._peers.announce_started(started)
        next_s = self._dispatcher.next_event(now)
        if next_s is not None:
            self._assign_timer = self._loop.call_at(next_s, self._assign)

    def _record_limit(
        self, record: UpstreamRecord, head: ResponseHead, sent_s: float
    ) -> None:
        """Record the limit that an upstream stated with a response, or its end."""
        if head.is_other_upstream:
            return
        is_success = head.is_genuine and head.status < 300
        if head.calls_per_s is None and not is_success:
            return
        notice = make_notice(
            record.name,
            record.incarnation,
            head.calls_per_s,
            sent_s,
            self._loop.time(),
        )
        former = self._dispatcher.availability.limits.find(record.name)
        if self._cluster.record_limit(notice, "its answer", self._loop.time()):
            is_changed = head.calls_per_s != former
            self._peers.announce_limit(notice, is_changed=is_changed)

    def _record_peer_limit(self, notice: LimitNotice, sender: str) -> bool:
        return self._cluster.record_limit(notice, sender, self._loop.time())

    def _record_peer_crashes(
        self, crashes: tuple[Crash, ...], sound: frozenset[int], sender: str
    ) -> None:
        self._crash_reports.receive(crashes, sound, sender)

    def _receive_stream_news(self, news: StreamNews, address: tuple[str, int]) -> None:
        self._streams.receive(news, address)

    def _receive_weights_news(
        self, news: WeightsNews, address: tuple[str, int]
    ) -> None:
        self._weight_ages.receive(news, address)

    def _receive_entry_news(self, news: EntryNews, address: tuple[str, int]) -> None:
        self._entry_questions.receive(news, address)

    def _apply_weight_ages(self) -> None:
        self._limit_starts(self._loop.time(), read_boot_clock())
        self._schedule_assignment()

    def _refuse_quarantined(self) -> None:
        """Refuse the queued prompts that have been quarantined."""
        now = self._loop.time()
        for request_id, parts in tuple(self._context.waiting_parts.items()):
            wait_s = self._quarantine.find_wait(parts, now)
            if wait_s is not None:
                code = ResultCode.CALL_QUARANTINED
                self._resolve(request_id, Refused(request_id, code, wait_s))

    def _check_version(self, upstream: str) -> None:
        """Ask an engine that refused a call for the version of its weights."""
        record = self._cluster.find_record(upstream)
        if record is None:
            return
        task = asyncio.create_task(self._ask_version(record))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _judge_start(self, start: UpstreamStart) -> StartVerdict:
        current_s = self._registry_watch.current_s
        return self._cluster.judge_start(start, current_s, self._loop.time())

    async def _catch_up(self, until_s: float) -> bool:
        return await self._registry_watch.catch_up(until_s)

    async def _ask_gateways(self, upstream: str) -> ReportedStart | None:
        """Ask other gateways which process an upstream is by its entry."""
        record = await self._entry_questions.ask_record(upstream)
        if record is None:
            return None
        self._learn((record,))
        return ReportedStart(record.incarnation)

    async def _ask_upstream(self, upstream: str) -> ReportedStart | None:
        """Ask an upstream which process it is."""
        record = self._cluster.find_record(upstream)
        report = await self._prober.ask(record) if record else None
        if report is None or report.incarnation is None:
            return None
        return ReportedStart(report.incarnation)

    async def _learn_upstreams(self, item: ServiceBuild) -> None:
        """Ask other gateways for upstreams of a build if none is known here."""
        if self._cluster.list_serving(item) or await self._catch_up(read_boot_clock()):
            return
        self._learn(await self._entry_questions.ask_serving(item))

    def _learn(self, records: Iterable[UpstreamRecord]) -> None:
        self._streams.settle()
        if self._cluster.learn(records, self._loop.time()):
            self._after_change()

    async def _ask_version(self, record: UpstreamRecord) -> None:
        report = await self._prober.ask(record)
        for _, version in report.versions if report else ():
            self._cluster.record_version(record.name, version, self._loop.time())
            self._schedule_assignment()

    def _resolve(self, request_id: str, answer: object) -> None:
        future = self._context.waiting.get(request_id)
        if future is not None and not future.done():
            future.set_result(answer)

    def _apply_snapshot(self, snapshot: Snapshot) -> None:
        # While the entries are as they were when the registry was last current.
        self._streams.settle()
        self._cluster.apply_snapshot(
            snapshot, self._loop.time(), self._find_change_time()
        )
        if snapshot.is_restored:
            self._election.record_history_replaced(read_boot_clock())
        keys = {item.key for item in snapshot.items}
        self._election.record_leader(ROLLOUT_KEY in keys)
        self._apply_all_gateways(snapshot)
        self._crash_reports.apply_snapshot(snapshot)
        self._build_records.apply_snapshot(snapshot)
        self._after_registry_change()

    def _apply_changes(self, changes: Changes) -> None:
        self._streams.settle()
        self._cluster.apply_changes(
            changes, self._loop.time(), self._find_change_time()
        )
        for item in changes.items:
            if item.key == ROLLOUT_KEY:
                self._election.record_leader(item.value is not None)
        self._apply_gateways(changes.items)
        self._crash_reports.apply_items(changes.items)
        self._build_records.apply_items(changes.items)
        self._after_registry_change()

    def _find_change_time(self) -> float:
        """Return the earliest time at which the last changes may have been made."""
        return read_boot_clock() - self._registry_watch.gap_s

    def _find_assumed_change_time(self) -> float:
        """
        Return since when weights count as wanted if no gateway knows.

        Limits on the delays of a process apply from its start and the grace on. Until
        then, it may send to weights that were replaced just before.
        """
        settings = self._settings
        unknown_age_s = settings.replaced_weights_limit_s - settings.startup_grace_s
        return self._started_s - max(0.0, unknown_age_s)

    def _apply_all_gateways(self, snapshot: Snapshot) -> None:
        """
        Replace the gateways with those of a snapshot.

        Those that a restored registry has lost register again. Until then they still
        share the work, the limits and the retry budget.
        """
        if not snapshot.is_restored:
            self._gateways.clear()
            self._apply_gateways(snapshot.items)
            return
        known = {GATEWAY_PREFIX + name for name in self._gateways}
        self._apply_gateways(
            tuple(item for item in snapshot.items if item.key not in known)
        )

    def _apply_gateways(self, items: tuple[Item, ...]) -> None:
        entries = [item for item in items if item.key.startswith(GATEWAY_PREFIX)]
        apply_each(entries, self._apply_gateway)
        if entries:
            self._peers.set_peers(self._gateways)
            self._quarantine.set_entries(self._gateways)
            self._origins.set_entries(self._gateways)
            boot_s = read_boot_clock()
            self._retry_shares.set_entries(self._gateways, boot_s)
            self._update_retry_policy(boot_s)

    def _apply_gateway(self, item: Item) -> None:
        name = item.key.removeprefix(GATEWAY_PREFIX)
        self._gateways.pop(name, None)
        if item.value is None:
            return
        try:
            self._gateways[name] = Address.parse(item.value.decode())
        except ValueError as error:
            cause = {"key": item.key, "cause": str(error)}
            _log.warning("gateway entry malformed", extra=cause)

    def _after_registry_change(self) -> None:
        self._cluster.fleet.record_received()
        self._retry_shares.confirm(read_boot_clock())
        self._after_change()

    def _after_change(self) -> None:
        """Pass a changed view of the deployment on."""
        deployment = self._cluster.deployment
        if deployment is not None:
            self._server.set_limits(deployment.limits)
            self._stores.configure(deployment.stores)
            self._apply_builds(deployment)
        self._peers.set_engines(self._cluster.list_engine_names())
        self._weight_ages.check()
        self._limit_starts(self._loop.time(), read_boot_clock())
        self._schedule_assignment()

    def _apply_builds(self, deployment: Deployment) -> None:
        builds = self._cluster.list_builds()
        # An entry of another writer may name any service.
        known = {service.name for service in deployment.services}
        self._build_records.set_serving(
            {name: found for name, found in builds.items() if name in known}
        )
        self._streams.set_builds(builds, self._build_records.list_recorded())

    def _apply_store_update(self, update: StoreUpdate) -> None:
        self._stores.apply_update(update)

    def _record_stored(self, names: tuple[str, ...], is_whole: bool) -> None:
        if not names:
            return
        if is_whole:
            self._dispatcher.record_stored(CACHE_STORE_SOURCE, names)
        else:
            self._dispatcher.record_not_stored(CACHE_STORE_SOURCE, names)

    def _find_fetch_deadline(self, longest_s: float) -> float | None:
        """
        Return the deadline of a fetch, None when none may begin.

        Without the registry it is unknown whether newer weights are wanted, and
        therefore whether the parts of older ones are being freed.
        """
        if self._registry_watch.measure_silence() > MAX_REGISTRY_SILENCE_FOR_FETCH_S:
            return None
        return self._stores.find_fetch_deadline(longest_s)

    def _find_weights_left(self, model: str, version: int) -> float | None:
        """Return how long prompts may still begin on a version, None for no limit."""
        replaced_s = self._cluster.find_replacement_time(model, version)
        if replaced_s is None:
            return None
        limit_s = replaced_s + self._settings.replaced_weights_limit_s
        return limit_s - read_boot_clock()

    def _record_registry_reachable(self, is_reachable: bool) -> None:
        if is_reachable:
            self._cluster.fleet.record_registry_restored(self._loop.time())
        else:
            known_until_s = self._registry_watch.current_s
            self._cluster.fleet.record_registry_lost(known_until_s)

    def _maintain(self) -> None:
        # Planned first, as an error ends this run.
        self._loop.call_later(MAINTENANCE_INTERVAL_S, self._maintain)
        now, boot_s = self._loop.time(), read_boot_clock()
        self._log_standstill(boot_s)
        self._cluster.expire(now)
        self._server.check(now)
        self._limit_starts(now, boot_s)
        self._update_retry_policy(boot_s)

    def _log_standstill(self, boot_s: float) -> None:
        """Log that the process was suspended, or got no processor time."""
        standstill_s = boot_s - self._maintained_s
        self._maintained_s = boot_s
        if standstill_s >= LOGGED_STANDSTILL_S:
            _log.warning("process stood still", extra={"for_s": round(standstill_s, 3)})

    def _limit_starts(self, now: float, boot_s: float) -> None:
        """
        Keep prompts from starting on weights that were replaced too long ago.

        :param boot_s: the present time on the boot clock.
        """
        limits = self._cluster.find_start_limits(
            self._settings.replaced_weights_limit_s
        )
        left = {name: limit_s - boot_s for name, limit_s in limits.items()}
        outdated = (name for name, s in left.items() if s <= OUTDATED_MARGIN_S)
        self._dispatcher.set_paused(OUTDATED_SOURCE, frozenset(outdated))
        self._dispatcher.set_start_limits(
            {name: now + s - START_MARGIN_S for name, s in left.items()}
        )
        ending = (name for name, s in left.items() if s <= START_MARGIN_S)
        for request_id in self._dispatcher.list_unstarted(ending):
            withdraw = self._context.withdrawals.get(request_id)
            if withdraw is not None:
                withdraw()

    def _update_retry_policy(self, boot_s: float) -> None:
        """
        Update this gateway's share of the retries that all gateways may make.

        :param boot_s: the present time on the boot clock.
        """
        settings = self._settings
        window_s = settings.retry_window_s
        fixed = RETRY_MARGIN * settings.retry_floor
        policy = RetryPolicy(
            share=RETRY_MARGIN * settings.retry_share,
            min_retries=self._retry_shares.divide(fixed, window_s, boot_s),
            window_s=window_s,
            attempts=MAX_ATTEMPTS,
            counts_refusals=True,
        )
        if policy == self._retry_policy:
            return
        self._retry_policy = policy
        self._dispatcher.set_retry_policy(policy)
        fields = {
            "share": policy.share,
            "fixed": policy.min_retries,
            "gateways": self._retry_shares.count_entries(boot_s),
        }
        _log.info("retry budget in force", extra=fields)


def _end_unanswered(task: asyncio.Task, caller: CallerConnection) -> None:
    """Close the connection of a call whose handler failed before it was answered."""
    if not task.cancelled() and (error := task.exception()) is not None:
        _log.error("call not answered after an unexpected error", exc_info=error)
        caller.abort()


class _ReadinessHandler(RequestHandler):
    def initialize(self, check: Callable[[], bool]) -> None:
        self._check = check

    def get(self) -> None:
        self.set_status(200 if self._check() else 503)
        self.finish()
