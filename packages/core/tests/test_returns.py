"""Refused callers that come back as told, beside newcomers and immediate repeaters."""

from persimmonferry_core.admission import (
    AdmissionQueue,
    PromptRequest,
    Queued,
    Refused,
    WaitingRequest,
)
from persimmonferry_core.dispatch import Dispatcher
from persimmonferry_core.returns import ReturnPromise
from persimmonferry_core.schema import Service, ServiceKind, TeamDocument, Tier
from persimmonferry_core.upstreams import UpstreamReport

TIER = Tier("patient", 2.0, 0, 0)
COST_S = 0.2


def make_waiting(name, now, account="a", is_returning=False):
    request = PromptRequest(name, account, "patient", "s", 12_000, 55, now)
    return WaitingRequest(request, now + 2.0, COST_S, 0, is_returning=is_returning)


def make_dispatcher():
    service = Service("s", ServiceKind.MODEL, "m", "1", 2)
    document = TeamDocument("", 1, (service,), (TIER,), (), ())
    dispatcher = Dispatcher(document, seed=1, entry="e")
    dispatcher.report(
        UpstreamReport("u", 1, 1, "z", "s", "m", "1", 0, 0, 0, 2, 60_000.0, 40.0), 0.0
    )
    return dispatcher


def offer(dispatcher, name, fingerprint, now):
    request = PromptRequest(
        name,
        "a",
        "patient",
        "s",
        12_000,
        55,
        now,
        caller_deadline_s=now + 11.0,
        fingerprint=fingerprint,
    )
    return request, dispatcher.offer(request, now)


def refuse_one(dispatcher, now):
    """Offer more than can start in time; return what was refused last."""
    for number in range(1, 200):
        request, answer = offer(dispatcher, f"n{number}", number, now)
        if isinstance(answer, Refused):
            return request, answer
    raise AssertionError


def promise_return(dispatcher, request, after_s, now):
    deadline_s = request.caller_deadline_s or 0.0
    return dispatcher.promise_return(request.fingerprint, deadline_s, after_s, now)


def test_a_caller_who_returns_as_told_is_admitted_and_precedes_newcomers():
    dispatcher = make_dispatcher()
    request, answer = refuse_one(dispatcher, 0.0)
    promise = promise_return(dispatcher, request, answer.retry_after_s, 0.0)
    back_s = promise.due_s
    assert isinstance(offer(dispatcher, "new", 900, 0.01)[1], Refused)
    for number in range(1, 6):
        dispatcher.cancel(f"n{number}", 0.02)
    assert isinstance(offer(dispatcher, "newer", 901, back_s)[1], Queued)
    again = offer(dispatcher, "again", request.fingerprint, back_s)[1]
    assert isinstance(again, Queued)
    waiting = dispatcher._models["s"].queue.iterate(frozenset({0}), 100)
    assert waiting[0].request.request_id == "again"


def test_a_caller_who_repeats_at_once_gains_nothing():
    dispatcher = make_dispatcher()
    request, answer = refuse_one(dispatcher, 0.0)
    promise = promise_return(dispatcher, request, 2.0, 0.0)
    for number in range(5):
        now = 0.1 + 0.1 * number
        name = f"repeat{number}"
        repeated, answer = offer(dispatcher, name, request.fingerprint, now)
        assert isinstance(answer, Refused)
        assert promise_return(dispatcher, repeated, 0.1, now) is None
    assert dispatcher.promises.take(request.fingerprint, promise.due_s)


def test_other_accounts_are_served_beside_the_returning_callers_of_a_large_one():
    queue = AdmissionQueue((TIER,))
    for number in range(20):
        queue.push(make_waiting(f"l{number}", 0.0, "large", True), 1.0)
    queue.push(make_waiting("small", 0.1, "small"), 1.0)
    order = [item.request.request_id for item in queue.iterate(frozenset({0}), 100)]
    assert order.index("small") <= 1


def test_a_promise_of_another_entry_is_kept_until_its_caller_gives_up():
    dispatcher = make_dispatcher()
    dispatcher.promises.add(ReturnPromise(5, 2.0, 9.0), 0.0)
    assert not dispatcher.promises.take(5, 9.0)
    assert dispatcher.promises.take(5, 8.9)
    assert not dispatcher.promises.take(5, 8.9)


def test_promises_do_not_take_the_room_of_newcomers():
    dispatcher = make_dispatcher()
    for number in range(500):
        dispatcher.promises.add(ReturnPromise(number, 0.5, 9.0), 0.0)
    assert isinstance(offer(dispatcher, "new", 900, 0.1)[1], Queued)
