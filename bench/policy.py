"""Measures the decisions under load in virtual time, each beside its baselines."""

import random
import sys
import time
from dataclasses import dataclass

from persimmonferry_core.contracts import (
    ClientAccount,
    RoutingWeights,
    Service,
    ServiceKind,
    TeamDocument,
    Tier,
)
from persimmonferry_core.dispatch import PromptRequest

from bench.fleet import (
    Baseline,
    Call,
    EngineKind,
    Entry,
    Fleet,
    make_dispatcher,
)

SEED = 20261204
TIERS = (
    Tier("door", 1.0, 4.0, 0.4),
    Tier("desk", 10.0, 2.0, 0.2),
    Tier("dawn", 60.0, 0.5, 0.05),
)
FIRST_TOKEN_WEIGHTS = RoutingWeights(1.0, 0.0, 0.0)
PRICED_WEIGHTS = RoutingWeights(0.5, 1.0, 2.0)


def make_document(accounts, weights=FIRST_TOKEN_WEIGHTS, links=(), slots=8):
    service = Service(
        "notes", ServiceKind.MODEL, "m", "v1", slots_per_upstream=slots, weights=weights
    )
    rows = tuple(
        ClientAccount(name, (), "", weight, ("notes",))
        for name, weight in accounts.items()
    )
    return TeamDocument("team", 1, (service,), TIERS, rows, (), links)


@dataclass(frozen=True)
class Mix:
    """Traffic of one tier: its share of the prompt tokens and its sizes."""

    tier: str
    share: float
    prompt_tokens: tuple[int, int]
    answer_tokens: tuple[int, int]


DAWN_MIX = (
    Mix("door", 0.1, (500, 900), (4, 12)),
    Mix("desk", 0.2, (1000, 3000), (30, 80)),
    Mix("dawn", 0.7, (6000, 16000), (40, 90)),
)


def generate(generator, mixes, tokens_per_s, duration_s, accounts):
    """Return calls of Poisson arrivals with the given prompt tokens per second."""
    calls = []
    for mix in mixes:
        mean_tokens = sum(mix.prompt_tokens) / 2
        rate = tokens_per_s * mix.share / mean_tokens
        moment = 0.0
        while rate > 0:
            moment += generator.expovariate(rate)
            if moment > duration_s:
                break
            calls.append(_make_call(generator, mix, moment, accounts, len(calls)))
    return calls


def _make_call(generator, mix, moment, accounts, number):
    answer = generator.randint(*mix.answer_tokens)
    request = PromptRequest(
        f"{mix.tier}-{number}",
        generator.choice(accounts),
        mix.tier,
        "notes",
        generator.randint(*mix.prompt_tokens),
        mix.answer_tokens[1],
        moment,
    )
    return Call(request, answer)


def run(fleet, entries, calls, until_s):
    fleet.entries = entries
    chooser = random.Random(SEED)
    for call in calls:
        entry = chooser.choice(entries)
        fleet.clock.at(call.request.arrival_s, entry.arrive, call)
    fleet.clock.run(until_s)


def percentile(values, share):
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def first_token_times(calls, tier=None):
    return [
        call.first_token_s - call.request.arrival_s
        for call in calls
        if call.first_token_s is not None and tier in (None, call.request.tier)
    ]


PROMISES = {tier.name: tier.promised_wait_s for tier in TIERS}


def is_useful(call):
    """Whether the answer came whole and its first token inside the promised wait."""
    if call.end_s is None or call.first_token_s is None:
        return False
    waited = call.first_token_s - call.request.arrival_s
    return waited <= PROMISES[call.request.tier]


def tokens_of(call):
    return call.request.prompt_tokens + call.answer_tokens


def make_policies(name, document, seed, count, stores=frozenset()):
    match name:
        case "dispatcher":
            return [
                make_dispatcher(document, seed, index, count, stores)
                for index in range(count)
            ]
        case "least-loaded":
            return [Baseline(seed + index) for index in range(count)]
        case "random":
            return [
                Baseline(seed + index, random_choice=True) for index in range(count)
            ]
        case "first come":
            return [Baseline(seed + index, hold=True) for index in range(count)]


def print_table(title, header, rows):
    print(f"\n## {title}\n")
    print("| " + " | ".join(header) + " |")
    print("| " + " | ".join("---" for _ in header) + " |")
    for row in rows:
        print("| " + " | ".join(str(cell) for cell in row) + " |")
    sys.stdout.flush()


ENGINES = 6
ENTRIES = 3
ACCOUNTS = {f"florist{index}": 1.0 for index in range(10)}


def measure_overload(duration_s=240.0):
    """Patience: urgent tier's time to first token and useful work at 2x and 4x."""
    document = make_document(ACCOUNTS)
    capacity = measure_capacity(document, duration_s)
    rows = []
    unloaded = run_overload(
        "dispatcher", document, capacity, 1.0, duration_s, ("door",)
    )
    base = percentile(first_token_times(unloaded, "door"), 0.95)
    rows.append(
        ("door alone", "1x", f"{base * 1000:.0f} ms", "1.00", "-", "-", "-", "-")
    )
    for factor in (0.8, 2.0, 4.0):
        for name in ("dispatcher", "first come", "least-loaded", "random"):
            calls = run_overload(name, document, capacity, factor, duration_s)
            rows.append(
                (name, f"{factor:g}x", *describe(calls, base, capacity, duration_s))
            )
    header = (
        "policy",
        "load",
        "door p95",
        "of unloaded",
        "door kept",
        "desk kept",
        "dawn kept",
        "useful work",
    )
    title = f"Overload: {ENGINES} engines, {ENTRIES} entries, {capacity:.0f} tokens/s"
    print_table(title, header, rows)


def measure_capacity(document, duration_s):
    """Return the tokens per second of whole answers with every engine kept busy."""
    calls = run_overload("first come", document, 60_000.0 * 3, 1.0, duration_s)
    late = [call for call in calls if call.end_s and duration_s / 2 < call.end_s]
    return sum(tokens_of(call) for call in late) / (duration_s / 2)


def run_overload(name, document, capacity, factor, duration_s, tiers=None):
    generator = random.Random(SEED)
    fleet = Fleet(SEED, ENGINES, 4, EngineKind())
    mixes = [mix for mix in DAWN_MIX if tiers is None or mix.tier in tiers]
    policies = make_policies(name, document, SEED, ENTRIES)
    entries = [Entry(fleet, policy) for policy in policies]
    calls = generate(generator, mixes, capacity * factor, duration_s, list(ACCOUNTS))
    run(fleet, entries, calls, duration_s)
    return calls


def describe(calls, base, capacity, duration_s):
    p95 = percentile(first_token_times(calls, "door"), 0.95)
    settled = duration_s / 3
    kept = []
    for tier in TIERS:
        closed = [
            call
            for call in calls
            if call.request.tier == tier.name
            and settled < call.request.arrival_s < duration_s - tier.promised_wait_s
        ]
        share = sum(map(is_useful, closed)) / max(1, len(closed))
        kept.append(f"{share:.1%}")
    useful = sum(
        tokens_of(call) for call in calls if is_useful(call) and call.end_s > settled
    )
    share = useful / (duration_s - settled) / capacity
    return (f"{p95 * 1000:.0f} ms", f"{p95 / base:.2f}", *kept, f"{share:.1%}")


def main():
    started = time.perf_counter()
    print(f"# Decisions under load (seed {SEED}, virtual time)")
    measure_overload()
    print(f"\nTook {time.perf_counter() - started:.0f} s.")


if __name__ == "__main__":
    main()
