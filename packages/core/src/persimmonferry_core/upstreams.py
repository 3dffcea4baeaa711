"""Upstreams as an entry knows them: lagging reports and its own runs since."""

from dataclasses import dataclass

from persimmonferry_core.ejection import Ejector
from persimmonferry_core.prefill_rate import PrefillRateEstimator

__all__ = [
    "ImportPlan",
    "PeerWork",
    "Route",
    "Upstream",
    "UpstreamReport",
    "limit_slots",
]

NO_SLOT_LIMIT = 1_000_000
DEFAULT_RUN_S = 2.0
RUN_TIME_EWMA_ALPHA = 0.1
FIRST_DECODE_STEP_S = 0.1
# Prefill rate of an engine that reports none, until first tokens have come.
ASSUMED_PREFILL_TOKENS_PER_S = 60_000.0
# Part of an engine's memory that runs may fill; the rest holds shared parts.
MAX_RUN_MEMORY_RATIO = 0.92
MAX_OVERFLOW_SLOT_RATIO = 0.5
# Prefill that delays the next prompt by more than a round trip between entries.
HEAVY_PREFILL_S = 0.015


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
    :param memory_tokens: that runs and cached parts share, 0 when not known.
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
    memory_tokens: int = 0


@dataclass(frozen=True)
class PeerWork:
    """
    What another entry has at an upstream, by its own word.

    :param memory_tokens: of its runs there.
    :param waiting_tokens: that have to be computed before first tokens, by priority.
    """

    runs: int
    memory_tokens: int
    waiting_tokens: tuple[tuple[int, int], ...]

    def add(self, other: "PeerWork") -> "PeerWork":
        """
        Return this and other work together.

        >>> PeerWork(1, 50, ((0, 20),)).add(PeerWork(1, 60, ((0, 5), (1, 7))))
        PeerWork(runs=2, memory_tokens=110, waiting_tokens=((0, 25), (1, 7)))
        """
        waiting = dict(self.waiting_tokens)
        for rank, tokens in other.waiting_tokens:
            waiting[rank] = waiting.get(rank, 0) + tokens
        return PeerWork(
            self.runs + other.runs,
            self.memory_tokens + other.memory_tokens,
            tuple(sorted(waiting.items())),
        )


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
    :param keep_free: slots that the run has to leave free for urgent ones, negative
        for an urgent run, which may also wait for a slot there.
    :param missing_tokens: of the prompt that have to be computed.
    :param ahead_tokens: that have to be computed before it.
    """

    upstream: str
    plan: ImportPlan | None
    first_token_s: float
    prefill_s: float
    score: float
    startable: bool
    keep_free: int = -1
    missing_tokens: int = 0
    ahead_tokens: float = 0.0


@dataclass
class _OwnRun:
    """
    A run of this entry at an upstream.

    :param expected_s: estimated time to first token when it was dispatched.
    :param ready_s: when its import has ended.
    :param missing_tokens: of its prompt that have to be computed.
    :param ahead_tokens: that had to be computed before it.
    :param memory_tokens: that it takes of the engine's memory.
    """

    priority: int
    prefill_s: float
    expected_s: float
    dispatched_s: float
    ready_s: float
    missing_tokens: int = 0
    ahead_tokens: float = 0.0
    memory_tokens: int = 0
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
        self.is_primary = True
        self.other_runs = report.running + report.waiting
        self._other_prefill_s = _prefill_s(report, report.waiting_prefill_tokens)
        self._peak_runs = 0
        self._unreported_runs = 0
        self.run_s = DEFAULT_RUN_S
        self._prefill_event_s = 0.0
        self._prefill_rate = PrefillRateEstimator(ASSUMED_PREFILL_TOKENS_PER_S)
        self._peers: dict[str, PeerWork] = {}
        self._has_peer_reports = False
        self._peer_runs = 0
        self._peer_memory = 0
        self._peer_waiting: dict[int, int] = {}
        self._peer_updated_s: dict[str, float] = {}
        self._mean_peer_updated_s = 0.0
        self._own_memory = 0
        self._waiting: dict[str, _OwnRun] = {}

    @property
    def name(self) -> str:
        """The name of the upstream."""
        return self.report.name

    @property
    def in_flight(self) -> int:
        """Runs that are known to be there, of this entry and of others."""
        other_runs = self._peer_runs if self._has_peer_reports else self.other_runs
        return len(self.runs) + other_runs

    @property
    def prefill_tokens_per_s(self) -> float:
        """The reported rate, or the learned one of an engine that reports none."""
        return self.report.prefill_tokens_per_s or self._prefill_rate.tokens_per_s

    @property
    def overhead_s(self) -> float:
        """Learned time of a prompt without tokens, 0 where the rate is reported."""
        return (
            0.0 if self.report.prefill_tokens_per_s else self._prefill_rate.overhead_s
        )

    def fits_memory(self, tokens: int) -> bool:
        """
        Whether the memory of a run is free besides that of the runs there.

        An idle engine takes any run; what is too large for it is refused there.
        """
        if not self.report.memory_tokens:
            return True
        used = self._own_memory + self._peer_memory
        limit = MAX_RUN_MEMORY_RATIO * self.report.memory_tokens
        return not used or used + tokens <= limit

    def set_peer_work(self, peer: str, work: PeerWork | None, now: float) -> None:
        """Take over what another entry has there, None when it is not known."""
        self._has_peer_reports = True
        if work is None:
            if self._peers.pop(peer, None) is None:
                return
            del self._peer_updated_s[peer]
        else:
            is_same = self._peers.get(peer) == work
            self._peers[peer] = work
            self._peer_updated_s[peer] = now
            if is_same and not work.waiting_tokens:
                return
        self._sum_peers()

    def add_peer_work(self, peer: str, work: PeerWork, now: float) -> None:
        """Take over what another entry has sent there since it last told of all."""
        known = self._peers.get(peer)
        self.set_peer_work(peer, known.add(work) if known else work, now)

    def _sum_peers(self) -> None:
        peers = self._peers.values()
        self._peer_runs = sum(item.runs for item in peers)
        self._peer_memory = sum(item.memory_tokens for item in peers)
        waiting: dict[int, int] = {}
        total = weighted_s = 0.0
        for name, item in self._peers.items():
            for rank, tokens in item.waiting_tokens:
                waiting[rank] = waiting.get(rank, 0) + tokens
                total += tokens
                weighted_s += tokens * self._peer_updated_s[name]
        self._peer_waiting = waiting
        self._mean_peer_updated_s = weighted_s / total if total else 0.0

    def get_run_work(self, run_id: str) -> PeerWork | None:
        """Return what one run of this entry takes there, to be told to the others."""
        run = self.runs.get(run_id)
        if run is None:
            return None
        waiting = ((run.priority, run.missing_tokens),)
        return PeerWork(1, run.memory_tokens, waiting)

    def is_heavy(self, work: PeerWork) -> bool:
        """Whether work is so much that another entry's next choice depends on it."""
        tokens = sum(tokens for _, tokens in work.waiting_tokens)
        return tokens >= HEAVY_PREFILL_S * self.prefill_tokens_per_s

    def summarise_own_work(self, now: float) -> PeerWork:
        """Return what this entry has there, to be told to the others."""
        waiting: dict[int, int] = {}
        for run in self._waiting.values():
            tokens = waiting.get(run.priority, 0) + run.missing_tokens
            waiting[run.priority] = tokens
        ranks = tuple(sorted(waiting.items()))
        return PeerWork(len(self.runs), self._own_memory, ranks)

    @property
    def free_slots(self) -> int:
        """Runs more that are known to fit."""
        if self.report.leaving:
            return 0
        own_limit = self.slot_limit - len(self.runs)
        return min(own_limit, self.report.slots - self.in_flight)

    @property
    def accepts_overflow(self) -> bool:
        """
        Whether this entry may send patient work there although it is another's home.

        Other entries may do the same before the next report, so each sends one run.
        """
        report = self.report
        idle = report.waiting_prefill_tokens == 0 and report.waiting == 0
        half = report.running <= MAX_OVERFLOW_SLOT_RATIO * report.slots
        return idle and half and self._unreported_runs == 0

    def apply(self, report: UpstreamReport, now: float) -> bool:
        """Take over a report unless it is older than the last one."""
        known = (self.report.incarnation, self.report.sequence)
        if (report.incarnation, report.sequence) <= known:
            return False
        if report.incarnation != self.report.incarnation:
            self._peak_runs = 0
        self.other_runs = max(0, report.running + report.waiting - self._peak_runs)
        own_prefill_s = sum(run.prefill_s for run in self._waiting.values())
        reported_s = _prefill_s(report, report.waiting_prefill_tokens)
        self._other_prefill_s = max(0.0, reported_s - own_prefill_s)
        if not self.other_runs:
            self._other_prefill_s = 0.0
        self.report = report
        self._peak_runs = len(self.runs)
        self._unreported_runs = 0
        return True

    def mark_full(self) -> None:
        """Take it that other entries use all slots, until the next report."""
        self.other_runs = max(self.other_runs, self.report.slots - len(self.runs))

    def count_non_urgent(self, urgent_ranks: int) -> int:
        """Return the runs there that are not of an urgent priority, as known."""
        own = [run for run in self.runs.values() if run.priority >= urgent_ranks]
        return len(own) + self.other_runs

    def add_run(
        self,
        run_id: str,
        priority: int,
        route: Route | None,
        now: float,
        memory_tokens: int = 0,
    ) -> None:
        """
        Count a run that was dispatched there.

        :param route: None for a call to a plain service.
        :param memory_tokens: that it takes of the engine's memory.
        """
        if not self._is_prefilling():
            self._prefill_event_s = now
        import_s = route.plan.estimated_s if route and route.plan else 0.0
        prefill_s = route.prefill_s if route else 0.0
        expected_s = route.first_token_s if route else 0.0
        run = _OwnRun(
            priority,
            prefill_s,
            expected_s,
            now,
            now + import_s,
            route.missing_tokens if route else 0,
            route.ahead_tokens if route else 0.0,
            memory_tokens,
        )
        self.runs[run_id] = self._waiting[run_id] = run
        self._own_memory += memory_tokens
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
        self._waiting.pop(run_id, None)
        self._prefill_event_s = now
        if not self.report.prefill_tokens_per_s and run.missing_tokens:
            tokens = run.missing_tokens + run.ahead_tokens
            self._prefill_rate.record(tokens, now - run.ready_s, now)
        expected_s = run.expected_s + FIRST_DECODE_STEP_S
        return (now - run.dispatched_s) / expected_s

    def end_run(self, run_id: str, now: float, whole: bool) -> None:
        """Forget a run; a whole one tells how long runs take."""
        run = self.runs.pop(run_id, None)
        if run is None:
            return
        self._waiting.pop(run_id, None)
        self._own_memory -= run.memory_tokens
        if not run.started:
            self._prefill_event_s = now
        if whole:
            self.run_s += RUN_TIME_EWMA_ALPHA * (now - run.dispatched_s - self.run_s)

    def estimate_backlog(self, priority: int, others_share: float, now: float) -> float:
        """
        Return the seconds of prefill to be done before one of that priority.

        :param others_share: part of other entries' work that goes first.
        """
        ahead = 0.0
        since_s = now
        for run in self._waiting.values():
            if run.priority <= priority and run.ready_s <= now:
                ahead += run.prefill_s
                since_s = min(since_s, run.ready_s)
        if ahead:
            since_s = max(since_s, self._prefill_event_s)
            ahead = max(0.0, ahead - (now - since_s))
        if self._has_peer_reports:
            tokens = self._count_peer_tokens(priority, now)
            return ahead + tokens / self.prefill_tokens_per_s
        return ahead + others_share * self._other_prefill_s

    def _count_peer_tokens(self, priority: int, now: float) -> float:
        """Return what is left of the waiting tokens that other entries told of."""
        waiting = self._peer_waiting.items()
        tokens = sum(tokens for rank, tokens in waiting if rank <= priority)
        if not tokens:
            return 0.0
        own = sum(run.missing_tokens for run in self._waiting.values())
        # The engine also works at this entry's prompts meanwhile.
        rate = self.prefill_tokens_per_s * tokens / (tokens + own)
        return max(0.0, tokens - rate * max(0.0, now - self._mean_peer_updated_s))

    def estimate_slot_wait(self) -> float:
        """Return the seconds until a slot is expected to be free."""
        limit = max(1, self.report.slots)
        excess = self.in_flight + 1 - limit
        return max(0.0, excess * self.run_s / limit)

    def _is_prefilling(self) -> bool:
        return bool(self._waiting)


def _prefill_s(report: UpstreamReport, tokens: int) -> float:
    if report.prefill_tokens_per_s <= 0:
        return 0.0
    return tokens / report.prefill_tokens_per_s


def limit_slots(upstreams: dict[str, Upstream], ejector: Ejector, now: float) -> None:
    """Bring up to date the slots that ejected and returning upstreams may use."""
    for name in ejector.find_limited(now):
        upstream = upstreams[name]
        upstream.slot_limit = ejector.limit_slots(name, upstream.report.slots, now)
    for name in ejector.pop_readmitted():
        if name in upstreams:
            upstreams[name].slot_limit = NO_SLOT_LIMIT
