from persimmonferry_core.admission import (
    AdmissionQueue,
    PromptRequest,
    Queued,
    Refused,
    WaitingRequest,
)
from persimmonferry_core.schema import Tier

TIERS = (Tier("dawn", 60.0, 0.5, 0.05), Tier("door", 1.0, 4.0, 0.4))
BOTH = frozenset({0, 1})


def make_waiting(queue, name, tier, now, account="a", cost_s=0.1):
    request = PromptRequest(name, account, tier, "notes", 1000, 10, now)
    wait = {"dawn": 60.0, "door": 1.0}[tier]
    return WaitingRequest(request, now + wait, cost_s, queue.rank(tier))


def offer(queue, name, tier, now, capacity=1.0, **changes):
    waiting = make_waiting(queue, name, tier, now, **changes)
    return queue.offer(waiting, 1.0, capacity, now)


def names(queue):
    return [waiting.request.request_id for waiting in queue.iterate(BOTH, 100)]


def test_tiers_are_ordered_by_promised_start_so_non_urgent_requests_do_not_starve():
    queue = AdmissionQueue(TIERS)
    offer(queue, "patient", "dawn", 0.0)
    offer(queue, "urgent", "door", 10.0)
    assert names(queue) == ["urgent", "patient"]
    offer(queue, "too late", "door", 59.5)
    queue.expire(59.5)
    assert names(queue) == ["patient", "too late"]


def test_admitted_requests_start_in_time_and_others_are_refused_with_a_delay():
    queue = AdmissionQueue(TIERS)
    answers = [offer(queue, f"r{n}", "dawn", 0.0, cost_s=1.0) for n in range(100)]
    admitted = [answer for answer in answers if isinstance(answer, Queued)]
    assert 40 <= len(admitted) <= 60
    refused = [answer for answer in answers if isinstance(answer, Refused)]
    assert all(answer.retry_after_s > 0 for answer in refused)
    now = 0.0
    while len(queue):
        assert not queue.expire(now)
        queue.dequeue(queue.iterate(BOTH, 1)[0], now)
        now += 1.0


def test_requests_of_a_flooding_account_are_refused_and_those_of_others_are_not():
    queue = AdmissionQueue(TIERS)
    flood = [
        offer(queue, f"f{n}", "dawn", 0.0, account="f", cost_s=1.0) for n in range(99)
    ]
    assert isinstance(flood[-1], Refused)
    for account in "bcd":
        answer = offer(queue, account, "dawn", 0.0, account=account, cost_s=1.0)
        assert isinstance(answer, Queued)
    dropped = queue.drop_excess(1.0, 14.0)
    assert {waiting.request.account for waiting in dropped} <= {"f"}
    assert queue.drop_excess(0.5, 14.0)
    assert set(names(queue)) >= set("bcd")


def test_recent_urgent_demand_reduces_the_admitted_non_urgent_requests():
    quiet = AdmissionQueue(TIERS)
    busy = AdmissionQueue(TIERS)
    for step in range(100):
        offer(busy, f"u{step}", "door", step * 0.1, cost_s=0.08)
        queue_head = busy.iterate(BOTH, 1)[0]
        busy.dequeue(queue_head, step * 0.1)
    counts = []
    for queue in (quiet, busy):
        answers = [offer(queue, f"r{n}", "dawn", 10.0, cost_s=1.0) for n in range(99)]
        counts.append(sum(isinstance(answer, Queued) for answer in answers))
    assert counts[1] < 0.5 * counts[0]
