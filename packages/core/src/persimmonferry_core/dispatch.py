"""Decisions of an entry: which requests are admitted, when they start and where."""

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from heapq import heappop, heappush

from persimmonferry_core.admission import (
    AdmissionQueue,
    PromptRequest,
    Queued,
    Refused,
    WaitingRequest,
)
from persimmonferry_core.codes import ResultCode
from persimmonferry_core.limits import AccountLimiter
from persimmonferry_core.retries import RetryBudget, RetryGrant, RetryPolicy
from persimmonferry_core.returns import ReturnPromise, ReturnPromises
from persimmonferry_core.room import Resource
from persimmonferry_core.routing import (
    BlockIndex,
    ImportPlan,
    LinkTable,
    PeerWork,
    Route,
    Router,
    UpstreamReport,
)
from persimmonferry_core.runs import RunEnd
from persimmonferry_core.schema import Service, ServiceKind, TeamDocument, Tier
from persimmonferry_core.services import ModelService, PlainService
from persimmonferry_core.upstreams.availability import UpstreamAvailability
from persimmonferry_core.upstreams.ejection import EjectionPolicy
from persimmonferry_core.usage import UsageMeter

__all__ = [
    "Assignment",
    "Dispatcher",
    "ImportPlan",
    "PromptRequest",
    "Queued",
    "Refused",
    "UpstreamReport",
]

MAX_SCANNED_PER_TIER = 8
# Requests of one priority without a route, after which its others are not scanned.
MAX_SCAN_MISSES = 3
POLL_INTERVAL_S = 0.02
NO_UPSTREAM_RETRY_S = 1.0
ANSWER_SHARE_EWMA_ALPHA = 0.05
MAX_URGENT_WAIT_S = 2.0
RESUMPTION_WAIT_S = 5.0
MIN_INTERVAL_S = 0.001
# Assumed share of an engine's memory that its cache fills; runs need the rest.
CACHED_SHARE = 0.7
EXCESS_CHECK_INTERVAL_S = 0.25
# An engine that refused a run gets no other one for this time: it may load weights.
REFUSAL_PAUSE_S = 0.25


@dataclass(frozen=True)
class Assignment:
    """
    One attempt that is to start now.

    :param upstream: its name.
    :param version: weight version that is loaded at the upstream.
    :param plan: blocks to import before the run, or None.
    :param priority: for the engine; lower values run first.
    :param attempt: 1 for the first.
    :param keep_free: slots that the run has to leave free, as in ``Route``.
    """

    request: PromptRequest
    upstream: str
    version: str
    plan: ImportPlan | None
    priority: int
    attempt: int
    keep_free: int = -1


@dataclass
class _Attempt:
    """State of a request from its admission to its end."""

    waiting: WaitingRequest
    tier: Tier
    upstream: str | None = None
    number: int = 0
    delivered_tokens: int = 0
    version: str = ""
    is_delayed: bool = False
    grant: RetryGrant | None = None


class Dispatcher:
    """
    All decisions of one entry process. It does no I/O and reads no clock.

    ``limits`` and ``usage`` exchange messages with other processes; the entry process
    sends and receives them.
    ``availability`` receives what upstreams state of the calls that they take.

    :param document: the team's document in force.
    :param store_domains: failure domains that have store VMs.
    :param seed: of the random choices.
    :param entry: name of this entry.
    :param incarnation: grows with each start of an entry of that name.
    :param retry_policy: of each service.
    :param failure_domain: of this entry; upstreams there are preferred among equal
        ones. Empty for no preference.
    """

    def __init__(
        self,
        document: TeamDocument,
        store_domains: frozenset[str] = frozenset(),
        seed: int = 0,
        entry: str = "",
        incarnation: int = 0,
        retry_policy: RetryPolicy | None = None,
        failure_domain: str = "",
    ) -> None:
        self._failure_domain = failure_domain
        self.limits = AccountLimiter(entry, incarnation << 32)
        self.usage = UsageMeter(f"{entry}-{incarnation}")
        self._random = random.Random(seed)
        self._seed = seed
        self._retry_policy = retry_policy
        self._retries: dict[str, RetryBudget] = {}
        self._index = BlockIndex()
        self._links = LinkTable()
        self._store_domains = store_domains
        self._entry = entry
        self._entries: tuple[str, ...] = (entry,)
        self._subset: frozenset[str] | None = None
        self.availability = UpstreamAvailability(entry, seed)
        self.promises = ReturnPromises()
        self._models: dict[str, ModelService] = {}
        self._plain: dict[str, PlainService] = {}
        self._attempts: dict[str, _Attempt] = {}
        self._excess_checked_s = 0.0
        self._delayed: list[tuple[float, str]] = []
        self._plain_runs: dict[str, str] = {}
        self._services_of: dict[str, str] = {}
        self.configure(document, 0.0)

    def configure(self, document: TeamDocument, now: float) -> None:
        """Apply a document; queued and running requests are not affected."""
        self._document = document
        for account in document.accounts:
            self.limits.set_limits(account.name, account.limits, now)
        self._weights = {item.name: item.weight for item in document.accounts}
        self._links.configure(document.links)
        for service in document.services:
            match service.kind:
                case ServiceKind.MODEL:
                    self._configure_model(service, document.tiers)
                case ServiceKind.PLAIN:
                    plain = PlainService(self._random)
                    plain.entry_domain = self._failure_domain
                    self._plain.setdefault(service.name, plain)

    def set_store_domains(self, failure_domains: frozenset[str]) -> None:
        """Set the failure domains that have store VMs."""
        self._store_domains = failure_domains

    def set_entries(self, entries: tuple[str, ...]) -> None:
        """Set the names of all entries that share the upstreams."""
        self._entries = tuple(sorted({*entries, self._entry}))
        self.availability.set_entries(self._entries)
        self.limits.set_entries(self._entries)
        for model in self._models.values():
            model.router.set_primaries(self._entry, self._entries)

    def set_subset(self, upstreams: frozenset[str] | None) -> None:
        """Set the subset of upstreams that this entry uses, None for all."""
        self._subset = upstreams
        for model in self._models.values():
            model.router.set_subset(upstreams)

    def set_ejection(self, policy: EjectionPolicy) -> None:
        """Set the policy by which slow and failing upstreams are ejected."""
        for model in self._models.values():
            model.router.ejector.policy = policy

    def report(self, report: UpstreamReport, now: float) -> None:
        """Apply an agent's report; one older than the last is ignored."""
        former = self._services_of.get(report.name)
        if former is not None and former != report.service:
            self._drop_upstream(report.name)
        pool = self._find_pool(report.service)
        if pool is None:
            return
        self._services_of[report.name] = report.service
        self.availability.record_incarnation(report.name, report.incarnation)
        known = pool.upstreams.get(report.name)
        if known is None:
            pool.add(report, now)
            return
        if report.incarnation > known.report.incarnation:
            self.availability.record_restart(report.name)
            self._index.remove_upstream(report.name)
        pool.apply(report, now)

    def remove(self, upstream: str) -> None:
        """Remove an upstream that membership no longer lists."""
        self._drop_upstream(upstream)

    def record_held(
        self,
        upstream: str,
        block_names: tuple[str, ...],
        sizes: tuple[int, ...] = (),
    ) -> None:
        """
        Record blocks that are cached at an upstream's engine. This is only a hint.

        :param sizes: in tokens, if blocks differ in size.
        """
        pool = self._find_pool(self._services_of.get(upstream, ""))
        if pool is None:
            return
        memory_tokens = pool.upstreams[upstream].report.memory_tokens
        if memory_tokens:
            self._index.set_capacity(upstream, int(CACHED_SHARE * memory_tokens))
        self._index.add_held(upstream, block_names, sizes)
        failure_domain = pool.upstreams[upstream].report.failure_domain
        if failure_domain in self._store_domains:
            self._index.add_stored(failure_domain, block_names)

    def find_prefill_rate(self, service: str) -> float:
        """Return the prefill rate of an average engine, in tokens per second."""
        model = self._models.get(service)
        return model.router.summarize().prefill_tokens_per_s if model else 0.0

    def estimate_longest_answer(self, service: str, max_tokens: int) -> float:
        """Return the seconds from the first to the last event of a long answer."""
        return self._models[service].router.answer_times.estimate_longest(max_tokens)

    def find_fetch_sources(
        self, upstream: str, block_names: tuple[str, ...], now: float
    ) -> tuple[str | None, ...]:
        """
        Return for each block another engine to fetch it from, or None.

        :param upstream: the engine that is to run the prompt.
        """
        model = self._models.get(self._services_of.get(upstream, ""))
        if model is None:
            return (None,) * len(block_names)
        self._apply_closures(now)
        return model.router.find_fetch_sources(upstream, block_names, now)

    def record_removed(self, upstream: str, block_names: tuple[str, ...]) -> None:
        """Record blocks that an upstream's engine evicted. This is only a hint."""
        self._index.remove_held(upstream, block_names)

    def record_stored(self, source: str, block_names: tuple[str, ...]) -> None:
        """Record blocks that are stored completely in a failure domain."""
        self._index.add_stored(source, block_names)

    def record_not_stored(self, domain: str, block_names: tuple[str, ...]) -> None:
        """Record blocks that were not found in the stores of a failure domain."""
        self._index.remove_stored(domain, block_names)

    def record_import(
        self, source: str, target: str, total_bytes: int, seconds: float, now: float
    ) -> None:
        """Update the link between two failure domains by a completed import."""
        self._links.record(source, target, total_bytes, seconds, now)

    def offer(self, request: PromptRequest, now: float) -> Queued | Refused:
        """Admit a request to the queue, or refuse it with a time to retry after."""
        refusal = self._refuse_unknown(request)
        if refusal is not None:
            return refusal
        self._apply_closures(now)
        model = self._models[request.service]
        capacity = model.estimate_capacity(len(self._entries))
        if capacity <= 0:
            wait_s = self.find_return_wait(request.service, now) or NO_UPSTREAM_RETRY_S
            return Refused(request.request_id, ResultCode.NO_UPSTREAM, wait_s)
        tokens = request.prompt_tokens + request.max_tokens
        wait_s = self.limits.admit(request.account, tokens, now)
        if wait_s is not None:
            return Refused(request.request_id, ResultCode.LIMIT_EXCEEDED, wait_s)
        waiting = self._make_waiting(request, model)
        weight = self._weights.get(request.account, 1.0)
        if request.fingerprint and self.promises.take(request.fingerprint, now):
            waiting = replace(waiting, is_returning=True)
        answer = model.queue.offer(waiting, weight, capacity, now)
        if isinstance(answer, Refused):
            self.limits.refund_request(request.account, tokens)
            return answer
        self._attempts[request.request_id] = _Attempt(
            waiting, model.queue.find_tier(request.tier)
        )
        self._find_budget(request.service).record_request(now)
        return answer

    def measure_room(self, now: float) -> dict[str, dict[Resource, float]]:
        """Return the free share of each resource of each model service's upstreams."""
        return {
            name: model.router.measure_room(now) for name, model in self._models.items()
        }

    def promise_return(
        self, fingerprint: int, caller_deadline_s: float, after_s: float, now: float
    ) -> ReturnPromise | None:
        """
        Record when a refused request was told to return.

        :param fingerprint: of the request.
        :returns: the promise, for the other entries; None if it has one already.
        """
        due_s = now + after_s
        promise = ReturnPromise(fingerprint, due_s, max(due_s, caller_deadline_s))
        return promise if self.promises.add(promise, now) else None

    def assign(self, now: float) -> tuple[Assignment, ...]:
        """Return the attempts that are to start now."""
        assignments: list[Assignment] = []
        self._release_delayed(now)
        self._apply_closures(now)
        for model in self._models.values():
            model.router.refresh(now)
            cost_s = 0.0
            made = self._assign_scanned(model, now)
            while made:
                assignments += made
                cost_s += sum(self._cost_of(item) for item in made)
                made = self._assign_scanned(model, now)
            model.throughput.record(cost_s, model.queue.is_backlogged, now)
        return tuple(assignments)

    def started(self, request_id: str, now: float) -> None:
        """Record the first token of a request."""
        attempt = self._attempts.get(request_id)
        if attempt is not None and attempt.upstream is not None:
            router = self._models[attempt.waiting.request.service].router
            router.start_run(attempt.waiting, attempt.upstream, now)

    def progressed(self, request_id: str, tokens: int, now: float) -> None:
        """Record tokens of the answer that were delivered to the caller."""
        attempt = self._attempts.get(request_id)
        if attempt is not None:
            attempt.delivered_tokens += tokens

    def finished(self, request_id: str, end: RunEnd, now: float) -> None:
        """Record the complete answer of a request, and charge its account."""
        attempt = self._attempts.get(request_id)
        if attempt is None:
            return
        request = attempt.waiting.request
        model = self._models[request.service]
        share = min(1.0, end.total_tokens / max(1, request.max_tokens))
        model.answer_share += ANSWER_SHARE_EWMA_ALPHA * (share - model.answer_share)
        if attempt.upstream is not None:
            model.router.record_answer(
                attempt.waiting, attempt.upstream, end.total_tokens, now
            )
        self._end_attempt(attempt, now, whole=True)
        self._close(attempt, request.max_tokens - end.total_tokens)
        self._charge(attempt, end.cached_tokens, end.total_tokens)

    def failed(
        self,
        request_id: str,
        ran: bool,
        now: float,
        *,
        connected: bool = True,
        withdrawn: bool = False,
        endless: bool = False,
        resend_s: float = 0.0,
        build: str = "",
    ) -> Queued | Refused:
        """
        Record a failed attempt, and return whether the request is retried elsewhere.

        Attempts that did not run are retried. So are truncated answers, which continue
        after the delivered tokens and use the retry budget.

        :param ran: whether it may have run.
        :param connected: False if no connection could be made: no upstream received
            the request, so neither an attempt nor the retry budget is used.
        :param withdrawn: whether this entry ended the attempt, so that its upstream is
            not to blame.
        :param endless: whether this entry ended the attempt, as its answer held more
            than was asked for.
        :param resend_s: until then the upstream may work on the attempt, so that the
            request must not go on elsewhere.
        :param build: that began the answer; empty before its first event.
        """
        attempt = self._attempts.get(request_id)
        if attempt is None:
            return Refused(request_id, ResultCode.RETRIES_EXHAUSTED, None)
        failed_at = attempt.upstream
        is_refused = connected and not ran
        if failed_at is not None:
            router = self._models[attempt.waiting.request.service].router
            if is_refused:
                self._pause_refusing(router, failed_at, now)
            if withdrawn:
                router.end_run(attempt.waiting, failed_at, False, now)
            else:
                router.fail_run(
                    attempt.waiting,
                    failed_at,
                    now,
                    connected=connected,
                    refused=is_refused,
                    endless=endless,
                )
            attempt.upstream = None
            attempt.number -= 0 if connected else 1
        waiting = attempt.waiting
        latest_s = waiting.promised_start_s
        if ran and attempt.delivered_tokens:
            # The promised wait was kept; the caller has received part of the answer.
            latest_s = max(latest_s, now + RESUMPTION_WAIT_S)
        delay_s = 0.0
        if connected:
            budget = self._find_budget(waiting.request.service)
            attempt.grant = budget.reserve(attempt.number, now, ran=ran)
            delay_s = attempt.grant and max(attempt.grant.delay_s, resend_s - now)
        if delay_s is None or now + delay_s > max(latest_s, waiting.expires_s):
            self._close(attempt, waiting.request.max_tokens)
            code = ResultCode.RETRIES_EXHAUSTED
            return Refused(request_id, code, NO_UPSTREAM_RETRY_S)
        excluded = waiting.excluded | ({failed_at} if failed_at else frozenset())
        version = attempt.version if attempt.delivered_tokens else ""
        attempt.waiting = replace(
            waiting,
            excluded=excluded,
            promised_start_s=latest_s,
            version=version,
            build=waiting.build or build,
        )
        attempt.is_delayed = True
        heappush(self._delayed, (now + delay_s, request_id))
        return Queued(request_id, latest_s, delay_s)

    def _pause_refusing(self, router: Router, name: str, now: float) -> None:
        """Send nothing to an engine that has refused a run, unless no other is open."""
        upstream = router.upstreams.get(name)
        others = (other for other in router.summarize().names if other != name)
        if upstream is None or all(
            self.availability.find_closure(other, now) for other in others
        ):
            return
        until_s = now + REFUSAL_PAUSE_S
        self.set_cooldown(name, upstream.report.incarnation, until_s)

    def requeue(self, request_id: str, now: float) -> Queued | Refused:
        """
        Put a request back into the queue, as its upstream turned out to be full.

        Other entries use the same slots, and reports lag. This counts neither as a
        failure of the upstream nor as an attempt of the request.
        """
        attempt = self._attempts.get(request_id)
        if attempt is None or attempt.upstream is None:
            return Refused(request_id, ResultCode.RETRIES_EXHAUSTED, None)
        waiting = attempt.waiting
        model = self._models[waiting.request.service]
        model.router.end_run(waiting, attempt.upstream, False, now)
        upstream = model.router.upstreams.get(attempt.upstream)
        if upstream is not None:
            upstream.mark_full()
        attempt.upstream = None
        attempt.number -= 1
        weight = self._weights.get(waiting.request.account, 1.0)
        model.queue.push(waiting, weight)
        return Queued(request_id, waiting.promised_start_s, 0.0)

    def cancel(self, request_id: str, now: float) -> str | None:
        """
        Remove a request; the delivered part of its answer is charged.

        :returns: the upstream that runs it, or None if it does not run.
        """
        attempt = self._attempts.get(request_id)
        if attempt is None:
            return None
        upstream = attempt.upstream
        request = attempt.waiting.request
        if upstream is not None:
            self._end_attempt(attempt, now, whole=False)
        elif not attempt.is_delayed:
            self._models[request.service].queue.remove(attempt.waiting)
        self._close(attempt, request.max_tokens - attempt.delivered_tokens)
        if attempt.delivered_tokens:
            self._charge(attempt, 0, attempt.delivered_tokens)
        return upstream

    def expire(self, now: float) -> tuple[Refused, ...]:
        """Refuse the queued requests whose promised wait can no longer be kept."""
        self._release_delayed(now)
        is_excess_due = now >= self._excess_checked_s + EXCESS_CHECK_INTERVAL_S
        if is_excess_due:
            self._excess_checked_s = now
        refused = []
        for name, model in self._models.items():
            late = model.queue.expire(now)
            if is_excess_due:
                capacity = model.estimate_capacity(len(self._entries))
                late += model.queue.drop_excess(capacity, now) if capacity else ()
            refused += [
                self._refuse_queued(
                    waiting, ResultCode.WAIT_NOT_KEPT, NO_UPSTREAM_RETRY_S
                )
                for waiting in late
            ]
            refused += self._refuse_until_open(name, model, now)
        return tuple(refused)

    def _refuse_until_open(
        self, service: str, model: ModelService, now: float
    ) -> list[Refused]:
        """Refuse what cannot start before an upstream takes calls again."""
        wait_s = self.find_upstream_wait(service, now)
        if wait_s is None:
            return []
        return_s = self.find_return_wait(service, now)
        return [
            self._refuse_queued(waiting, ResultCode.NO_UPSTREAM, return_s)
            for waiting in model.queue.drop_due_before(now + wait_s)
        ]

    def _refuse_queued(
        self, waiting: WaitingRequest, code: ResultCode, retry_after_s: float
    ) -> Refused:
        request = waiting.request
        self._close(self._attempts[request.request_id], request.max_tokens)
        return Refused(request.request_id, code, retry_after_s)

    def next_event(self, now: float) -> float | None:
        """Return when to call ``expire`` and ``assign`` again, None if idle."""
        if any(len(model.queue) for model in self._models.values()):
            return now + POLL_INTERVAL_S
        self._drop_ended_delays()
        if self._delayed:
            return max(self._delayed[0][0], now + MIN_INTERVAL_S)
        return None

    def choose_plain(
        self, service: str, now: float, excluded: frozenset[str] = frozenset()
    ) -> str | None:
        """Return the upstream of a plain service with the least estimated wait."""
        plain = self._plain.get(service)
        if plain is None:
            return None
        availability = self.availability
        closed = availability.list_closed(now) | availability.list_spent(now)
        return plain.choose(excluded, now, closed)

    def set_cooldown(self, upstream: str, incarnation: int, until_s: float) -> None:
        """
        Send nothing to an upstream until a time, because it refuses calls.

        This holds until it restarts, also while its entry is away.

        :param incarnation: to which the call was sent. If a later one is known by now,
            the answer is taken for its own: the former one has ended.
        """
        pool = self._find_pool(self._services_of.get(upstream, ""))
        if pool is not None:
            known = pool.upstreams[upstream].report.incarnation
            incarnation = max(incarnation, known)
        self.availability.cooldowns.note(upstream, incarnation, until_s)

    def record_slowness(self, upstream: str, slowness: float, now: float) -> float:
        """
        Record how long work takes at an upstream, as it states it.

        :returns: the mean of what it has lately stated.
        """
        pool = self._find_pool(self._services_of.get(upstream, ""))
        if pool is None:
            return slowness
        speed = pool.upstreams[upstream].speed
        speed.record_stated(slowness, now)
        return speed.mean_stated

    def list_paces(self) -> dict[str, int]:
        """Return the runs that new and readmitted upstreams may have of this entry."""
        routers = (model.router for model in self._models.values())
        paces = (pool.paces.runs for pool in (*routers, *self._plain.values()))
        return {name: runs for found in paces for name, runs in found.items()}

    def list_slowness(self, now: float) -> dict[str, float]:
        """Return how long work is expected to take at each upstream, 1.0 as usual."""
        routers = (model.router for model in self._models.values())
        return {
            name: upstream.speed.estimate(now)
            for pool in (*routers, *self._plain.values())
            for name, upstream in pool.upstreams.items()
        }

    def record_unread_answer(self, upstream: str) -> None:
        """Record that bytes of no request took the place of an upstream's answer."""
        self.availability.unread.record(upstream)

    def record_read_answer(self, upstream: str) -> None:
        """Record that the head of an upstream's answer was read."""
        self.availability.unread.clear(upstream)

    def find_upstream_wait(self, service: str, now: float) -> float | None:
        """
        Return the seconds until an upstream of a service takes calls of this entry.

        :returns: None if one takes calls now, or if it is unknown when one will.
        """
        pool = self._find_pool(service)
        soonest_s: float | None = None
        for name in pool.upstreams if pool else ():
            wait_s = self.availability.find_wait(name, now)
            if wait_s is None:
                continue
            if not wait_s:
                return None
            soonest_s = wait_s if soonest_s is None else min(soonest_s, wait_s)
        return soonest_s

    def find_return_wait(self, service: str, now: float) -> float | None:
        """
        Return after how long a refused caller should come back, None if unknown.

        Where entries count their calls to an upstream together, others may be first at
        the moment at which it takes one more.
        """
        wait_s = self.find_upstream_wait(service, now)
        pool = self._find_pool(service)
        rates = self.availability.rates
        if wait_s is None or not any(map(rates.has_ceiling, pool.upstreams)):
            return wait_s
        return max(wait_s, NO_UPSTREAM_RETRY_S)

    def _apply_closures(self, now: float) -> None:
        """Leave out the upstreams that take no calls of this entry now."""
        closed = self.availability.list_closed(now)
        for model in self._models.values():
            model.router.set_closed(closed)
        self._limit_rates(now)

    def _limit_rates(self, now: float) -> None:
        limited = self.availability.list_limited()
        spent = self.availability.list_spent(now)
        for model in self._models.values():
            model.router.set_limited(limited, spent)

    def plain_started(self, call_id: str, upstream: str, now: float) -> None:
        """Record a call that is sent to an upstream of a plain service."""
        plain = self._plain.get(self._services_of.get(upstream, ""))
        if plain is not None:
            self._plain_runs[call_id] = upstream
            self.availability.take(upstream, now)
            plain.start(call_id, upstream, now)

    def plain_finished(
        self, call_id: str, now: float, whole: bool = True, refused: bool = False
    ) -> None:
        """
        Record the end of a call; an incomplete answer counts as a failure.

        :param refused: whether the upstream stated that it did not run the call.
        """
        upstream = self._plain_runs.pop(call_id, "")
        plain = self._plain.get(self._services_of.get(upstream, ""))
        if plain is not None:
            plain.finish(call_id, upstream, whole, now, refused=refused)

    def plain_unreachable(self, call_id: str, now: float) -> None:
        """Record that the upstream of a call could not be connected to."""
        upstream = self._plain_runs.get(call_id, "")
        plain = self._plain.get(self._services_of.get(upstream, ""))
        self.plain_abandoned(call_id, now)
        if plain is not None:
            plain.ejector.record_unreachable(upstream, now)

    def set_peer_work(self, peer: str, work: dict[str, PeerWork], now: float) -> None:
        """
        Set the work of another entry at each upstream, as that entry reports it.

        :param work: by upstream; an upstream that is missing has none.
        """
        for model in self._models.values():
            for name, upstream in model.router.upstreams.items():
                upstream.set_peer_work(peer, work.get(name), now)

    def add_peer_work(self, peer: str, work: dict[str, PeerWork], now: float) -> None:
        """Add what another entry has dispatched since its last full report of work."""
        for model in self._models.values():
            for name, item in work.items():
                upstream = model.router.upstreams.get(name)
                if upstream is not None:
                    upstream.add_peer_work(peer, item, now)

    def describe_started(
        self, assignments: tuple[Assignment, ...], *, heavy_only: bool
    ) -> dict[str, PeerWork]:
        """
        Return the work of attempts that have just started, for the other entries.

        :param heavy_only: omit work that hardly changes an upstream's backlog, unless
            the entries count their calls there.
        """
        started: dict[str, PeerWork] = {}
        for assignment in assignments:
            router = self._models[assignment.request.service].router
            upstream = router.upstreams[assignment.upstream]
            work = upstream.get_run_work(assignment.request.request_id)
            if work is None:
                continue
            is_counted = self.availability.rates.has_ceiling(upstream.name)
            if is_counted or not heavy_only or upstream.is_heavy(work):
                known = started.get(upstream.name)
                started[upstream.name] = known.add(work) if known else work
        return started

    def set_paused(self, source: str, upstreams: frozenset[str]) -> None:
        """
        Set the upstreams that get no new runs for now.

        :param source: who pauses them; replaces the source's previous set.
        """
        self.availability.set_paused(source, upstreams)

    def set_start_limits(self, limits: Mapping[str, float]) -> None:
        """Set until when runs may start at these upstreams; others have no limit."""
        for model in self._models.values():
            model.router.set_start_limits(limits)

    def list_unstarted(self, upstreams: Iterable[str]) -> tuple[str, ...]:
        """Return the requests at these upstreams whose first token has not arrived."""
        found: list[str] = []
        for name in upstreams:
            model = self._models.get(self._services_of.get(name, ""))
            if model is not None:
                found += model.router.upstreams[name].list_unstarted()
        return tuple(found)

    def count_cached_tokens(self, upstream: str) -> int:
        """Return about how many tokens an upstream's engine has in its cache."""
        return self._index.count_tokens(upstream)

    def summarise_own_work(self, now: float) -> dict[str, PeerWork]:
        """Return the work of this entry at each upstream where it has runs."""
        return {
            name: upstream.summarise_own_work(now)
            for model in self._models.values()
            for name, upstream in model.router.upstreams.items()
            if upstream.runs
        }

    def set_retry_policy(self, policy: RetryPolicy) -> None:
        """Set the retry policy of all services."""
        self._retry_policy = policy
        for budget in self._retries.values():
            budget.policy = policy

    def plain_offered(self, service: str, now: float) -> None:
        """Count a call of a plain service for its retry budget."""
        self._find_budget(service).record_request(now)

    def allow_plain_retry(
        self, service: str, attempts: int, now: float, *, ran: bool
    ) -> float | None:
        """Take a retry of a plain service's call, as ``RetryBudget.allow`` does."""
        return self._find_budget(service).allow(attempts, now, ran=ran)

    def list_retries(self) -> dict[str, tuple[int, int]]:
        """Return the retries that were allowed and refused so far, by service."""
        return {
            service: (budget.granted, budget.refused)
            for service, budget in self._retries.items()
        }

    def _find_budget(self, service: str) -> RetryBudget:
        budget = self._retries.get(service)
        if budget is None:
            budget = RetryBudget(self._retry_policy, self._seed)
            self._retries[service] = budget
        return budget

    def plain_abandoned(self, call_id: str, now: float) -> None:
        """Remove a call whose caller disconnected; its upstream is not to blame."""
        upstream = self._plain_runs.pop(call_id, "")
        plain = self._plain.get(self._services_of.get(upstream, ""))
        if plain is not None and upstream in plain.upstreams:
            plain.upstreams[upstream].end_run(call_id, now, False)

    def _configure_model(self, service: Service, tiers: tuple[Tier, ...]) -> None:
        model = self._models.get(service.name)
        urgent = sum(1 for tier in tiers if tier.promised_wait_s <= MAX_URGENT_WAIT_S)
        if model is None:
            router = Router(service, self._links, self._index, self._random)
            router.configure(service, urgent)
            router.entry_domain = self._failure_domain
            router.set_primaries(self._entry, self._entries)
            router.set_subset(self._subset)
            queue = AdmissionQueue(tiers)
            self._models[service.name] = ModelService(queue, router)
            return
        model.router.configure(service, urgent)
        model.queue.configure(tiers)

    def _refuse_unknown(self, request: PromptRequest) -> Refused | None:
        model = self._models.get(request.service)
        if model is None:
            return Refused(request.request_id, ResultCode.UNKNOWN_SERVICE, None)
        if model.queue.find_tier(request.tier) is None:
            return Refused(request.request_id, ResultCode.UNKNOWN_TIER, None)
        if request.request_id in self._attempts:
            return Refused(request.request_id, ResultCode.DUPLICATE_RUN, None)
        if request.build and not model.router.serves_build(request.build):
            code = ResultCode.BUILD_GONE
            return Refused(request.request_id, code, NO_UPSTREAM_RETRY_S)
        return None

    def _make_waiting(
        self, request: PromptRequest, model: ModelService
    ) -> WaitingRequest:
        tier = model.queue.find_tier(request.tier)
        prefill_s = model.router.estimate_prefill(request)
        latest = request.arrival_s + max(0.0, tier.promised_wait_s - prefill_s)
        # A stream that is taken up was admitted before, and is no new demand.
        cost_s = 0.0 if request.build else model.estimate_cost(request)
        priority = model.queue.rank(request.tier)
        last = latest
        if request.caller_deadline_s is not None:
            last = max(latest, request.caller_deadline_s - prefill_s)
        answer_tokens = int(model.answer_share * request.max_tokens)
        memory_tokens = request.prompt_tokens + answer_tokens
        return WaitingRequest(
            request,
            latest,
            cost_s,
            priority,
            expires_s=last,
            memory_tokens=memory_tokens,
            build=request.build,
        )

    def _assign_scanned(self, model: ModelService, now: float) -> list[Assignment]:
        router = model.router
        priorities = frozenset(
            priority
            for priority in model.queue.find_priorities()
            if router.has_room(priority, now)
        )
        made = []
        misses: dict[int, int] = {}
        builds = router.find_open_builds(now) if priorities else frozenset()
        for waiting in model.queue.iterate(priorities, MAX_SCANNED_PER_TIER, builds):
            if misses.get(waiting.priority, 0) >= MAX_SCAN_MISSES:
                continue
            route = router.choose(waiting, now)
            if route is not None and route.startable:
                made.append(self._start_attempt(model, waiting, route, now))
            else:
                misses[waiting.priority] = misses.get(waiting.priority, 0) + 1
        return made

    def _start_attempt(
        self, model: ModelService, waiting: WaitingRequest, route: Route, now: float
    ) -> Assignment:
        request = waiting.request
        model.queue.dequeue(waiting, now)
        attempt = self._attempts[request.request_id]
        attempt.upstream = route.upstream
        attempt.number += 1
        if attempt.grant is not None:
            self._find_budget(request.service).record_sent(attempt.grant, now)
            attempt.grant = None
        model.router.add_run(waiting, route, now)
        self.availability.take(route.upstream, now)
        self._limit_rates(now)
        model.record_computed_share(route.missing_tokens, request.prompt_tokens)
        version = model.router.upstreams[route.upstream].report.version
        attempt.version = version
        return Assignment(
            request,
            route.upstream,
            version,
            route.plan,
            waiting.priority,
            attempt.number,
            route.keep_free,
        )

    def _end_attempt(self, attempt: _Attempt, now: float, whole: bool) -> None:
        if attempt.upstream is not None:
            router = self._models[attempt.waiting.request.service].router
            router.end_run(attempt.waiting, attempt.upstream, whole, now)
        attempt.upstream = None

    def _cost_of(self, assignment: Assignment) -> float:
        return self._attempts[assignment.request.request_id].waiting.cost_s

    def _close(self, attempt: _Attempt, unused_tokens: int) -> None:
        """Remove a request, and refund what it did not use of the limits."""
        request = attempt.waiting.request
        if attempt.grant is not None:
            self._find_budget(request.service).cancel(attempt.grant)
        del self._attempts[request.request_id]
        self.limits.complete_request(request.account, max(0, unused_tokens))

    def _charge(self, attempt: _Attempt, cached: int, generated: int) -> None:
        request = attempt.waiting.request
        self.usage.charge(
            request.request_id,
            request.account,
            attempt.tier,
            request.prompt_tokens,
            cached,
            generated,
        )

    def _drop_ended_delays(self) -> None:
        """Remove the first delays while their requests have already ended."""
        while self._delayed and not self._is_delayed(self._delayed[0][1]):
            heappop(self._delayed)

    def _is_delayed(self, request_id: str) -> bool:
        attempt = self._attempts.get(request_id)
        return attempt is not None and attempt.is_delayed

    def _release_delayed(self, now: float) -> None:
        """Put requests whose retry delay has passed back into the queue."""
        while self._delayed and self._delayed[0][0] <= now:
            _, request_id = heappop(self._delayed)
            if not self._is_delayed(request_id):
                continue
            attempt = self._attempts[request_id]
            attempt.is_delayed = False
            request = attempt.waiting.request
            weight = self._weights.get(request.account, 1.0)
            self._models[request.service].queue.push(attempt.waiting, weight)

    def _find_pool(self, service: str) -> Router | PlainService | None:
        model = self._models.get(service)
        return model.router if model else self._plain.get(service)

    def _drop_upstream(self, name: str) -> None:
        self.availability.record_restart(name)
        self.availability.rates.set_ceiling(name, None)
        pool = self._find_pool(self._services_of.pop(name, ""))
        if pool is not None:
            pool.remove(name)
        self._index.remove_upstream(name)
