"""Upstreams that refuse calls and say when to retry."""

from persimmonferry_core.admission import PromptRequest, Refused
from persimmonferry_core.dispatch import Dispatcher
from persimmonferry_core.schema import Service, ServiceKind, TeamDocument, Tier
from persimmonferry_core.upstreams import UpstreamReport
from persimmonferry_core.upstreams.cooldowns import UpstreamCooldowns


def make_report(name, service, slots=8, model="", incarnation=1):
    version = "1" if model else ""
    return UpstreamReport(
        name, incarnation, 1, "z1", service, model, version, 0, 0, 0, slots, 0.0, 100.0
    )


def make_dispatcher():
    services = (
        Service("plain", ServiceKind.PLAIN),
        Service("llm", ServiceKind.MODEL, "m", "1", slots_per_upstream=8),
    )
    document = TeamDocument("", 1, services, (Tier("t", 1.0, 0, 0),), (), ())
    dispatcher = Dispatcher(document)
    for name in ("p1", "p2"):
        dispatcher.report(make_report(name, "plain"), 0.0)
    for name in ("e1", "e2"):
        dispatcher.report(make_report(name, "llm", model="m"), 0.0)
    return dispatcher


def offer(dispatcher, name, now):
    request = PromptRequest(name, "a", "t", "llm", 100, 10, now)
    return dispatcher.offer(request, now)


def test_the_latest_end_of_a_cooldown_counts():
    refusals = UpstreamCooldowns()
    refusals.note("u1", 1, 5.0)
    refusals.note("u1", 1, 3.0)
    assert refusals.list_cooling(4.0) == {"u1"}
    refusals.clear_outdated("u1", 1)
    assert refusals.list_cooling(4.0) == {"u1"}
    refusals.clear_outdated("u1", 2)
    assert refusals.list_cooling(4.0) == frozenset()


def test_a_plain_upstream_gets_no_calls_during_its_cooldown():
    dispatcher = make_dispatcher()
    dispatcher.set_cooldown("p1", 1, 2.0)
    assert {dispatcher.choose_plain("plain", 1.0) for _ in range(20)} == {"p2"}
    dispatcher.set_cooldown("p2", 1, 3.0)
    assert dispatcher.choose_plain("plain", 1.0) is None
    assert dispatcher.find_upstream_wait("plain", 1.0) == 1.0
    assert dispatcher.choose_plain("plain", 2.0) == "p1"
    assert dispatcher.find_upstream_wait("plain", 2.0) is None


def test_prompts_go_to_another_engine_or_are_refused_with_the_end_of_the_cooldown():
    dispatcher = make_dispatcher()
    dispatcher.set_cooldown("e1", 1, 2.0)
    for number in range(4):
        offer(dispatcher, f"r{number}", 0.5)
        (made,) = dispatcher.assign(0.5)
        assert made.upstream == "e2"
    dispatcher.set_cooldown("e2", 1, 1.5)
    answer = offer(dispatcher, "r9", 0.6)
    assert isinstance(answer, Refused)
    assert round(answer.retry_after_s, 3) == 0.9
    offer(dispatcher, "r10", 1.5)
    (made,) = dispatcher.assign(1.5)
    assert made.upstream == "e2"


def test_queued_prompts_are_refused_at_once_if_all_engines_cool_down_for_too_long():
    dispatcher = make_dispatcher()
    offer(dispatcher, "r1", 0.5)
    dispatcher.set_cooldown("e1", 1, 3.0)
    dispatcher.set_cooldown("e2", 1, 4.0)
    (refused,) = dispatcher.expire(0.5)
    assert (refused.request_id, refused.retry_after_s) == ("r1", 2.5)
    assert dispatcher.assign(3.0) == ()


def test_the_cooldown_of_an_engine_ends_with_its_restart():
    dispatcher = make_dispatcher()
    dispatcher.set_cooldown("e1", 1, 9.0)
    dispatcher.remove("e1")
    dispatcher.report(make_report("e1", "llm", model="m"), 1.0)
    dispatcher.set_cooldown("e2", 1, 9.0)
    assert isinstance(offer(dispatcher, "r0", 1.0), Refused)
    restarted = make_report("e1", "llm", model="m", incarnation=2)
    dispatcher.report(restarted, 1.0)
    offer(dispatcher, "r1", 1.0)
    (made,) = dispatcher.assign(1.0)
    assert made.upstream == "e1"


# The cooldown of an upstream's present start ended early if its call was chosen before.
def test_a_cooldown_stated_to_a_call_to_a_former_start_ends_with_the_next_report():
    dispatcher = make_dispatcher()
    dispatcher.report(make_report("p1", "plain", incarnation=2), 1.0)
    dispatcher.set_cooldown("p1", 1, 9.0)
    dispatcher.report(make_report("p1", "plain", incarnation=2), 1.0)
    assert {dispatcher.choose_plain("plain", 1.0) for _ in range(20)} == {"p2"}
