"""Limits that upstreams set: how well entries keep and use them, and what they cost."""

import random
from functools import partial

from persimmonferry_core.upstreams.limits import LimitNotice, UpstreamLimits
from persimmonferry_core.upstreams.subsets import UpstreamSubsets

from bench.capacity import measure_time
from bench.tables import print_table

SEEDS = (1, 2, 3)
WINDOW_S = 4.0
DURATION_S = 30.0
STEP_S = 0.01


def make_entries(count: int, calls_per_s: float) -> list[UpstreamLimits]:
    """Return entries that have just received the limit of an upstream."""
    names = [f"e{number}" for number in range(count)]
    entries = [UpstreamLimits(name) for name in names]
    for entry in entries:
        entry.set_entries(names)
        entry.record(LimitNotice("u", 1, calls_per_s, 0.0), 0.0)
    return entries


def replay(count: int, calls_per_s: float, demand: float, seed: int) -> list[float]:
    """
    Return when calls are sent; each answer states the limit again.

    :param demand: calls a second that each entry has for the upstream.
    """
    generator = random.Random(seed)
    entries = make_entries(count, calls_per_s)
    sent = []
    for step in range(int(DURATION_S / STEP_S)):
        now = step * STEP_S
        for entry in entries:
            has_call = generator.random() < demand * STEP_S
            if has_call and entry.find_wait("u", now) == 0.0:
                entry.take("u", now)
                sent.append(now)
                for other in entries:
                    other.record(LimitNotice("u", 1, calls_per_s, now), now)
    return sent


def count_busiest_window(sent: list[float]) -> int:
    """Return the most calls in a window."""
    return max(
        (sum(1 for other in sent if at - WINDOW_S < other <= at) for at in sent),
        default=0,
    )


def measure_use() -> list[tuple]:
    """Measure the calls in the busiest window and the used part of the limit."""
    rows = []
    for count in (5, 22, 68):
        for calls_per_s in (1.2, 3.0):
            for demand in (2.0, 8.0):
                runs = [replay(count, calls_per_s, demand, seed) for seed in SEEDS]
                used = [len(sent) / DURATION_S / calls_per_s for sent in runs]
                rows.append(
                    (
                        count,
                        calls_per_s,
                        demand,
                        max(count_busiest_window(sent) for sent in runs),
                        1.5 * calls_per_s * WINDOW_S + 5,
                        f"{min(used):.2f} to {max(used):.2f}",
                    )
                )
    return rows


def choose_sharers(names: list[str]) -> UpstreamLimits:
    """Choose who shares the limit of an upstream."""
    limits = UpstreamLimits(names[0])
    limits.set_entries(names)
    limits.record(LimitNotice("u", 1, 2.0, 0.0), 0.0)
    return limits


def measure_cost() -> list[tuple]:
    """Measure the choice of the sharers, a check, and the map of users."""
    rows = []
    for count, upstreams in ((5, 9), (68, 37), (300, 1500), (2000, 10_000)):
        names = [f"e{number}" for number in range(count)]
        subsets = UpstreamSubsets(names[0])
        subsets.set_entries(names)
        subsets.set_upstreams([f"u{number}" for number in range(upstreams)])
        limits = choose_sharers(names)
        rows.append(
            (
                count,
                upstreams,
                measure_time(partial(choose_sharers, names)),
                measure_time(partial(limits.list_unshared, 0.1)),
                measure_time(subsets.map_users),
            )
        )
    return rows


def main() -> None:
    """Print both tables."""
    header = (
        "entries",
        "limit, calls/s",
        "calls/s at each entry",
        f"most in {WINDOW_S:g} s",
        "allowed",
        "used part of the limit",
    )
    print_table("Calls to an upstream with a limit", header, measure_use())
    header = ("entries", "upstreams", "choice, us", "check, us", "map of users, us")
    print_table("Cost at an entry", header, measure_cost())


if __name__ == "__main__":
    main()
