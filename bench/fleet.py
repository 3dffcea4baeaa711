"""Simulated engines, links and entries in virtual time, around a dispatch policy."""

import heapq
import itertools
import random
from collections import OrderedDict, defaultdict
from dataclasses import dataclass, field

from persimmonferry_core.dispatch import (
    Assignment,
    Dispatcher,
    PromptRequest,
    Queued,
    UpstreamReport,
)
from persimmonferry_core.runs import RunEnd
from persimmonferry_core.topology import Link

CHUNK_TOKENS = 256
HOP_S = 0.002
REPORT_INTERVAL_S = 0.5
REPORT_LAG_S = 0.1
EVENT_LAG_S = 0.3
EVENT_LOSS = 0.05
EXPORT_LAG_S = 0.5


@dataclass
class Call:
    """One request and its outcome."""

    request: PromptRequest
    answer_tokens: int
    refused: bool = False
    expired: bool = False
    first_token_s: float | None = None
    end_s: float | None = None
    computed_tokens: int = 0
    recomputed_tokens: int = 0


class Clock:
    """Virtual time with an event queue."""

    def __init__(self):
        self.now = 0.0
        self._events = []
        self._order = itertools.count()

    def at(self, moment, action, *arguments):
        event = (max(moment, self.now), next(self._order), action, arguments)
        heapq.heappush(self._events, event)

    def after(self, delay, action, *arguments):
        self.at(self.now + delay, action, *arguments)

    def run(self, until):
        while self._events and self._events[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now = until


class SimulatedLink:
    """A link between failure domains that makes one transfer at a time."""

    def __init__(self, link, slowdown=1.0):
        self.link = link
        self.slowdown = slowdown
        self.free_at = 0.0
        self.total_bytes = 0

    def transfer(self, size, now):
        """Return when the bytes have arrived."""
        rate = self.link.bytes_per_s * (1.0 - self.link.loss) / self.slowdown
        start = max(now, self.free_at)
        self.free_at = start + size / rate
        self.total_bytes += size
        return self.free_at + 2 * self.link.latency_s


@dataclass
class EngineRun:
    """A run at an engine."""

    call: Call
    entry: object
    priority: int
    order: int
    arrived_s: float = 0.0
    remaining_tokens: float = 0.0
    cached_tokens: int = 0
    prefill_started: bool = False

    def __lt__(self, other):
        return (self.priority, self.order) < (other.priority, other.order)


@dataclass
class EngineKind:
    """Parameters of an engine."""

    slots: int = 8
    prefill_tokens_per_s: float = 10_000.0
    decode_tokens_per_s: float = 40.0
    cache_blocks: int = 100
    preemptive: bool = True


class Engine:
    """Continuous batching: prefill in chunks by priority, decode at a fixed rate."""

    def __init__(self, fleet, name, domain, kind):
        self.fleet = fleet
        self.clock = fleet.clock
        self.name = name
        self.domain = domain
        self.kind = kind
        self.slowdown = 1.0
        self.cache = OrderedDict()
        self.waiting = []
        self.batch = 0
        self.prefill_queue = []
        self.current = None
        self.current_since = 0.0
        self.prefill_id = 0
        self.sequence = 0
        self.order = itertools.count()

    def submit(self, assignment, call, entry):
        run = EngineRun(call, entry, assignment.priority, next(self.order))
        ready = self.clock.now
        if assignment.plan is not None:
            ready = self.fleet.import_blocks(self, assignment.plan)
        self.clock.at(ready, self._enqueue, run)

    def _enqueue(self, run):
        run.arrived_s = self.clock.now
        heapq.heappush(self.waiting, run)
        self._admit()

    def _admit(self):
        while self.waiting and self.batch < self.kind.slots:
            run = heapq.heappop(self.waiting)
            self.batch += 1
            run.remaining_tokens = run.call.request.prompt_tokens
            heapq.heappush(self.prefill_queue, run)
        self._schedule_prefill()

    def _schedule_prefill(self):
        if not self.prefill_queue:
            return
        if self.current is None:
            self._start_prefill(heapq.heappop(self.prefill_queue))
        elif (
            self.kind.preemptive
            and self.prefill_queue[0].priority < self.current.priority
        ):
            chunk_s = CHUNK_TOKENS / self._prefill_rate()
            chunks = int((self.clock.now - self.current_since) / chunk_s) + 1
            boundary = self.current_since + chunks * chunk_s
            self.clock.at(boundary, self._preempt_prefill, self.prefill_id)

    def _preempt_prefill(self, token):
        if token != self.prefill_id or not self.prefill_queue or self.current is None:
            return
        if self.prefill_queue[0].priority >= self.current.priority:
            return
        done = (self.clock.now - self.current_since) * self._prefill_rate()
        self.current.remaining_tokens = max(1.0, self.current.remaining_tokens - done)
        heapq.heappush(self.prefill_queue, self.current)
        self._start_prefill(heapq.heappop(self.prefill_queue))

    def _start_prefill(self, run):
        if not run.prefill_started:
            run.prefill_started = True
            self._look_up_prefix(run)
        self.current = run
        self.current_since = self.clock.now
        self.prefill_id += 1
        self.clock.after(
            run.remaining_tokens / self._prefill_rate(),
            self._end_prefill,
            self.prefill_id,
        )

    def _look_up_prefix(self, run):
        request = run.call.request
        depth = 0
        for name in request.block_names:
            if name not in self.cache:
                break
            self.cache.move_to_end(name)
            depth += 1
        run.cached_tokens = min(depth * request.block_tokens, request.prompt_tokens - 1)
        run.remaining_tokens = request.prompt_tokens - run.cached_tokens
        run.call.computed_tokens += run.remaining_tokens
        computed_names = request.block_names[depth:]
        recomputed = sum(
            1 for name in computed_names if name in self.fleet.computed_blocks
        )
        run.call.recomputed_tokens += recomputed * request.block_tokens

    def _end_prefill(self, token):
        if token != self.prefill_id:
            return
        run = self.current
        self.current = None
        self.prefill_id += 1
        self.keep(run.call.request.block_names, export=True)
        self.fleet.computed_blocks.update(run.call.request.block_names)
        step_s = 1.0 / self.kind.decode_tokens_per_s
        self.clock.after(step_s, self._send_first_token, run)
        self.clock.after(run.call.answer_tokens * step_s, self._end_run, run)
        self._schedule_prefill()

    def _send_first_token(self, run):
        self.clock.after(HOP_S, run.entry.first_token, run.call)

    def _end_run(self, run):
        self.batch -= 1
        self.clock.after(HOP_S, run.entry.end, run.call, run.cached_tokens)
        self._admit()

    def keep(self, names, export):
        new = [name for name in names if name not in self.cache]
        for name in names:
            self.cache[name] = True
            self.cache.move_to_end(name)
        evicted = []
        while len(self.cache) > self.kind.cache_blocks:
            evicted.append(self.cache.popitem(last=False)[0])
        self.fleet.publish(self, tuple(new), tuple(evicted))
        if export and new:
            self.clock.after(EXPORT_LAG_S, self.fleet.export, self.domain, new)

    def report(self):
        self.sequence += 1
        tokens = sum(run.remaining_tokens for run in self.prefill_queue)
        tokens += sum(run.call.request.prompt_tokens for run in self.waiting)
        if self.current is not None:
            done = (self.clock.now - self.current_since) * self._prefill_rate()
            tokens += max(0.0, self.current.remaining_tokens - done)
        return UpstreamReport(
            self.name,
            1,
            self.sequence,
            self.domain,
            "notes",
            "m",
            "v1",
            self.batch,
            len(self.waiting),
            int(tokens),
            self.kind.slots,
            self.kind.prefill_tokens_per_s,
            self.kind.decode_tokens_per_s,
        )

    def _prefill_rate(self):
        return self.kind.prefill_tokens_per_s / self.slowdown


class Fleet:
    """Engines, stores, links and entries."""

    def __init__(self, seed, engines, domains, kind, links=(), stores=(), slow=1.0):
        self.random = random.Random(seed)
        self.clock = Clock()
        self.engines = {
            f"u{index}": Engine(self, f"u{index}", f"d{index % domains}", kind)
            for index in range(engines)
        }
        self.simulated_links = {
            (link.source, link.target): SimulatedLink(link, slow) for link in links
        }
        self.stored = defaultdict(set)
        self.stores = stores
        self.computed_blocks = set()
        self.entries = []
        for engine in self.engines.values():
            self.clock.at(self.random.random() * 0.5, self._report, engine)

    def _report(self, engine):
        report = engine.report()
        for entry in self.entries:
            self.clock.after(REPORT_LAG_S, entry.report, report)
        self.clock.after(REPORT_INTERVAL_S, self._report, engine)

    def publish(self, engine, new, evicted):
        for entry in self.entries:
            stored_names = [name for name in new if self.random.random() > EVENT_LOSS]
            removed_names = [
                name for name in evicted if self.random.random() > EVENT_LOSS
            ]
            self.clock.after(
                EVENT_LAG_S, entry.events, engine.name, stored_names, removed_names
            )

    def export(self, domain, names):
        if domain in self.stores:
            self.stored[domain].update(names)

    def import_blocks(self, engine, plan):
        held = []
        for name in plan.block_names:
            if name not in self.stored[plan.source_domain]:
                break
            held.append(name)
        if not held:
            return self.clock.now + 2 * HOP_S
        size = plan.total_bytes * len(held) / len(plan.block_names)
        simulated_link = self.simulated_links[plan.source_domain, engine.domain]
        started = self.clock.now
        ready = simulated_link.transfer(size, started)
        self.clock.at(ready, engine.keep, tuple(held), False)
        for entry in self.entries:
            measured = (plan.source_domain, engine.domain, size, ready - started)
            self.clock.at(ready, entry.imported, *measured)
        return ready


@dataclass
class Entry:
    """An entry process around a policy."""

    fleet: Fleet
    policy: object
    calls: dict = field(default_factory=dict)
    wake_at: float = float("inf")

    def arrive(self, call):
        now = self.fleet.clock.now
        self.calls[call.request.request_id] = call
        if not isinstance(self.policy.offer(call.request, now), Queued):
            call.refused = True
        self._dispatch()

    def report(self, report):
        self.policy.report(report, self.fleet.clock.now)
        self._dispatch()

    def events(self, name, stored_names, removed_names):
        self.policy.record_held(name, tuple(stored_names))
        self.policy.record_removed(name, tuple(removed_names))

    def imported(self, source, target, size, seconds):
        now = self.fleet.clock.now
        self.policy.record_import(source, target, size, seconds, now)

    def first_token(self, call):
        call.first_token_s = self.fleet.clock.now
        self.policy.started(call.request.request_id, self.fleet.clock.now)
        self._dispatch()

    def end(self, call, cached_tokens):
        call.end_s = self.fleet.clock.now
        request = call.request
        end = RunEnd(
            request.request_id,
            "v1",
            call.answer_tokens,
            request.prompt_tokens,
            cached_tokens,
            "stop",
        )
        self.policy.finished(request.request_id, end, self.fleet.clock.now)
        self._dispatch()

    def _wake(self):
        self.wake_at = float("inf")
        self._dispatch()

    def _dispatch(self):
        now = self.fleet.clock.now
        for refused in self.policy.expire(now):
            self.calls[refused.request_id].expired = True
        for assignment in self.policy.assign(now):
            engine = self.fleet.engines[assignment.upstream]
            call = self.calls[assignment.request.request_id]
            self.fleet.clock.after(HOP_S, engine.submit, assignment, call, self)
        event = self.policy.next_event(now)
        if event is not None and event < self.wake_at - 1e-9:
            self.wake_at = event
            self.fleet.clock.at(event, self._wake)


class Baseline:
    """A first-come, first-served policy that picks upstreams by a simple rule."""

    def __init__(self, seed, random_choice=False, hold=False, promises=None):
        self._random = random.Random(seed)
        self._random_choice = random_choice
        self._wait_for_slot = hold
        self._promises = promises
        self._reports = {}
        self._assigned = defaultdict(set)
        self._sent_since_report = defaultdict(int)
        self._queue = []
        self._upstream_by_request = {}

    def offer(self, request, now):
        self._queue.append(request)
        return Queued(request.request_id, now, 0.0)

    def report(self, report, now):
        self._reports[report.name] = report
        self._sent_since_report[report.name] = 0

    def record_held(self, upstream, names): ...

    def record_removed(self, upstream, names): ...

    def record_import(self, source, target, size, seconds, now): ...

    def expire(self, now):
        if self._promises is None:
            return ()
        late = [
            request for request in self._queue if now > self._latest_start_s(request)
        ]
        for request in late:
            self._queue.remove(request)
        return late

    def _latest_start_s(self, request):
        prefill_s = request.prompt_tokens / EngineKind.prefill_tokens_per_s
        return request.arrival_s + self._promises[request.tier] - 2 * prefill_s

    def started(self, request_id, now): ...

    def finished(self, request_id, end, now):
        name = self._upstream_by_request.pop(request_id)
        self._assigned[name].discard(request_id)
        self._sent_since_report[name] -= 1

    def assign(self, now):
        made = []
        while self._queue and self._reports:
            name = self._choose_upstream()
            if self._wait_for_slot and self._load(name) >= self._reports[name].slots:
                break
            request = self._queue.pop(0)
            self._upstream_by_request[request.request_id] = name
            self._assigned[name].add(request.request_id)
            self._sent_since_report[name] += 1
            made.append(Assignment(request, name, "v1", None, 0, 1))
        return made

    def next_event(self, now):
        return None

    def _choose_upstream(self):
        names = list(self._reports)
        if self._random_choice:
            return self._random.choice(names)
        self._random.shuffle(names)
        return min(names, key=self._load)

    def _load(self, name):
        report = self._reports[name]
        reported = report.running + report.waiting + self._sent_since_report[name]
        return max(reported, len(self._assigned[name]))


def make_links(domains, cross_bytes_per_s, price, latency_s=0.005, loss=0.001):
    """Return a full mesh; a failure domain's own link is fast and free."""
    names = [f"d{index}" for index in range(domains)]
    return tuple(
        Link(a, b, 0.0002, 1.25e9, 0.0)
        if a == b
        else Link(a, b, latency_s, cross_bytes_per_s, price, loss)
        for a in names
        for b in names
    )


def make_dispatcher(document, seed, index=0, count=1, stores=frozenset()):
    """Return the policy under measurement, for one of several entries."""
    dispatcher = Dispatcher(document, stores, seed + index, f"e{index}")
    dispatcher.set_entries(tuple(f"e{number}" for number in range(count)))
    return dispatcher
