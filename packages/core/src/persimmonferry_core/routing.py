"""Choice of the upstream that runs a request, by estimated time and priced work."""

import math
import random
from collections import OrderedDict
from dataclasses import dataclass
from heapq import nlargest

from persimmonferry_core.contracts import Service
from persimmonferry_core.ejection import Ejector
from persimmonferry_core.patience import PromptRequest, WaitingRequest
from persimmonferry_core.world import Link

__all__ = [
    "BlockIndex",
    "FleetSummary",
    "ImportPlan",
    "LinkTable",
    "Route",
    "Router",
    "Upstream",
    "UpstreamReport",
]

ALL_CANDIDATES = 16
NO_SLOT_LIMIT = 1_000_000
SAMPLED_CANDIDATES = 8
HOLDER_CANDIDATES = 8
SOURCE_CANDIDATES = 4
START_AHEAD_S = 0.1
UNKNOWN_BACKLOG_S = 0.1
IMPORT_AHEAD_S = 1.0
DEFAULT_RUN_S = 2.0
RUN_SMOOTHING = 0.1
FIRST_STEP_S = 0.1
LINK_SMOOTHING = 0.2
MIX_RETENTION = 0.99
NEGLIGIBLE_OCCUPANCY = 0.01
OCCUPANCY_WINDOW_S = 10.0
MAX_RESERVED_SHARE = 0.25
SPILL_SHARE = 0.5
MAX_INDEXED_BLOCKS = 100_000
LOCAL_LATENCY_S = 0.0005
LOCAL_BYTES_PER_S = 1.25e9


@dataclass(frozen=True)
class UpstreamReport:
    """
    What an agent reports of its upstream; it lags.

    :param incarnation: grows each time that the agent starts.
    :param sequence: grows within an incarnation.
    :param model: empty for a plain service.
    :param waiting_prefill_tokens: prompt tokens that wait to be computed.
    :param decode_tokens_per_s: of one run.
    :param leaving: whether it takes no new work.
    """

    name: str
    incarnation: int
    sequence: int
    failure_domain: str
    service: str
    model: str
    version: str
    running: int
    waiting: int
    waiting_prefill_tokens: int
    slots: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    leaving: bool = False


@dataclass(frozen=True)
class ImportPlan:
    """
    Blocks to bring from the store VMs of a failure domain before the run.

    :param source_domain: failure domain whose store VMs hold the blocks.
    :param price: in the team's currency.
    """

    source_domain: str
    block_names: tuple[str, ...]
    total_bytes: int
    estimated_s: float
    price: float


@dataclass(frozen=True)
class Route:
    """
    An upstream for a request with what it is estimated to take.

    :param first_token_s: from now to the first token.
    :param prefill_s: of the prompt's part that has to be computed.
    :param startable: whether the upstream can start it about now.
    """

    upstream: str
    plan: ImportPlan | None
    first_token_s: float
    prefill_s: float
    score: float
    startable: bool


@dataclass
class _OwnRun:
    """
    A run of this entry at an upstream.

    :param expected_s: estimated time to first token when it was dispatched.
    :param ready_s: when its import has ended.
    """

    priority: int
    prefill_s: float
    expected_s: float
    dispatched_s: float
    ready_s: float
    started_s: float | None = None

    @property
    def started(self) -> bool:
        """Whether it gave its first token."""
        return self.started_s is not None


class Upstream:
    """
    An upstream as this entry knows it: the last report and its own runs since.

    The work of other entries is the reported work less the most that this entry had
    there between the last two reports, so neither a dispatch nor an end that the
    report has not seen yet is counted twice.
    """

    def __init__(self, report: UpstreamReport) -> None:
        self.report = report
        self.runs: dict[str, _OwnRun] = {}
        self.slot_limit = NO_SLOT_LIMIT
        self.is_home = True
        self.others = report.running + report.waiting
        self._others_prefill_s = _prefill_s(report, report.waiting_prefill_tokens)
        self._peak_runs = 0
        self._unreported_runs = 0
        self._run_s = DEFAULT_RUN_S
        self._lane_event_s = 0.0

    @property
    def name(self) -> str:
        """The name of the upstream."""
        return self.report.name

    @property
    def in_flight(self) -> int:
        """Runs that are known to be there, of this entry and of others."""
        return len(self.runs) + self.others

    @property
    def free_slots(self) -> int:
        """Runs more that are known to fit."""
        if self.report.leaving:
            return 0
        own_limit = self.slot_limit - len(self.runs)
        return min(own_limit, self.report.slots - self.in_flight)

    @property
    def takes_spill(self) -> bool:
        """
        Whether this entry may send patient work there although it is another's home.

        Other entries may do the same before the next report, so each sends one run.
        """
        report = self.report
        idle = report.waiting_prefill_tokens == 0 and report.waiting == 0
        half = report.running <= SPILL_SHARE * report.slots
        return idle and half and self._unreported_runs == 0

    def apply(self, report: UpstreamReport, now: float) -> bool:
        """Take over a report unless it is older than the last one."""
        known = (self.report.incarnation, self.report.sequence)
        if (report.incarnation, report.sequence) <= known:
            return False
        if report.incarnation != self.report.incarnation:
            self._peak_runs = 0
        self.others = max(0, report.running + report.waiting - self._peak_runs)
        own_prefill_s = sum(
            run.prefill_s for run in self.runs.values() if not run.started
        )
        reported_s = _prefill_s(report, report.waiting_prefill_tokens)
        self._others_prefill_s = max(0.0, reported_s - own_prefill_s)
        if not self.others:
            self._others_prefill_s = 0.0
        self.report = report
        self._peak_runs = len(self.runs)
        self._unreported_runs = 0
        return True

    def count_patient(self, urgent_ranks: int) -> int:
        """Return the runs there that are not of an urgent priority, as known."""
        own = [run for run in self.runs.values() if run.priority >= urgent_ranks]
        return len(own) + self.others

    def add_run(
        self, run_id: str, priority: int, route: Route | None, now: float
    ) -> None:
        """
        Count a run that was dispatched there.

        :param route: None for a call to a plain service.
        """
        if not self._computing():
            self._lane_event_s = now
        import_s = route.plan.estimated_s if route and route.plan else 0.0
        prefill_s = route.prefill_s if route else 0.0
        expected_s = route.first_token_s if route else 0.0
        run = _OwnRun(priority, prefill_s, expected_s, now, now + import_s)
        self.runs[run_id] = run
        self._peak_runs = max(self._peak_runs, len(self.runs))
        self._unreported_runs += 1

    def start_run(self, run_id: str, now: float) -> float | None:
        """
        Note that a run gave its first token.

        :returns: how slow it was: the time that it took over the expected time.
        """
        run = self.runs.get(run_id)
        if run is None or run.started:
            return None
        run.started_s = now
        self._lane_event_s = now
        expected_s = run.expected_s + FIRST_STEP_S
        return (now - run.dispatched_s) / expected_s

    def end_run(self, run_id: str, now: float, whole: bool) -> None:
        """Forget a run; a whole one tells how long runs take."""
        run = self.runs.pop(run_id, None)
        if run is None:
            return
        if not run.started:
            self._lane_event_s = now
        if whole:
            self._run_s += RUN_SMOOTHING * (now - run.dispatched_s - self._run_s)

    def estimate_backlog(self, priority: int, others_share: float, now: float) -> float:
        """
        Return the seconds of prefill to be done before one of that priority.

        :param others_share: part of other entries' work that goes first.
        """
        ahead = 0.0
        since_s = now
        for run in self.runs.values():
            if not run.started and run.priority <= priority and run.ready_s <= now:
                ahead += run.prefill_s
                since_s = min(since_s, run.ready_s)
        if ahead:
            since_s = max(since_s, self._lane_event_s)
            ahead = max(0.0, ahead - (now - since_s))
        return ahead + others_share * self._others_prefill_s

    def estimate_slot_wait(self) -> float:
        """Return the seconds until a slot is expected to be free."""
        limit = max(1, self.report.slots)
        excess = self.in_flight + 1 - limit
        return max(0.0, excess * self._run_s / limit)

    def _computing(self) -> bool:
        return any(not run.started for run in self.runs.values())


class _Occupancy:
    """Time average of a count."""

    def __init__(self) -> None:
        self.mean = 0.0
        self._count = 0
        self._updated_s = 0.0

    def change(self, difference: int, now: float) -> None:
        """Note that the count changed."""
        self._advance(now)
        self._count = max(0, self._count + difference)

    def _advance(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated_s)
        share = 1.0 - math.exp(-elapsed / OCCUPANCY_WINDOW_S)
        self.mean += share * (self._count - self.mean)
        self._updated_s = now


class PriorityMix:
    """
    The recent prefill work of this entry by priority.

    Reports don't tell the priority of other entries' work. All entries get their
    requests from the same balancer, so its own mix stands for theirs.
    """

    def __init__(self) -> None:
        self._prefill_s: dict[int, float] = {}

    def add(self, priority: int, prefill_s: float) -> None:
        """Count a run that was dispatched."""
        for known in self._prefill_s:
            self._prefill_s[known] *= MIX_RETENTION
        self._prefill_s[priority] = self._prefill_s.get(priority, 0.0) + prefill_s

    def share_ahead(self, priority: int) -> float:
        """Return the part of the work that has this priority or a more urgent one."""
        total = sum(self._prefill_s.values())
        if total <= 0:
            return 1.0
        ahead = sum(s for known, s in self._prefill_s.items() if known <= priority)
        return ahead / total


class BlockIndex:
    """
    Hints of which upstreams and which failure domains' stores hold a cache block.

    A block that an upstream held is taken to be in the stores of its failure domain,
    since agents export what their engines cache. A wrong hint costs time only.
    """

    def __init__(self) -> None:
        self._holders: dict[str, set[str]] = {}
        self._held: dict[str, set[str]] = {}
        self._stored: OrderedDict[str, set[str]] = OrderedDict()

    def add_held(self, upstream: str, names: tuple[str, ...]) -> None:
        """Note that an upstream's engine holds blocks."""
        self._held.setdefault(upstream, set()).update(names)
        for name in names:
            self._holders.setdefault(name, set()).add(upstream)

    def add_stored(self, failure_domain: str, names: tuple[str, ...]) -> None:
        """Note that the stores of a failure domain hold blocks."""
        for name in names:
            self._stored.setdefault(name, set()).add(failure_domain)
            self._stored.move_to_end(name)
        while len(self._stored) > MAX_INDEXED_BLOCKS:
            self._stored.popitem(last=False)

    def remove_held(self, upstream: str, names: tuple[str, ...]) -> None:
        """Note that an upstream's engine dropped blocks."""
        self._held.get(upstream, set()).difference_update(names)
        for name in names:
            _discard(self._holders, name, upstream)

    def remove_stored(self, failure_domain: str, names: tuple[str, ...]) -> None:
        """Note that the stores of a failure domain don't hold blocks any more."""
        for name in names:
            _discard(self._stored, name, failure_domain)

    def remove_upstream(self, upstream: str) -> None:
        """Forget all that an upstream held."""
        self.remove_held(upstream, tuple(self._held.get(upstream, ())))
        self._held.pop(upstream, None)

    def find_holders(self, names: tuple[str, ...]) -> dict[str, int]:
        """Return for each upstream how many leading blocks it holds."""
        return _find_depths(self._holders, names)

    def find_stored(self, names: tuple[str, ...]) -> dict[str, int]:
        """Return for each failure domain how many leading blocks its stores hold."""
        return _find_depths(self._stored, names)


class _LinkState:
    """A link with the rate that transfers met and when the planned ones end."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.bytes_per_s = max(1.0, link.bytes_per_s * (1.0 - link.loss))
        self.busy_until_s = 0.0
        self.last_end_s = 0.0


class LinkTable:
    """The links between failure domains, with the rates that imports have met."""

    def __init__(self, links: tuple[Link, ...] = ()) -> None:
        self._states: dict[tuple[str, str], _LinkState] = {}
        self.configure(links)

    def configure(self, links: tuple[Link, ...]) -> None:
        """Take over the links of a new document; unchanged ones keep their state."""
        for link in links:
            state = self._states.get((link.source, link.target))
            if state is None or state.link != link:
                self._states[link.source, link.target] = _LinkState(link)

    def estimate_transfer(
        self, source: str, target: str, total_bytes: int, now: float
    ) -> float:
        """Return the seconds that a transfer takes behind those planned before."""
        state = self._find(source, target)
        waiting = max(0.0, state.busy_until_s - now)
        duration = total_bytes / state.bytes_per_s
        return waiting + 2 * state.link.latency_s + duration

    def price(self, source: str, target: str, total_bytes: int) -> float:
        """Return the price of a transfer, in the team's currency."""
        return self._find(source, target).link.price_per_gb * total_bytes / 1e9

    def reserve(self, source: str, target: str, total_bytes: int, now: float) -> None:
        """Count a transfer that was planned."""
        state = self._find(source, target)
        duration = total_bytes / state.bytes_per_s
        state.busy_until_s = max(now, state.busy_until_s) + duration

    def record(
        self, source: str, target: str, total_bytes: int, seconds: float, now: float
    ) -> None:
        """Learn the rate of the link from a transfer that ended."""
        state = self._find(source, target)
        # Transfers share the link, so the time since the last one ended is its own.
        start = max(now - seconds, state.last_end_s)
        state.last_end_s = max(now, state.last_end_s)
        duration = now - start - 2 * state.link.latency_s
        capacity = max(1.0, state.link.bytes_per_s)
        rate = total_bytes / duration if duration > 0 else capacity
        rate = min(rate, capacity)
        state.bytes_per_s += LINK_SMOOTHING * (rate - state.bytes_per_s)
        state.bytes_per_s = max(1.0, state.bytes_per_s)

    def _find(self, source: str, target: str) -> _LinkState:
        state = self._states.get((source, target))
        if state is None:
            link = Link(source, target, LOCAL_LATENCY_S, LOCAL_BYTES_PER_S, 0.0)
            state = self._states[source, target] = _LinkState(link)
        return state


@dataclass(frozen=True)
class FleetSummary:
    """
    The upstreams of a service that may take new runs.

    :param names: of them all.
    :param prefill_tokens_per_s: of an average one, as are the other figures.
    """

    names: tuple[str, ...]
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    slots: float


@dataclass(slots=True)
class _Place:
    """
    What is the same for all ways to run a request at one upstream.

    :param depth: leading blocks that it holds.
    :param slot_wait_s: until a slot is expected to be free.
    :param has_room: whether a slot may be used now.
    """

    upstream: Upstream
    depth: int
    rate: float
    backlog_s: float
    slot_wait_s: float
    doubt_s: float
    has_room: bool


@dataclass(slots=True)
class _Option:
    """
    One way to run a request at an upstream.

    :param depth: leading blocks that the upstream holds.
    :param cached: leading blocks that need no computing, after the import.
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


@dataclass(slots=True)
class _Context:
    """
    What is the same for all options of a request.

    :param known_depth: leading blocks that are held anywhere.
    :param others_share: part of other entries' work that goes first.
    :param reserved: slots of each upstream that are kept for urgent runs.
    """

    waiting: WaitingRequest
    now: float
    stored: dict[str, int]
    known_depth: int
    others_share: float
    reserved: int


class Router:
    """
    Chooses among the upstreams of one service.

    :param service: what the team's document says of it.
    :param links: between failure domains.
    :param index: hints of what engines and stores hold.
    :param generator: source of the seeded choices.
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
        self.urgent_ranks = 0
        self.ejector = Ejector()
        self._limited: tuple[str, ...] = ()
        self._urgent = _Occupancy()
        self._entry = ""
        self._entries: tuple[str, ...] = ("",)
        self.upstreams: dict[str, Upstream] = {}
        self._summary: FleetSummary | None = None

    def configure(self, service: Service, urgent_ranks: int) -> None:
        """
        Take over a new document.

        :param urgent_ranks: how many of the most urgent tiers get reserved slots.
        """
        self.service = service
        self.urgent_ranks = urgent_ranks
        self._summary = None

    def is_usable(self, upstream: Upstream) -> bool:
        """Whether the upstream may take new runs: not leaving, right version."""
        report = upstream.report
        wanted = (self.service.model, self.service.version)
        return not report.leaving and (report.model, report.version) == wanted

    def set_homes(self, entry: str, entries: tuple[str, ...]) -> None:
        """
        Divide the upstreams among the entries.

        Every entry may use every upstream, but keeps its own busy with patient work
        and sends such work elsewhere only as reports show room. So entries that don't
        hear each other's dispatches don't pile patient runs up at one upstream.
        """
        self._entry = entry
        self._entries = tuple(sorted(entries)) or (entry,)
        self._summary = None

    def _divide_homes(self, usable: list[Upstream]) -> None:
        count = len(self._entries)
        known = self._entry in self._entries
        index = self._entries.index(self._entry) if known else 0
        for place, upstream in enumerate(sorted(usable, key=_place_of)):
            if len(usable) >= count:
                upstream.is_home = place % count == index
            else:
                upstream.is_home = index % len(usable) == place

    def add(self, report: UpstreamReport) -> None:
        """Begin to use an upstream."""
        self.upstreams[report.name] = Upstream(report)
        self.ejector.add(report.name)
        self._summary = None

    def apply(self, report: UpstreamReport, now: float) -> None:
        """Take over a later report of an upstream."""
        upstream = self.upstreams[report.name]
        former = upstream.report
        if upstream.apply(report, now) and _capacity_of(former) != _capacity_of(report):
            self._summary = None

    def remove(self, name: str) -> None:
        """Forget an upstream."""
        self.upstreams.pop(name, None)
        self.ejector.remove(name)
        self._summary = None

    def summarize(self) -> FleetSummary:
        """Return the fleet's capacity as reported."""
        if self._summary is None:
            usable = [up for up in self.upstreams.values() if self.is_usable(up)]
            self._divide_homes(usable)
            reports = [upstream.report for upstream in usable]
            count = max(1, len(reports))
            self._summary = FleetSummary(
                tuple(report.name for report in reports),
                sum(report.prefill_tokens_per_s for report in reports) / count,
                sum(report.decode_tokens_per_s for report in reports) / count,
                sum(report.slots for report in reports) / count,
            )
        return self._summary

    def refresh(self, now: float) -> None:
        """Bring the slots up to date that ejected and returning upstreams may use."""
        limited = self.ejector.find_limited(now)
        for name in {*limited, *self._limited} & self.upstreams.keys():
            upstream = self.upstreams[name]
            slots = upstream.report.slots
            limit = self.ejector.limit_slots(name, slots, now)
            upstream.slot_limit = limit if name in limited else NO_SLOT_LIMIT
        self._limited = limited

    def has_room(self, priority: int, now: float) -> bool:
        """Whether any upstream could start a run of that priority about now."""
        share = self.mix.share_ahead(priority)
        ahead_s = START_AHEAD_S + IMPORT_AHEAD_S
        return any(
            upstream.free_slots > 0
            and self.is_usable(upstream)
            and upstream.estimate_backlog(priority, share, now) <= ahead_s
            for upstream in self.upstreams.values()
        )

    def choose(self, waiting: WaitingRequest, now: float) -> Route | None:
        """
        Return the best route, or None when no upstream takes the request.

        A route that is not startable means: waiting for that upstream is better than
        starting now at another one. When no time is left for that, the best of those
        that can start is returned, if there is one.
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
            self.mix.share_ahead(waiting.priority),
            self._count_reserved(),
        )
        options = [
            self._estimate(upstream, held.get(upstream.name, 0), context)
            for upstream in candidates
        ]
        best = min(options, key=_score, default=None)
        if best is None:
            return None
        if not best.startable:
            start_s = now + best.first_token_s - best.prefill_s
            if start_s > waiting.latest_start_s:
                startable = (option for option in options if option.startable)
                best = min(startable, key=_score, default=best)
        return self._make_route(best, context)

    def estimate_prefill(self, request: PromptRequest) -> float:
        """Return the prefill seconds at an average upstream without any cache."""
        rate = self.summarize().prefill_tokens_per_s
        return request.prompt_tokens / rate if rate > 0 else 0.0

    def _candidates(
        self, waiting: WaitingRequest, held: dict[str, int]
    ) -> list[Upstream]:
        """Return all upstreams of a small service, a few of a large one."""
        names = list(self.summarize().names)
        if len(names) > ALL_CANDIDATES:
            holders = nlargest(HOLDER_CANDIDATES, held, key=held.get)
            names = [*self._random.sample(names, SAMPLED_CANDIDATES), *holders]
        # Equal choices must not lead all entries to the same upstream.
        offset = int(self._random.random() * len(names))
        names = names[offset:] + names[:offset]
        found = (self.upstreams.get(name) for name in dict.fromkeys(names))
        usable = [up for up in found if up is not None and self.is_usable(up)]
        if not waiting.avoid:
            return usable
        return [up for up in usable if up.name not in waiting.avoid] or usable

    def add_run(self, waiting: WaitingRequest, route: Route, now: float) -> None:
        """Count a run that was dispatched."""
        upstream = self.upstreams[route.upstream]
        if route.plan is not None:
            plan = route.plan
            target = upstream.report.failure_domain
            self.links.reserve(plan.source_domain, target, plan.total_bytes, now)
        upstream.add_run(waiting.request.request_id, waiting.priority, route, now)
        self.ejector.record_dispatch(upstream.name, now)
        self.mix.add(waiting.priority, route.prefill_s)
        if waiting.priority < self.urgent_ranks:
            self._urgent.change(1, now)

    def start_run(self, waiting: WaitingRequest, name: str, now: float) -> None:
        """Note the first token of a run."""
        upstream = self.upstreams.get(name)
        if upstream is None:
            return
        slowness = upstream.start_run(waiting.request.request_id, now)
        if slowness is not None:
            self.ejector.record_success(name, slowness, now)

    def end_run(
        self, waiting: WaitingRequest, name: str, whole: bool, now: float
    ) -> None:
        """Forget a run that ended or was cancelled."""
        if waiting.priority < self.urgent_ranks:
            self._urgent.change(-1, now)
        upstream = self.upstreams.get(name)
        if upstream is not None:
            upstream.end_run(waiting.request.request_id, now, whole)

    def fail_run(self, waiting: WaitingRequest, name: str, now: float) -> None:
        """Forget a run that its upstream refused or lost."""
        self.end_run(waiting, name, False, now)
        self.ejector.record_failure(name, now)

    def _count_reserved(self) -> int:
        """Return the slots of each upstream that are kept for urgent runs."""
        mean = self._urgent.mean * len(self._entries) / max(1, len(self.upstreams))
        # A mean and one deviation of a Poisson count.
        return math.ceil(mean + math.sqrt(mean)) if mean > NEGLIGIBLE_OCCUPANCY else 0

    def _estimate(self, upstream: Upstream, depth: int, context: _Context) -> _Option:
        """Return the cheaper of computing the missing blocks and importing them."""
        place = self._look_at(upstream, depth, context)
        best = self._rate(place, depth, "", context)
        for source, stored_depth in context.stored.items():
            if stored_depth > depth:
                option = self._rate(place, stored_depth, source, context)
                if option.score < best.score:
                    best = option
        return best

    def _look_at(self, upstream: Upstream, depth: int, context: _Context) -> _Place:
        priority = context.waiting.priority
        has_room = upstream.free_slots > 0
        slot_wait_s = 0.0 if has_room else upstream.estimate_slot_wait()
        if has_room and priority >= self.urgent_ranks:
            has_room = self._fits_patient(upstream, context.reserved)
        return _Place(
            upstream,
            depth,
            max(1.0, upstream.report.prefill_tokens_per_s),
            upstream.estimate_backlog(priority, context.others_share, context.now),
            slot_wait_s,
            0.0 if upstream.is_home else UNKNOWN_BACKLOG_S,
            has_room,
        )

    def _rate(
        self, place: _Place, cached: int, source: str, context: _Context
    ) -> _Option:
        request = context.waiting.request
        import_s = price = 0.0
        if source:
            size = (cached - place.depth) * request.block_bytes
            target = place.upstream.report.failure_domain
            import_s = self.links.estimate_transfer(source, target, size, context.now)
            price = self.links.price(source, target, size)
        missing_tokens = request.prompt_tokens - cached * request.block_tokens
        prefill_s = max(1, missing_tokens) / place.rate
        first_token_s = max(import_s, place.backlog_s) + prefill_s + place.slot_wait_s
        again_tokens = (context.known_depth - cached) * request.block_tokens
        weights = self.service.weights
        score = weights.first_token * (first_token_s + place.doubt_s)
        score += weights.recomputed * again_tokens / place.rate
        score += weights.link * price
        ahead_s = START_AHEAD_S + min(import_s, IMPORT_AHEAD_S)
        return _Option(
            place.upstream,
            place.depth,
            cached,
            source,
            first_token_s,
            prefill_s,
            score,
            place.has_room and place.backlog_s <= ahead_s,
        )

    def _fits_patient(self, upstream: Upstream, reserved: int) -> bool:
        """Whether a run that is not urgent leaves the reserved slots free."""
        if not (upstream.is_home or upstream.takes_spill):
            return False
        slots = upstream.report.slots
        reserved = min(reserved, int(MAX_RESERVED_SHARE * slots))
        return upstream.count_patient(self.urgent_ranks) < slots - reserved

    def _make_route(self, option: _Option, context: _Context) -> Route:
        plan = None
        request = context.waiting.request
        if option.source:
            size = (option.cached - option.depth) * request.block_bytes
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
        )


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


def _place_of(upstream: Upstream) -> tuple[str, str]:
    return upstream.report.failure_domain, upstream.name


def _prefill_s(report: UpstreamReport, tokens: int) -> float:
    if report.prefill_tokens_per_s <= 0:
        return 0.0
    return tokens / report.prefill_tokens_per_s


def _discard(index: dict[str, set[str]], name: str, member: str) -> None:
    members = index.get(name)
    if members is None:
        return
    members.discard(member)
    if not members:
        del index[name]


def _find_depths(index: dict[str, set[str]], names: tuple[str, ...]) -> dict[str, int]:
    depths: dict[str, int] = {}
    current: set[str] | None = None
    for depth, name in enumerate(names, start=1):
        members = index.get(name)
        if not members:
            break
        current = members if current is None else current & members
        if not current:
            break
        for member in current:
            depths[member] = depth
    return depths
