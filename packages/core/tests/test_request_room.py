"""Which bodies are received, and which requests are refused, without a network."""

import pytest
from persimmonferry_core.codes import Ran, ResultCode
from persimmonferry_core.held_bytes import HeldAnswer, HeldBytes, Place
from persimmonferry_core.request_room import (
    MAX_STALL_S,
    MAX_WAIT_S,
    SMALL_BODY_BYTES,
    RequestRoom,
)

LIMIT_BYTES = 1_000_000
BODY_BYTES = 400_000
PART_BYTES = 100_000
IDLE_S = 15.0


class Crowd:
    """Requests in a room, and what became of them."""

    def __init__(self):
        self.held = HeldBytes()
        self.room = RequestRoom(self.held, LIMIT_BYTES)
        self.room.body_bytes = BODY_BYTES
        self.room.idle_s = IDLE_S
        self.resumed = []
        self.refused = {}
        self.checks = 0

    def begin(self, name, size=0, now=0.0):
        def resume():
            self.resumed.append(name)

        def refuse(refusal):
            self.refused[name] = refusal

        request = self.room.begin(resume, refuse, now)
        if size:
            request.receive(size, now)
        return request

    def play(self, until_s, interval_s=0.25):
        for number in range(self.checks, int(until_s / interval_s) + 1):
            self.room.check(number * interval_s)
            self.checks = number + 1


def test_a_crowd_that_stalls_is_refused_and_frees_the_room():
    crowd = Crowd()
    for number in range(50):
        crowd.begin(number, PART_BYTES)
    crowd.play(until_s=2 * (MAX_STALL_S + MAX_WAIT_S))
    assert crowd.held.size < LIMIT_BYTES
    crowd.play(until_s=2 * IDLE_S)
    assert set(crowd.refused) == set(range(50))
    assert all(item.code.ran is Ran.NO for item in crowd.refused.values())
    assert crowd.held.size == 0


def test_only_the_oldest_is_received_while_the_room_is_full():
    crowd = Crowd()
    requests = [crowd.begin(number, PART_BYTES) for number in range(20)]
    may_go_on = [request.receive(1, 0.1) for request in requests]
    assert may_go_on == [True] + [False] * 19


def test_a_single_request_is_received_however_small_the_room():
    crowd = Crowd()
    crowd.room.limit_bytes = 1
    request = crowd.begin("a")
    assert all(request.receive(PART_BYTES, 0.1) for _ in range(4))


# Bodies that upstreams don't read would be joined by one after the other.
def test_the_oldest_waits_while_complete_bodies_hold_the_room():
    crowd = Crowd()
    for number in range(20):
        crowd.begin(number, BODY_BYTES).complete()
    most = crowd.begin("a")
    assert not most.receive(PART_BYTES, 0.1)
    crowd.room.check(0.25 + MAX_WAIT_S)
    assert crowd.refused["a"].code is ResultCode.GATEWAY_FULL


def test_a_body_that_leaves_lets_the_next_one_go_on():
    crowd = Crowd()
    served = crowd.begin("a", LIMIT_BYTES + BODY_BYTES)
    served.complete()
    crowd.begin("b", PART_BYTES)
    crowd.begin("c", PART_BYTES)
    served.release()
    assert crowd.resumed[-2:] == ["b", "c"]


def test_small_bodies_are_received_while_large_ones_wait():
    crowd = Crowd()
    crowd.begin("a", LIMIT_BYTES + BODY_BYTES - PART_BYTES).complete()
    assert not crowd.begin("b").receive(PART_BYTES, 0.0)
    assert crowd.begin("c").receive(SMALL_BODY_BYTES - 1, 0.0)


def test_small_bodies_have_a_bound_too():
    crowd = Crowd()
    taken = [crowd.begin(n).receive(SMALL_BODY_BYTES - 1, 0.0) for n in range(200)]
    assert sum(taken) * SMALL_BODY_BYTES < 2 * LIMIT_BYTES


# In calm a caller may pause as long as an idle one.
@pytest.mark.parametrize(
    ("age_s", "is_refused"), [(IDLE_S - 0.5, False), (IDLE_S + 0.5, True)]
)
def test_a_request_that_stalls_in_calm(age_s, is_refused):
    crowd = Crowd()
    crowd.begin("a", PART_BYTES)
    crowd.play(until_s=age_s)
    assert ("a" in crowd.refused) == is_refused


def test_a_request_that_is_received_slowly_stays_when_others_wait():
    crowd = Crowd()
    slow = crowd.begin("slow", PART_BYTES)
    crowd.begin("large", LIMIT_BYTES)
    for number in range(1, 9):
        slow.receive(4096, number * MAX_STALL_S / 2)
        crowd.room.check(number * MAX_STALL_S / 2)
    assert "slow" not in crowd.refused


def test_callers_that_wait_for_a_connection_end_those_that_stall():
    crowd = Crowd()
    crowd.begin("a", 100)
    crowd.room.are_callers_waiting = True
    crowd.play(until_s=MAX_STALL_S + 0.5)
    assert crowd.refused["a"].code is ResultCode.CALLER_TOO_SLOW


def test_nobody_is_refused_for_the_time_a_process_stood_still():
    crowd = Crowd()
    crowd.begin("a", PART_BYTES)
    crowd.room.are_callers_waiting = True
    crowd.room.check(0.25)
    crowd.room.check(20.0)
    assert not crowd.refused


def test_answers_take_room_from_requests():
    crowd = Crowd()
    crowd.held.add(Place.UNSENT, crowd.held.shared_bytes)
    crowd.begin("a", PART_BYTES)
    assert not crowd.begin("b").receive(PART_BYTES, 0.0)
    crowd.held.add(Place.UNSENT, -crowd.held.shared_bytes)
    crowd.room.check(0.25)
    assert "b" in crowd.resumed


def test_a_refusal_states_the_time_that_the_link_takes():
    crowd = Crowd()
    crowd.room.link_bytes_per_s = 1_000_000
    crowd.begin("a", LIMIT_BYTES).complete()
    assert crowd.room.make_refusal(ResultCode.GATEWAY_FULL).retry_s == 1.0


# Each had its own limit, and both together were more than the memory.
@pytest.mark.parametrize(("unsent_bytes", "may_grow"), [(0, True), (1, False)])
def test_requests_take_room_from_answers_that_callers_do_not_read(
    unsent_bytes, may_grow
):
    crowd = Crowd()
    answer = HeldAnswer(crowd.held, print)
    answer.set_size(Place.BODY, 2 * PART_BYTES)
    crowd.held.shared_bytes = LIMIT_BYTES
    crowd.held.add(Place.UNSENT, unsent_bytes)
    crowd.begin("a", LIMIT_BYTES).complete()
    assert answer.may_grow() == may_grow
