"""Upstreams that have just started, or are back after an ejection."""

import random

import pytest
from persimmonferry_core.admission import PromptRequest, WaitingRequest
from persimmonferry_core.routing import BlockIndex, LinkTable, Router
from persimmonferry_core.schema import Service, ServiceKind
from persimmonferry_core.services import PlainService
from persimmonferry_core.upstreams import UpstreamReport

USUAL_S = 0.05


def make_report(name, incarnation=1, sequence=1):
    values = (name, incarnation, sequence, "z", "p", "", "")
    return UpstreamReport(*values, 0, 0, 0, 32, 0.0, 100.0)


class PlainEntry:
    """A plain service in one entry, whose upstreams answer when they are told to."""

    def __init__(self, upstreams=6, *, used=True):
        self.plain = PlainService(random.Random(1))
        self.now, self.calls = 0.0, 0
        for number in range(upstreams):
            self.plain.add(make_report(f"u{number}"), 0.0)
        for _ in range(20 if used else 0):
            for name in tuple(self.plain.upstreams):
                self.answer(self.send(name), name)

    def send(self, name):
        self.calls += 1
        self.plain.start(f"c{self.calls}", name, self.now)
        return f"c{self.calls}"

    def answer(self, call, name, seconds=USUAL_S, whole=True):
        self.now += seconds
        self.plain.finish(call, name, whole, self.now)

    def count_sent(self, name, most=40):
        """Send calls as long as one upstream is chosen before all others."""
        others = frozenset(self.plain.upstreams) - {name}
        sent = []
        for _ in range(most):
            chosen = self.plain.choose(others, self.now)
            if self.plain.upstreams[name].slot_limit <= len(sent):
                break
            sent.append(self.send(chosen))
        return sent

    def play_round(self, name, seconds=USUAL_S, whole=True):
        """Return how many calls an upstream got, all answered at the same time."""
        sent = self.count_sent(name)
        self.now += seconds
        for call in sent:
            self.plain.finish(call, name, whole, self.now)
        return len(sent)


def start_new(service):
    service.plain.add(make_report("new"), service.now)


def eject_and_readmit(service):
    service.plain.remove("u5")
    service.plain.add(make_report("new"), service.now)
    service.answer(service.send("new"), "new")
    for _ in range(8):
        service.answer(service.send("new"), "new", whole=False)
    service.now += 6.0
    assert service.play_round("new") == 1


def restart(service):
    service.plain.add(make_report("new"), service.now)
    for _ in range(20):
        service.answer(service.send("new"), "new")
    service.plain.apply(make_report("new", 2), service.now)


@pytest.mark.parametrize("begin", [start_new, eject_and_readmit, restart])
def test_timely_answers_double_the_runs_and_time_alone_adds_none(begin):
    service = PlainEntry()
    begin(service)
    busy = [service.send("u0") for _ in range(12)]
    service.now += 60.0
    rounds = [service.play_round("new") for _ in range(6)]
    assert rounds[:5] == [1, 2, 4, 8, 16]
    # Twice what the busiest other one has in flight ends the pace.
    assert rounds[5] > 2 * len(busy)
    assert service.plain.paces.runs == {}


@pytest.mark.parametrize("is_late", [True, False])
def test_late_answers_and_refusals_halve_the_runs_once_for_those_in_flight(is_late):
    service = PlainEntry()
    start_new(service)
    for _ in range(12):
        service.send("u0")
    for _ in range(3):
        service.play_round("new")
    seconds = 10 * USUAL_S if is_late else USUAL_S
    assert service.play_round("new", seconds, whole=is_late) == 8
    assert service.plain.paces.runs == {"new": 4}


def test_an_upstream_that_states_that_it_is_slow_does_not_get_more():
    service = PlainEntry()
    start_new(service)
    service.send("u0")
    for _ in range(5):
        service.plain.upstreams["new"].speed.record_stated(1.8, service.now)
        assert service.play_round("new") == 1
    service.plain.upstreams["new"].speed.record_stated(1.0, service.now)
    assert service.play_round("new") == 1
    assert service.play_round("new") == 2


def test_a_cold_start_and_an_entry_that_has_just_started_pace_nobody():
    service = PlainEntry(used=False)
    start_new(service)
    assert service.plain.paces.runs == {}
    assert len(service.count_sent("new")) > 8


def test_a_release_paces_a_third_and_an_entry_that_lapsed_is_not_new():
    service = PlainEntry()
    for number in range(6):
        service.plain.add(make_report(f"v{number}"), service.now)
    assert len(service.plain.paces.runs) <= 4
    service = PlainEntry()
    service.plain.remove("u1")
    service.plain.add(make_report("u1"), service.now)
    assert service.plain.paces.runs == {}


def test_a_new_engine_gets_one_prompt_at_first_and_others_start_elsewhere():
    entry = Service("s", ServiceKind.MODEL, "m", "v1")
    router = Router(entry, LinkTable(()), BlockIndex(), random.Random(1))

    def place(number, now):
        request = PromptRequest(f"r{number}", "a", "t", "s", 600, 1, now)
        waiting = WaitingRequest(request, now + 5.0, 0.1, 0)
        route = router.choose(waiting, now)
        router.add_run(waiting, route, now)
        return waiting, route

    def add(name, now):
        values = (name, 1, 1, "z", "s", "m", "v1", 0, 0, 0, 64, 0.0, 40.0)
        router.add(UpstreamReport(*values), now)

    for name in ("u0", "u1", "u2", "u3"):
        add(name, 0.0)
    for number in range(60):
        waiting, route = place(number, 0.5 * number)
        router.start_run(waiting, route.upstream, 0.5 * number + 0.05)
        router.end_run(waiting, route.upstream, True, 0.5 * number + 0.06)
    add("new", 30.0)
    for sent in (1, 2):
        router.refresh(30.0 + sent)
        placed = [place(f"{sent}/{number}", 30.0 + sent) for number in range(12)]
        assert all(route.startable for _, route in placed)
        assert sum(route.upstream == "new" for _, route in placed) == sent
        for waiting, route in placed:
            router.start_run(waiting, route.upstream, 30.05 + sent)
            router.end_run(waiting, route.upstream, True, 30.06 + sent)
