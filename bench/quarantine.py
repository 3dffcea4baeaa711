"""Quarantine of prompts that crash engines: crashes until it holds, and its cost."""

import random
from functools import partial

from persimmonferry_core.quarantine import (
    MAX_PATTERNS,
    MAX_SINGLES,
    Crash,
    Quarantine,
)

from bench.capacity import measure_time
from bench.tables import print_table

SEEDS = (1, 2, 3)
DURATION_S = 60.0
STEP_S = 0.01
ANSWER_S = 0.3
MESSAGE_S = 0.02
COMMON, SUBJECT, BAD = 1, 2, 3


def replay(entries: int, prompts_per_s: float, seed: int) -> tuple[list[float], int]:
    """
    Return when engines crash, and how many sound prompts are refused.

    One prompt in twenty has the part that crashes engines; all entries receive prompts.
    """
    generator = random.Random(seed)
    names = [f"e{number}" for number in range(entries)]
    quarantines = [Quarantine(name) for name in names]
    for quarantine in quarantines:
        quarantine.set_entries(names)
    crashed, refused = [], 0
    answers: list[tuple[float, Quarantine, frozenset[int]]] = []
    for step in range(int(DURATION_S / STEP_S)):
        now = step * STEP_S
        while answers and answers[0][0] <= now:
            at_s, quarantine, parts = answers.pop(0)
            if BAD not in parts:
                quarantine.record_answer(parts, at_s)
                continue
            crashed.append(at_s)
            crash = Crash(f"u{len(crashed)}", 1, parts, at_s)
            for other in quarantines:
                other.record_crash(crash, at_s + MESSAGE_S)
        if generator.random() >= prompts_per_s * STEP_S:
            continue
        subject = generator.randrange(SUBJECT + 2, 200)
        parts = frozenset((COMMON, subject))
        if generator.random() < 0.05:
            parts = frozenset((COMMON, SUBJECT, BAD))
        quarantine = generator.choice(quarantines)
        if quarantine.find_wait(parts, now) is None:
            quarantine.record_sent(parts, now)
            answers.append((now + ANSWER_S, quarantine, parts))
        elif BAD not in parts:
            refused += 1
    return crashed, refused


def measure_crashes() -> list[tuple]:
    """Measure crashes and refused sound prompts in a minute."""
    rows = []
    for entries, prompts_per_s in ((5, 14.0), (22, 43.0), (68, 79.0)):
        for seed in SEEDS:
            crashed, refused = replay(entries, prompts_per_s, seed)
            first = sum(1 for at_s in crashed if at_s < crashed[0] + 10.0)
            rows.append((entries, prompts_per_s, seed, len(crashed), first, refused))
    return rows


def measure_cost() -> list[tuple]:
    """Measure the time of a check and of an answer, without and with patterns."""
    rows = []
    for patterns in (0, 1, MAX_PATTERNS):
        quarantine = Quarantine("e1")
        for number in range(patterns):
            parts = frozenset((100 + 2 * number, 101 + 2 * number))
            crash = Crash(f"u{number}", 1, parts, 0.0)
            quarantine.record_crash(crash, 0.0)
        parts = frozenset((COMMON, SUBJECT))
        check = measure_time(partial(quarantine.find_wait, parts, 1.0))
        answer = measure_time(partial(quarantine.record_answer, parts, 1.0))
        rows.append((patterns, f"{check:.1f}", f"{answer:.1f}"))
    return rows


def measure_call_cost() -> list[tuple]:
    """Measure the same, for calls without a prompt, beside lost ones."""
    rows = []
    for calls in (0, 100, MAX_SINGLES):
        quarantine = Quarantine("e1")
        for number in range(calls):
            crash = Crash(f"u{number}", 1, frozenset((100 + number,)), 0.0)
            quarantine.record_crash(crash, 0.0)
        parts = frozenset((COMMON,))
        check = measure_time(partial(quarantine.find_wait, parts, 0.5))
        answer = measure_time(partial(quarantine.record_answer, parts, 0.5))
        rows.append((calls, f"{check:.1f}", f"{answer:.1f}"))
    return rows


def main() -> None:
    """Print the tables."""
    print_table(
        "Crashes in a minute, one prompt in twenty with the part",
        ("gateways", "prompts/s", "seed", "crashes", "in 10 s", "sound refused"),
        measure_crashes(),
    )
    print_table("Cost", ("patterns", "check, us", "answer, us"), measure_cost())
    columns = ("lost calls", "check, us", "answer, us")
    print_table("Cost of calls", columns, measure_call_cost())
