"""Chooses the upstream for a request by estimated time and cost of work."""

import math
import random
from collections.abc import Mapping
from dataclasses import dataclass
from heapq import nlargest

from persimmonferry_core.admission import PromptRequest, WaitingRequest
from persimmonferry_core.attempt_budgets import AnswerTimeEstimator
from persimmonferry_core.blockindex import BlockIndex
from persimmonferry_core.fetch_sources import choose_fetch_sources
from persimmonferry_core.links import LinkTable
from persimmonferry_core.room import Resource, TierUse, TimeAverage
from persimmonferry_core.schema import Service
from persimmonferry_core.upstreams import (
    ImportPlan,
    PeerWork,
    Route,
    Upstream,
    UpstreamPaces,
    UpstreamReport,
    limit_slots,
    record_paced_time,
)
from persimmonferry_core.upstreams.ejection import Closed, Ejector

__all__ = [
    "BlockIndex",
    "FleetSummary",
    "ImportPlan",
    "LinkTable",
    "PeerWork",
    "Route",
    "Router",
    "Upstream",
    "UpstreamReport",
]

ALL_CANDIDATES = 16
SAMPLED_CANDIDATES = 8
HOLDER_CANDIDATES = 8
SOURCE_CANDIDATES = 4
MAX_START_BACKLOG_S = 0.1
# Less urgent than the priority of any request.
LAST_PRIORITY = 1_000_000
MAX_IMPORT_BACKLOG_S = 1.0
NON_PRIMARY_UNCERTAINTY_S = 0.1
MAX_HOLDER_WAIT_RATIO = 0.5
MIN_WEIGHT = 0.01
SUMMARY_INTERVAL_S = 0.5
# Stands for a round trip between failure domains and the price of the bytes; less than
# the time of a short prompt, so that load and cache take precedence.
REMOTE_DOMAIN_PENALTY_S = 0.02
# A call that an upstream with a limit takes is better used for a large request; less
# than the time of a large prompt.
LIMITED_UPSTREAM_PENALTY_S = 0.2
# An engine with replaced weights that was silent for this long gets no prompt.
MAX_OUTDATED_SILENCE_S = 0.5
PROMPT_SIZE_EWMA_ALPHA = 0.05
PRIORITY_MIX_DECAY = 0.99
NEGLIGIBLE_OCCUPANCY = 0.01
# Urgent runs that an entry assumes until it has seen some, so that others do not
# fill every slot before the first of them.
FIRST_OCCUPANCY = 0.5
MAX_RESERVED_SHARE = 0.25


class PriorityMix:
    """
    The recent prefill work of this entry by priority.

    Reports don't contain the priorities of other entries' work. All entries get their
    requests from the same load balancer, so this entry's mix is assumed for theirs.
    """

    def __init__(self) -> None:
        self._prefill_s: dict[int, float] = {}

    def add(self, priority: int, prefill_s: float) -> None:
        """Count a dispatched run."""
        for known in self._prefill_s:
            self._prefill_s[known] *= PRIORITY_MIX_DECAY
        self._prefill_s[priority] = self._prefill_s.get(priority, 0.0) + prefill_s

    def share_ahead(self, priority: int) -> float:
        """Return the share of the work with this priority or a more urgent one."""
        total = sum(self._prefill_s.values())
        if total <= 0:
            return 1.0
        ahead = sum(s for known, s in self._prefill_s.items() if known <= priority)
        return ahead / total


@dataclass(frozen=True)
class FleetSummary:
    """
    The upstreams of a service that may take new runs.

    :param names: of all these upstreams.
    :param in_subset: names of those that this entry uses.
    :param prefill_tokens_per_s: average over the upstreams, as are the next figures.
    """

    names: tuple[str, ...]
    in_subset: tuple[str, ...]
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    slots: float


@dataclass(slots=True)
class _UpstreamEstimate:
    """
    Estimates that all options of a request at one upstream share.

    :param depth: leading blocks that are cached there.
    :param rate: prefill rate in tokens per second.
    :param backlog_s: prefill that is queued before the request.
    :param slot_wait_s: until a slot is expected to be free.
    :param uncertainty_s: added where work of other entries may be unknown, and where
        prompts take longer than expected.
    :param has_room: whether a slot may be used now.
    """

    upstream: Upstream
    depth: int
    rate: float
    backlog_s: float
    slot_wait_s: float
    uncertainty_s: float
    has_room: bool


@dataclass(slots=True)
class _Option:
    """
    One way to run a request at an upstream.

    :param depth: leading blocks that are cached at the upstream.
    :param cached: leading blocks that need no computation after the import.
    :param source: failure domain of the import, empty for none.
    """

    upstream: Upstream
    depth: int
    cached: int
    source: str
    first_token_s: float
    prefill_s: float
    score: float
    startable: bool
    missing_tokens: int
    ahead_tokens: float


@dataclass(slots=True)
class _Context:
    """
    Values that all options of a request share.

    :param stored: by failure domain, leading blocks that are stored there.
    :param cached_depth: leading blocks that are cached or stored anywhere.
    :param others_share: share of other entries' work that is computed first.
    :param reserved: slots of each upstream that are reserved for urgent runs.
    :param kept_tokens: memory of each upstream that more urgent runs keep.
    """

    waiting: WaitingRequest
    now: float
    stored: dict[str, int]
    cached_depth: int
    others_share: float
    reserved: int
    kept_tokens: float


class Router:
    """
    Chooses among the upstreams of one service.

    :param service: its entry in the team's document.
    :param links: between failure domains.
    :param index: hints which blocks are cached at engines or stored.
    :param generator: source of the seeded random choices.
    """

    def __init__(
        self,
        service: Service,
        links: LinkTable,
        index: BlockIndex,
        generator: random.Random,
    ) -> None:
        self.service = service
        self.links = links
        self._index = index
        self._random = generator
        self.mix = PriorityMix()
        self.answer_times = AnswerTimeEstimator()
        self.urgent_ranks = 0
        self.ejector = Ejector()
        self.paces = UpstreamPaces()
        self._urgent = TimeAverage(FIRST_OCCUPANCY)
        self.use = TierUse()
        self._entry = ""
        self._entries: tuple[str, ...] = ("",)
        self.upstreams: dict[str, Upstream] = {}
        self._summary: FleetSummary | None = None
        self._summarised_s = 0.0
        self.entry_domain = ""
        self._subset: frozenset[str] | None = None
        self._limited: frozenset[str] = frozenset()
        self._spent: frozenset[str] = frozenset()
        self._mean_prompt_tokens = 0.0
        self._closed: frozenset[str] = frozenset()
        self._start_limits: Mapping[str, float] = {}

    def configure(self, service: Service, urgent_ranks: int) -> None:
        """
        Apply a new document.

        :param urgent_ranks: how many of the most urgent tiers get reserved slots.
        """
        self.service = service
        self.urgent_ranks = urgent_ranks
        self._summary = None

    def is_usable(self, upstream: Upstream) -> bool:
        """
        Whether the upstream may take new runs.

        During a rollout, upstreams with another weight version still serve requests to
        keep up the capacity; they are the second choice.
        """
        report = upstream.report
        holds_weights = report.model == self.service.model and report.version != ""
        is_open = not report.leaving and upstream.name not in self._closed
        return holds_weights and is_open

    def set_closed(self, upstreams: frozenset[str]) -> None:
        """Set the upstreams that get no new runs for now."""
        if upstreams != self._closed:
            self._closed = upstreams
            self._summary = None

    def set_start_limits(self, limits: Mapping[str, float]) -> None:
        """Set until when runs may start at these upstreams; others have no limit."""
        self._start_limits = limits

    def _ends_in_time(self, option: "_Option", max_tokens: int, now: float) -> bool:
        """
        Whether a run is expected to end before its upstream's limit on starts.

        Load pattern: engines have replaced weights, and others that crashed leave them
        with more prompts than their estimates include. A run starts with its first
        token, so what has lately waited there counts, too. Its time budget ends about
        at the limit, and would cut off a longer answer. The budget counts from when
        the upstream reads the run, so an upstream that is silent gets none.
        """
        limit_s = self._start_limits.get(option.upstream.name)
        if limit_s is None:
            return True
        if option.upstream.find_silence(now) > MAX_OUTDATED_SILENCE_S:
            return False
        wait_s = max(option.first_token_s, option.upstream.find_recent_wait(now))
        answer_s = self.answer_times.estimate_mean(max_tokens)
        return now + wait_s + answer_s <= limit_s

    def set_limited(self, limited: frozenset[str], spent: frozenset[str]) -> None:
        """
        Set the upstreams that limit how many runs they take.

        :param spent: those of them that take no run yet. They still count in the
            fleet's capacity, as they take some each second.
        """
        self._limited = limited
        self._spent = spent

    def set_subset(self, upstreams: frozenset[str] | None) -> None:
        """
        Set the subset of upstreams that this entry uses, None for all.

        Others are used only while none of the subset takes work.
        """
        if upstreams != self._subset:
            self._subset = upstreams
            self._summary = None

    def _filter_subset(self, names: tuple[str, ...]) -> tuple[str, ...]:
        if self._subset is None:
            return names
        return tuple(name for name in names if name in self._subset) or names

    def set_primaries(self, entry: str, entries: tuple[str, ...]) -> None:
        """
        Divide the upstreams among the entries as their primary ones.

        Every entry may use every upstream. Non-urgent work goes to an entry's primary
        upstreams first, and elsewhere only if reports show spare slots. So entries that
        don't see each other's dispatches don't all send such work to one upstream.
        """
        self._entry = entry
        self._entries = tuple(sorted(entries)) or (entry,)
        self._summary = None

    def _assign_primaries(self, usable: list[Upstream]) -> None:
        count = len(self._entries)
        known = self._entry in self._entries
        index = self._entries.index(self._entry) if known else 0
        for position, upstream in enumerate(sorted(usable, key=_domain_order)):
            if len(usable) >= count:
                upstream.is_primary = position % count == index
            else:
                upstream.is_primary = index % len(usable) == position

    def add(self, report: UpstreamReport, now: float) -> None:
        """Add an upstream."""
        self.upstreams[report.name] = Upstream(report)
        self.ejector.add(report.name, now)
        self.paces.add(report.name, report.incarnation)
        self._summary = None

    def apply(self, report: UpstreamReport, now: float) -> None:
        """Apply a newer report of an upstream."""
        upstream = self.upstreams[report.name]
        former = upstream.report
        if not upstream.apply(report, now):
            return
        self.paces.add(report.name, report.incarnation)
        if _capacity_of(former) != _capacity_of(report):
            self._summary = None

    def remove(self, name: str) -> None:
        """Remove an upstream and its health."""
        self.upstreams.pop(name, None)
        self.ejector.remove(name)
        self.paces.remove(name)
        self._summary = None

    def summarize(self) -> FleetSummary:
        """Return the fleet's capacity as reported."""
        if self._summary is None:
            usable = [up for up in self.upstreams.values() if self.is_usable(up)]
            self._assign_primaries(usable)
            reports = [upstream.report for upstream in usable]
            count = max(1, len(reports))
            names = tuple(report.name for report in reports)
            self._summary = FleetSummary(
                names,
                self._filter_subset(names),
                sum(upstream.prefill_tokens_per_s for upstream in usable) / count,
                sum(report.decode_tokens_per_s for report in reports) / count,
                sum(report.slots for report in reports) / count,
            )
        return self._summary

    def refresh(self, now: float) -> None:
        """Update the estimated rates and the slots of ejected upstreams."""
        if now >= self._summarised_s + SUMMARY_INTERVAL_S:
            self._summarised_s = now
            self._summary = None
        limit_slots(self.upstreams, self.ejector, self.paces, now)

    def has_room(self, priority: int, now: float) -> bool:
        """Whether any upstream could start a run of that priority about now."""
        rank = self._find_last_ahead(priority)
        share = self.mix.share_ahead(rank)
        ahead_s = MAX_START_BACKLOG_S + MAX_IMPORT_BACKLOG_S
        in_subset = (self.upstreams[name] for name in self.summarize().in_subset)
        return any(
            upstream.free_slots > 0
            and upstream.name not in self._spent
            and upstream.estimate_backlog(rank, share, now) <= ahead_s
            for upstream in in_subset
        )

    def measure_room(self, now: float) -> dict[Resource, float]:
        """Return the free share of each resource, over the upstreams of this entry."""
        upstreams = [self.upstreams[name] for name in self.summarize().in_subset]
        count = max(1, len(upstreams))
        slots = sum(max(1, up.report.slots) for up in upstreams)
        free_slots = sum(max(0, up.free_slots) for up in upstreams)
        idle = [
            up
            for up in upstreams
            if up.estimate_backlog(LAST_PRIORITY, 1.0, now) <= MAX_START_BACKLOG_S
        ]
        room = {
            Resource.PREFILL: len(idle) / count,
            Resource.SLOTS: free_slots / max(1, slots),
        }
        memory = sum(up.run_memory for up in upstreams)
        if memory:
            used = sum(min(up.used_memory, up.run_memory) for up in upstreams)
            room[Resource.MEMORY] = 1.0 - used / memory
        return room

    def find_open_builds(self, now: float) -> frozenset[str]:
        """Return the builds of the upstreams that could start a run about now."""
        ahead_s = MAX_START_BACKLOG_S + MAX_IMPORT_BACKLOG_S
        usable = (self.upstreams[name] for name in self.summarize().names)
        return frozenset(
            upstream.report.build
            for upstream in usable
            if upstream.free_slots > 0
            and upstream.name not in self._spent
            and upstream.estimate_backlog(LAST_PRIORITY, 1.0, now) <= ahead_s
        )

    def serves_build(self, build: str) -> bool:
        """Whether any upstream of a build is there that does not leave."""
        reports = (upstream.report for upstream in self.upstreams.values())
        return any(item.build == build and not item.leaving for item in reports)

    def _find_last_ahead(self, priority: int) -> int:
        """
        Return the least urgent priority that an engine computes before a new prompt.

        Load pattern: short urgent prompts among long ones, at engines that admit by
        priority and then compute in the order of admission. An urgent prompt that is
        queued behind a long one waits for all of it, while another engine could start
        at once.
        """
        return LAST_PRIORITY if self.service.prefills_in_order else priority

    def choose(self, waiting: WaitingRequest, now: float) -> Route | None:
        """
        Return the best route, or None if no upstream takes the request.

        A route that is not startable means that it is better to wait for that upstream
        than to start now at another one. If this would use up half of the promised
        wait, the best startable route is returned instead, if there is one.
        """
        request = waiting.request
        held = self._index.find_holders(request.block_names)
        stored = self._index.find_stored(request.block_names)
        if len(stored) > SOURCE_CANDIDATES:
            deepest = nlargest(SOURCE_CANDIDATES, stored, key=stored.get)
            stored = {source: stored[source] for source in deepest}
        candidates = self._candidates(waiting, held)
        context = _Context(
            waiting,
            now,
            stored,
            max((*held.values(), *stored.values()), default=0),
            self.mix.share_ahead(self._find_last_ahead(waiting.priority)),
            self._count_reserved(now),
            self.use.estimate_kept(waiting.priority, self._scale, now),
        )
        options = [
            self._estimate(upstream, held.get(upstream.name, 0), context)
            for upstream in candidates
        ]
        if self._start_limits:
            tokens = request.max_tokens
            options = [
                item for item in options if self._ends_in_time(item, tokens, now)
            ]
        best = self._choose_option(options)
        if best is None:
            return None
        if not best.startable:
            startable = (option for option in options if option.startable)
            other = min(startable, key=_score, default=best)
            if not self._is_worth_waiting(waiting, best, other, now):
                best = other
        return self._make_route(best, context)

    def _is_worth_waiting(
        self, waiting: WaitingRequest, best: _Option, other: _Option, now: float
    ) -> bool:
        """
        Whether to keep waiting for the best upstream while it is busy.

        Several requests may wait for the same slot, so the estimate may never come
        true. The wait is limited to the time to first token at the other upstream,
        extended by the weight of the saved computation.
        """
        weights = self.service.weights
        arrival_s = waiting.request.arrival_s
        work_weight = weights.recomputed / max(weights.first_token, MIN_WEIGHT)
        limit_s = other.first_token_s * (1.0 + work_weight)
        promise_s = waiting.promised_start_s - arrival_s
        limit_s = min(limit_s, MAX_HOLDER_WAIT_RATIO * promise_s)
        start_s = now + best.first_token_s - best.prefill_s
        return (
            now - arrival_s < limit_s
            and start_s <= arrival_s + MAX_HOLDER_WAIT_RATIO * promise_s
        )

    def _choose_option(self, options: list[_Option]) -> _Option | None:
        """Return the best option; prefers the wanted version unless none can start."""
        wanted = self.service.version
        current = [item for item in options if item.upstream.report.version == wanted]
        best = min(current, key=_score, default=None)
        if best is not None and (best.startable or len(current) == len(options)):
            return best
        others = (item for item in options if item.startable)
        return min(others, key=_score, default=best)

    def find_fetch_sources(
        self, upstream: str, block_names: tuple[str, ...], now: float
    ) -> tuple[str | None, ...]:
        """Return for each block another upstream to fetch it from, or None."""
        depths = self._index.find_holders(block_names)
        target = self.upstreams.get(upstream)
        if target is None:
            return (None,) * len(block_names)
        domain = target.report.failure_domain
        usable = [
            name
            for name in depths
            if (found := self.upstreams.get(name)) is not None
            and self.is_usable(found)
            and isinstance(self.ejector.find_state(name, now), Closed)
            and not self.paces.is_paced(name)
        ]
        same_domain = [
            name
            for name in usable
            if self.upstreams[name].report.failure_domain == domain
        ]
        return choose_fetch_sources(
            depths, upstream, len(block_names), usable, same_domain
        )

    def estimate_prefill(self, request: PromptRequest) -> float:
        """Return the prefill seconds at an average upstream with nothing cached."""
        rate = self.summarize().prefill_tokens_per_s
        return request.prompt_tokens / rate if rate > 0 else 0.0

    def _candidates(
        self, waiting: WaitingRequest, held: dict[str, int]
    ) -> list[Upstream]:
        """Return all upstreams of a small service, or a sample of a large one."""
        names = self._list_names(waiting.build)
        if len(names) > ALL_CANDIDATES:
            holders = nlargest(HOLDER_CANDIDATES, held, key=held.get)
            names = [*self._random.sample(names, SAMPLED_CANDIDATES), *holders]
        # Breaks ties at random, so that entries don't all choose the same upstream.
        offset = int(self._random.random() * len(names))
        names = names[offset:] + names[:offset]
        found = (self.upstreams.get(name) for name in dict.fromkeys(names))
        usable = [
            up
            for up in found
            if up is not None and self.is_usable(up) and up.name not in self._spent
        ]
        # Requests don't wait for an ejected upstream.
        usable = [up for up in usable if up.slot_limit > 0] or usable
        if waiting.version:
            usable = [up for up in usable if up.report.version == waiting.version]
        if waiting.build:
            usable = [up for up in usable if up.report.build == waiting.build]
        if not waiting.excluded:
            return usable
        return [up for up in usable if up.name not in waiting.excluded] or usable

    def _list_names(self, build: str) -> list[str]:
        """Return the upstreams to use; others than the subset if it lacks the build."""
        fleet = self.summarize()
        if not build:
            return list(fleet.in_subset)
        known = self.upstreams
        names = [name for name in fleet.names if known[name].report.build == build]
        return [name for name in names if name in fleet.in_subset] or names

    def add_run(self, waiting: WaitingRequest, route: Route, now: float) -> None:
        """Count a dispatched run."""
        upstream = self.upstreams[route.upstream]
        if route.plan is not None:
            plan = route.plan
            target = upstream.report.failure_domain
            self.links.reserve(plan.source_domain, target, plan.total_bytes, now)
        request = waiting.request
        upstream.add_run(
            request.request_id, waiting.priority, route, now, waiting.memory_tokens
        )
        self.ejector.record_dispatch(upstream.name, now)
        more_tokens = request.prompt_tokens - self._mean_prompt_tokens
        self._mean_prompt_tokens += PROMPT_SIZE_EWMA_ALPHA * more_tokens
        self.mix.add(waiting.priority, route.prefill_s)
        if waiting.priority < self.urgent_ranks:
            self._urgent.change(1, now)
        self.use.change(waiting.priority, 1, waiting.memory_tokens, now)

    def start_run(self, waiting: WaitingRequest, name: str, now: float) -> None:
        """Record the first token of a run."""
        upstream = self.upstreams.get(name)
        if upstream is None:
            return
        slowness = upstream.start_run(waiting.request.request_id, now)
        if slowness is not None:
            self.ejector.record_success(name, slowness, now)
            record_paced_time(
                self.upstreams, self.ejector, self.paces, name, slowness, now
            )

    def record_answer(
        self, waiting: WaitingRequest, name: str, tokens: int, now: float
    ) -> None:
        """Record the length of a complete answer, before its run is removed."""
        upstream = self.upstreams.get(name)
        run = upstream and upstream.runs.get(waiting.request.request_id)
        if run is not None and run.started_s is not None:
            max_tokens = waiting.request.max_tokens
            self.answer_times.record(tokens, max_tokens, now - run.started_s)

    def end_run(
        self, waiting: WaitingRequest, name: str, whole: bool, now: float
    ) -> None:
        """Remove a run that ended or was cancelled."""
        if waiting.priority < self.urgent_ranks:
            self._urgent.change(-1, now)
        self.use.change(waiting.priority, -1, -waiting.memory_tokens, now)
        upstream = self.upstreams.get(name)
        if upstream is not None:
            upstream.end_run(waiting.request.request_id, now, whole)

    def fail_run(
        self,
        waiting: WaitingRequest,
        name: str,
        now: float,
        *,
        connected: bool = True,
        refused: bool = False,
        endless: bool = False,
    ) -> None:
        """
        Remove a run that its upstream refused or lost.

        :param connected: False if no connection to it could be made.
        :param refused: whether it stated that it did not run the request.
        :param endless: whether it was cut off, as it held more than was asked for.
        """
        self.end_run(waiting, name, False, now)
        if upstream := self.upstreams.get(name):
            if refused:
                upstream.record_sign(now)
            self.paces.record_refusal(name, upstream.count_unstarted())
        if endless:
            self.ejector.record_endless(name, now)
        elif refused:
            self.ejector.record_refusal(name, now)
        elif connected:
            self.ejector.record_failure(name, now)
        else:
            self.ejector.record_unreachable(name, now)

    @property
    def _scale(self) -> float:
        """The use of one upstream by all entries, as a multiple of this entry's."""
        return len(self._entries) / max(1, len(self.upstreams))

    def _count_reserved(self, now: float) -> int:
        """Return the slots of each upstream that are reserved for urgent runs."""
        mean = self._urgent.read(now) * self._scale
        # Mean plus one standard deviation of a Poisson count.
        return math.ceil(mean + math.sqrt(mean)) if mean > NEGLIGIBLE_OCCUPANCY else 0

    def _estimate(self, upstream: Upstream, depth: int, context: _Context) -> _Option:
        """Return the best option: to compute the missing blocks or to import them."""
        estimate = self._assess_upstream(upstream, depth, context)
        best = self._make_option(estimate, depth, "", context)
        if upstream.report.version != self.service.version:
            # Block names include the wanted version, so no stored block fits here.
            return best
        for source, stored_depth in context.stored.items():
            if stored_depth > depth:
                option = self._make_option(estimate, stored_depth, source, context)
                if option.score < best.score:
                    best = option
        return best

    def _assess_upstream(
        self, upstream: Upstream, depth: int, context: _Context
    ) -> _UpstreamEstimate:
        priority = context.waiting.priority
        has_room = upstream.free_slots > 0 and upstream.fits_memory(
            context.waiting.memory_tokens, context.kept_tokens
        )
        slot_wait_s = 0.0 if has_room else upstream.estimate_slot_wait()
        backlog_s = upstream.estimate_backlog(
            self._find_last_ahead(priority), context.others_share, context.now
        )
        if has_room and priority >= self.urgent_ranks:
            has_room = self._fits_non_urgent(upstream, context.reserved)
        return _UpstreamEstimate(
            upstream,
            depth,
            max(1.0, upstream.prefill_tokens_per_s),
            backlog_s,
            slot_wait_s,
            (0.0 if upstream.is_primary else NON_PRIMARY_UNCERTAINTY_S)
            + upstream.estimate_lateness(context.now),
            has_room,
        )

    def _make_option(
        self, estimate: _UpstreamEstimate, cached: int, source: str, context: _Context
    ) -> _Option:
        request = context.waiting.request
        import_s = price = 0.0
        if source:
            size = request.count_bytes(estimate.depth, cached)
            target = estimate.upstream.report.failure_domain
            import_s = self.links.estimate_transfer(source, target, size, context.now)
            price = self.links.price(source, target, size)
        cached_tokens = request.count_tokens(cached)
        missing_tokens = request.prompt_tokens - cached_tokens
        wait_s = max(import_s, estimate.backlog_s) + estimate.slot_wait_s
        mean_s = max(1, missing_tokens) / estimate.rate
        # The prompt is computed after those before it.
        middle_s = context.now + wait_s + mean_s / 2
        slowness = estimate.upstream.estimate_slowness(middle_s)
        prefill_s = slowness * mean_s
        first_token_s = wait_s + prefill_s + slowness * estimate.upstream.overhead_s
        recomputed_tokens = request.count_tokens(context.cached_depth) - cached_tokens
        weights = self.service.weights
        penalty_s = self._get_domain_penalty(estimate.upstream)
        penalty_s += self._get_limit_penalty(estimate.upstream, request)
        score = weights.first_token * (
            first_token_s + estimate.uncertainty_s + penalty_s
        )
        score += weights.recomputed * recomputed_tokens / estimate.rate
        score += weights.link * price
        ahead_s = MAX_START_BACKLOG_S + min(import_s, MAX_IMPORT_BACKLOG_S)
        return _Option(
            estimate.upstream,
            estimate.depth,
            cached,
            source,
            first_token_s,
            prefill_s,
            score,
            estimate.has_room and estimate.backlog_s <= ahead_s,
            max(1, missing_tokens),
            estimate.backlog_s * estimate.rate,
        )

    def _get_domain_penalty(self, upstream: Upstream) -> float:
        """Return the penalty in seconds for another failure domain than the entry's."""
        domain = upstream.report.failure_domain
        is_remote = self.entry_domain and domain != self.entry_domain
        return REMOTE_DOMAIN_PENALTY_S if is_remote else 0.0

    def _get_limit_penalty(self, upstream: Upstream, request: PromptRequest) -> float:
        """Return the penalty in seconds for a small request at a limited upstream."""
        if upstream.name not in self._limited:
            return 0.0
        share = request.prompt_tokens / max(1.0, self._mean_prompt_tokens)
        return LIMITED_UPSTREAM_PENALTY_S * max(0.0, 1.0 - share)

    def _fits_non_urgent(self, upstream: Upstream, reserved: int) -> bool:
        """Whether a non-urgent run leaves the reserved slots free."""
        if not (upstream.is_primary or upstream.accepts_overflow):
            return False
        slots = upstream.report.slots
        kept = _limit_reserved(reserved, slots)
        return upstream.count_non_urgent(self.urgent_ranks) < slots - kept

    def _make_route(self, option: _Option, context: _Context) -> Route:
        plan = None
        request = context.waiting.request
        if option.source:
            size = request.count_bytes(option.depth, option.cached)
            target = option.upstream.report.failure_domain
            plan = ImportPlan(
                option.source,
                request.block_names[option.depth : option.cached],
                size,
                self.links.estimate_transfer(option.source, target, size, context.now),
                self.links.price(option.source, target, size),
            )
        return Route(
            option.upstream.name,
            plan,
            option.first_token_s,
            option.prefill_s,
            option.score,
            option.startable,
            self._count_free_slots_kept(option.upstream, context),
            option.missing_tokens,
            option.ahead_tokens,
        )

    def _count_free_slots_kept(self, upstream: Upstream, context: _Context) -> int:
        if context.waiting.priority < self.urgent_ranks:
            return -1
        return _limit_reserved(context.reserved, upstream.report.slots)


def _score(option: _Option) -> float:
    return option.score


def _capacity_of(report: UpstreamReport) -> tuple[object, ...]:
    return (
        report.leaving,
        report.model,
        report.version,
        report.slots,
        report.prefill_tokens_per_s,
        report.decode_tokens_per_s,
    )


def _domain_order(upstream: Upstream) -> tuple[str, str]:
    return upstream.report.failure_domain, upstream.name


def _limit_reserved(reserved: int, slots: int) -> int:
    return min(reserved, int(MAX_RESERVED_SHARE * slots))
