"""Measures dispatch decisions under load in virtual time, with baselines."""

import random
import sys
import time
from dataclasses import dataclass, replace

import defopt
from persimmonferry_core.dispatch import PromptRequest, UpstreamReport
from persimmonferry_core.limits import AccountLimiter
from persimmonferry_core.schema import (
    ClientAccount,
    Limits,
    RoutingWeights,
    Service,
    ServiceKind,
    TeamDocument,
    Tier,
)
from persimmonferry_core.upstreams.ejection import EjectionPolicy

from bench.fleet import (
    Baseline,
    Call,
    EngineKind,
    Entry,
    Fleet,
    make_dispatcher,
    make_links,
)

SEED = 20261204
TIERS = (
    Tier("door", 1.0, 4.0, 0.4),
    Tier("desk", 10.0, 2.0, 0.2),
    Tier("dawn", 60.0, 0.5, 0.05),
)
PROMISES = {tier.name: tier.promised_wait_s for tier in TIERS}
FIRST_TOKEN_WEIGHTS = RoutingWeights(1.0, 0.0, 0.0)
PRICED_WEIGHTS = RoutingWeights(0.5, 1.0, 2.0)
LINK_WEIGHTS = RoutingWeights(0.5, 1.0, 200.0)


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
    """Return calls with Poisson arrivals and the given prompt tokens per second."""
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


def is_useful(call):
    """Whether the answer was complete, with its first token in the promised wait."""
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
        case "first come, expiring":
            return [
                Baseline(seed + index, hold=True, promises=PROMISES)
                for index in range(count)
            ]


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


def measure_overload(duration_s=180.0):
    """Overload: urgent tier's time to first token and useful work at 2x and 4x."""
    document = make_document(ACCOUNTS)
    capacity = measure_capacity(document, duration_s)
    rows = []
    base = None
    for factor in (1.0, 2.0, 4.0):
        alone = run_overload(
            "dispatcher", document, capacity, factor, duration_s, ("door",)
        )
        p95 = percentile(first_token_times(alone, "door"), 0.95)
        base = base or p95
        cells = (f"{p95 * 1000:.0f} ms", f"{p95 / base:.2f}", *["-"] * 5)
        rows.append(("door tier alone", f"{factor:g}x", *cells))
    for factor in (0.8, 2.0, 4.0):
        for name in ("dispatcher", "first come, expiring", "least-loaded", "random"):
            calls = run_overload(name, document, capacity, factor, duration_s)
            cells = describe(calls, base, capacity, duration_s)
            rows.append((name, f"{factor:g}x", *cells))
    calls = run_overload(
        "dispatcher", document, capacity, 2.0, duration_s, preemptive=False
    )
    cells = describe(calls, base, capacity, duration_s)
    rows.append(("dispatcher, engines ignore priorities in a prefill", "2x", *cells))
    header = (
        "policy",
        "load",
        "door p95",
        "of unloaded",
        "door kept",
        "desk kept",
        "dawn kept",
        "useful work",
        "given up late",
    )
    title = f"Overload: {ENGINES} engines, {ENTRIES} entries, {capacity:.0f} tokens/s"
    print_table(title, header, rows)


def measure_capacity(document, duration_s):
    """Return the tokens per second of complete answers with every engine busy."""
    calls = run_overload("first come", document, 60_000.0 * 3, 1.0, duration_s)
    late = [call for call in calls if call.end_s and duration_s / 2 < call.end_s]
    return sum(tokens_of(call) for call in late) / (duration_s / 2)


def run_overload(
    name, document, capacity, factor, duration_s, tiers=None, preemptive=True
):
    generator = random.Random(SEED)
    fleet = Fleet(SEED, ENGINES, 4, EngineKind(preemptive=preemptive))
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
    queued = [call for call in calls if not call.refused]
    expired = sum(call.expired for call in queued) / len(queued)
    cells = (*kept, f"{share:.1%}", f"{expired:.1%}")
    return (f"{p95 * 1000:.0f} ms", f"{p95 / base:.2f}", *cells)


CATALOGUES = 150
CATALOGUE_BLOCKS = 12
BLOCK_BYTES = 16_000_000
CROSS_BYTES_PER_S = 250e6
PRICE_PER_GB = 0.02


def generate_returns(generator, rate, duration_s, answer_tokens=(30, 80)):
    """Return prompts that share catalogues as prefixes and have a unique suffix."""
    calls = []
    moment = 0.0
    while True:
        moment += generator.expovariate(rate)
        if moment > duration_s:
            return calls
        catalogue = generator.randrange(CATALOGUES)
        names = tuple(f"c{catalogue}-{index}" for index in range(CATALOGUE_BLOCKS))
        answer = generator.randint(*answer_tokens)
        request = PromptRequest(
            f"r{len(calls)}",
            f"renter{generator.randrange(10)}",
            "desk",
            "notes",
            CATALOGUE_BLOCKS * 1000 + generator.randint(200, 500),
            answer_tokens[1],
            moment,
            names,
            BLOCK_BYTES,
        )
        calls.append(Call(request, answer))


def measure_returns(duration_s=300.0, engines=9, domains=3):
    """Routing of shared prefixes: recomputed share, time to first token, link use."""
    links = make_links(domains, CROSS_BYTES_PER_S, PRICE_PER_GB)
    accounts = {f"renter{index}": 1.0 for index in range(10)}
    plain = make_document(accounts, FIRST_TOKEN_WEIGHTS, links)
    priced = make_document(accounts, PRICED_WEIGHTS, links)
    stores = frozenset(f"d{index}" for index in range(domains))
    one = frozenset({"d0"})
    none = frozenset()
    ways = (
        ("least-loaded, no store", "least-loaded", plain, none, 1.0),
        ("random, no store", "random", plain, none, 1.0),
        ("dispatcher, no store", "dispatcher", plain, none, 1.0),
        ("dispatcher, first token weighed", "dispatcher", plain, stores, 1.0),
        ("dispatcher, work and links weighed", "dispatcher", priced, stores, 1.0),
        ("first token, links 4x slower", "dispatcher", plain, stores, 4.0),
        ("work and links, links 4x slower", "dispatcher", priced, stores, 4.0),
        ("first token, store in one domain", "dispatcher", plain, one, 1.0),
        ("work and links, store in one domain", "dispatcher", priced, one, 1.0),
    )
    for load in (0.4, 0.7):
        rows = []
        rate = load * engines * 10_000 / (CATALOGUE_BLOCKS * 1000 + 350)
        for title, name, document, found, slow in ways:
            fleet = Fleet(SEED, engines, domains, EngineKind(), links, found, slow)
            policies = make_policies(name, document, SEED, ENTRIES, found)
            calls = generate_returns(random.Random(SEED), rate, duration_s)
            run(fleet, [Entry(fleet, policy) for policy in policies], calls, duration_s)
            rows.append((title, *describe_returns(fleet, calls, duration_s)))
        print_table(
            f"Returns after eviction: load {load:g}, {engines} engines",
            RETURNS_HEADER,
            rows,
        )


def measure_weights(duration_s=300.0, engines=9, domains=3):
    """Weights: their trade-off when one failure domain has all stores."""
    links = make_links(domains, CROSS_BYTES_PER_S, PRICE_PER_GB)
    accounts = {f"renter{index}": 1.0 for index in range(10)}
    one = frozenset({"d0"})
    ways = (
        ("least-loaded, no store", "least-loaded", FIRST_TOKEN_WEIGHTS, frozenset()),
        ("dispatcher, no store", "dispatcher", FIRST_TOKEN_WEIGHTS, frozenset()),
        ("dispatcher, weights 1 / 0 / 0", "dispatcher", FIRST_TOKEN_WEIGHTS, one),
        ("dispatcher, weights 0.5 / 1 / 2", "dispatcher", PRICED_WEIGHTS, one),
        ("dispatcher, weights 0.5 / 1 / 200", "dispatcher", LINK_WEIGHTS, one),
    )
    rows = []
    for title, name, weights, found in ways:
        document = make_document(accounts, weights, links)
        fleet = Fleet(SEED, engines, domains, EngineKind(), links, found)
        policies = make_policies(name, document, SEED, ENTRIES, found)
        calls = generate_returns(random.Random(SEED), 5.1, duration_s, (200, 400))
        run(fleet, [Entry(fleet, policy) for policy in policies], calls, duration_s)
        rows.append((title, *describe_returns(fleet, calls, duration_s)))
    title = "first token / work recomputed / links, store in one domain, long answers"
    print_table(f"Weights: {title}", RETURNS_HEADER, rows)


RETURNS_HEADER = (
    "policy",
    "recomputed",
    "first token p50",
    "p95",
    "answered",
    "link GB",
    "cross-domain GB",
    "price",
)


def describe_returns(fleet, calls, duration_s):
    settled = [
        call
        for call in calls
        if duration_s / 3 < call.request.arrival_s < duration_s - 15
    ]
    tokens = sum(call.request.prompt_tokens for call in settled)
    recomputed = sum(call.recomputed_tokens for call in settled)
    times = first_token_times(settled)
    answered = sum(call.end_s is not None for call in settled) / len(settled)
    cross = [
        simulated_link
        for simulated_link in fleet.simulated_links.values()
        if simulated_link.link.price_per_gb
    ]
    total = (
        sum(
            simulated_link.total_bytes
            for simulated_link in fleet.simulated_links.values()
        )
        / 1e9
    )
    paid = sum(simulated_link.total_bytes for simulated_link in cross) / 1e9
    return (
        f"{recomputed / tokens:.1%}",
        f"{percentile(times, 0.5) * 1000:.0f} ms",
        f"{percentile(times, 0.95) * 1000:.0f} ms",
        f"{answered:.1%}",
        f"{total:.0f}",
        f"{paid:.0f}",
        f"{paid * PRICE_PER_GB:.2f}",
    )


def measure_shares(duration_s=180.0):
    """Fair shares: one account floods, nine request 1.2 times their fair share."""
    document = make_document(ACCOUNTS)
    capacity = measure_capacity(document, duration_s)
    names = list(ACCOUNTS)
    fair = capacity / len(names)
    mix = Mix("dawn", 1.0, (2000, 6000), (40, 90))
    rows = []
    for name in ("dispatcher", "first come, expiring", "least-loaded"):
        generator = random.Random(SEED)
        fleet = Fleet(SEED, ENGINES, 4, EngineKind())
        calls = generate(generator, (mix,), 4.0 * capacity, duration_s, names[:1])
        for index, account in enumerate(names[1:]):
            more = generate(generator, (mix,), 1.2 * fair, duration_s, [account])
            calls += [_rename(call, f"{index}") for call in more]
        policies = make_policies(name, document, SEED, ENTRIES)
        run(fleet, [Entry(fleet, policy) for policy in policies], calls, duration_s)
        rows.append((name, *describe_shares(calls, fair, duration_s, names)))
    header = ("policy", "worst account", "median account", "flooding account", "all")
    title = "one account floods with 4x capacity, nine ask for 1.2x"
    print_table(f"Got of the fair share: {title}", header, rows)


def _rename(call, prefix):
    request = replace(call.request, request_id=f"{prefix}-{call.request.request_id}")
    return Call(request, call.answer_tokens)


def describe_shares(calls, fair, duration_s, names):
    """Return the accounts' complete answers in time, relative to their fair share."""
    settled = duration_s / 2
    useful = dict.fromkeys(names, 0)
    for call in calls:
        if is_useful(call) and call.end_s > settled:
            useful[call.request.account] += tokens_of(call)
    shares = {name: got / (duration_s - settled) / fair for name, got in useful.items()}
    flooding = shares.pop(names[0])
    worst = min(shares.values())
    middle = percentile(shares.values(), 0.5)
    total = (sum(shares.values()) + flooding) / len(names)
    return tuple(f"{share:.1%}" for share in (worst, middle, flooding, total))


def measure_cost():
    """Decision cost: microseconds for one request, wall clock of this machine."""
    rows = []
    for count in (13, 300):
        for blocks in (0, 12):
            rows.append((count, blocks, *time_decisions(count, blocks)))
    header = (
        "candidates",
        "blocks of the prompt",
        "offer and assign p50",
        "p99",
        "assign with no room p50",
        "report p50",
    )
    print_table("Decision cost", header, rows)


def time_decisions(count, blocks, rounds=3000):
    domains = [f"d{index}" for index in range(4)]
    links = make_links(4, CROSS_BYTES_PER_S, PRICE_PER_GB)
    document = make_document(ACCOUNTS, PRICED_WEIGHTS, links)
    dispatcher = make_dispatcher(document, SEED, 0, 1, frozenset(domains))
    reports = [
        UpstreamReport(
            f"u{index}",
            1,
            1,
            domains[index % 4],
            "notes",
            "m",
            "v1",
            0,
            0,
            0,
            8,
            10_000.0,
            40.0,
        )
        for index in range(count)
    ]
    for report in reports:
        dispatcher.report(report, 0.0)
    generator = random.Random(SEED)
    for catalogue in range(200):
        names = tuple(f"c{catalogue}-{index}" for index in range(12))
        for upstream in generator.sample(reports, 2):
            dispatcher.record_held(upstream.name, names)
    now = 0.0
    durations = []
    for number in range(rounds):
        catalogue = generator.randrange(200)
        names = tuple(f"c{catalogue}-{index}" for index in range(blocks))
        tokens = max(800, blocks * 1000 + 300)
        request = PromptRequest(
            f"r{number}",
            "florist0",
            "desk",
            "notes",
            tokens,
            50,
            now,
            names,
            BLOCK_BYTES,
        )
        began = time.perf_counter()
        dispatcher.offer(request, now)
        made = dispatcher.assign(now)
        durations.append(time.perf_counter() - began)
        for assignment in made:
            dispatcher.started(assignment.request.request_id, now)
            dispatcher.cancel(assignment.request.request_id, now)
        now += 0.01
    full = time_without_room(dispatcher, reports, now)
    cells = (percentile(durations, 0.5), percentile(durations, 0.99), *full)
    return tuple(f"{cell * 1e6:.0f} us" for cell in cells)


def time_without_room(dispatcher, reports, now):
    """Return the times of assign with no free slot and 50 waiting, and of a report."""
    reporting = []
    for report in reports:
        busy = replace(report, sequence=2, running=8)
        began = time.perf_counter()
        dispatcher.report(busy, now)
        reporting.append(time.perf_counter() - began)
    for number in range(50):
        tier = TIERS[number % 3].name
        request = PromptRequest(f"w{number}", "florist1", tier, "notes", 900, 20, now)
        dispatcher.offer(request, now)
    durations = []
    for _ in range(1000):
        began = time.perf_counter()
        dispatcher.assign(now)
        durations.append(time.perf_counter() - began)
    return percentile(durations, 0.5), percentile(reporting, 0.5)


def measure_slow_upstream(duration_s=180.0):
    """Ejection: one engine of six runs 8 times slower for the whole run."""
    document = make_document(ACCOUNTS)
    rows = []
    for name in ("dispatcher", "dispatcher, no ejection", "least-loaded"):
        for slow in (1.0, 8.0):
            fleet = Fleet(SEED, ENGINES, 4, EngineKind())
            fleet.engines["u2"].slowdown = slow
            policies = make_policies(name.split(",")[0], document, SEED, ENTRIES)
            if "no ejection" in name:
                for policy in policies:
                    policy.set_ejection(EjectionPolicy(max_share=0.0))
            calls = generate(
                random.Random(SEED), DAWN_MIX, 30_000.0, duration_s, list(ACCOUNTS)
            )
            run(fleet, [Entry(fleet, policy) for policy in policies], calls, duration_s)
            times = first_token_times(calls, "door")
            desk = first_token_times(calls, "desk")
            kept = sum(map(is_useful, calls)) / len(calls)
            rows.append(
                (
                    name,
                    f"{slow:g}x",
                    f"{percentile(times, 0.95) * 1000:.0f} ms",
                    f"{percentile(times, 0.99) * 1000:.0f} ms",
                    f"{percentile(desk, 0.99) * 1000:.0f} ms",
                    f"{kept:.1%}",
                )
            )
    header = ("policy", "one engine slower", "door p95", "door p99", "desk p99", "kept")
    print_table("Ejection of a slow upstream, half load", header, rows)


def measure_limits(duration_s=120.0, limit=100.0):
    """Limits: how much of its fleet-wide limit one account gets through 4 entries."""
    rows = []
    for title, shares, cut_s in (
        ("even", (1, 1, 1, 1), None),
        ("one entry", (1, 0, 0, 0), None),
        ("the busy entry changes every 10 s", None, None),
        ("one entry, cut off at half time", (1, 0, 0, 0), duration_s / 2),
    ):
        rows.append((title, *run_limits(shares, cut_s, duration_s, limit)))
    header = (
        "demand (3x the limit)",
        "admitted of the limit",
        "most in 1 s",
        "most in 10 s",
        "asks/s",
    )
    print_table(f"Limit of {limit:g} requests/s over 4 entries", header, rows)


def run_limits(shares, cut_s, duration_s, limit):
    names = [f"e{index}" for index in range(4)]
    books = {name: AccountLimiter(name) for name in names}
    for book in books.values():
        book.set_entries(tuple(names))
        book.set_limits("a", Limits(requests_per_s=limit), 0.0)
    generator = random.Random(SEED)
    admitted = []
    asks = 0
    now = 0.0
    next_exchange = 0.0
    while now < duration_s:
        now += generator.expovariate(3 * limit)
        weights = shares or [int(now / 10) % 4 == index for index in range(4)]
        name = generator.choices(names, weights)[0]
        if books[name].admit("a", 1, now) is None:
            admitted.append(now)
        if now >= next_exchange:
            next_exchange += 0.1
            for asker in names:
                for peer, ask in books[asker].make_loan_requests(now):
                    asks += 1
                    if cut_s is not None and now >= cut_s:
                        continue
                    if generator.random() < 0.05:
                        continue
                    answer = books[peer].lend(ask, now)
                    if answer is not None:
                        books[asker].apply_grant(answer, now)
    total = len(admitted) / duration_s / limit
    return (
        f"{total:.1%}",
        f"{find_most(admitted, 1.0) / limit:.2f} limits",
        f"{find_most(admitted, 10.0) / limit / 10:.2f} limits",
        f"{asks / duration_s:.1f}",
    )


def find_most(moments, window_s):
    """Return the largest number of moments in any window."""
    most = start = 0
    for index, moment in enumerate(moments):
        while moments[start] <= moment - window_s:
            start += 1
        most = max(most, index - start + 1)
    return most


MEASUREMENTS = {
    "overload": measure_overload,
    "shares": measure_shares,
    "returns": measure_returns,
    "weights": measure_weights,
    "slow": measure_slow_upstream,
    "limits": measure_limits,
    "cost": measure_cost,
}


def main(*questions: str, seed: int = SEED):
    """
    Measure the decisions under load.

    :param questions: any of overload, shares, returns, weights, slow, limits and cost;
        all when empty.
    :param seed: seed of all random choices.
    """
    globals()["SEED"] = seed
    started = time.perf_counter()
    print(f"# Decisions under load (seed {SEED}, virtual time)")
    for name in questions or MEASUREMENTS:
        MEASUREMENTS[name]()
    print(f"\nTook {time.perf_counter() - started:.0f} s.")


if __name__ == "__main__":
    defopt.run(main)
