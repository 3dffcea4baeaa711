"""Quarantine of prompts: load patterns are replayed with several entries."""

import random

import pytest
from persimmonferry_core.quarantine import (
    FIRST_TEST_S,
    MAX_PATTERNS,
    MAX_RECEIVED,
    MAX_REPORTED,
    MAX_SINGLES,
    RETENTION_S,
    SUSPICION_S,
    TEST_INTERVAL_S,
    Crash,
    Quarantine,
    QuarantinedParts,
)

COMMON, SUBJECT, BAD, OTHER = 1, 2, 3, 4
CRASHING = frozenset((COMMON, SUBJECT, BAD))


def crash(number, parts=CRASHING, lost_s=None):
    return Crash(f"u{number}", 1, frozenset(parts), lost_s or float(number))


def make_quarantined(*crashes, entry="e1"):
    quarantine = Quarantine(entry)
    for item in crashes or (crash(1), crash(2)):
        quarantine.record_crash(item, item.lost_s)
    return quarantine


def test_one_crash_refuses_nothing():
    quarantine = make_quarantined(crash(1))
    assert quarantine.find_wait(CRASHING, 1.0) is None


def test_only_prompts_with_all_common_parts_are_refused():
    quarantine = make_quarantined()
    assert quarantine.find_wait(CRASHING | {OTHER}, 3.0) == FIRST_TEST_S - 1.0
    assert quarantine.find_wait(CRASHING - {BAD}, 3.0) is None
    assert quarantine.find_wait(CRASHING - {COMMON}, 3.0) is None


def test_crashes_of_prompts_with_other_parts_leave_fewer_in_common():
    quarantine = make_quarantined(crash(1), crash(2), crash(3, (COMMON, OTHER, BAD)))
    assert quarantine.find_wait(frozenset((COMMON, BAD, 9)), 4.0) is not None
    assert quarantine.find_wait(frozenset((COMMON, SUBJECT)), 4.0) is None


def test_answers_leave_fewer_parts_in_common():
    quarantine = make_quarantined()
    sound = frozenset((COMMON, SUBJECT))
    assert quarantine.record_answer(sound, 3.0) == sound
    assert quarantine.find_wait(frozenset((BAD, OTHER)), 4.0) is not None
    assert quarantine.list_quarantined() == (QuarantinedParts(frozenset((BAD,)), 2),)


def test_parts_that_were_answered_shortly_before_a_crash_are_sound():
    quarantine = Quarantine("e1")
    quarantine.record_answer(frozenset((COMMON,)), 0.5)
    for item in (crash(1), crash(2, (COMMON, OTHER, 9))):
        quarantine.record_crash(item, item.lost_s)
    assert quarantine.find_wait(frozenset((COMMON, 8)), 3.0) is None


def test_an_answer_of_another_entry_releases_parts():
    quarantine = make_quarantined()
    quarantine.record_sound(CRASHING, 1.5)
    assert quarantine.list_quarantined() == (QuarantinedParts(CRASHING, 2),)
    quarantine.record_sound(CRASHING, 2.5)
    assert quarantine.list_quarantined() == ()


def test_an_entry_with_few_prompts_receives_which_parts_are_sound():
    idle, busy = Quarantine("e1"), Quarantine("e2")
    for item in (crash(1, (COMMON, 8)), crash(2, (COMMON, 9))):
        idle.record_crash(item, item.lost_s)
        busy.record_crash(item, item.lost_s)
        answered_s = item.lost_s + 0.1
        sound = busy.record_answer(frozenset((COMMON, 5)), answered_s)
        assert sound == {COMMON}
        assert busy.record_answer(frozenset((COMMON, 6)), answered_s) == frozenset()
        idle.record_sound(sound, answered_s)
    assert idle.list_quarantined() == ()


def test_an_entry_that_quarantined_nothing_releases_a_sound_part_of_others():
    one, other = Quarantine("e1"), Quarantine("e2")
    sound = frozenset((SUBJECT,))
    other.record_answer(sound, 0.5)
    for item in (crash(1, sound), crash(2, sound)):
        one.record_crash(item, item.lost_s)
        other.record_crash(item, item.lost_s)
    assert one.find_wait(sound, 3.0) is not None
    one.record_sound(other.record_answer(sound, 3.0), 3.0)
    assert one.find_wait(sound, 3.0) is None


# A common part was quarantined when few engines were left to answer prompts with it.
def test_a_repeated_report_brings_no_part_back_that_was_answered_since():
    quarantine = Quarantine("e1")
    quarantine.record_answer(frozenset((COMMON,)), 0.5)
    assert quarantine.record_crash(crash(1), 1.0)
    assert quarantine.record_crash(crash(4, (COMMON, 9)), 4.0)
    quarantine.record_answer(frozenset((OTHER,)), 5.0)
    assert not quarantine.record_crash(crash(1), 6.0)
    assert quarantine.find_wait(frozenset((COMMON, 8)), 6.0) is None


def test_parts_that_were_answered_are_not_reported():
    quarantine = Quarantine("e1")
    quarantine.record_answer(frozenset((COMMON,)), 0.5)
    assert quarantine.drop_answered(crash(1)).parts == CRASHING - {COMMON}


def test_several_reports_of_one_crash_count_once():
    quarantine = make_quarantined(crash(1), crash(1), crash(1, (COMMON, OTHER), 1.01))
    assert quarantine.list_quarantined() == ()


def test_engines_that_crash_at_once_count_each():
    quarantine = make_quarantined(crash(1), crash(2, CRASHING, 1.01))
    assert quarantine.find_wait(CRASHING, 1.01) is not None


def test_two_parts_that_crash_engines_are_both_quarantined():
    first, second = frozenset((COMMON, 5)), frozenset((COMMON, 6))
    quarantine = Quarantine("e1")
    for number, parts in enumerate((first, second, first, second), 1):
        quarantine.record_crash(crash(number, parts), float(number))
        quarantine.record_answer(frozenset((COMMON,)), number + 0.2)
    assert quarantine.find_wait(first, 5.0) is not None
    assert quarantine.find_wait(second, 5.0) is not None
    assert quarantine.find_wait(frozenset((COMMON,)), 5.0) is None


@pytest.mark.parametrize("entries", [1, 5, 68])
def test_one_entry_at_a_time_sends_a_test(entries):
    names = [f"e{number}" for number in range(entries)]
    quarantines = [make_quarantined(entry=name) for name in names]
    for quarantine in quarantines:
        quarantine.set_entries(names)
    sent = []
    begin_s = 2.0 + FIRST_TEST_S
    for step in range(int(TEST_INTERVAL_S / 0.1)):
        now = begin_s + 0.1 * step
        for quarantine in quarantines:
            if quarantine.find_wait(CRASHING, now) is None:
                quarantine.record_sent(CRASHING, now)
                sent.append(now)
    assert sent == [begin_s]


def test_the_time_until_a_test_doubles_with_each_crash():
    quarantine = make_quarantined()
    quarantine.record_crash(crash(30), 30.0)
    assert quarantine.find_wait(CRASHING, 30.0) == 2 * FIRST_TEST_S


def test_a_test_without_result_is_repeated_by_more_entries():
    names = ("e1", "e2")
    quarantines = [make_quarantined(entry=name) for name in names]
    for quarantine in quarantines:
        quarantine.set_entries(names)
    later_s = 2.0 + FIRST_TEST_S + TEST_INTERVAL_S
    waits = [quarantine.find_wait(CRASHING, later_s) for quarantine in quarantines]
    assert waits == [None, None]


def test_single_crashes_and_old_quarantines_are_forgotten():
    quarantine = make_quarantined(crash(1))
    quarantine.record_crash(crash(2), SUSPICION_S + 2.0)
    assert quarantine.list_quarantined() == ()
    quarantine = make_quarantined()
    assert quarantine.find_wait(CRASHING, 2.0 + RETENTION_S) is None
    assert quarantine.list_quarantined() == ()


def test_restored_parts_are_refused_and_a_crash_of_them_counts():
    quarantine = Quarantine("e1")
    quarantine.restore(QuarantinedParts(CRASHING, 2), 100.0)
    assert quarantine.find_wait(CRASHING, 101.0) == FIRST_TEST_S - 1.0
    quarantine.restore(QuarantinedParts(CRASHING, 2), 110.0)
    assert quarantine.find_wait(CRASHING, 111.0) == FIRST_TEST_S - 11.0
    quarantine.record_crash(crash(1, CRASHING, 120.0), 120.0)
    assert quarantine.find_wait(CRASHING, 120.0) == 2 * FIRST_TEST_S


# A call stayed refused at gateways that received its stored entry after its answer.
def test_an_entry_that_arrives_after_an_answer_restores_nothing():
    quarantine = make_quarantined()
    quarantine.record_sound(CRASHING, 3.0)
    assert not quarantine.restore(QuarantinedParts(CRASHING, 2), 3.1)
    assert quarantine.find_wait(CRASHING, 3.2) is None
    quarantine.restore(QuarantinedParts(CRASHING, 2), 7.0)
    assert quarantine.find_wait(CRASHING, 7.1) is not None


def test_any_stored_number_of_crashes_is_accepted():
    quarantine = Quarantine("e1")
    quarantine.restore(QuarantinedParts(CRASHING, 10**9), 0.0)
    assert quarantine.find_wait(CRASHING, 0.0) == 300.0


def test_state_is_bounded_and_keeps_what_is_quarantined():
    quarantine = make_quarantined()
    draw = random.Random(1)
    for number in range(500):
        parts = frozenset(draw.randrange(10, 10_000) for _ in range(4))
        now = 3.0 + 0.01 * number
        quarantine.record_crash(crash(number + 3, parts, now), now)
        assert len(quarantine._patterns) <= MAX_PATTERNS
    assert quarantine.find_wait(CRASHING, 9.0) is not None


@pytest.mark.parametrize("seed", range(20))
def test_engines_that_crash_for_other_causes_quarantine_no_common_part(seed):
    """Each entry observes its own answers, and all crashes after a delay."""
    draw = random.Random(seed)
    quarantine = Quarantine("e1")
    refused = 0
    for step in range(600):
        now = 0.1 * step
        parts = frozenset((COMMON, draw.randrange(10, 60)))
        refused += quarantine.find_wait(parts, now) is not None
        if draw.random() < 0.3:
            quarantine.record_crash(crash(step, parts, now), now + 0.02)
        else:
            quarantine.record_answer(parts, now)
    assert refused <= 60
    assert quarantine.find_wait(frozenset((COMMON, 9)), 60.0) is None


def report(quarantine, upstream, fingerprints, now):
    """Report the calls that were lost with an upstream."""
    for fingerprint in fingerprints:
        crash = Crash(upstream, 1, frozenset((fingerprint,)), now)
        quarantine.record_crash(quarantine.drop_answered(crash), now)


# Sound calls were refused that ran at the same upstreams as one that crashes them.
def test_of_six_calls_at_each_upstream_that_crashes_only_the_common_one_is_refused():
    quarantine = Quarantine("e1")
    for number in range(3):
        sound = range(100 + 5 * number, 105 + 5 * number)
        report(quarantine, f"u{number}", (BAD, *sound), float(number))
    assert quarantine.find_wait(frozenset((BAD,)), 3.0) is not None
    waits = [quarantine.find_wait(frozenset((item,)), 3.0) for item in range(100, 115)]
    assert not any(waits)


# Load pattern: many callers read one list, and connections of all upstreams are reset.
@pytest.mark.parametrize("seed", range(10))
def test_equal_sound_calls_are_rarely_refused_where_connections_are_reset(seed):
    draw = random.Random(seed)
    quarantines = [Quarantine(f"e{number}") for number in range(5)]
    refused = 0
    for step in range(1200):
        now = 0.05 * step
        sender = draw.choice(quarantines)
        parts = frozenset((SUBJECT,))
        if sender.find_wait(parts, now) is not None:
            refused += 1
        elif draw.random() < 0.3:
            found = sender.drop_answered(Crash(f"u{step}", 1, parts, now))
            for quarantine in quarantines if found.parts else ():
                quarantine.record_crash(found, now + 0.01)
        else:
            sound = sender.record_answer(parts, now)
            for quarantine in quarantines if sound else ():
                quarantine.record_sound(sound, now + 0.01)
    assert refused <= 60


def test_an_answer_clears_a_call_that_was_lost_with_two_upstreams():
    quarantine = Quarantine("e1")
    for number in (1, 2):
        report(quarantine, f"u{number}", (BAD, OTHER), float(number))
    assert quarantine.find_wait(frozenset((OTHER,)), 2.5) is not None
    assert quarantine.record_answer(frozenset((OTHER,)), 3.0) == {OTHER}
    assert quarantine.find_wait(frozenset((OTHER,)), 3.0) is None
    assert quarantine.find_wait(frozenset((BAD,)), 3.0) is not None
    # The test after a while crashes no upstream any more.
    parts = frozenset((BAD,))
    assert quarantine.find_wait(parts, 2.0 + FIRST_TEST_S) is None
    quarantine.record_sent(parts, 2.0 + FIRST_TEST_S)
    quarantine.record_answer(parts, 2.1 + FIRST_TEST_S)
    assert quarantine.list_quarantined() == ()


# Load pattern: a flood of calls, all different, beside one that crashes upstreams.
def test_thousands_of_lost_calls_do_not_replace_a_quarantined_one():
    quarantine = Quarantine("e1")
    report(quarantine, "u1", (BAD,), 0.1)
    report(quarantine, "u2", (BAD,), 0.2)
    for number in range(3 * MAX_SINGLES):
        report(quarantine, f"v{number}", (1000 + number,), 0.3 + 0.001 * number)
        assert len(quarantine._singles) <= MAX_SINGLES
    now = 0.3 + 0.003 * MAX_SINGLES
    assert quarantine.find_wait(frozenset((BAD,)), now) is not None
    assert len(quarantine._received_s) <= MAX_RECEIVED
    assert len(quarantine._reported_s) <= MAX_REPORTED
    assert quarantine.find_wait(frozenset((5,)), now + SUSPICION_S) is None
    assert set(quarantine._singles) == {BAD}
