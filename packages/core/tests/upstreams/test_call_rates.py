"""Ceilings on the calls that all entries together send to an upstream in a second."""

import heapq
import random

import pytest
from persimmonferry_core.upstreams.call_rates import (
    SHARE_DELAY_S,
    CallRates,
    ColdBound,
)

COLD_CALLS_PER_S = 9.4
BOUND = ColdBound(1.5, 5.0)
# What the operators of the upstream state: 9.4 x 1.5 + 5 calls in any second.
MAX_CALLS = 19
STEP_S = 0.01
NEWS_S = 0.25


class Fleet:
    """
    Entries that send calls to one upstream as soon as they may.

    :param links: returns whether a message from one entry reaches another one.
    """

    def __init__(self, count, seed=1, links=lambda sender, receiver, now: True):
        self.names = [f"e{number}" for number in range(count)]
        self.random = random.Random(seed)
        self.links = links
        self.rates = {name: self.make(name) for name in self.names}
        self.frozen = frozenset()
        self.sent = []
        self.messages = []
        self.waiting = dict.fromkeys(self.names, 0)
        self.next_news_s = {name: self.random.uniform(0, NEWS_S) for name in self.names}
        self.number = 0

    def make(self, name, seed=0):
        rates = CallRates(name, seed)
        rates.set_entries(self.names)
        rates.set_ceiling("u1", BOUND.make_ceiling(COLD_CALLS_PER_S))
        return rates

    def announce(self, name, now):
        news = self.rates[name].describe_sent(("u1",), now)
        for other in self.names:
            if other != name and self.links(name, other, now):
                # Links between failure domains, and the receiver's event loop.
                arrival_s = now + self.random.uniform(0.002, 0.02)
                self.number += 1
                item = (arrival_s, self.number, name, other, news)
                heapq.heappush(self.messages, item)

    def run(self, begin_s, end_s, calls_per_s, *, patience_s=0.5):
        """Have calls arrive at random at all entries."""
        arrivals = {name: [] for name in self.names}
        for step in range(round((end_s - begin_s) / STEP_S)):
            now = begin_s + step * STEP_S
            while self.messages and self.messages[0][0] <= now:
                _, _, sender, name, news = heapq.heappop(self.messages)
                if name not in self.frozen:
                    self.rates[name].record_peer(sender, news, now)
            for name in self.random.sample(self.names, len(self.names)):
                if name in self.frozen:
                    continue
                if now >= self.next_news_s[name]:
                    self.next_news_s[name] = now + NEWS_S
                    self.announce(name, now)
                waiting = arrivals[name]
                while waiting and waiting[0] < now - patience_s:
                    waiting.pop(0)
                if self.random.random() < calls_per_s * STEP_S / len(self.names):
                    waiting.append(now)
                while waiting and not self.rates[name].find_wait("u1", now):
                    waiting.pop(0)
                    self.rates[name].take("u1", now)
                    self.sent.append(now)
                    self.announce(name, now)

    def count_busiest_second(self, since_s=0.0):
        sent = [at for at in self.sent if at >= since_s]
        return max(
            (sum(1 for other in sent if at - 1.0 < other <= at) for at in sent),
            default=0,
        )


# A threefold burst reached upstreams that had crashed and come back cold: 20 requests
# in one second, 19.1 allowed.
@pytest.mark.parametrize("count", [2, 5, 13, 23])
@pytest.mark.parametrize("calls_per_s", [18, 60])
def test_an_unannounced_cold_upstream_gets_more_than_its_bound(count, calls_per_s):
    fleet = Fleet(count, seed=count)
    fleet.run(0.0, 20.0, calls_per_s)
    assert fleet.count_busiest_second() <= MAX_CALLS
    # The bound leaves most of a burst to an upstream that takes it.
    assert len(fleet.sent) > 0.6 * 20 * min(calls_per_s, MAX_CALLS)


# A ceiling that is divided into fixed shares leaves one call a second to each entry.
def test_usual_load_waits_for_the_ceiling():
    fleet = Fleet(13)
    fleet.run(0.0, 4.0, 0.0)
    fleet.run(4.0, 34.0, 6.0, patience_s=0.05)
    assert len(fleet.sent) > 0.95 * 30 * 6.0 - 3 * (30 * 6.0) ** 0.5


def test_a_group_that_is_cut_off_uses_the_whole_ceiling():
    names = frozenset(f"e{number}" for number in range(9))

    def is_linked(sender, receiver, now):
        return now < 8.0 or now > 16.0 or (sender in names) == (receiver in names)

    fleet = Fleet(23, links=is_linked)
    fleet.run(0.0, 24.0, 50.0)
    assert fleet.count_busiest_second() <= MAX_CALLS


@pytest.mark.parametrize("is_mute", [True, False])
def test_an_entry_that_only_sends_or_only_receives_exceeds_its_share(is_mute):
    def is_linked(sender, receiver, now):
        return now < 8.0 or (sender if is_mute else receiver) != "e3"

    fleet = Fleet(13, links=is_linked)
    fleet.run(0.0, 18.0, 50.0)
    assert fleet.count_busiest_second() <= MAX_CALLS


def test_lost_messages_hide_calls():
    generator = random.Random(7)
    fleet = Fleet(13, links=lambda *_: generator.random() > 0.3)
    fleet.run(0.0, 20.0, 50.0)
    assert fleet.count_busiest_second() <= MAX_CALLS


# Its first message came after its first calls.
def test_an_entry_that_has_just_started_uses_a_share_that_others_use():
    fleet = Fleet(13)
    fleet.run(0.0, 6.0, 50.0)
    name = "late"
    fleet.names.append(name)
    fleet.next_news_s[name] = 0.0
    fleet.rates[name] = fleet.make(name)
    # The others read the list within the time that a new entry waits.
    fleet.run(6.0, 6.0 + SHARE_DELAY_S - 0.5, 50.0)
    for rates in fleet.rates.values():
        rates.set_entries(fleet.names)
    fleet.run(6.0 + SHARE_DELAY_S - 0.5, 14.0, 50.0)
    assert fleet.count_busiest_second() <= MAX_CALLS


# After a loss of power, 153 prompts were late: no entry had heard the others yet.
def test_entries_that_all_start_again_call_nothing_until_they_hear_each_other():
    fleet = Fleet(13)
    fleet.run(0.0, 5.0, 18.0)
    fleet.rates = {name: fleet.make(name, seed=1) for name in fleet.names}
    for rates in fleet.rates.values():
        rates.record_listed()
    fleet.messages.clear()
    fleet.run(6.1, 12.0, 50.0)
    assert fleet.count_busiest_second() <= MAX_CALLS
    early = [at for at in fleet.sent if 6.1 <= at < 6.6]
    assert len(early) >= 0.5 * COLD_CALLS_PER_S


def test_entries_that_wake_up_send_what_has_waited_all_at_once():
    fleet = Fleet(13)
    fleet.run(0.0, 5.0, 50.0)
    fleet.frozen = frozenset(("e1", "e2", "e3", "e4"))
    fleet.run(5.0, 9.0, 50.0)
    fleet.frozen = frozenset()
    fleet.run(9.0, 13.0, 50.0)
    assert fleet.count_busiest_second() <= MAX_CALLS


# All wait for the same upstream, as it was closed until then.
def test_an_upstream_that_opens_gets_a_call_of_each_waiting_entry_at_once():
    fleet = Fleet(13)
    fleet.run(0.0, 5.0, 0.0)
    fleet.run(5.0, 8.0, 500.0)
    assert fleet.count_busiest_second() <= MAX_CALLS


def test_an_upstream_that_is_known_to_be_cold_gets_more_than_its_rate():
    fleet = Fleet(13)
    fleet.run(0.0, 5.0, 18.0)
    for rates in fleet.rates.values():
        rates.record_cold("u1", 9.0, 5.0)
    fleet.run(5.0, 9.0, 18.0)
    assert fleet.count_busiest_second(since_s=6.1) <= COLD_CALLS_PER_S * 1.5
    fleet.run(9.0, 13.0, 18.0)
    assert fleet.count_busiest_second(since_s=10.0) > COLD_CALLS_PER_S
