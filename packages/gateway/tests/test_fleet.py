import pytest
from persimmonferry_core.deployment import UpstreamRecord
from persimmonferry_gateway.fleet import (
    RENEWAL_S,
    REREGISTRATION_GRACE_S,
    Fleet,
)


def make_record(name, **changes):
    fields = {
        "service": "s",
        "address": "a:1",
        "failure_domain": "z",
        "slots": 1,
        "is_leaving": False,
        "incarnation": 1,
        **changes,
    }
    return UpstreamRecord(name, **fields)


def make_fleet(*names):
    fleet = Fleet()
    for name in names:
        fleet.put(make_record(name), 0.0)
    return fleet


def test_an_entry_removed_while_the_registry_is_reachable_is_dropped_at_once():
    fleet = make_fleet("u1", "u2")
    fleet.remove("u1", 10.0)
    assert set(fleet.records) == {"u2"}


def test_entries_that_expired_in_an_outage_are_used_during_the_grace_period():
    fleet = make_fleet("u1", "u2")
    fleet.record_registry_lost(3.0)
    fleet.record_registry_restored(10.0)
    fleet.keep_only(frozenset(), 10.0)
    fleet.put(make_record("u1"), 0.0)
    assert set(fleet.records) == {"u1", "u2"}
    assert fleet.expire(10.0 + REREGISTRATION_GRACE_S - 0.01) == ()
    assert fleet.expire(10.0 + REREGISTRATION_GRACE_S) == ("u2",)
    assert set(fleet.records) == {"u1"}


def test_an_upstream_that_was_leaving_before_the_outage_gets_no_grace():
    fleet = Fleet()
    fleet.put(make_record("u1", is_leaving=True), 0.0)
    fleet.record_registry_lost(3.0)
    fleet.record_registry_restored(10.0)
    fleet.keep_only(frozenset(), 10.0)
    assert fleet.records == {}


def test_an_entry_removed_after_the_grace_period_is_dropped_at_once():
    fleet = make_fleet("u1")
    fleet.record_registry_lost(3.0)
    fleet.record_registry_restored(10.0)
    fleet.remove("u1", 10.0 + REREGISTRATION_GRACE_S)
    assert fleet.records == {}


# Upstreams that had registered since the copy was made were dropped at once.
def test_entries_that_an_older_copy_lacks_are_used_during_the_grace_period():
    fleet = make_fleet("u1", "u2")
    fleet.record_history_replaced(10.0)
    fleet.keep_only(frozenset(("u2",)), 10.0)
    assert set(fleet.records) == {"u1", "u2"}
    assert fleet.expire(10.0 + REREGISTRATION_GRACE_S) == ("u1",)


# Upstreams that were leaving or gone got calls again, by an entry from before.
def test_an_entry_that_was_replaced_or_removed_since_the_copy_is_outdated():
    fleet = make_fleet("left", "ready")
    fleet.put(make_record("leaving", is_leaving=True), 0.0)
    fleet.put(make_record("restarted", incarnation=2), 0.0)
    fleet.remove("left", 5.0)
    fleet.record_history_replaced(10.0)
    outdated = [
        name
        for name in ("left", "ready", "leaving", "restarted", "new")
        if fleet.is_outdated(make_record(name))
    ]
    assert outdated == ["left", "leaving", "restarted"]


def test_an_upstream_that_writes_its_entry_again_is_used_again():
    fleet = make_fleet("u1")
    fleet.remove("u1", 5.0)
    fleet.record_history_replaced(10.0)
    fleet.put(make_record("u1"), 0.0)
    assert set(fleet.records) == {"u1"}
    assert not fleet.is_outdated(make_record("u1"))


def test_an_upstream_that_has_restarted_since_it_was_dropped_is_not_outdated():
    fleet = make_fleet("u1")
    fleet.remove("u1", 5.0)
    assert not fleet.is_outdated(make_record("u1", incarnation=2))


# The entry of a former start replaced that of the present one.
def test_an_entry_of_a_former_start_is_taken_for_late_until_it_goes_on():
    fleet = Fleet()
    present, former = make_record("u1", incarnation=2), make_record("u1")
    fleet.put(present, 0.0)
    assert not fleet.is_written_late(present, 1.0)
    assert fleet.is_written_late(former, 1.0)
    fleet.put(present, 0.0)
    assert fleet.is_written_late(former, 3.0)
    assert fleet.is_written_late(former, 2.9 + RENEWAL_S)
    assert not fleet.is_written_late(former, 3.0 + RENEWAL_S)


# A process whose clock was set back has an earlier incarnation than its former start.
def test_an_entry_is_settled_while_entries_of_two_incarnations_come():
    fleet = Fleet()
    fleet.put(make_record("u1", incarnation=2), 0.0)
    assert fleet.is_settled("u1", 9.0)
    assert fleet.is_written_late(make_record("u1"), 9.0)
    assert not fleet.is_settled("u1", 9.0)
    fleet.put(make_record("u1", incarnation=2), 10.0)
    assert fleet.is_settled("u1", 10.0)


# What the first response after an outage holds may have been written before it.
@pytest.mark.parametrize(
    ("responses", "is_settled"), [(0, False), (1, False), (2, True)]
)
def test_an_entry_is_settled_just_after_an_outage(responses, is_settled):
    fleet = make_fleet("u1")
    fleet.record_registry_lost(3.0)
    assert not fleet.is_settled("u1", 4.0)
    fleet.record_registry_restored(5.0)
    for _ in range(responses):
        fleet.put(make_record("u1"), 6.0)
        fleet.record_received()
    assert fleet.is_settled("u1", 6.0) == is_settled
    assert fleet.is_settled("u1", 5.0 + REREGISTRATION_GRACE_S)


# A connection from before an outage ends when its process does.
@pytest.mark.parametrize(("registered_by_s", "is_known"), [(2.9, True), (3.1, False)])
def test_an_entry_from_before_an_outage_tells_nothing_of_older_connections(
    registered_by_s, is_known
):
    fleet = make_fleet("u1")
    fleet.record_registry_lost(3.0)
    assert fleet.is_known_at("u1", registered_by_s, 4.0) == is_known
    fleet.record_registry_restored(5.0)
    assert fleet.is_known_at("u1", registered_by_s, 5.5) == is_known
    fleet.record_received()
    fleet.put(make_record("u1"), 6.0)
    assert fleet.is_known_at("u1", registered_by_s, 6.0)
