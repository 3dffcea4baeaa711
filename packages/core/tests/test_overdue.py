"""Bursts beyond the capacity: overdue requests must not delay those still in time."""

import random

from persimmonferry_core.admission import (
    AdmissionQueue,
    PromptRequest,
    Queued,
    Refused,
    WaitingRequest,
)
from persimmonferry_core.schema import Tier

TIERS = (Tier("urgent", 0.4, 0, 0), Tier("patient", 1.0, 0, 0))
COST_S = 0.05


def make_waiting(number, tier, now, caller_wait_s=None):
    promised_s = 0.4 if tier == "urgent" else 1.0
    give_up_s = None if caller_wait_s is None else now + caller_wait_s
    request = PromptRequest(
        str(number), "a", tier, "s", 100, 10, now, caller_deadline_s=give_up_s
    )
    latest_s = now + promised_s
    rank = 0 if tier == "urgent" else 1
    last_s = max(latest_s, give_up_s or 0.0)
    return WaitingRequest(request, latest_s, COST_S, rank, expires_s=last_s)


def play_burst(caller_wait_s):
    """Offer three times the capacity for a second, then half; count the outcomes."""
    generator = random.Random(3)
    queue = AdmissionQueue(TIERS)
    on_time = late = refused = number = 0
    now = 0.0
    while now < 6.0:
        load = 3.0 if now < 1.0 else 0.5
        for _ in range(sum(generator.random() < load / 6 for _ in range(6))):
            number += 1
            tier = "urgent" if number % 2 else "patient"
            waiting = make_waiting(number, tier, now, caller_wait_s)
            answer = queue.offer(waiting, 1.0, 1.0, now)
            refused += isinstance(answer, Refused)
        refused += len(queue.expire(now)) + len(queue.drop_excess(1.0, now))
        ready = queue.iterate(frozenset((0, 1)), 8)
        if ready:
            queue.dequeue(ready[0], now)
            is_late = now > ready[0].promised_start_s
            late, on_time = late + is_late, on_time + (not is_late)
        now += COST_S
    return on_time, late, refused


def test_requests_whose_callers_still_wait_are_served_late_instead_of_refused():
    strict = play_burst(None)
    lenient = play_burst(3.0)
    assert strict[2] > 0
    assert lenient[2] < strict[2]
    assert lenient[1] > 0
    # Overdue requests hardly reduce the number of requests that start in time.
    assert lenient[0] >= 0.9 * strict[0]


def test_overdue_requests_follow_all_that_can_still_start_in_time():
    queue = AdmissionQueue(TIERS)
    queue.push(make_waiting(1, "urgent", 0.0, 3.0), 1.0)
    assert queue.expire(0.5) == ()
    queue.push(make_waiting(2, "patient", 0.5, 3.0), 1.0)
    order = [item.request.request_id for item in queue.iterate(frozenset((0, 1)), 8)]
    assert order == ["2", "1"]
    assert len(queue) == 2


def test_an_overdue_request_expires_at_the_deadline_of_its_caller():
    queue = AdmissionQueue(TIERS)
    queue.push(make_waiting(1, "urgent", 0.0, 2.0), 1.0)
    queue.expire(1.0)
    assert [item.request.request_id for item in queue.expire(2.1)] == ["1"]
    assert len(queue) == 0


def test_an_overdue_request_can_be_removed():
    queue = AdmissionQueue(TIERS)
    waiting = make_waiting(1, "urgent", 0.0, 2.0)
    queue.push(waiting, 1.0)
    queue.expire(1.0)
    queue.remove(waiting)
    assert len(queue) == 0


def test_a_request_that_would_expire_even_as_overdue_is_refused_with_a_delay():
    queue = AdmissionQueue(TIERS)
    answers = [
        queue.offer(make_waiting(number, "urgent", 0.0, 1.0), 1.0, 1.0, 0.0)
        for number in range(60)
    ]
    refused = [answer for answer in answers if isinstance(answer, Refused)]
    assert refused and isinstance(answers[0], Queued)
    assert all(answer.retry_after_s > 0 for answer in refused)
