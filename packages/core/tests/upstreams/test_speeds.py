"""Upstreams that share machines: some are always slower, all are slow at times."""

import heapq
import random
from collections import Counter
from itertools import count

import pytest
from persimmonferry_core.admission import PromptRequest, Refused
from persimmonferry_core.dispatch import Dispatcher
from persimmonferry_core.runs import RunEnd
from persimmonferry_core.schema import Service, ServiceKind, TeamDocument, Tier
from persimmonferry_core.upstreams import UpstreamReport
from persimmonferry_core.upstreams.speeds import UpstreamSpeed

ENTRIES = 12
STEP_S = 0.005
SECONDS = 10.0
SLOW = 1.3
NOISY, NOISY_SHARE, NOISE_S = 2.5, 0.15, 0.6
SERVICES = (
    Service("s", ServiceKind.MODEL, "m", "1", 64, prefills_in_order=True),
    Service("p", ServiceKind.PLAIN),
)
DOCUMENT = TeamDocument("", 1, SERVICES, (Tier("t", 0.5, 0, 0),), (), ())


class Fleet:
    """Entries that share upstreams, of which each computes in order in each slot."""

    def __init__(self, service, upstreams, slots, *, slow, noisy, states, seed=1):
        self.service, self.slots, self.states = service, slots, states
        self.random = random.Random(seed)
        self.names = [f"u{number}" for number in range(upstreams)]
        self.base = dict.fromkeys(self.names, 1.0) | slow
        self.noisy = noisy
        self.noise = dict.fromkeys(self.names, 1.0)
        self.free_s = {name: [0.0] * slots for name in self.names}
        self.calls, self.times_s = Counter(), []
        self.entries = [self.make_entry(number) for number in range(ENTRIES)]
        self.events, self.order = [], count()

    def make_entry(self, number):
        entry = Dispatcher(DOCUMENT, seed=number, entry=f"e{number}")
        model = "m" if self.service == "s" else ""
        slots = 64 if self.service == "s" else self.slots
        for name in self.names:
            values = (name, 1, 1, "z", self.service, model, "1" if model else "")
            entry.report(UpstreamReport(*values, 0, 0, 0, slots, 0.0, 100.0), 0.0)
        entry.set_entries(tuple(f"e{index}" for index in range(ENTRIES)))
        return entry

    def play(self, calls_per_s, work_s):
        next_s, number = 0.0, 0
        for step in range(int((SECONDS + 1.0) / STEP_S)):
            now = step * STEP_S
            if self.noisy and step % int(NOISE_S / STEP_S) == 0:
                for name in self.names:
                    is_noisy = self.random.random() < NOISY_SHARE
                    self.noise[name] = NOISY if is_noisy else 1.0
            while self.events and self.events[0][0] <= now:
                heapq.heappop(self.events)[2](now)
            while next_s <= now < SECONDS:
                next_s += self.random.expovariate(calls_per_s)
                number += 1
                place = self.place_prompt if self.service == "s" else self.place_call
                place(self.random.randrange(ENTRIES), f"r{number}", work_s, now)
            for index, entry in enumerate(self.entries):
                for item in entry.assign(now):
                    self.run_prompt(index, item, work_s, now)
                if self.service == "s" and (step + 5 * index) % 60 == 0:
                    work = entry.summarise_own_work(now)
                    for other in self.entries[:index] + self.entries[index + 1 :]:
                        other.set_peer_work(f"e{index}", work, now)

    def place_prompt(self, index, call, work_s, now):
        tokens = int(60_000 * work_s)
        request = PromptRequest(call, "a", "t", "s", tokens, 1, now)
        assert not isinstance(self.entries[index].offer(request, now), Refused)

    def run_prompt(self, index, item, work_s, now):
        entry, call = self.entries[index], item.request.request_id

        def end(now):
            self.state(entry, item.upstream, now)
            entry.started(call, now)
            entry.finished(call, RunEnd(call, "1", 1, 1, 0, ""), now)
            self.times_s.append(now - item.request.arrival_s)

        self.run(item.upstream, work_s, now, end)

    def place_call(self, index, call, work_s, now):
        entry = self.entries[index]
        name = entry.choose_plain("p", now)
        entry.plain_started(call, name, now)

        def end(at):
            self.state(entry, name, at)
            entry.plain_finished(call, at)
            self.times_s.append(at - now)

        self.run(name, work_s * self.random.lognormvariate(0, 0.5), now, end)

    def run(self, name, work_s, now, end):
        self.calls[name] += 1
        begin_s = max(now, heapq.heappop(self.free_s[name]))
        end_s = begin_s + work_s * self.base[name] * self.noise[name]
        heapq.heappush(self.free_s[name], end_s)
        heapq.heappush(self.events, (end_s, next(self.order), end))

    def state(self, entry, name, now):
        if self.states:
            entry.record_slowness(name, self.base[name] * self.noise[name], now)

    def find_slow_time(self):
        """Return the time that a twentieth of the calls exceed."""
        return sorted(self.times_s)[len(self.times_s) * 19 // 20]

    def find_mean(self, names):
        return sum(self.calls[name] for name in names) / len(names)


def play_engines(states):
    slow = {f"u{number}": SLOW for number in range(0, 27, 3)}
    fleet = Fleet("s", 27, 1, slow=slow, noisy=True, states=states)
    fleet.play(250.0, 0.06)
    return fleet, list(slow)


def test_engines_that_state_noisy_figures_share_the_prompts_by_speed():
    fleet, slow = play_engines(states=True)
    usual = [name for name in fleet.names if name not in slow]
    # The fair share of a slow engine is lower by this factor.
    assert fleet.find_mean(usual) > SLOW * fleet.find_mean(slow)
    assert max(fleet.calls.values()) < 1.5 * fleet.find_mean(fleet.names)
    assert min(fleet.calls.values()) > 0
    unstated, _ = play_engines(states=False)
    assert fleet.find_slow_time() < unstated.find_slow_time()


@pytest.mark.parametrize("states", [False, True])
def test_a_slow_plain_upstream_of_four_gets_fewer_calls_but_some(states):
    fleet = Fleet("p", 4, 6, slow={"u0": 2.0}, noisy=False, states=states)
    fleet.play(200.0, 0.06)
    others = fleet.find_mean(["u1", "u2", "u3"])
    assert 0 < fleet.calls["u0"] <= others / 2.0
    assert max(fleet.calls.values()) < 1.25 * others


def test_entries_that_get_the_same_noisy_figures_do_not_move_in_step():
    fleet = Fleet("p", 4, 6, slow={}, noisy=False, states=True)
    for number in range(100):
        now = 0.1 * number
        figures = {name: fleet.random.uniform(0.92, 1.08) for name in fleet.names}
        chosen = Counter()
        for entry in fleet.entries:
            for name, figure in figures.items():
                entry.record_slowness(name, figure, now)
            chosen[entry.choose_plain("p", now)] += 1
        # More than chance would send to one of four once in a thousand such plays.
        assert max(chosen.values()) < 11


def test_an_old_figure_or_one_of_an_earlier_start_excludes_no_upstream():
    speed = UpstreamSpeed()
    for step in range(100):
        speed.record_stated(4.0, 0.1 * step)
        speed.record_answer(24.0, 0.1 * step)
    assert speed.estimate(10.0) > 8.0
    assert speed.estimate(70.0) < 1.5
    fleet = Fleet("p", 2, 6, slow={}, noisy=False, states=True)
    entry = fleet.entries[0]
    for step in range(20):
        entry.record_slowness("u0", 4.0, 0.1 * step)
    assert {entry.choose_plain("p", 2.0) for _ in range(20)} == {"u1"}
    values = ("u0", 2, 1, "z", "p", "", "", 0, 0, 0, 6, 0.0, 100.0)
    entry.report(UpstreamReport(*values), 2.0)
    assert {entry.choose_plain("p", 2.0) for _ in range(20)} == {"u0", "u1"}


@pytest.mark.parametrize("figure", [1e-9, 1e9])
def test_nonsense_that_an_upstream_states_is_bounded(figure):
    speed = UpstreamSpeed()
    speed.record_stated(figure, 0.0)
    assert 0.25 <= speed.estimate(0.0) <= 8.0
