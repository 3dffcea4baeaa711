"""The entry's decisions: what is admitted, what starts next, and where it runs."""

import random
from dataclasses import dataclass, replace
from itertools import islice

from persimmonferry_core.codes import ResultCode
from persimmonferry_core.contracts import Service, ServiceKind, TeamDocument, Tier
from persimmonferry_core.patience import (
    PatienceQueue,
    PromptRequest,
    Queued,
    Refused,
    WaitingRequest,
)
from persimmonferry_core.routing import (
    BlockIndex,
    ImportPlan,
    LinkTable,
    Route,
    Router,
    Upstream,
    UpstreamReport,
)
from persimmonferry_core.runs import RunEnd

__all__ = [
    "Assignment",
    "Dispatcher",
    "ImportPlan",
    "PromptRequest",
    "Queued",
    "Refused",
    "UpstreamReport",
]

SCANNED_REQUESTS = 16
POLL_INTERVAL_S = 0.02
NO_UPSTREAM_RETRY_S = 1.0
ANSWER_SMOOTHING = 0.05
MAX_ATTEMPTS = 3
RESUMPTION_WAIT_S = 5.0


@dataclass(frozen=True)
class Assignment:
    """
    One attempt that is to start now.

    :param upstream: its name.
    :param plan: blocks to import before the run, or None.
    :param priority: for the engine; the lower, the sooner.
    :param attempt: 1 for the first.
    """

    request: PromptRequest
    upstream: str
    plan: ImportPlan | None
    priority: int
    attempt: int


@dataclass
class _Attempt:
    """A request from its admission to its end."""

    waiting: WaitingRequest
    upstream: str | None = None
    number: int = 0
    delivered_tokens: int = 0


class _ModelService:
    """Queue and router of one model service."""

    def __init__(self, queue: PatienceQueue, router: Router) -> None:
        self.queue = queue
        self.router = router
        self.answer_share = 1.0

    def usable(self) -> list[Upstream]:
        """Return the upstreams that may take new runs."""
        upstreams = self.router.upstreams.values()
        return [up for up in upstreams if self.router.is_usable(up)]

    def estimate_cost(self, request: PromptRequest) -> float:
        """Return the share of one upstream's time that a request is expected to use."""
        usable = self.usable()
        if not usable:
            return 0.0
        report = usable[0].report
        prefill_s = self.router.estimate_prefill(request)
        answer_tokens = request.max_tokens * self.answer_share
        decode_s = answer_tokens / max(1.0, report.decode_tokens_per_s)
        return max(prefill_s, (prefill_s + decode_s) / max(1, report.slots))


class Dispatcher:
    """
    All decisions of one entry process. It does no I/O and has no clock.

    :param document: the team's document in force.
    :param store_domains: failure domains that have store VMs.
    :param seed: of the choices that are made at random.
    """

    def __init__(
        self,
        document: TeamDocument,
        store_domains: frozenset[str] = frozenset(),
        seed: int = 0,
    ) -> None:
        self._random = random.Random(seed)
        self._index = BlockIndex()
        self._store_domains = store_domains
        self._entries = 1
        self._models: dict[str, _ModelService] = {}
        self._plain: dict[str, dict[str, Upstream]] = {}
        self._attempts: dict[str, _Attempt] = {}
        self._plain_runs: dict[str, str] = {}
        self._services_of: dict[str, str] = {}
        self.configure(document)

    def configure(self, document: TeamDocument) -> None:
        """Take over a document; what waits or runs is not disturbed."""
        self._document = document
        self._weights = {item.name: item.weight for item in document.accounts}
        links = LinkTable(document.links)
        for service in document.services:
            match service.kind:
                case ServiceKind.MODEL:
                    self._configure_model(service, document.tiers, links)
                case ServiceKind.PLAIN:
                    self._plain.setdefault(service.name, {})

    def set_store_domains(self, failure_domains: frozenset[str]) -> None:
        """Take over the failure domains that have store VMs now."""
        self._store_domains = failure_domains

    def set_entries(self, count: int) -> None:
        """Take over how many entries share the upstreams."""
        self._entries = max(1, count)

    def report(self, report: UpstreamReport, now: float) -> None:
        """Take an agent's report; one older than the last is ignored."""
        former = self._services_of.get(report.name)
        if former is not None and former != report.service:
            self._drop_upstream(report.name)
        upstreams = self._upstreams_of(report.service)
        if upstreams is None:
            return
        self._services_of[report.name] = report.service
        upstream = upstreams.get(report.name)
        if upstream is None:
            upstreams[report.name] = Upstream(report)
        else:
            if report.incarnation > upstream.report.incarnation:
                self._index.remove_upstream(report.name)
            upstream.apply(report, now)

    def remove(self, upstream: str) -> None:
        """Forget an upstream: the lists say that it is gone."""
        self._drop_upstream(upstream)

    def record_held(self, upstream: str, block_names: tuple[str, ...]) -> None:
        """Note blocks that an upstream's engine holds; a hint."""
        found = self._find_upstream(upstream)
        if found is None:
            return
        self._index.add_held(upstream, block_names)
        if found.report.failure_domain in self._store_domains:
            self._index.add_stored(found.report.failure_domain, block_names)

    def record_removed(self, upstream: str, block_names: tuple[str, ...]) -> None:
        """Note blocks that an upstream's engine dropped; a hint."""
        self._index.remove_held(upstream, block_names)

    def record_not_stored(self, domain: str, block_names: tuple[str, ...]) -> None:
        """Note blocks that the stores of a failure domain were found not to hold."""
        self._index.remove_stored(domain, block_names)

    def offer(self, request: PromptRequest, now: float) -> Queued | Refused:
        """Admit a request to the queue, or refuse it with when to come back."""
        refusal = self._refuse_unknown(request)
        if refusal is not None:
            return refusal
        model = self._models[request.service]
        capacity = len(model.usable()) / self._entries
        if capacity <= 0:
            return Refused(
                request.request_id, ResultCode.NO_UPSTREAM, NO_UPSTREAM_RETRY_S
            )
        waiting = self._make_waiting(request, model)
        weight = self._weights.get(request.account, 1.0)
        answer = model.queue.offer(waiting, weight, capacity, now)
        if isinstance(answer, Queued):
            self._attempts[request.request_id] = _Attempt(waiting)
        return answer

    def assign(self, now: float) -> tuple[Assignment, ...]:
        """Return the attempts that are to start now."""
        assignments: list[Assignment] = []
        for model in self._models.values():
            while len(model.queue):
                made = self._assign_scanned(model, now)
                assignments += made
                if len(made) < SCANNED_REQUESTS:
                    break
        return tuple(assignments)

    def started(self, request_id: str, now: float) -> None:
        """Note the first token of a request."""
        attempt = self._attempts.get(request_id)
        upstream = self._upstream_of(attempt)
        if upstream is not None:
            upstream.start_run(request_id, now)

    def progressed(self, request_id: str, tokens: int, now: float) -> None:
        """Note tokens of the answer that were delivered to the caller."""
        attempt = self._attempts.get(request_id)
        if attempt is not None:
            attempt.delivered_tokens += tokens

    def finished(self, request_id: str, end: RunEnd, now: float) -> None:
        """Note the whole answer of a request."""
        attempt = self._attempts.get(request_id)
        if attempt is None:
            return
        request = attempt.waiting.request
        model = self._models[request.service]
        share = min(1.0, end.total_tokens / max(1, request.max_tokens))
        model.answer_share += ANSWER_SMOOTHING * (share - model.answer_share)
        self._end_attempt(attempt, now, whole=True)
        del self._attempts[request_id]

    def failed(self, request_id: str, ran: bool, now: float) -> Queued | Refused:
        """
        Note that an attempt failed, and say whether it is tried elsewhere.

        :param ran: whether it may have run. A prompt may go on elsewhere behind the
            tokens that were delivered, so both are tried again.
        """
        attempt = self._attempts.get(request_id)
        if attempt is None:
            return Refused(request_id, ResultCode.RETRIES_EXHAUSTED, None)
        failed_at = attempt.upstream
        self._end_attempt(attempt, now, whole=False)
        if attempt.number >= MAX_ATTEMPTS:
            del self._attempts[request_id]
            return Refused(
                request_id, ResultCode.RETRIES_EXHAUSTED, NO_UPSTREAM_RETRY_S
            )
        waiting = attempt.waiting
        avoid = waiting.avoid | ({failed_at} if failed_at else set())
        latest_s = waiting.latest_start_s
        if ran:
            # The promised wait was for the first start, and it was kept.
            latest_s = max(latest_s, now + RESUMPTION_WAIT_S)
        attempt.waiting = replace(waiting, avoid=avoid, latest_start_s=latest_s)
        model = self._models[waiting.request.service]
        weight = self._weights.get(waiting.request.account, 1.0)
        model.queue.push(attempt.waiting, weight)
        return Queued(request_id, waiting.latest_start_s, 0.0)

    def cancel(self, request_id: str, now: float) -> str | None:
        """Forget a request; returns the upstream that runs it, if one does."""
        attempt = self._attempts.pop(request_id, None)
        if attempt is None:
            return None
        upstream = attempt.upstream
        if upstream is None:
            self._models[attempt.waiting.request.service].queue.remove(attempt.waiting)
        else:
            self._end_attempt(attempt, now, whole=False)
        return upstream

    def expire(self, now: float) -> tuple[Refused, ...]:
        """Give up the waiting requests whose promised wait can't be kept any more."""
        refused = []
        for model in self._models.values():
            for waiting in model.queue.expire(now):
                request_id = waiting.request.request_id
                del self._attempts[request_id]
                refused.append(
                    Refused(request_id, ResultCode.WAIT_NOT_KEPT, NO_UPSTREAM_RETRY_S)
                )
        return tuple(refused)

    def next_event(self, now: float) -> float | None:
        """Return when to call ``expire`` and ``assign`` again, None when idle."""
        waiting = any(len(model.queue) for model in self._models.values())
        return now + POLL_INTERVAL_S if waiting else None

    def choose_plain(
        self, service: str, now: float, avoid: frozenset[str] = frozenset()
    ) -> str | None:
        """Return the upstream of a plain service with the least estimated wait."""
        upstreams = self._plain.get(service, {}).values()
        open_ones = [
            up for up in upstreams if not up.report.leaving and up.name not in avoid
        ]
        if not open_ones:
            return None
        self._random.shuffle(open_ones)
        return min(open_ones, key=_plain_wait).name

    def plain_started(self, call_id: str, upstream: str, now: float) -> None:
        """Count a call that goes to an upstream of a plain service."""
        found = self._find_upstream(upstream)
        if found is not None:
            self._plain_runs[call_id] = upstream
            found.add_run(call_id, 0, 0.0, 0.0, now)

    def plain_finished(self, call_id: str, now: float, whole: bool = True) -> None:
        """Note the end of a call to a plain service."""
        upstream = self._plain_runs.pop(call_id, None)
        found = self._find_upstream(upstream) if upstream else None
        if found is not None:
            found.end_run(call_id, now, whole)

    def _configure_model(
        self, service: Service, tiers: tuple[Tier, ...], links: LinkTable
    ) -> None:
        model = self._models.get(service.name)
        if model is None:
            router = Router(service, links, self._index, self._random)
            queue = PatienceQueue(tiers)
            self._models[service.name] = _ModelService(queue, router)
            return
        model.router.service = service
        model.router.links = links
        model.queue.configure(tiers)

    def _refuse_unknown(self, request: PromptRequest) -> Refused | None:
        model = self._models.get(request.service)
        if model is None:
            return Refused(request.request_id, ResultCode.UNKNOWN_SERVICE, None)
        if model.queue.find_tier(request.tier) is None:
            return Refused(request.request_id, ResultCode.UNKNOWN_TIER, None)
        if request.request_id in self._attempts:
            return Refused(request.request_id, ResultCode.DUPLICATE_RUN, None)
        return None

    def _make_waiting(
        self, request: PromptRequest, model: _ModelService
    ) -> WaitingRequest:
        tier = model.queue.find_tier(request.tier)
        prefill_s = model.router.estimate_prefill(request)
        latest = request.arrival_s + max(0.0, tier.promised_wait_s - prefill_s)
        cost_s = model.estimate_cost(request)
        priority = model.queue.rank(request.tier)
        return WaitingRequest(request, latest, cost_s, priority)

    def _assign_scanned(self, model: _ModelService, now: float) -> list[Assignment]:
        made = []
        for waiting in list(islice(model.queue.iterate(), SCANNED_REQUESTS)):
            route = model.router.choose(waiting, now)
            if route is not None and route.startable:
                made.append(self._start_attempt(model, waiting, route, now))
        return made

    def _start_attempt(
        self, model: _ModelService, waiting: WaitingRequest, route: Route, now: float
    ) -> Assignment:
        request = waiting.request
        model.queue.take(waiting)
        attempt = self._attempts[request.request_id]
        attempt.upstream = route.upstream
        attempt.number += 1
        upstream = model.router.upstreams[route.upstream]
        import_s = route.plan.estimated_s if route.plan else 0.0
        upstream.add_run(
            request.request_id, waiting.priority, route.prefill_s, import_s, now
        )
        if route.plan is not None:
            target = upstream.report.failure_domain
            plan = route.plan
            model.router.links.reserve(
                plan.source_domain, target, plan.total_bytes, now
            )
        return Assignment(
            request, route.upstream, route.plan, waiting.priority, attempt.number
        )

    def _end_attempt(self, attempt: _Attempt, now: float, whole: bool) -> None:
        upstream = self._upstream_of(attempt)
        if upstream is not None:
            upstream.end_run(attempt.waiting.request.request_id, now, whole)
        attempt.upstream = None

    def _upstreams_of(self, service: str) -> dict[str, Upstream] | None:
        if service in self._models:
            return self._models[service].router.upstreams
        return self._plain.get(service)

    def _find_upstream(self, name: str) -> Upstream | None:
        upstreams = self._upstreams_of(self._services_of.get(name, ""))
        return upstreams.get(name) if upstreams else None

    def _upstream_of(self, attempt: _Attempt | None) -> Upstream | None:
        if attempt is None or attempt.upstream is None:
            return None
        return self._find_upstream(attempt.upstream)

    def _drop_upstream(self, name: str) -> None:
        upstreams = self._upstreams_of(self._services_of.pop(name, ""))
        if upstreams is not None:
            upstreams.pop(name, None)
        self._index.remove_upstream(name)


def _plain_wait(upstream: Upstream) -> tuple[float, int]:
    return upstream.estimate_slot_wait(), upstream.in_flight
