"""State of a team's services in an entry: queue, router, health of upstreams."""

import math
import random
from statistics import median

from persimmonferry_core.admission import AdmissionQueue, PromptRequest
from persimmonferry_core.routing import Router
from persimmonferry_core.upstreams import (
    Upstream,
    UpstreamPaces,
    UpstreamReport,
    limit_slots,
    record_paced_time,
)
from persimmonferry_core.upstreams.ejection import Ejector

__all__ = ["ModelService", "PlainService"]

THROUGHPUT_WINDOW_S = 10.0
THROUGHPUT_PRIOR_S = 2.0
MIN_CALL_S = 0.005
# Load that counts against upstreams in another failure domain, in calls in flight.
REMOTE_DOMAIN_PENALTY_CALLS = 2
COMPUTED_SHARE_EWMA_ALPHA = 0.05
CALL_TIME_EWMA_ALPHA = 0.05
MAX_TIME_RATIO = 4.0
# Expected times that differ by less are not told apart.
NEAR_EQUAL_RATIO = 1.2


class _ThroughputEstimator:
    """
    Measures the work that is started each second while requests wait.

    This includes effects that no report contains: cache hits, slow upstreams, and the
    work of other entries.
    """

    def __init__(self) -> None:
        self._work = 0.0
        self._time_s = 0.0
        self._updated_s = 0.0
        self._is_backlogged = False

    def record(self, cost_s: float, is_backlogged: bool, now: float) -> None:
        """
        Count started work.

        :param is_backlogged: whether requests are still waiting afterwards.
        """
        elapsed = max(0.0, now - self._updated_s)
        self._updated_s = now
        if self._is_backlogged:
            kept = math.exp(-elapsed / THROUGHPUT_WINDOW_S)
            self._work = self._work * kept + cost_s
            self._time_s = self._time_s * kept + elapsed
        self._is_backlogged = is_backlogged

    def estimate(self, nominal: float) -> float:
        """Return the throughput; the fewer samples, the closer to the nominal one."""
        return (self._work + nominal * THROUGHPUT_PRIOR_S) / (
            self._time_s + THROUGHPUT_PRIOR_S
        )


class ModelService:
    """Queue and router of one model service."""

    def __init__(self, queue: AdmissionQueue, router: Router) -> None:
        self.queue = queue
        self.router = router
        self.answer_share = 1.0
        self.computed_share = 1.0
        self.throughput = _ThroughputEstimator()

    def estimate_capacity(self, entries: int) -> float:
        """Return the upstream seconds of work that this entry can start each second."""
        nominal = len(self.router.summarize().names) / max(1, entries)
        return self.throughput.estimate(nominal) if nominal else 0.0

    def record_computed_share(self, missing_tokens: int, prompt_tokens: int) -> None:
        """Update the average share of prompt tokens that have to be computed."""
        if missing_tokens:
            share = min(1.0, missing_tokens / max(1, prompt_tokens))
            self.computed_share += COMPUTED_SHARE_EWMA_ALPHA * (
                share - self.computed_share
            )

    def estimate_cost(self, request: PromptRequest) -> float:
        """Return the expected cost of a request, in seconds of one whole upstream."""
        prefill_s = self.computed_share * self.router.estimate_prefill(request)
        answer_s = self.router.answer_times.estimate_mean(request.max_tokens)
        slots = max(1.0, self.router.summarize().slots)
        return max(prefill_s, (prefill_s + answer_s) / slots)


class PlainService:
    """
    Upstreams of one plain service.

    :param generator: source of the seeded choices.
    """

    def __init__(self, generator: random.Random) -> None:
        self._random = generator
        self.upstreams: dict[str, Upstream] = {}
        self.ejector = Ejector()
        self.paces = UpstreamPaces()
        self.entry_domain = ""
        self._usual_s = 0.0
        self._timed_calls = 0

    def add(self, report: UpstreamReport, now: float) -> None:
        """Add an upstream."""
        self.upstreams[report.name] = Upstream(report)
        self.ejector.add(report.name, now)
        self.paces.add(report.name, report.incarnation)

    def apply(self, report: UpstreamReport, now: float) -> None:
        """Apply a newer report of an upstream."""
        if self.upstreams[report.name].apply(report, now):
            self.paces.add(report.name, report.incarnation)

    def remove(self, name: str) -> None:
        """Remove an upstream and its health."""
        self.upstreams.pop(name, None)
        self.ejector.remove(name)
        self.paces.remove(name)

    def choose(
        self,
        excluded: frozenset[str],
        now: float,
        closed: frozenset[str] = frozenset(),
    ) -> str | None:
        """
        Return an upstream with about the least expected time, None if none is there.

        Load pattern: upstreams differ in speed, and entries know it only roughly. Among
        those that are about as fast, the one with the fewest calls is taken.

        :param excluded: upstreams that failed or refused this call before.
        :param closed: upstreams that take no calls for now.
        """
        excluded = excluded | closed
        limit_slots(self.upstreams, self.ejector, self.paces, now)
        found = [
            upstream
            for upstream in self.upstreams.values()
            if not upstream.report.leaving and upstream.name not in excluded
        ]
        allowed = [up for up in found if up.slot_limit > len(up.runs)] or found
        # Breaks ties at random, so that entries don't all choose the same upstream.
        self._random.shuffle(allowed)
        times = {up.name: self._estimate_time(up, now) for up in allowed}
        limit = NEAR_EQUAL_RATIO * min(times.values(), default=0.0)
        near = (up for up in allowed if times[up.name] <= limit)
        best = min(near, key=self._count_load, default=None)
        return best.name if best else None

    def _count_load(self, upstream: Upstream) -> int:
        """Return the calls in flight, with the penalty for another failure domain."""
        domain = upstream.report.failure_domain
        is_remote = self.entry_domain and domain != self.entry_domain
        return upstream.in_flight + (REMOTE_DOMAIN_PENALTY_CALLS if is_remote else 0)

    def _estimate_time(self, upstream: Upstream, now: float) -> float:
        """
        Return the expected time of a call there, in usual times of a call.

        Each call in flight counts as a part of a slot, also while slots are free: other
        entries send calls there that this one doesn't know of.
        """
        load = self._count_load(upstream) / max(1, upstream.report.slots)
        return upstream.speed.estimate(now) * (1.0 + load)

    def start(self, call_id: str, name: str, now: float) -> None:
        """Count a call that was sent to an upstream."""
        upstream = self.upstreams.get(name)
        if upstream is not None:
            runs = 1.0 + upstream.count_runs_ahead()
            upstream.add_run(call_id, 0, None, now, expected_s=runs * self._usual_s)
            self.ejector.record_dispatch(name, now)

    def finish(
        self,
        call_id: str,
        name: str,
        whole: bool,
        now: float,
        refused: bool = False,
    ) -> None:
        """Record the end of a call; an incomplete answer counts as a failure."""
        upstream = self.upstreams.get(name)
        if upstream is None or call_id not in upstream.runs:
            return
        run = upstream.runs[call_id]
        duration_s = now - run.dispatched_s
        upstream.end_run(call_id, now, whole)
        if whole:
            self._record_time(upstream, duration_s, run.expected_s, now)
            typical_s = median(up.run_s for up in self.upstreams.values())
            slowness = duration_s / max(MIN_CALL_S, typical_s)
            self.ejector.record_success(name, slowness, now)
        elif refused:
            self.ejector.record_refusal(name, now)
        else:
            self.paces.record_refusal(name, upstream.count_unstarted())
            self.ejector.record_failure(name, now)

    def _record_time(
        self, upstream: Upstream, duration_s: float, expected_s: float, now: float
    ) -> None:
        """Update the usual time of a call and the speed of its upstream."""
        duration_s = max(MIN_CALL_S, duration_s)
        slowness = duration_s / expected_s if expected_s else 1.0
        record_paced_time(
            self.upstreams, self.ejector, self.paces, upstream.name, slowness, now
        )
        if not expected_s:
            self._usual_s = self._usual_s or duration_s
            return
        ratio = duration_s / expected_s
        upstream.speed.record_answer(ratio, now)
        self._timed_calls += 1
        alpha = max(CALL_TIME_EWMA_ALPHA, 1.0 / (1.0 + self._timed_calls))
        self._usual_s *= 1.0 + alpha * (min(ratio, MAX_TIME_RATIO) - 1.0)
