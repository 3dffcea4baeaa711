"""Too little room: long prompts that can wait beside short urgent ones."""

import random

from persimmonferry_core.admission import PromptRequest, WaitingRequest
from persimmonferry_core.dispatch import Dispatcher
from persimmonferry_core.room import TierUse
from persimmonferry_core.routing import BlockIndex, LinkTable, Route, Router
from persimmonferry_core.schema import Service, ServiceKind, TeamDocument, Tier
from persimmonferry_core.upstreams import Upstream, UpstreamReport

MEMORY_TOKENS = 100_000
LONG_TOKENS, SHORT_TOKENS = 12_000, 2_400


def make_report(name, memory_tokens=MEMORY_TOKENS):
    return UpstreamReport(
        name,
        1,
        1,
        "z",
        "s",
        "m",
        "1",
        0,
        0,
        0,
        64,
        56_600.0,
        120.0,
        False,
        memory_tokens,
    )


def make_dispatcher(engines, accounts=()):
    service = Service("s", ServiceKind.MODEL, "m", "1", 64, prefills_in_order=True)
    tiers = (Tier("urgent", 0.5, 0, 0), Tier("patient", 2.5, 0, 0))
    document = TeamDocument("", 1, (service,), tiers, accounts, ())
    dispatcher = Dispatcher(document, seed=1, entry="e")
    for number in range(engines):
        dispatcher.report(make_report(f"u{number}"), 0.0)
    return dispatcher


def make_request(name, tier, now, account="a"):
    tokens = LONG_TOKENS if tier == "patient" else SHORT_TOKENS
    return PromptRequest(name, account, tier, "s", tokens, 55, now)


def start_all(dispatcher, now):
    """Start what can start, and deliver the first token of each."""
    made = dispatcher.assign(now)
    for assignment in made:
        dispatcher.started(assignment.request.request_id, now)
    return [assignment.request.request_id for assignment in made]


def test_a_burst_of_long_prompts_leaves_memory_for_short_urgent_ones():
    dispatcher = make_dispatcher(2)
    now = 0.0
    for number in range(100):
        now += 0.1
        dispatcher.offer(make_request(f"s{number}", "urgent", now), now)
        assert start_all(dispatcher, now) == [f"s{number}"]
        if number >= 5:
            dispatcher.cancel(f"s{number - 5}", now)
    for number in range(48):
        dispatcher.offer(make_request(f"l{number}", "patient", now), now)
    started = start_all(dispatcher, now + 0.01)
    while more := start_all(dispatcher, now + 0.5):
        started += more
    assert 8 <= len(started) < 2 * MEMORY_TOKENS // LONG_TOKENS
    dispatcher.offer(make_request("s", "urgent", now + 0.5), now + 0.5)
    assert start_all(dispatcher, now + 0.5) == ["s"]


def test_memory_is_kept_for_more_urgent_runs_only_while_there_are_some():
    use = TierUse()
    assert use.estimate_kept(1, 1.0, 0.0) == 0.0
    for number in range(4):
        use.change(0, 1, SHORT_TOKENS, float(number))
    assert use.estimate_kept(0, 1.0, 60.0) == 0.0
    assert round(use.estimate_kept(1, 1.0, 60.0) / SHORT_TOKENS, 1) == 2.0
    assert round(use.estimate_kept(1, 0.1, 60.0) / SHORT_TOKENS, 1) == 1.0


# With a share of the memory in it, long prompts were refused while engines had room.
def test_the_cost_of_a_prompt_is_that_of_its_prefill_unless_slots_bind():
    model = make_dispatcher(1)._models["s"]
    request = make_request("l", "patient", 0.0)
    prefill_s = LONG_TOKENS / 56_600.0
    for _ in range(200):
        model.router.answer_times.record(55, 55, 2.5)
    assert model.estimate_cost(request) == prefill_s
    for _ in range(200):
        model.router.answer_times.record(55, 55, 60.0)
    assert model.estimate_cost(request) > 2.0 * prefill_s


def test_urgent_prompts_avoid_an_engine_that_is_late_with_a_long_one():
    service = Service("s", ServiceKind.MODEL, "m", "1", 64, prefills_in_order=True)
    router = Router(service, LinkTable(()), BlockIndex(), random.Random(1))
    router.set_primaries("e", ("e", "f"))
    for name in ("u0", "u1"):
        router.add(make_report(name), 0.0)
    router.summarize()
    own = next(name for name, up in router.upstreams.items() if up.is_primary)
    short = make_request("s", "urgent", 0.6)
    waiting = WaitingRequest(short, 1.1, 0.05, 0)
    assert router.choose(waiting, 0.6).upstream == own
    long = WaitingRequest(make_request("l", "patient", 0.0), 2.5, 0.2, 1)
    router.add_run(long, Route(own, None, 0.2, 0.2, 0.0, True), 0.0)
    assert router.choose(waiting, 0.6).upstream != own


def test_an_engine_is_late_only_beyond_the_expected_time_of_its_prompts():
    upstream = Upstream(make_report("u"))
    upstream.add_run("r", 1, Route("u", None, 0.2, 0.2, 0.0, True), 0.0)
    assert upstream.estimate_lateness(0.2) == 0.0
    assert round(upstream.estimate_lateness(0.5), 3) == 0.3
    upstream.start_run("r", 0.5)
    assert upstream.estimate_lateness(0.6) == 0.0
