"""An entry's view of upstreams: lagging reports and its own runs since then."""

from dataclasses import dataclass
from statistics import median

from persimmonferry_core.prefill_rate import PrefillRateEstimator
from persimmonferry_core.upstreams.ejection import Ejector
from persimmonferry_core.upstreams.pace import UpstreamPaces
from persimmonferry_core.upstreams.speeds import UpstreamSpeed

__all__ = [
    "ImportPlan",
    "PeerWork",
    "Route",
    "Upstream",
    "UpstreamReport",
    "limit_slots",
    "record_paced_time",
]

NO_SLOT_LIMIT = 1_000_000
# At this pace an upstream that is as busy as any other is no longer limited.
MIN_FULL_RUNS = 4
FULL_LOAD_RATIO = 2
DEFAULT_RUN_S = 2.0
RUN_TIME_EWMA_ALPHA = 0.1
FIRST_DECODE_STEP_S = 0.1
# Prior for the prefill rate of an engine that reports none.
ASSUMED_PREFILL_TOKENS_PER_S = 60_000.0
# Share of an engine's memory that runs may fill; the rest caches shared parts.
MAX_RUN_MEMORY_RATIO = 0.92
MAX_KEPT_MEMORY_RATIO = 0.25
MAX_OVERFLOW_SLOT_RATIO = 0.5
# Time for which a wait for a first token is expected again.
RECENT_WAIT_S = 5.0
# A run that was ended before its first token would have waited longer.
UNENDED_WAIT_FACTOR = 2.0
# A prompt that is late by some time is expected to be late by as much again.
LATENESS_GROWTH = 1.0
# Prefill that delays the next prompt by more than a round trip between entries.
HEAVY_PREFILL_S = 0.015


@dataclass(frozen=True)
class UpstreamReport:
    """
    An agent's report of its upstream. Reports lag behind the upstream's state.

    :param incarnation: grows each time that the agent starts.
    :param sequence: grows within an incarnation.
    :param model: empty for a plain service.
    :param waiting_prefill_tokens: prompt tokens that wait to be computed.
    :param decode_tokens_per_s: of one run.
    :param leaving: whether the upstream is draining and takes no new work.
    :param memory_tokens: shared by runs and cached parts, 0 if unknown.
    :param build: version of its software.
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
    build: str = ""


@dataclass(frozen=True)
class PeerWork:
    """
    The work of one entry at an upstream, as reported to the other entries.

    :param memory_tokens: used by its runs there.
    :param waiting_tokens: prompt tokens of runs without a first token, by priority.
    """

    runs: int
    memory_tokens: int
    waiting_tokens: tuple[tuple[int, int], ...]

    def add(self, other: "PeerWork") -> "PeerWork":
        """
        Return the sum of this and other work.

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
    Blocks to import from the store VMs of a failure domain before the run.

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
    An upstream for a request, with the estimated times.

    :param first_token_s: from now to the first token.
    :param prefill_s: to compute the part of the prompt that is not cached.
    :param startable: whether the upstream can start the run about now.
    :param keep_free: slots that the run has to leave free for urgent ones; negative
        for an urgent run, which may also wait for a slot there.
    :param missing_tokens: of the prompt that have to be computed.
    :param ahead_tokens: of other prompts that are computed first.
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

    :param expected_s: estimated time to first token at its dispatch; of a call to a
        plain service, its usual duration.
    :param ready_s: expected end of its import.
    :param missing_tokens: of its prompt that have to be computed.
    :param ahead_tokens: of other prompts that are computed first.
    :param memory_tokens: expected use of the engine's memory.
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
        """Whether its first token has arrived."""
        return self.started_s is not None


class Upstream:
    """
    An entry's view of an upstream: the last report and its own runs since then.

    The work of other entries is the reported work minus the most runs that this entry
    had there between the last two reports. So a dispatch or an end that the report does
    not include yet is not counted twice.
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
        self.speed = UpstreamSpeed()
        self._peers: dict[str, PeerWork] = {}
        self._has_peer_reports = False
        self._peer_runs = 0
        self._peer_memory = 0
        self._peer_waiting: dict[int, int] = {}
        self._peer_updated_s: dict[str, float] = {}
        self._mean_peer_updated_s = 0.0
        self._own_memory = 0
        self._waiting: dict[str, _OwnRun] = {}
        self._longest_wait_s = 0.0
        self._longest_wait_noted_s = float("-inf")
        self._silent_since_s: float | None = None

    @property
    def name(self) -> str:
        """The name of the upstream."""
        return self.report.name

    @property
    def in_flight(self) -> int:
        """Known runs at the upstream, of this entry and of others."""
        other_runs = self._peer_runs if self._has_peer_reports else self.other_runs
        return len(self.runs) + other_runs

    @property
    def prefill_tokens_per_s(self) -> float:
        """The reported rate, or the estimated one if the engine reports none."""
        usual = self._prefill_rate.tokens_per_s / self.speed.mean_stated
        return self.report.prefill_tokens_per_s or usual

    @property
    def overhead_s(self) -> float:
        """Estimated fixed time of a prompt, 0 if the engine reports its rate."""
        usual_s = self._prefill_rate.overhead_s * self.speed.mean_stated
        return 0.0 if self.report.prefill_tokens_per_s else usual_s

    def estimate_slowness(self, now: float) -> float:
        """Return how long work takes at a time, as a multiple of this one's mean."""
        return self.speed.estimate(now) / self.speed.mean_stated

    @property
    def run_memory(self) -> float:
        """Tokens of its memory that runs may occupy, 0 if unknown."""
        return MAX_RUN_MEMORY_RATIO * self.report.memory_tokens

    @property
    def used_memory(self) -> int:
        """Tokens that the known runs occupy, of this entry and of others."""
        return self._own_memory + self._peer_memory

    def fits_memory(self, tokens: int, kept_tokens: float = 0.0) -> bool:
        """
        Whether a run fits into the memory that the current runs leave free.

        An idle engine gets any run; the engine itself refuses one that is too large.

        :param kept_tokens: to leave free for more urgent runs.
        """
        used = self.used_memory
        if not self.report.memory_tokens or not used:
            return True
        kept_tokens = min(kept_tokens, MAX_KEPT_MEMORY_RATIO * self.run_memory)
        return used + tokens + kept_tokens <= self.run_memory

    def set_peer_work(self, peer: str, work: PeerWork | None, now: float) -> None:
        """Set the work of another entry at this upstream, None if it is unknown."""
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
        """Add what another entry has dispatched here since its last full report."""
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
        """Return the work of one run of this entry, for reports to other entries."""
        run = self.runs.get(run_id)
        if run is None:
            return None
        waiting = ((run.priority, run.missing_tokens),)
        return PeerWork(1, run.memory_tokens, waiting)

    def is_heavy(self, work: PeerWork) -> bool:
        """Whether work is large enough to matter for another entry's next choice."""
        tokens = sum(tokens for _, tokens in work.waiting_tokens)
        return tokens >= HEAVY_PREFILL_S * self.prefill_tokens_per_s

    def summarise_own_work(self, now: float) -> PeerWork:
        """Return this entry's work at the upstream, for reports to other entries."""
        waiting: dict[int, int] = {}
        for run in self._waiting.values():
            tokens = waiting.get(run.priority, 0) + run.missing_tokens
            waiting[run.priority] = tokens
        ranks = tuple(sorted(waiting.items()))
        return PeerWork(len(self.runs), self._own_memory, ranks)

    @property
    def free_slots(self) -> int:
        """How many more runs are known to fit."""
        if self.report.leaving:
            return 0
        own_limit = self.slot_limit - len(self.runs)
        return min(own_limit, self.report.slots - self.in_flight)

    @property
    def accepts_overflow(self) -> bool:
        """
        Whether this entry may send non-urgent work there as a non-primary upstream.

        Other entries may do the same before the next report, so each sends one run.
        """
        report = self.report
        idle = report.waiting_prefill_tokens == 0 and report.waiting == 0
        half = report.running <= MAX_OVERFLOW_SLOT_RATIO * report.slots
        return idle and half and self._unreported_runs == 0

    def apply(self, report: UpstreamReport, now: float) -> bool:
        """Apply a report unless it is older than the last one."""
        known = (self.report.incarnation, self.report.sequence)
        if (report.incarnation, report.sequence) <= known:
            return False
        if report.incarnation != self.report.incarnation:
            self._peak_runs = 0
            self.speed = UpstreamSpeed()
            self._silent_since_s = None
            self._longest_wait_s = 0.0
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
        """Assume until the next report that other entries use all remaining slots."""
        self.other_runs = max(self.other_runs, self.report.slots - len(self.runs))

    def count_non_urgent(self, urgent_ranks: int) -> int:
        """Return the known non-urgent runs; all runs of other entries count as such."""
        own = [run for run in self.runs.values() if run.priority >= urgent_ranks]
        return len(own) + self.other_runs

    def add_run(
        self,
        run_id: str,
        priority: int,
        route: Route | None,
        now: float,
        memory_tokens: int = 0,
        *,
        expected_s: float = 0.0,
    ) -> None:
        """
        Add a run that was dispatched to the upstream.

        :param route: None for a call to a plain service.
        :param memory_tokens: expected use of the engine's memory.
        :param expected_s: duration of a call to a plain service, 0 if unknown.
        """
        if not self._is_prefilling():
            self._prefill_event_s = now
        import_s = route.plan.estimated_s if route and route.plan else 0.0
        prefill_s = route.prefill_s if route else 0.0
        expected_s = route.first_token_s if route else expected_s
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
        if self._silent_since_s is None:
            self._silent_since_s = now
        self._own_memory += memory_tokens
        self._peak_runs = max(self._peak_runs, len(self.runs))
        self._unreported_runs += 1

    def start_run(self, run_id: str, now: float) -> float | None:
        """
        Record the first token of a run.

        :returns: its slowness, the ratio of the actual to the expected time; None if
            the run is unknown or has started before.
        """
        run = self.runs.get(run_id)
        if run is None or run.started:
            return None
        run.started_s = now
        self._note_wait(now - run.dispatched_s, now)
        self._waiting.pop(run_id, None)
        self.record_sign(now)
        self._prefill_event_s = now
        if not self.report.prefill_tokens_per_s and run.missing_tokens:
            tokens = run.missing_tokens + run.ahead_tokens
            usual_s = (now - run.ready_s) / self.speed.estimate_stated(now)
            self._prefill_rate.record(tokens, usual_s, now)
        expected_s = run.expected_s + FIRST_DECODE_STEP_S
        return (now - run.dispatched_s) / expected_s

    def list_unstarted(self) -> tuple[str, ...]:
        """Return the ids of this entry's runs whose first token has not arrived."""
        return tuple(self._waiting)

    def count_unstarted(self) -> int:
        """Return the number of this entry's runs without a first token."""
        return len(self._waiting)

    def find_recent_wait(self, now: float) -> float:
        """
        Return for how long runs here have lately waited for their first token.

        The engine may queue runs that this entry does not know of.
        """
        waits = [now - run.dispatched_s for run in self._waiting.values()]
        if now < self._longest_wait_noted_s + RECENT_WAIT_S:
            waits.append(self._longest_wait_s)
        return max(waits, default=0.0)

    def find_silence(self, now: float) -> float:
        """
        Return for how long the upstream has answered nothing that was sent to it.

        An engine that stands still gives no other sign, and begins later what was sent
        to it, also if its run has been ended here.
        """
        return 0.0 if self._silent_since_s is None else now - self._silent_since_s

    def record_sign(self, now: float) -> None:
        """Record that the upstream has begun, completed or refused a run."""
        self._silent_since_s = now if self._waiting else None

    def _note_wait(self, wait_s: float, now: float) -> None:
        """Note a wait for a first token, if it is the longest of the recent ones."""
        is_recent = now < self._longest_wait_noted_s + RECENT_WAIT_S
        if wait_s >= self._longest_wait_s or not is_recent:
            self._longest_wait_s = wait_s
            self._longest_wait_noted_s = now

    def end_run(self, run_id: str, now: float, whole: bool) -> None:
        """Remove a run; a complete one updates the average duration of runs."""
        run = self.runs.pop(run_id, None)
        if run is None:
            return
        self._waiting.pop(run_id, None)
        self._own_memory -= run.memory_tokens
        if not run.started:
            self._prefill_event_s = now
            self._note_wait(UNENDED_WAIT_FACTOR * (now - run.dispatched_s), now)
        if whole:
            self.record_sign(now)
            self.run_s += RUN_TIME_EWMA_ALPHA * (now - run.dispatched_s - self.run_s)

    def estimate_backlog(self, priority: int, others_share: float, now: float) -> float:
        """
        Return the seconds of prefill queued before a new prompt of that priority.

        :param others_share: share of other entries' work that is computed first.
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

    def estimate_lateness(self, now: float) -> float:
        """
        Return for how much longer than expected prompts are likely to be computed here.

        Load pattern: long prompts whose parts have to be computed after all, or wait
        for memory. By the expected times, their engine would look idle and get the next
        urgent prompts, while others are idle.
        """
        ready_s = [run.ready_s for run in self._waiting.values() if run.ready_s <= now]
        if not ready_s:
            return 0.0
        since_s = max(min(ready_s), self._prefill_event_s)
        expected_s = sum(
            run.prefill_s for run in self._waiting.values() if run.ready_s <= now
        )
        late_s = now - since_s - expected_s
        return max(0.0, LATENESS_GROWTH * late_s)

    def _count_peer_tokens(self, priority: int, now: float) -> float:
        """Return how many waiting tokens of other entries are probably left."""
        waiting = self._peer_waiting.items()
        tokens = sum(tokens for rank, tokens in waiting if rank <= priority)
        if not tokens:
            return 0.0
        own = sum(run.missing_tokens for run in self._waiting.values())
        # Meanwhile the engine also computes prompts of this entry.
        rate = self.prefill_tokens_per_s * tokens / (tokens + own)
        return max(0.0, tokens - rate * max(0.0, now - self._mean_peer_updated_s))

    def count_runs_ahead(self) -> float:
        """Return how many runs, one after the other, end before one has a slot."""
        limit = max(1, self.report.slots)
        own_limit = max(1, self.slot_limit)
        own = (len(self.runs) + 1 - own_limit) / own_limit
        return max(0.0, (self.in_flight + 1 - limit) / limit, own)

    def estimate_slot_wait(self) -> float:
        """Return the expected seconds until a slot is free."""
        return self.count_runs_ahead() * self.run_s

    def _is_prefilling(self) -> bool:
        return bool(self._waiting)


def _prefill_s(report: UpstreamReport, tokens: int) -> float:
    if report.prefill_tokens_per_s <= 0:
        return 0.0
    return tokens / report.prefill_tokens_per_s


def limit_slots(
    upstreams: dict[str, Upstream], ejector: Ejector, paces: UpstreamPaces, now: float
) -> None:
    """Update the slots that ejected, readmitted and new upstreams may use."""
    ejected = ejector.find_limited(now)
    readmitted = ejector.pop_readmitted()
    for name in readmitted:
        paces.begin(name)
    for name in ejected:
        paces.end(name)
    for name in readmitted | paces.pop_ended():
        if name in upstreams:
            upstreams[name].slot_limit = NO_SLOT_LIMIT
    for name, runs in paces.runs.items():
        upstreams[name].slot_limit = runs
    for name in ejected:
        upstream = upstreams[name]
        upstream.slot_limit = ejector.limit_slots(name, upstream.report.slots, now)


def record_paced_time(
    upstreams: dict[str, Upstream],
    ejector: Ejector,
    paces: UpstreamPaces,
    name: str,
    slowness: float,
    now: float,
) -> None:
    """
    Record how long a first event or a complete answer took, for the upstream's pace.

    :param slowness: ratio of the observed to the expected time.
    """
    paces.record_answered(name)
    if not paces.is_paced(name):
        return
    upstream = upstreams[name]
    stated = upstream.speed.estimate_stated(now)
    others = [item for item in upstreams.values() if item is not upstream]
    if not others:
        paces.end(name)
        return
    usual_stated = max(1.0, median(item.speed.mean_stated for item in others))
    slowness = max(slowness / ejector.find_usual_slowness(), stated / usual_stated)
    usual_runs = max(len(item.runs) for item in others)
    full_runs = max(MIN_FULL_RUNS, FULL_LOAD_RATIO * usual_runs)
    full_runs = min(upstream.report.slots, full_runs)
    paces.record_time(name, slowness, upstream.count_unstarted(), full_runs)
