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


def make_dispatcher(number, engines=ENGINES, tokens_per_s=TOKENS_PER_S):
    service = Service("s", ServiceKind.MODEL, "m", "1", 64, prefills_in_order=True)
    tiers = (Tier("t", OBJECTIVE_S, 0, 0),)
    document = TeamDocument("", 1, (service,), tiers, (), ())
    dispatcher = Dispatcher(document, seed=number, entry=f"e{number}")
    for engine in range(engines):
        dispatcher.report(
            UpstreamReport(
                f"u{engine}", 1, 1, "z", "s", "m", "1", 0, 0, 0, 64, tokens_per_s, 100.0
            ),
            0.0,
        )
    dispatcher.set_entries(tuple(f"e{index}" for index in range(ENTRIES)))
    return dispatcher


class Fleet:
    """Entries, engines that compute in order, and callers."""

    def __init__(self, seed, updates_at_once):
        self.updates_at_once = updates_at_once
        self.prompt_tokens = PROMPT_TOKENS
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

    def find_seconds(self, engine, now):
        return self.prompt_tokens / TOKENS_PER_S

    def state(self, entry, engine, now):
        """Let an engine state its load in its answer; these state none."""

    def others(self, number):
        return self.entries[:number] + self.entries[number + 1 :]

    def offer(self, name, now):
        number = self.random.randrange(ENTRIES)
        tokens, latest = self.prompt_tokens, now + 3.0
        request = PromptRequest(
            str(name), "a", "t", "s", tokens, 1, now, caller_deadline_s=latest
        )
        if not isinstance(self.entries[number].offer(request, now), Refused):
            self.arrivals[request.request_id] = now

    def place(self, number, now):
        entry = self.entries[number]
        entry.expire(now)
        made = entry.assign(now)
        for assignment in made:
            engine = int(assignment.upstream[1:])
            seconds = self.find_seconds(engine, now)
            self.free_s[engine] = max(now, self.free_s[engine]) + seconds
            request_id = assignment.request.request_id
            first = (self.free_s[engine], number, request_id, engine)
            heapq.heappush(self.firsts, first)
        if self.updates_at_once:
            work = entry.describe_started(made, heavy_only=False)
            for other in self.others(number):
                other.add_peer_work(f"e{number}", work, now)

    def finish_due_runs(self, now):
        while self.firsts and self.firsts[0][0] <= now:
            at_s, number, request_id, engine = heapq.heappop(self.firsts)
            self.times_s.append(at_s - self.arrivals.pop(request_id))
            entry = self.entries[number]
            self.state(entry, engine, now)
            entry.started(request_id, now)
            end = RunEnd(request_id, "1", 1, PROMPT_TOKENS, 0, "")
            entry.finished(request_id, end, now)


def test_immediate_dispatch_updates_keep_entries_from_choosing_the_same_engine():
    at_once = [Fleet(seed, updates_at_once=True).play() for seed in range(2)]
    periodic = [Fleet(seed, updates_at_once=False).play() for seed in range(2)]
    assert min(at_once) >= 0.9
    assert sum(at_once) >= sum(periodic) + 2 * 0.05


class UnevenFleet(Fleet):
    """One in three engines is slower, and some of all are slow for a moment."""

    ENGINES, SLOW, NOISY, NOISY_SHARE, NOISE_S = 27, 1.3, 2.5, 0.15, 0.6

    def __init__(self, seed, states):
        super().__init__(seed, updates_at_once=True)
        entries = range(ENTRIES)
        self.entries = [make_dispatcher(item, self.ENGINES, 0.0) for item in entries]
        self.free_s = [0.0] * self.ENGINES
        self.prompt_tokens = 3_600
        self.runs = [0] * self.ENGINES
        self.states = states

    def find_slowness(self, engine, now):
        noise = random.Random(f"{engine}/{int(now / self.NOISE_S)}").random()
        base = 1.0 if engine % 3 else self.SLOW
        return base * (self.NOISY if noise < self.NOISY_SHARE else 1.0)

    def find_seconds(self, engine, now):
        self.runs[engine] += 1
        return super().find_seconds(engine, now) * self.find_slowness(engine, now)

    def state(self, entry, engine, now):
        if self.states:
            slowness = self.find_slowness(engine, now)
            entry.record_slowness(f"u{engine}", slowness, now)


def test_uneven_engines_that_state_noisy_figures_share_the_prompts_by_speed():
    stated = [UnevenFleet(seed, states=True) for seed in range(2)]
    unstated = [UnevenFleet(seed, states=False) for seed in range(2)]
    in_time = sum(fleet.play() for fleet in stated)
    assert in_time > sum(fleet.play() for fleet in unstated)
    for fleet in stated:
        slow, mean = fleet.runs[::3], sum(fleet.runs) / len(fleet.runs)
        assert sum(slow) / len(slow) < mean
        assert max(fleet.runs) < 1.5 * mean
        assert min(fleet.runs) > 0
