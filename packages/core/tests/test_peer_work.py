"""Replays entries that share engines and see each other's work with a delay."""

import heapq
import random

from persimmonferry_core.admission import PromptRequest, Refused
from persimmonferry_core.dispatch import Dispatcher
from persimmonferry_core.runs import RunEnd
from persimmonferry_core.schema import Service, ServiceKind, TeamDocument, Tier
from persimmonferry_core.upstreams import UpstreamReport

ENTRIES, ENGINES = 12, 12
TOKENS_PER_S = 60_000.0
PROMPT_TOKENS = 2_400
PROMPTS_PER_S = 280.0
OBJECTIVE_S = 0.18
SECONDS = 8.0
STEP_S = 0.005
REPORT_INTERVAL_S = 0.3


def make_dispatcher(number):
    service = Service("s", ServiceKind.MODEL, "m", "1", 64, prefills_in_order=True)
    tiers = (Tier("t", OBJECTIVE_S, 0, 0),)
    document = TeamDocument("", 1, (service,), tiers, (), ())
    dispatcher = Dispatcher(document, seed=number, entry=f"e{number}")
    for engine in range(ENGINES):
        dispatcher.report(
            UpstreamReport(
                f"u{engine}", 1, 1, "z", "s", "m", "1", 0, 0, 0, 64, TOKENS_PER_S, 100.0
            ),
            0.0,
        )
    dispatcher.set_entries(tuple(f"e{index}" for index in range(ENTRIES)))
    return dispatcher


class Fleet:
    """Entries, engines that compute in order, and callers."""

    def __init__(self, seed, updates_at_once):
        self.updates_at_once = updates_at_once
        self.entries = [make_dispatcher(number) for number in range(ENTRIES)]
        self.random = random.Random(seed)
        self.free_s = [0.0] * ENGINES
        self.firsts = []
        self.arrivals = {}
        self.times_s = []

    def play(self):
        """Return the share of prompts whose first token was in time."""
        asked = 0
        next_s = 0.0
        for step in range(int((SECONDS + 1.0) / STEP_S)):
            now = step * STEP_S
            while next_s <= now < SECONDS:
                asked += 1
                self.offer(asked, now)
                next_s += self.random.expovariate(PROMPTS_PER_S)
            self.finish_due_runs(now)
            for number in range(ENTRIES):
                self.place(number, now)
                if (step + number * 5) % int(REPORT_INTERVAL_S / STEP_S) == 0:
                    work = self.entries[number].summarise_own_work(now)
                    for other in self.others(number):
                        other.set_peer_work(f"e{number}", work, now)
        return sum(time_s <= OBJECTIVE_S for time_s in self.times_s) / asked

    def others(self, number):
        return self.entries[:number] + self.entries[number + 1 :]

    def offer(self, name, now):
        number = self.random.randrange(ENTRIES)
        request = PromptRequest(
            str(name), "a", "t", "s", PROMPT_TOKENS, 1, now, caller_deadline_s=now + 3.0
        )
        if not isinstance(self.entries[number].offer(request, now), Refused):
            self.arrivals[request.request_id] = now

    def place(self, number, now):
        entry = self.entries[number]
        entry.expire(now)
        made = entry.assign(now)
        for assignment in made:
            engine = int(assignment.upstream[1:])
            seconds = PROMPT_TOKENS / TOKENS_PER_S
            self.free_s[engine] = max(now, self.free_s[engine]) + seconds
            request_id = assignment.request.request_id
            heapq.heappush(self.firsts, (self.free_s[engine], number, request_id))
        if self.updates_at_once:
            work = entry.describe_started(made, heavy_only=False)
            for other in self.others(number):
                other.add_peer_work(f"e{number}", work, now)

    def finish_due_runs(self, now):
        while self.firsts and self.firsts[0][0] <= now:
            at_s, number, request_id = heapq.heappop(self.firsts)
            self.times_s.append(at_s - self.arrivals.pop(request_id))
            entry = self.entries[number]
            entry.started(request_id, now)
            end = RunEnd(request_id, "1", 1, PROMPT_TOKENS, 0, "")
            entry.finished(request_id, end, now)


def test_immediate_dispatch_updates_keep_entries_from_choosing_the_same_engine():
    at_once = [Fleet(seed, updates_at_once=True).play() for seed in range(2)]
    periodic = [Fleet(seed, updates_at_once=False).play() for seed in range(2)]
    assert min(at_once) >= 0.9
    assert sum(at_once) >= sum(periodic) + 2 * 0.05
