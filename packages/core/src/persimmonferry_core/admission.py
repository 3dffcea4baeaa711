"""Admission control and the queue of requests that wait for an upstream."""

from dataclasses import dataclass
from heapq import merge
from itertools import islice

from persimmonferry_core.codes import ResultCode
from persimmonferry_core.demand import DecayingRate
from persimmonferry_core.fair_queue import ArrivalHorizon, FairQueue, QueueEntry
from persimmonferry_core.schema import Tier

__all__ = ["AdmissionQueue", "PromptRequest", "Queued", "Refused", "WaitingRequest"]

# Share of the time until its promised start that a request may be expected to wait.
MAX_WAIT_SLACK_RATIO = 0.8
DEMAND_WINDOW_S = 10.0
MIN_RETRY_AFTER_S = 0.1
# Share of the capacity that counts as free under any demand of more urgent tiers.
MIN_FREE_CAPACITY_RATIO = 0.05
# Queued requests are dropped only if they would be late even at this multiple of the
# estimated capacity.
EXCESS_CAPACITY_FACTOR = 1.25
MIN_SAMPLED_WAIT_S = 0.5
WAIT_FACTOR_EWMA_ALPHA = 0.05
MIN_WAIT_FACTOR = 0.8
MAX_WAIT_FACTOR = 2.5


@dataclass(frozen=True)
class PromptRequest:
    """
    A prompt to be answered.

    :param request_id: unique among the requests of this entry.
    :param block_names: names of the prompt's full cache blocks, in order.
    :param block_bytes: size of one exported cache block.
    :param arrival_s: when the entry received the request.
    :param block_tokens: tokens in one cache block.
    :param block_sizes: tokens of each block, if they differ.
    :param caller_deadline_s: when the caller stops waiting; None if an answer later
        than promised is useless.
    :param build: of the upstreams at which its stream may go on; empty for any.
    :param fingerprint: equal for a call and its repetition, 0 if unknown.
    """

    request_id: str
    account: str
    tier: str
    service: str
    prompt_tokens: int
    max_tokens: int
    arrival_s: float
    block_names: tuple[str, ...] = ()
    block_bytes: int = 0
    block_tokens: int = 1000
    block_sizes: tuple[int, ...] = ()
    caller_deadline_s: float | None = None
    build: str = ""
    fingerprint: int = 0

    def count_tokens(self, depth: int) -> int:
        """
        Return the number of tokens in the first blocks of the prompt.

        >>> sizes = (40, 30)
        >>> request = PromptRequest("r", "a", "t", "s", 90, 9, 0.0, block_sizes=sizes)
        >>> request.count_tokens(1), request.count_tokens(2)
        (40, 70)
        """
        if self.block_sizes:
            return sum(self.block_sizes[:depth])
        return depth * self.block_tokens

    def count_bytes(self, first: int, last: int) -> int:
        """Return the size in bytes of the blocks from ``first`` up to ``last``."""
        if not self.block_sizes:
            return (last - first) * self.block_bytes
        tokens = self.count_tokens(last) - self.count_tokens(first)
        return tokens * self.block_bytes // max(1, self.block_tokens)


@dataclass(frozen=True)
class Queued:
    """
    The request was admitted.

    :param promised_start_s: latest start of its run that keeps the promised wait.
    :param estimated_wait_s: how long it is expected to wait for its start.
    """

    request_id: str
    promised_start_s: float
    estimated_wait_s: float


@dataclass(frozen=True)
class Refused:
    """
    The request did not run and will not run.

    :param retry_after_s: delay before a retry; None if a retry is pointless.
    """

    request_id: str
    code: ResultCode
    retry_after_s: float | None


@dataclass(frozen=True)
class WaitingRequest:
    """
    A request in the queue.

    :param promised_start_s: latest start of its run that keeps the promised wait.
    :param cost_s: expected cost of the run, in seconds of one whole upstream.
    :param excluded: upstreams that failed or refused this request before.
    :param version: weight version on which its answer has to continue; empty before the
        first token.
    :param expires_s: time after which starting its run is useless; not before
        ``promised_start_s``.
    :param memory_tokens: expected use of the engine's memory by the run.
    :param build: of the upstreams at which its stream may go on; empty for any.
    :param is_returning: whether it was refused before, and comes back when promised.
    """

    request: PromptRequest
    promised_start_s: float
    cost_s: float
    priority: int
    excluded: frozenset[str] = frozenset()
    version: str = ""
    expires_s: float = 0.0
    memory_tokens: int = 0
    build: str = ""
    is_returning: bool = False

    @property
    def accepts_late_start(self) -> bool:
        """Whether it may still start after its promised wait."""
        return self.expires_s > self.promised_start_s


class _WaitCorrection:
    """
    Correction factor from estimated to actual waits of one tier.

    The estimate does not include the sizes and the burstiness of future arrivals. The
    factor makes admission stricter after waits that were longer than estimated.
    """

    def __init__(self) -> None:
        self.factor = 1.0
        self._estimates: dict[str, tuple[float, float]] = {}

    def expect(self, request_id: str, wait_s: float, now: float) -> None:
        """Record the uncorrected estimate of an admitted request."""
        if wait_s >= MIN_SAMPLED_WAIT_S:
            self._estimates[request_id] = (wait_s, now)

    def forget(self, request_id: str) -> None:
        """Discard the estimate of a cancelled request."""
        self._estimates.pop(request_id, None)

    def record_wait(self, request_id: str, end_s: float) -> None:
        """Update the factor by the actual wait until the start or the expiry."""
        estimate = self._estimates.pop(request_id, None)
        if estimate is None:
            return
        wait_s, admitted_s = estimate
        ratio = (end_s - admitted_s) / wait_s
        self.factor += WAIT_FACTOR_EWMA_ALPHA * (ratio - self.factor)
        self.factor = min(MAX_WAIT_FACTOR, max(MIN_WAIT_FACTOR, self.factor))


class AdmissionQueue:
    """
    Request queue of one service with admission control.

    Tiers are served in the order of the promised start of their next request; within a
    tier, client accounts share by fair queueing. A request is admitted only if its
    promised wait can be kept with a margin, so that non-urgent requests rarely get
    close to their promised start, where they would precede urgent ones.

    Load pattern: bursts that cannot all be served in time. Requests whose promised wait
    has passed but whose callers still wait move to an overdue queue behind all others.
    There they don't delay requests that can still be in time, and are not refused while
    engines have spare capacity.

    :param tiers: of the team's document.
    """

    def __init__(self, tiers: tuple[Tier, ...]) -> None:
        self._queues: dict[str, FairQueue[WaitingRequest]] = {}
        self._demands: dict[str, DecayingRate] = {}
        self._waits: dict[str, _WaitCorrection] = {}
        self._tiers: dict[str, Tier] = {}
        self._ranks: dict[str, int] = {}
        self._overdue: FairQueue[WaitingRequest] = FairQueue()
        self.configure(tiers)

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values()) + len(self._overdue)

    def configure(self, tiers: tuple[Tier, ...]) -> None:
        """Apply the tiers of a new document; waiting requests stay queued."""
        ordered = sorted(tiers, key=lambda tier: (tier.promised_wait_s, tier.name))
        self._ranks = {tier.name: rank for rank, tier in enumerate(ordered)}
        self._tiers = {tier.name: tier for tier in ordered}
        for tier in ordered:
            self._queues.setdefault(tier.name, FairQueue())
            self._waits.setdefault(tier.name, _WaitCorrection())
            self._demands.setdefault(tier.name, DecayingRate(DEMAND_WINDOW_S))

    def find_tier(self, name: str) -> Tier | None:
        """Return the tier of that name, or None."""
        return self._tiers.get(name)

    def rank(self, tier: str) -> int:
        """Return the tier's priority: 0 for the most urgent."""
        return self._ranks.get(tier, len(self._ranks))

    def estimate_wait(
        self, waiting: WaitingRequest, weight: float, capacity: float, now: float
    ) -> float:
        """
        Return the expected wait in seconds if the request joined the queue now.

        :param weight: fair-share weight of its client account.
        :param capacity: upstream seconds of work that the fleet completes each second.
        """
        request = waiting.request
        urgent_rate = 0.0
        ahead = 0.0
        for name, queue in self._queues.items():
            if self.rank(name) < waiting.priority:
                urgent_rate += self._demands[name].estimate(now)
                ahead += queue.total_cost
        own = self._queues[request.tier]
        horizon_s = max(0.0, waiting.promised_start_s - now)
        arrivals = ArrivalHorizon(horizon_s, now)
        ahead += own.estimate_work_ahead(
            request.account, weight, waiting.cost_s, arrivals
        )
        free = max(capacity - urgent_rate, MIN_FREE_CAPACITY_RATIO * capacity)
        return ahead / free if free > 0 else float("inf")

    def offer(
        self, waiting: WaitingRequest, weight: float, capacity: float, now: float
    ) -> Queued | Refused:
        """
        Admit the request if its promised wait can be kept, refuse it otherwise.

        :param weight: fair-share weight of its client account.
        :param capacity: upstream seconds of work that the fleet completes each second.
        """
        request = waiting.request
        queue = self._queues[request.tier]
        queue.record_demand(request.account, waiting.cost_s, weight, now)
        model = self._waits[request.tier]
        plain_wait = self.estimate_wait(waiting, weight, capacity, now)
        wait = plain_wait * model.factor
        slack = waiting.promised_start_s - now
        allowed = MAX_WAIT_SLACK_RATIO * slack
        if (
            wait > allowed
            and wait > 0
            and not self._fits_overdue(waiting, capacity, now)
        ):
            retry_after = max(MIN_RETRY_AFTER_S, min(wait - allowed, 60.0))
            return Refused(request.request_id, ResultCode.WAIT_NOT_KEPT, retry_after)
        self.push(waiting, weight)
        model.expect(request.request_id, plain_wait, now)
        self._demands[request.tier].add(waiting.cost_s, now)
        return Queued(request.request_id, waiting.promised_start_s, wait)

    def _fits_overdue(
        self, waiting: WaitingRequest, capacity: float, now: float
    ) -> bool:
        """Whether a request can start from the overdue queue before it expires."""
        if not waiting.accepts_late_start:
            return False
        demand = sum(rate.estimate(now) for rate in self._demands.values())
        free = max(capacity - demand, MIN_FREE_CAPACITY_RATIO * capacity)
        ahead = self._overdue.total_cost
        ahead += sum(queue.total_cost for queue in self._queues.values())
        return ahead / free <= MAX_WAIT_SLACK_RATIO * (waiting.expires_s - now)

    def push(self, waiting: WaitingRequest, weight: float) -> None:
        """Add a request without an admission check."""
        self._queues[waiting.request.tier].push(
            _make_entry(waiting, waiting.promised_start_s), weight
        )

    def _move_to_overdue(self, waiting: WaitingRequest) -> None:
        """Move a request to the overdue queue, where all accounts weigh the same."""
        queue = self._queues[waiting.request.tier]
        if waiting.request.request_id in queue:
            queue.remove(waiting.request.request_id)
        self._overdue.push(_make_entry(waiting, waiting.expires_s), 1.0)

    def iterate(
        self,
        priorities: frozenset[int],
        limit: int,
        builds: frozenset[str] = frozenset(),
    ) -> list[WaitingRequest]:
        """
        Return waiting requests in the order in which they should start.

        Load pattern: many streams wait for the few upstreams of their build, and are
        due before all other requests. Those that can't start don't count.

        :param priorities: ranks of the tiers to include.
        :param limit: most requests of one tier.
        :param builds: of the upstreams that have room.
        """

        def may_start(entry: QueueEntry[WaitingRequest]) -> bool:
            return not entry.item.build or entry.item.build in builds

        streams = (
            islice(filter(may_start, queue.iterate()), limit)
            for tier, queue in self._queues.items()
            if len(queue) and self.rank(tier) in priorities
        )
        on_time = [entry.item for entry in merge(*streams, key=_start_order)]
        overdue = filter(may_start, self._overdue.iterate())
        late = (entry.item for entry in islice(overdue, limit))
        return on_time + [item for item in late if item.priority in priorities]

    @property
    def is_backlogged(self) -> bool:
        """Whether requests wait that may start at upstreams of any build."""
        queues = (*self._queues.values(), self._overdue)
        return any(
            not entry.item.build for queue in queues for entry in queue.iterate()
        )

    def find_priorities(self) -> list[int]:
        """Return the ranks of the tiers with waiting requests, most urgent first."""
        ranks = {self.rank(tier) for tier, queue in self._queues.items() if len(queue)}
        ranks |= {entry.item.priority for entry in self._overdue.iterate()}
        return sorted(ranks)

    def dequeue(self, waiting: WaitingRequest, now: float) -> None:
        """Remove a request that was assigned, and charge its account's fair share."""
        request = waiting.request
        self._waits[request.tier].record_wait(request.request_id, now)
        self._find_queue(waiting).dequeue(request.request_id)

    def remove(self, waiting: WaitingRequest) -> None:
        """Remove a request that will not run; its account is not charged."""
        request = waiting.request
        self._waits[request.tier].forget(request.request_id)
        self._find_queue(waiting).remove(request.request_id)

    def _find_queue(self, waiting: WaitingRequest) -> FairQueue[WaitingRequest]:
        if waiting.request.request_id in self._overdue:
            return self._overdue
        return self._queues[waiting.request.tier]

    def expire(self, now: float) -> tuple[WaitingRequest, ...]:
        """
        Remove and return the expired requests.

        Requests that only missed their promised start move to the overdue queue.
        """
        gone = [entry.item for entry in self._overdue.find_overdue(now)]
        for queue in self._queues.values():
            for entry in queue.find_overdue(now):
                if entry.item.accepts_late_start:
                    self._record_missed_start(entry.item)
                    self._move_to_overdue(entry.item)
                else:
                    gone.append(entry.item)
        for waiting in gone:
            self._record_missed_start(waiting)
            self.remove(waiting)
        return tuple(gone)

    def drop_due_before(self, start_s: float) -> tuple[WaitingRequest, ...]:
        """Remove and return the requests whose promised start is before a time."""
        queues = (*self._queues.values(), self._overdue)
        gone = [
            entry.item
            for queue in queues
            for entry in queue.iterate()
            if entry.item.promised_start_s < start_s
        ]
        for waiting in gone:
            self.remove(waiting)
        return tuple(gone)

    def drop_excess(self, capacity: float, now: float) -> tuple[WaitingRequest, ...]:
        """
        Remove and return requests that are not expected to start in time.

        An account that was idle may claim its fair share again. That delays requests
        which another account was admitted beyond its own share; the newest requests of
        that other account are removed first.
        """
        dropped: list[WaitingRequest] = []
        ahead = 0.0
        urgent_rate = 0.0
        for tier in self._tiers:
            queue = self._queues[tier]
            free = max(capacity - urgent_rate, MIN_FREE_CAPACITY_RATIO * capacity)
            for entry in queue.pop_excess(ahead, EXCESS_CAPACITY_FACTOR * free, now):
                self._record_missed_start(entry.item)
                if entry.item.accepts_late_start:
                    self._move_to_overdue(entry.item)
                else:
                    dropped.append(entry.item)
            ahead += queue.total_cost
            urgent_rate += self._demands[tier].estimate(now)
        free = max(capacity - urgent_rate, MIN_FREE_CAPACITY_RATIO * capacity)
        excess = self._overdue.pop_excess(ahead, EXCESS_CAPACITY_FACTOR * free, now)
        dropped += [entry.item for entry in excess]
        return tuple(dropped)

    def _record_missed_start(self, waiting: WaitingRequest) -> None:
        request = waiting.request
        self._waits[request.tier].record_wait(
            request.request_id, waiting.promised_start_s
        )


def _make_entry(
    waiting: WaitingRequest, deadline_s: float
) -> QueueEntry[WaitingRequest]:
    request = waiting.request
    return QueueEntry(
        request.request_id,
        request.account,
        waiting.cost_s,
        deadline_s,
        waiting,
        waiting.is_returning,
    )


def _start_order(entry: QueueEntry[WaitingRequest]) -> float:
    return entry.deadline_s
