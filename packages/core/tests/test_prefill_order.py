"""Replays short urgent prompts among long ones at engines that compute in order."""

import heapq
import random

from persimmonferry_core.admission import PromptRequest, Refused
from persimmonferry_core.dispatch import Dispatcher
from persimmonferry_core.runs import RunEnd
from persimmonferry_core.schema import Service, ServiceKind, TeamDocument, Tier
from persimmonferry_core.upstreams import UpstreamReport

ENGINES = 6
TOKENS_PER_S = 60_000.0
SHORT_TOKENS, LONG_TOKENS = 2_000, 12_000
SHORT_PER_S, LONG_PER_S = 60.0, 10.0
OBJECTIVE_S = {"short": 0.2, "long": 1.0}
SECONDS = 30.0
STEP_S = 0.005


def make_dispatcher(in_order):
    tiers = tuple(Tier(name, wait_s, 0, 0) for name, wait_s in OBJECTIVE_S.items())
    service = Service("s", ServiceKind.MODEL, "m", "1", 64, prefills_in_order=in_order)
    dispatcher = Dispatcher(TeamDocument("", 1, (service,), tiers, (), ()), seed=3)
    for number in range(ENGINES):
        dispatcher.report(
            UpstreamReport(
                f"u{number}", 1, 1, "z", "s", "m", "1", 0, 0, 0, 64, TOKENS_PER_S, 100.0
            ),
            0.0,
        )
    return dispatcher


def make_arrivals(seed):
    generator = random.Random(seed)
    arrivals = []
    for tier, rate in (("short", SHORT_PER_S), ("long", LONG_PER_S)):
        now = 0.0
        while (now := now + generator.expovariate(rate)) < SECONDS:
            tokens = SHORT_TOKENS if tier == "short" else LONG_TOKENS
            arrivals.append((now, tier, tokens))
    return sorted(arrivals)


def play(in_order, seed):
    """Return the share of short prompts whose first token was in time."""
    dispatcher = make_dispatcher(in_order)
    arrivals = make_arrivals(seed)
    free_s = [0.0] * ENGINES
    firsts, begun = [], {}
    on_time = asked = number = 0
    now = 0.0
    while now < SECONDS + 2.0:
        now += STEP_S
        while arrivals and arrivals[0][0] <= now:
            at_s, tier, tokens = arrivals.pop(0)
            asked += tier == "short"
            request = PromptRequest(
                str(number),
                "a",
                tier,
                "s",
                tokens,
                1,
                at_s,
                caller_deadline_s=at_s + 9.0,
            )
            number += 1
            if not isinstance(dispatcher.offer(request, now), Refused):
                begun[request.request_id] = request
        while firsts and firsts[0][0] <= now:
            at_s, request_id = heapq.heappop(firsts)
            request = begun.pop(request_id)
            in_time = at_s - request.arrival_s <= OBJECTIVE_S[request.tier]
            on_time += in_time and request.tier == "short"
            dispatcher.started(request_id, now)
            end = RunEnd(request_id, "1", 1, request.prompt_tokens, 0, "")
            dispatcher.finished(request_id, end, now)
        dispatcher.expire(now)
        for assignment in dispatcher.assign(now):
            engine = int(assignment.upstream[1:])
            start_s = max(now, free_s[engine])
            tokens = assignment.request.prompt_tokens
            free_s[engine] = start_s + tokens / TOKENS_PER_S
            heapq.heappush(firsts, (free_s[engine], assignment.request.request_id))
    return on_time / asked


def test_urgent_prompts_are_not_queued_behind_long_ones_at_in_order_engines():
    in_order = [play(True, seed) for seed in range(4)]
    by_priority = [play(False, seed) for seed in range(4)]
    assert min(in_order) >= 0.95
    assert sum(in_order) / 4 >= sum(by_priority) / 4 + 0.05
