"""
Cost of the path through entry and agent: time to first token and processor time.

Baselines of the same run: a caller that sends to the engine directly, and a minimal
Tornado relay that forwards the same bytes.
"""

import asyncio
import os
import time
import uuid

from persimmonferry_adapters import HttpEngine
from persimmonferry_core.runs import RunOrder
from persimmonferry_standins.fleet import Fleet
from persimmonferry_standins.scenarios import make_caller, plan_small, run_with_fleet

from bench.tables import print_table, take_percentile

FAST_ENGINE = (
    "--model",
    "route-notes",
    "--slots",
    "400",
    "--tick-s",
    "0.001",
    "--decode-tokens-per-s",
    "2000",
)
STREAM_ENGINE = (
    "--model",
    "route-notes",
    "--slots",
    "400",
    "--tick-s",
    "0.05",
    "--decode-tokens-per-s",
    "20",
)
PROMPT = "which stems go to the shop at the harbour?"
SEQUENTIAL_REQUESTS = 300
STREAMS = 100
STREAM_TOKENS = 100
MS_PER_S = 1000
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
NODE_DEMAND_TOKENS_PER_S = 18_500


def read_cpu_s(process_id: int) -> float:
    """Return the processor time that a process has used."""
    with open(f"/proc/{process_id}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


async def measure_direct(engine: HttpEngine) -> float:
    """Return the time to first token of a run sent to the engine directly, in ms."""
    started = time.monotonic()
    first: list[float] = []

    def deliver(batch) -> None:
        if not first:
            first.append(time.monotonic() - started)

    order = RunOrder(
        run_id=uuid.uuid4().hex,
        model="route-notes",
        version="v1",
        adapter="",
        prompt=PROMPT,
        max_tokens=2,
        priority=0,
    )
    await engine.run(order, deliver)
    return first[0] * MS_PER_S


async def measure_first_token(fleet: Fleet) -> None:
    """Print the time to first token, alternating direct runs and the system."""
    engine = HttpEngine(fleet.client, fleet.processes["notes-0-upstream"].url)
    caller = make_caller(fleet)
    straight, through = [], []
    for _ in range(SEQUENTIAL_REQUESTS):
        straight.append(await measure_direct(engine))
        receipt = await caller.complete("notes", PROMPT, max_tokens=2)
        through.append(receipt.first_token_s * MS_PER_S)
    rows = []
    for percent in (50, 99):
        base = take_percentile(straight, percent)
        full = take_percentile(through, percent)
        rows.append((f"p{percent}", base, full, full - base))
    header = ("", "straight to the engine, ms", "entry and agent, ms", "added, ms")
    print_table("Time to first token, one request at a time", header, rows)


async def measure_streams(fleet: Fleet) -> None:
    """Print the processor time of entry, agent and relay for streamed tokens."""
    caller = make_caller(fleet)
    names = ("entry-1", "notes-0")
    before = {name: read_cpu_s(fleet.processes[name].process.pid) for name in names}
    started = time.monotonic()
    receipts = await asyncio.gather(
        *(
            caller.complete("notes", f"{PROMPT} {n}", max_tokens=STREAM_TOKENS)
            for n in range(STREAMS)
        )
    )
    elapsed_s = time.monotonic() - started
    relay_used_s = await measure_relay(fleet)
    whole = sum(receipt.whole for receipt in receipts)
    gaps = [gap for receipt in receipts for gap in receipt.gaps_s]
    tokens = whole * STREAM_TOKENS
    rows = []
    for name in names:
        used_s = read_cpu_s(fleet.processes[name].process.pid) - before[name]
        rows.append(describe_streams(name, tokens, used_s, relay_used_s))
    sent = STREAMS * STREAM_TOKENS
    rows.append(describe_streams("bare relay", sent, relay_used_s, relay_used_s))
    header = (
        "process",
        "tokens",
        "processor s",
        "tokens/s for each core",
        "of the bare relay",
        f"cores for {NODE_DEMAND_TOKENS_PER_S} tokens/s",
    )
    print_table(f"{STREAMS} streams of {STREAM_TOKENS} tokens", header, rows)
    p95_ms = take_percentile(gaps, 95) * MS_PER_S
    print(f"\n{whole} whole in {elapsed_s:.1f} s; p95 between events {p95_ms:.0f} ms")


def describe_streams(
    name: str, tokens: int, used_s: float, relay_used_s: float
) -> tuple:
    """Return the row of one process."""
    per_core = tokens / used_s
    relay_per_core = STREAMS * STREAM_TOKENS / relay_used_s
    share = f"{per_core / relay_per_core:.0%}"
    return name, tokens, used_s, per_core, share, NODE_DEMAND_TOKENS_PER_S / per_core


async def measure_relay(fleet: Fleet) -> float:
    """Return the processor time of the minimal relay for the same streams."""
    target = fleet.processes["notes-0-upstream"].url
    relay = await fleet.start_helper("relay", "bench.relay", target)
    engine = HttpEngine(fleet.client, relay.url)
    before_s = read_cpu_s(relay.process.pid)
    orders = [
        RunOrder(
            run_id=uuid.uuid4().hex,
            model="route-notes",
            version="v1",
            adapter="",
            prompt=f"{PROMPT} {number}",
            max_tokens=STREAM_TOKENS,
            priority=0,
        )
        for number in range(STREAMS)
    ]
    await asyncio.gather(*(engine.run(order, lambda _: None) for order in orders))
    return read_cpu_s(relay.process.pid) - before_s


def main() -> None:
    """Run both measurements, each with engine settings of its own."""
    run_with_fleet(plan_small(models=1, engine=FAST_ENGINE), measure_first_token)
    run_with_fleet(plan_small(models=1, engine=STREAM_ENGINE), measure_streams)


if __name__ == "__main__":
    main()
