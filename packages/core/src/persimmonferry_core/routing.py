"""Choice of the upstream that runs a request, by estimated time and priced work."""

import math
import random
from collections import OrderedDict
from dataclasses import dataclass

from persimmonferry_core.contracts import Service
from persimmonferry_core.patience import PromptRequest, WaitingRequest
from persimmonferry_core.world import Link

__all__ = [
    "BlockIndex",
    "ImportPlan",
    "LinkTable",
    "Route",
    "Router",
    "Upstream",
    "UpstreamReport",
]

ALL_CANDIDATES = 16
SAMPLED_CANDIDATES = 8
HOLDER_CANDIDATES = 8
START_AHEAD_S = 0.1
IMPORT_AHEAD_S = 1.0
DEFAULT_RUN_S = 2.0
RUN_SMOOTHING = 0.1
TCP_SEGMENT_BYTES = 1460
TCP_LOSS_FACTOR = 1.22
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
    """A run of this entry at an upstream; ready when its import has ended."""

    priority: int
    prefill_s: float
    dispatched_s: float
    ready_s: float
    started: bool = False


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
        self.slot_limit = report.slots
        self.others = report.running + report.waiting
        self._others_prefill_s = _prefill_s(report, report.waiting_prefill_tokens)
        self._peak_runs = 0
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
    def has_free_slot(self) -> bool:
        """Whether one more run is known to fit."""
        limit = min(self.slot_limit, self.report.slots)
        return not self.report.leaving and self.in_flight < limit

    def apply(self, report: UpstreamReport, now: float) -> bool:
        """Take over a report unless it is older than the last one."""
        known = (self.report.incarnation, self.report.sequence)
        if (report.incarnation, report.sequence) <= known:
            return False
        if report.incarnation != self.report.incarnation:
            self._peak_runs = 0
        self.slot_limit = report.slots
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
        return True

    def add_run(
        self, run_id: str, priority: int, prefill_s: float, import_s: float, now: float
    ) -> None:
        """Count a run that was dispatched there."""
        if not self._computing():
            self._lane_event_s = now
        self.runs[run_id] = _OwnRun(priority, prefill_s, now, now + import_s)
        self._peak_runs = max(self._peak_runs, len(self.runs))

    def start_run(self, run_id: str, now: float) -> None:
        """Note that a run gave its first token."""
        run = self.runs.get(run_id)
        if run is not None and not run.started:
            run.started = True
            self._lane_event_s = now

    def end_run(self, run_id: str, now: float, whole: bool) -> None:
        """Forget a run; a whole one tells how long runs take."""
        run = self.runs.pop(run_id, None)
        if run is None:
            return
        if not run.started:
            self._lane_event_s = now
        if whole:
            self._run_s += RUN_SMOOTHING * (now - run.dispatched_s - self._run_s)

    def estimate_backlog(self, priority: int, now: float) -> float:
        """Return the seconds of prefill to be done before one of that priority."""
        ahead = 0.0
        for run in self.runs.values():
            if not run.started and run.priority <= priority and run.ready_s <= now:
                ahead += run.prefill_s
        if ahead:
            ahead = max(0.0, ahead - (now - self._lane_event_s))
        return ahead + self._others_prefill_s

    def estimate_slot_wait(self) -> float:
        """Return the seconds until a slot is expected to be free."""
        limit = max(1, min(self.slot_limit, self.report.slots))
        excess = self.in_flight + 1 - limit
        return max(0.0, excess * self._run_s / limit)

    def _computing(self) -> bool:
        return any(not run.started for run in self.runs.values())


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


class LinkTable:
    """The links between failure domains, with the rates that imports have met."""

    def __init__(self, links: tuple[Link, ...]) -> None:
        self._links = {(link.source, link.target): link for link in links}
        self._busy_until: dict[tuple[str, str], float] = {}

    def estimate_transfer(
        self, source: str, target: str, total_bytes: int, now: float
    ) -> float:
        """Return the seconds that a transfer takes behind those planned before."""
        link = self._find(source, target)
        waiting = max(0.0, self._busy_until.get((source, target), 0.0) - now)
        return waiting + 2 * link.latency_s + total_bytes / _goodput(link)

    def price(self, source: str, target: str, total_bytes: int) -> float:
        """Return the price of a transfer, in the team's currency."""
        return self._find(source, target).price_per_gb * total_bytes / 1e9

    def reserve(self, source: str, target: str, total_bytes: int, now: float) -> None:
        """Count a transfer that was planned."""
        start = max(now, self._busy_until.get((source, target), 0.0))
        duration = total_bytes / _goodput(self._find(source, target))
        self._busy_until[source, target] = start + duration

    def _find(self, source: str, target: str) -> Link:
        link = self._links.get((source, target))
        if link is None:
            link = Link(source, target, LOCAL_LATENCY_S, LOCAL_BYTES_PER_S, 0.0)
            self._links[source, target] = link
        return link


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
        self.upstreams: dict[str, Upstream] = {}

    def is_usable(self, upstream: Upstream) -> bool:
        """Whether the upstream may take new runs: not leaving, right version."""
        report = upstream.report
        wanted = (self.service.model, self.service.version)
        return not report.leaving and (report.model, report.version) == wanted

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
        known = max((*held.values(), *stored.values()), default=0)
        routes = [
            self._estimate(upstream, waiting, held, stored, known, now)
            for upstream in self._candidates(waiting, held)
        ]
        best = min(routes, key=_score, default=None)
        if best is None or best.startable:
            return best
        if now + best.first_token_s - best.prefill_s <= waiting.latest_start_s:
            return best
        return min((r for r in routes if r.startable), key=_score, default=best)

    def estimate_prefill(self, request: PromptRequest) -> float:
        """Return the prefill seconds at an average upstream without any cache."""
        rates = [
            upstream.report.prefill_tokens_per_s
            for upstream in self.upstreams.values()
            if upstream.report.prefill_tokens_per_s > 0
        ]
        if not rates:
            return 0.0
        return request.prompt_tokens * len(rates) / sum(rates)

    def _candidates(
        self, waiting: WaitingRequest, held: dict[str, int]
    ) -> list[Upstream]:
        """Return all upstreams of a small service, a few of a large one."""
        names = list(self.upstreams)
        if len(names) > ALL_CANDIDATES:
            holders = sorted(held, key=held.get, reverse=True)[:HOLDER_CANDIDATES]
            names = [*self._random.sample(names, SAMPLED_CANDIDATES), *holders]
        found = (self.upstreams.get(name) for name in dict.fromkeys(names))
        return [
            upstream
            for upstream in found
            if upstream is not None
            and self.is_usable(upstream)
            and upstream.name not in waiting.avoid
        ]

    def _estimate(
        self,
        upstream: Upstream,
        waiting: WaitingRequest,
        held: dict[str, int],
        stored: dict[str, int],
        known: int,
        now: float,
    ) -> Route:
        """Return the cheaper of computing the missing blocks and importing them."""
        depth = held.get(upstream.name, 0)
        best = self._score(upstream, waiting, depth, None, known, now)
        target = upstream.report.failure_domain
        for source, stored_depth in stored.items():
            if stored_depth > depth:
                plan = self._plan_import(
                    waiting.request, source, target, depth, stored_depth, now
                )
                route = self._score(upstream, waiting, stored_depth, plan, known, now)
                best = min(best, route, key=_score)
        return best

    def _plan_import(
        self,
        request: PromptRequest,
        source: str,
        target: str,
        depth: int,
        stored_depth: int,
        now: float,
    ) -> ImportPlan:
        total_bytes = (stored_depth - depth) * request.block_bytes
        return ImportPlan(
            source,
            request.block_names[depth:stored_depth],
            total_bytes,
            self.links.estimate_transfer(source, target, total_bytes, now),
            self.links.price(source, target, total_bytes),
        )

    def _score(
        self,
        upstream: Upstream,
        waiting: WaitingRequest,
        cached_blocks: int,
        plan: ImportPlan | None,
        known_blocks: int,
        now: float,
    ) -> Route:
        request = waiting.request
        cached_tokens = cached_blocks * request.block_tokens
        rate = max(1.0, upstream.report.prefill_tokens_per_s)
        prefill_s = max(1, request.prompt_tokens - cached_tokens) / rate
        import_s = plan.estimated_s if plan else 0.0
        backlog_s = upstream.estimate_backlog(waiting.priority, now)
        slot_s = upstream.estimate_slot_wait()
        first_token_s = slot_s + max(import_s, backlog_s) + prefill_s
        again_tokens = (known_blocks - cached_blocks) * request.block_tokens
        weights = self.service.weights
        score = weights.first_token * first_token_s
        score += weights.recomputed * again_tokens / rate
        score += weights.link * (plan.price if plan else 0.0)
        ahead_s = START_AHEAD_S + min(import_s, IMPORT_AHEAD_S)
        startable = upstream.has_free_slot and backlog_s <= ahead_s
        return Route(upstream.name, plan, first_token_s, prefill_s, score, startable)


def _score(route: Route) -> float:
    return route.score


def _prefill_s(report: UpstreamReport, tokens: int) -> float:
    if report.prefill_tokens_per_s <= 0:
        return 0.0
    return tokens / report.prefill_tokens_per_s


def _goodput(link: Link) -> float:
    """Return the bytes per second that get through a lossy link."""
    sent = link.bytes_per_s * (1.0 - link.loss)
    if link.loss <= 0 or link.latency_s <= 0:
        return max(1.0, sent)
    # The steady rate of one TCP connection under random loss (Mathis et al. 1997).
    round_trip_s = 2 * link.latency_s
    single = TCP_LOSS_FACTOR * TCP_SEGMENT_BYTES / (round_trip_s * math.sqrt(link.loss))
    return max(1.0, min(sent, single))


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
