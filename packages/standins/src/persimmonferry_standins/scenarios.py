"""A small deployment of real processes, for tests that kill or suspend them."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from pathlib import Path

from persimmonferry_adapters import HttpEngine
from tornado.httpclient import AsyncHTTPClient

from persimmonferry_standins.callers import Caller
from persimmonferry_standins.fleet import (
    EntryPlan,
    Fleet,
    FleetPlan,
    ModelPlan,
    PlainPlan,
    StorePlan,
)

__all__ = [
    "count_started",
    "find_busy",
    "make_caller",
    "plan_small",
    "run_with_fleet",
    "wait_for_upstreams",
]

EXAMPLES = Path(__file__).resolve().parents[4] / "examples"
ENGINE = ("--model", "route-notes", "--load-lag-s", "0.1")
MAX_CLIENTS = 300


def plan_small(
    models: int = 2,
    plains: int = 1,
    stores: int = 0,
    engine: tuple[str, ...] = ENGINE,
) -> FleetPlan:
    """Return a deployment of Kovanci with two entries and a few upstreams."""
    domains = ("izmir-a", "izmir-b")
    return FleetPlan(
        team="kovanci",
        region="izmir",
        document=(EXAMPLES / "kovanci.ini").read_text(),
        entries=(EntryPlan("entry-1", "izmir-a"), EntryPlan("entry-2", "izmir-b")),
        models=tuple(
            ModelPlan(f"notes-{i}", domains[i % 2], "notes", engine)
            for i in range(models)
        ),
        plains=tuple(
            PlainPlan(f"orders-{i}", domains[i % 2], "orders") for i in range(plains)
        ),
        stores=tuple(StorePlan(f"store-{i}", domains[i % 2]) for i in range(stores)),
    )


def run_with_fleet(
    plan: FleetPlan, scenario: Callable[[Fleet], Awaitable[None]]
) -> None:
    """Start a deployment, run a scenario against it, and kill every process."""

    async def run() -> None:
        AsyncHTTPClient.configure(
            "tornado.curl_httpclient.CurlAsyncHTTPClient", max_clients=MAX_CLIENTS
        )
        client = AsyncHTTPClient(force_instance=True)
        async with Fleet(plan, client) as fleet:
            await wait_for_upstreams(fleet)
            await scenario(fleet)

    asyncio.run(run())


def make_caller(
    fleet: Fleet, entry: str = "entry-1", account: str = "drivers"
) -> Caller:
    """Return a caller with the demo key of an account."""
    return Caller(fleet.client, fleet.callers_url(entry), f"demo-key-{account}")


async def wait_for_upstreams(fleet: Fleet) -> None:
    """
    Wait until every entry has a report of every upstream and has served a prompt.

    One upstream is enough to make an entry ready. Agents read the VM list once per
    second, so the report of another agent may arrive up to a second later.
    """
    upstreams = {plan.name for plan in (*fleet.plan.models, *fleet.plan.plains)}
    for entry in fleet.plan.entries:

        async def has_all_upstreams(name: str = entry.name) -> bool:
            return upstreams <= _read_appeared(fleet, name)

        await fleet.wait_until(
            has_all_upstreams, f"{entry.name} has reports of {sorted(upstreams)}"
        )
        caller = make_caller(fleet, entry.name)

        async def is_served(caller: Caller = caller) -> bool:
            if not fleet.plan.models:
                return True
            return (await caller.complete("notes", "ready?", max_tokens=1)).whole

        await fleet.wait_until(is_served, f"{entry.name} serves prompts")


def _read_appeared(fleet: Fleet, entry: str) -> set[str]:
    """Return the upstreams whose first report an entry has logged."""
    lines = fleet.processes[entry].log.read_text().splitlines()
    events = [json.loads(line) for line in lines if line.startswith("{")]
    return {
        event["upstream"] for event in events if event["event"] == "upstream appeared"
    }


async def find_busy(fleet: Fleet) -> str:
    """Wait until an engine is running a prompt and return its upstream's name."""
    found = []

    async def is_any_busy() -> bool:
        for plan in fleet.plan.models:
            url = fleet.processes[f"{plan.name}-upstream"].url
            if (await HttpEngine(fleet.client, url).read_load()).running:
                found.append(plan.name)
                return True
        return False

    await fleet.wait_until(is_any_busy, "an upstream is busy")
    return found[0]


async def count_started(fleet: Fleet) -> int:
    """Return how many runs all engines have started."""
    total = 0
    for plan in fleet.plan.models:
        report = await fleet.control(f"{plan.name}-upstream").read_report()
        total += report.counters.get("runs_started", 0)
    return total
