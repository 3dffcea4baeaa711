"""Whether an upstream may get a run now, and why not."""

from persimmonferry_core.admission import PromptRequest, Queued, Refused
from persimmonferry_core.codes import ResultCode
from persimmonferry_core.dispatch import Dispatcher
from persimmonferry_core.schema import Service, ServiceKind, TeamDocument, Tier
from persimmonferry_core.upstreams import RateCeiling, UpstreamReport
from persimmonferry_core.upstreams.availability import Evacuated, RateSpent

SERVICES = (
    Service("llm", ServiceKind.MODEL, "m", "1", slots_per_upstream=8),
    Service("plain", ServiceKind.PLAIN),
)


def make_dispatcher():
    document = TeamDocument("", 1, SERVICES, (Tier("t", 5.0, 0, 0),), (), ())
    dispatcher = Dispatcher(document, entry="e1")
    for number, domain in enumerate(("z1", "z2")):
        for service, model in (("llm", "m"), ("plain", "")):
            report = UpstreamReport(
                f"{service}-{number}",
                1,
                1,
                domain,
                service,
                model,
                "1"[: len(model)],
                0,
                0,
                0,
                8,
                0.0,
                100.0,
                memory_tokens=100_000,
            )
            dispatcher.report(report, 0.0)
    return dispatcher


def offer(dispatcher, request_id, now):
    request = PromptRequest(request_id, "a", "t", "llm", 100, 10, now)
    return dispatcher.offer(request, now)


# A retry was sent to the failure domain after its evacuation.
def test_waiting_and_repeated_work_starts_in_an_evacuated_domain():
    dispatcher = make_dispatcher()
    availability = dispatcher.availability
    availability.set_evacuated({"llm-0": "z1", "plain-0": "z1"})
    for number in range(8):
        assert isinstance(offer(dispatcher, f"r{number}", 1.0), Queued)
    made = dispatcher.assign(1.0)
    assert {item.upstream for item in made} == {"llm-1"}
    answer = dispatcher.failed(made[0].request.request_id, False, 1.1)
    assert isinstance(answer, Queued)
    repeated = dispatcher.assign(2.5)
    assert {item.upstream for item in repeated} == {"llm-1"}
    assert {dispatcher.choose_plain("plain", 1.3) for _ in range(9)} == {"plain-1"}
    assert availability.find_closure("llm-0", 1.3) == Evacuated("z1")


def test_requests_wait_in_vain_while_all_domains_are_evacuated():
    dispatcher = make_dispatcher()
    dispatcher.availability.set_evacuated({"llm-0": "z1", "llm-1": "z2"})
    answer = offer(dispatcher, "r1", 1.0)
    assert isinstance(answer, Refused)
    assert answer.code is ResultCode.NO_UPSTREAM
    assert answer.retry_after_s > 0
    dispatcher.availability.set_evacuated({})
    assert isinstance(offer(dispatcher, "r2", 1.1), Queued)


# Callers were told to come back after some 50 ms, and were refused once more.
def test_callers_come_back_at_once_while_the_ceiling_is_spent():
    dispatcher = make_dispatcher()
    rates = dispatcher.availability.rates
    for name in ("plain-0", "plain-1"):
        rates.set_ceiling(name, RateCeiling(calls=2, cold_calls=1))
    for number in range(4):
        name = dispatcher.choose_plain("plain", 1.0 + number / 10)
        dispatcher.plain_started(f"c{number}", name, 1.0 + number / 10)
    assert dispatcher.choose_plain("plain", 1.4) is None
    wait_s = dispatcher.find_upstream_wait("plain", 1.4)
    assert 0.5 < wait_s < 0.8
    assert dispatcher.find_return_wait("plain", 1.4) >= 1.0
    assert isinstance(dispatcher.availability.find_closure("plain-0", 1.4), RateSpent)
    assert dispatcher.choose_plain("plain", 1.41 + wait_s) is not None
