"""Requests that may only start at upstreams of one build."""

from persimmonferry_core.admission import PromptRequest, Queued, Refused
from persimmonferry_core.codes import ResultCode
from persimmonferry_core.dispatch import Dispatcher
from persimmonferry_core.schema import Service, ServiceKind, TeamDocument, Tier
from persimmonferry_core.upstreams import UpstreamReport

SLOTS = 8


def make_dispatcher(builds):
    service = Service("llm", ServiceKind.MODEL, "m", "1", slots_per_upstream=SLOTS)
    tiers = (Tier("t", 1.0, 0, 0),)
    dispatcher = Dispatcher(TeamDocument("", 1, (service,), tiers, (), ()))
    for number, build in enumerate(builds):
        report = UpstreamReport(
            name=f"{build}-{number}",
            incarnation=1,
            sequence=1,
            failure_domain="z1",
            service="llm",
            model="m",
            version="1",
            running=0,
            waiting=0,
            waiting_prefill_tokens=0,
            slots=SLOTS,
            prefill_tokens_per_s=0.0,
            decode_tokens_per_s=100.0,
            build=build,
        )
        dispatcher.report(report, 0.0)
    return dispatcher


def offer(dispatcher, name, now, build="", tokens=100):
    request = PromptRequest(name, "a", "t", "llm", tokens, 10, now, build=build)
    return dispatcher.offer(request, now)


def test_a_request_starts_at_its_build_only():
    dispatcher = make_dispatcher(["v1", "v2", "v2", "v2"])
    for number in range(6):
        assert isinstance(offer(dispatcher, f"r{number}", 0.0, "v1"), Queued)
    made = dispatcher.assign(0.0)
    assert {item.upstream for item in made} == {"v1-0"}


# Holders of cached parts were candidates whatever their build was.
def test_holders_of_another_build_are_left_out_of_a_large_service():
    dispatcher = make_dispatcher(["v1"] * 20 + ["v2"] * 20)
    for number in range(20, 40):
        dispatcher.record_held(f"v2-{number}", ("part",), (90,))
    for number in range(40):
        request = PromptRequest(
            f"r{number}", "a", "t", "llm", 100, 10, 0.0, ("part",), build="v1"
        )
        dispatcher.offer(request, 0.0)
    made = dispatcher.assign(0.0)
    assert len(made) >= 8
    assert {item.upstream[:2] for item in made} == {"v1"}


def test_upstreams_outside_the_subset_serve_a_build_that_it_lacks():
    dispatcher = make_dispatcher(["v1", "v2", "v2"])
    dispatcher.set_subset(frozenset({"v2-1"}))
    offer(dispatcher, "r1", 0.0, "v1")
    offer(dispatcher, "r2", 0.0, "v2")
    made = {item.request.request_id: item.upstream for item in dispatcher.assign(0.0)}
    assert made == {"r1": "v1-0", "r2": "v2-1"}


def test_a_build_that_has_gone_is_refused():
    dispatcher = make_dispatcher(["v2"])
    answer = offer(dispatcher, "r1", 0.0, "v1")
    assert isinstance(answer, Refused)
    assert answer.code is ResultCode.BUILD_GONE


# Streams that were due first filled the places that are looked at.
def test_requests_that_wait_for_their_build_do_not_block_others():
    dispatcher = make_dispatcher(["v1", "v2"])
    for number in range(SLOTS + 20):
        offer(dispatcher, f"old{number}", 0.0, "v1")
    for _ in range(20):
        dispatcher.assign(0.0)
    assert isinstance(offer(dispatcher, "new", 0.01), Queued)
    made = [item for item in dispatcher.assign(0.01) if item.upstream == "v2-1"]
    assert [item.request.request_id for item in made] == ["new"]


# They were counted as demand and as backlog of the whole service.
def test_requests_that_wait_for_their_build_do_not_refuse_others():
    dispatcher = make_dispatcher(["v1", "v2"])
    for number in range(SLOTS):
        offer(dispatcher, f"running{number}", 0.0, "v1")
        dispatcher.assign(0.0)
    for step in range(400):
        now = 0.02 * step
        offer(dispatcher, f"old{step}", now, "v1", tokens=6000)
        dispatcher.assign(now)
        dispatcher.expire(now)
    answers = [
        offer(dispatcher, f"new{number}", 8.0, tokens=6000) for number in range(8)
    ]
    assert {type(answer) for answer in answers} == {Queued}


def test_an_answer_goes_on_at_the_build_that_began_it():
    dispatcher = make_dispatcher(["v1", "v1", "v2", "v2", "v2"])
    offer(dispatcher, "r1", 0.0)
    (first,) = dispatcher.assign(0.0)
    build = first.upstream[:2]
    dispatcher.started("r1", 0.1)
    dispatcher.progressed("r1", 1, 0.1)
    assert isinstance(dispatcher.failed("r1", True, 0.2, build=build), Queued)
    (second,) = dispatcher.assign(1.0)
    assert second.upstream[:2] == build
    assert second.upstream != first.upstream
