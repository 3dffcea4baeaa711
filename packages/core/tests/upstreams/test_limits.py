"""Limits that upstreams set on the calls that they take from all entries together."""

import random

import pytest
from persimmonferry_core.admission import PromptRequest, Refused
from persimmonferry_core.dispatch import Dispatcher
from persimmonferry_core.schema import Service, ServiceKind, TeamDocument, Tier
from persimmonferry_core.upstreams import UpstreamReport
from persimmonferry_core.upstreams.limits import (
    CONFIRMATION_TIMEOUT_S,
    RETENTION_S,
    SHARE_DELAY_S,
    LimitNotice,
    UpstreamLimits,
)

WINDOW_S = 4.0
STEP_S = 0.01
# Entries that are missing from the registry are back within this time.
MISSING_S = 9.0


def count_allowed(calls_per_s):
    """Return the calls that the users' rule allows in a window."""
    return 1.5 * calls_per_s * WINDOW_S + 5


def count_busiest_window(sent):
    return max(
        (sum(1 for other in sent if at - WINDOW_S < other <= at) for at in sent),
        default=0,
    )


class Fleet:
    """Entries that send calls to one upstream as often as its limit lets them."""

    def __init__(self, count, calls_per_s, seed=1):
        self.names = [f"e{number}" for number in range(count)]
        self.limits = {name: self.make(name) for name in self.names}
        self.random = random.Random(seed)
        self.sent = []
        self.senders = []
        self.frozen_s = dict.fromkeys(self.names, 0.0)
        self.state(calls_per_s, 0.0)

    def make(self, name):
        limits = UpstreamLimits(name)
        limits.set_entries(self.names)
        return limits

    def state(self, calls_per_s, now, names=None):
        for name in names or self.names:
            notice = LimitNotice("u1", 1, calls_per_s, now)
            self.limits[name].record(notice, now)

    def send(self, begin_s, end_s, demand=1.0, frozen=()):
        """
        Send at every step with the probability ``demand``.

        :param frozen: entries whose processes and clocks stand still.
        """
        now = begin_s
        while now < end_s:
            for name, limits in self.limits.items():
                own_s = now - self.frozen_s.get(name, 0.0)
                if name in frozen or limits.find_wait("u1", own_s) != 0.0:
                    continue
                if self.random.random() < demand:
                    limits.take("u1", own_s)
                    self.sent.append(now)
                    self.senders.append(name)
            now += STEP_S
        for name in frozen:
            self.frozen_s[name] += end_s - begin_s


@pytest.mark.parametrize("calls_per_s", [0.0, 0.5, 1.2, 3.0, 20.0])
@pytest.mark.parametrize("count", [1, 5, 22, 68])
def test_all_entries_together_keep_a_limit_under_full_load(count, calls_per_s):
    fleet = Fleet(count, calls_per_s)
    fleet.send(0.0, 14.0)
    assert count_busiest_window(fleet.sent) <= count_allowed(calls_per_s)
    assert len(fleet.sent) >= 0.9 * calls_per_s * 14.0 - 1


@pytest.mark.parametrize("count", [5, 22, 68])
def test_all_entries_together_keep_a_limit_after_a_pause(count):
    fleet = Fleet(count, 3.0)
    fleet.send(10.0, 14.0)
    assert count_busiest_window(fleet.sent) <= count_allowed(3.0)


def test_a_limit_that_is_stated_anew_with_each_answer_is_kept():
    fleet = Fleet(5, 1.5)
    for step in range(140):
        fleet.state(1.4 + 0.2 * (step % 2), step / 10)
        fleet.send(step / 10, (step + 1) / 10)
    assert count_busiest_window(fleet.sent) <= count_allowed(1.4)


def test_a_limit_is_kept_while_entries_join_and_leave():
    fleet = Fleet(5, 2.0)
    for step in range(7):
        fleet.send(2.0 * step, 2.0 * (step + 1))
        fleet.names = [f"e{number}" for number in range(step, step + 5)]
        fleet.limits = {
            name: fleet.limits.get(name) or fleet.make(name) for name in fleet.names
        }
        for limits in fleet.limits.values():
            limits.set_entries(fleet.names)
        fleet.state(2.0, 2.0 * (step + 1))
    assert count_busiest_window(fleet.sent) <= count_allowed(2.0)


def test_a_limit_is_kept_while_the_entries_lose_sight_of_each_other():
    """The registrations of all entries expire in an outage and return with it."""
    for count in (5, 22):
        fleet = Fleet(count, 1.2)
        fleet.send(0.0, 6.0)
        for name, limits in fleet.limits.items():
            limits.set_entries((name,))
        fleet.send(6.0, 9.0)
        fleet.state(1.2, 9.0)
        for limits in fleet.limits.values():
            limits.set_entries(fleet.names)
        fleet.send(9.0, 16.0)
        assert count_busiest_window(fleet.sent) <= count_allowed(1.2)


@pytest.mark.parametrize("seed", range(8))
def test_a_limit_is_kept_with_random_demand_notices_and_views(seed):
    generator = random.Random(seed)
    count = generator.choice((1, 3, 5, 8, 22))
    calls_per_s = generator.choice((0.3, 0.8, 1.2, 2.0, 3.4, 8.0))
    fleet = Fleet(count, calls_per_s, seed)
    restored_s = 0.0
    for step in range(300):
        now = step / 10
        names = [name for name in fleet.names if generator.random() < 0.8]
        fleet.state(calls_per_s * generator.uniform(0.95, 1.0), now, names)
        if restored_s <= now and generator.random() < 0.05:
            restored_s = now + generator.uniform(0.5, MISSING_S)
            known = [name for name in fleet.names if generator.random() < 0.2]
            for limits in fleet.limits.values():
                limits.set_entries(known)
        elif restored_s <= now:
            for limits in fleet.limits.values():
                limits.set_entries(fleet.names)
        fleet.send(now, now + 0.1, generator.choice((0.0, 0.02, 1.0)))
    assert count_busiest_window(fleet.sent) <= count_allowed(calls_per_s)


@pytest.mark.parametrize("demand", [0.01, 1.0])
@pytest.mark.parametrize("count", [5, 22])
def test_a_limit_is_kept_while_two_halves_are_cut_off_from_each_other(count, demand):
    """Both reach the upstream and the registry, but not the other half's messages."""
    fleet = Fleet(count, 1.2)
    for step in range(600):
        now, sent = step / 10, len(fleet.senders)
        fleet.send(now, now + 0.1, demand)
        for sender in fleet.senders[sent:]:
            half = [
                name for name in fleet.names if int(name[1:]) % 2 == int(sender[1:]) % 2
            ]
            fleet.state(1.2, now + 0.1, half)
    assert count_busiest_window(fleet.sent) <= count_allowed(1.2)


@pytest.mark.parametrize("frozen_s", [3.0, 8.0, 25.0])
def test_a_limit_is_kept_while_an_entry_is_frozen_and_resumed(frozen_s):
    """Its registration expires after 5 s and is written again a second after."""
    fleet = Fleet(5, 1.2)
    fleet.send(0.0, 6.0)
    end_s = 6.0 + frozen_s
    others = [name for name in fleet.names if name != "e0"]
    for step in range(int(frozen_s * 10)):
        now = 6.0 + step / 10
        fleet.state(1.2, now, others)
        if now >= 11.0:
            for name in others:
                fleet.limits[name].set_entries(others)
        fleet.send(now, now + 0.1, frozen=("e0",))
    fleet.send(end_s, end_s + 1.0)
    for name in others:
        fleet.limits[name].set_entries(fleet.names)
    fleet.send(end_s + 1.0, end_s + 12.0)
    assert count_busiest_window(fleet.sent) <= count_allowed(1.2)


def test_the_other_entries_use_the_share_of_one_that_has_left():
    fleet = Fleet(4, 1.2)
    del fleet.limits["e0"]
    fleet.names.remove("e0")
    for limits in fleet.limits.values():
        limits.set_entries(fleet.names)
    fleet.send(0.0, SHARE_DELAY_S)
    fleet.state(1.2, SHARE_DELAY_S)
    fleet.sent.clear()
    fleet.send(SHARE_DELAY_S, SHARE_DELAY_S + 10.0)
    assert len(fleet.sent) >= 0.9 * 1.2 * 10.0 - 1


def test_other_entries_get_a_share_while_no_answer_confirms_a_limit():
    fleet = Fleet(12, 1.0)
    for groups, sharers in ((0, 4), (1, 8), (2, 12)):
        now = groups * CONFIRMATION_TIMEOUT_S
        for limits in fleet.limits.values():
            limits.find_wait("u1", now)
        now += SHARE_DELAY_S
        waits = [limits.find_wait("u1", now) for limits in fleet.limits.values()]
        assert sum(wait is not None for wait in waits) == sharers
        shares = [sum(item.list_shares().values()) for item in fleet.limits.values()]
        assert sum(shares) == pytest.approx(1.0)


def test_a_limit_without_confirmation_is_forgotten():
    limits = UpstreamLimits("e1")
    limits.record(LimitNotice("u1", 1, 2.0, 1.0), 1.0)
    limits.record(LimitNotice("u2", 1, 2.0, 2.0 + RETENTION_S), 2.0 + RETENTION_S)
    assert limits.list_limits() == {"u2": 2.0}


def test_only_users_of_an_upstream_share_its_limit():
    limits = UpstreamLimits("e1")
    limits.set_entries(("e1", "e2"))
    limits.set_users({"u1": frozenset(("e1",)), "u2": frozenset()})
    for name in ("u1", "u2", "u3"):
        limits.record(LimitNotice(name, 1, 2.0, 1.0), 1.0)
    limits.list_spent(1.0)
    assert limits.list_shares() == {"u1": 2.0, "u2": 0.0, "u3": 1.0}
    assert limits.list_unshared(1.0) == {"u2"}


def test_an_older_notice_does_not_replace_a_newer_one():
    limits = UpstreamLimits("e1")
    assert limits.record(LimitNotice("u1", 1, 2.0, 10.0), 10.0)
    assert not limits.record(LimitNotice("u1", 1, None, 9.5), 10.1)
    assert not limits.record(LimitNotice("u1", 1, 5.0, 9.9), 10.2)
    assert limits.list_limits() == {"u1": 2.0}
    assert limits.record(LimitNotice("u1", 1, None, 10.5), 10.6)
    assert limits.find("u1") is None
    assert not limits.record(LimitNotice("u1", 1, None, 10.6), 10.7)
    assert not limits.record(LimitNotice("u1", 1, 2.0, 10.2), 10.7)
    assert limits.find("u1") is None


def test_a_limit_ends_with_a_restart():
    limits = UpstreamLimits("e1")
    limits.record(LimitNotice("u1", 1, 2.0, 10.0), 10.0)
    limits.clear_outdated("u1", 1)
    assert limits.find("u1") == 2.0
    limits.clear_outdated("u1", 2)
    assert limits.find("u1") is None


def make_report(name, service, model=""):
    version = "1" if model else ""
    return UpstreamReport(
        name, 1, 1, "z1", service, model, version, 0, 0, 0, 8, 0.0, 100.0
    )


def make_dispatcher(entries=("e",)):
    services = (
        Service("plain", ServiceKind.PLAIN),
        Service("llm", ServiceKind.MODEL, "m", "1", slots_per_upstream=8),
    )
    document = TeamDocument("", 1, services, (Tier("t", 1.0, 0, 0),), (), ())
    dispatcher = Dispatcher(document, entry="e")
    dispatcher.set_entries(entries)
    for name in ("p1", "p2"):
        dispatcher.report(make_report(name, "plain"), 0.0)
    for name in ("m1", "m2"):
        dispatcher.report(make_report(name, "llm", model="m"), 0.0)
    return dispatcher


def state_limits(dispatcher, calls_per_s, *names, now=0.0):
    for name in names:
        dispatcher.availability.limits.record(
            LimitNotice(name, 1, calls_per_s, now), now
        )


def offer(dispatcher, name, now, tokens=100):
    request = PromptRequest(
        name, "a", "t", "llm", tokens, 10, now, caller_deadline_s=now + 2.0
    )
    return dispatcher.offer(request, now)


def test_prompts_beyond_the_limit_of_an_engine_go_to_others():
    dispatcher = make_dispatcher()
    state_limits(dispatcher, 2.0, "m1")
    used = []
    for step in range(100):
        now = step / 25
        offer(dispatcher, f"r{step}", now)
        for made in dispatcher.assign(now):
            used.append(made.upstream)
            dispatcher.cancel(made.request.request_id, now)
    assert len(used) == 100
    assert 4 <= used.count("m1") <= 8


def test_a_limited_engine_gets_the_large_prompts_while_others_can_take_the_small():
    dispatcher = make_dispatcher()
    state_limits(dispatcher, 2.0, "m1")
    used = {"m1": [], "m2": []}
    for step in range(100):
        now = step / 25
        tokens = 3000 if step % 5 == 4 else 100
        offer(dispatcher, f"r{step}", now, tokens)
        for made in dispatcher.assign(now):
            used[made.upstream].append(made.request.prompt_tokens)
            dispatcher.cancel(made.request.request_id, now)
    assert 4 <= len(used["m1"]) <= 8
    assert set(used["m1"]) == {3000}
    assert used["m2"].count(100) == 80


def test_prompts_wait_for_the_next_call_that_limited_engines_take():
    dispatcher = make_dispatcher()
    state_limits(dispatcher, 2.0, "m1", "m2")
    for number in range(3):
        offer(dispatcher, f"r{number}", 0.0)
    assert dispatcher.assign(0.4) == ()
    assert {made.upstream for made in dispatcher.assign(0.5)} == {"m1", "m2"}
    assert dispatcher.assign(0.9) == ()
    assert len(dispatcher.assign(1.0)) == 1


def test_prompts_are_refused_at_once_if_limited_engines_take_none_in_time():
    dispatcher = make_dispatcher()
    offer(dispatcher, "r1", 0.0)
    state_limits(dispatcher, 0.5, "m1", "m2")
    (refused,) = dispatcher.expire(0.1)
    assert (refused.request_id, refused.retry_after_s) == ("r1", pytest.approx(1.9))


def test_calls_beyond_the_limit_of_a_plain_upstream_go_to_others():
    dispatcher = make_dispatcher()
    state_limits(dispatcher, 1.0, "p1")
    assert dispatcher.choose_plain("plain", 0.9) == "p2"
    for number in range(20):
        upstream = dispatcher.choose_plain("plain", 1.0)
        dispatcher.plain_started(f"c{number}", upstream, 1.0)
    assert len(dispatcher._plain["plain"].upstreams["p1"].runs) == 1
    state_limits(dispatcher, 2.0, "p2", now=1.0)
    assert dispatcher.choose_plain("plain", 1.4) is None
    assert dispatcher.find_upstream_wait("plain", 1.4) == pytest.approx(0.1)


def test_prompts_are_refused_while_other_entries_share_the_limits_of_all_engines():
    dispatcher = make_dispatcher(tuple(f"e{number}" for number in range(9)))
    dispatcher.availability.limits.set_users(
        {"m1": frozenset(("e1",)), "m2": frozenset(("e2",))}
    )
    state_limits(dispatcher, 2.0, "m1", "m2")
    answer = offer(dispatcher, "r1", 0.1)
    assert isinstance(answer, Refused)
    assert answer.retry_after_s == 1.0


def test_the_limit_of_an_engine_outlasts_the_loss_of_its_entry():
    dispatcher = make_dispatcher()
    state_limits(dispatcher, 2.0, "m1")
    dispatcher.remove("m1")
    dispatcher.report(make_report("m1", "llm", model="m"), 1.0)
    assert dispatcher.availability.limits.list_limits() == {"m1": 2.0}
