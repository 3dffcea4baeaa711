"""
Orders through real processes under faults; none may run twice.

The stand-in services count the runs, and the history of each order's calls is checked
against an object that runs at most once.
"""

import asyncio
import itertools
import random
from dataclasses import dataclass, field

import pytest
from persimmonferry_core.codes import ResultCode
from persimmonferry_standins.callers import create_order_key
from persimmonferry_standins.faults import Hang, LoseAnswer, Refuse
from persimmonferry_standins.histories import (
    AnsweredCall,
    CallRecord,
    NotRunCall,
    RanCall,
    UnknownCall,
    find_violation,
)
from persimmonferry_standins.scenarios import make_caller, plan_small, run_with_fleet

ORDERS = 60
CALLS_FOR_EACH = 3
SPREAD_S = 6.0
ANSWERED = ResultCode.ANSWERED.number
SWAPS = {"path": "/v1", "method": "PUT"}


@dataclass
class CallHistory:
    """The calls of all orders, with positions in one common order."""

    clock: itertools.count = field(default_factory=itertools.count)
    records: dict[str, list[CallRecord]] = field(default_factory=dict)

    async def call(self, caller, number, key):
        started = next(self.clock)
        body = number.encode()
        receipt = await caller.call("orders", "/orders", body, key=key)
        record = CallRecord(started, next(self.clock), read_end(receipt))
        self.records.setdefault(number, []).append(record)
        return receipt


@dataclass(frozen=True)
class RefusedCall(UnknownCall):
    """This call did not run, but earlier ones of its key may have."""


def read_end(receipt):
    if receipt.code == ANSWERED:
        return AnsweredCall(receipt.body)
    match receipt.ran:
        case "no" if not receipt.earlier_known:
            return RefusedCall()
        case "no":
            return NotRunCall()
        case "yes":
            return RanCall()
    return UnknownCall()


async def count_runs(fleet):
    runs = {}
    for plan in fleet.plan.plains:
        control = fleet.control(f"{plan.name}-upstream")
        for number, count in (await control.read_order_runs()).by_order.items():
            runs[number] = runs.get(number, 0) + count
    return runs


async def send_order(fleet, journal, number, source):
    """Send one order several times, at once or later, through either entry."""
    key = create_order_key()
    await asyncio.sleep(source.uniform(0, SPREAD_S))
    calls = []
    for _ in range(CALLS_FOR_EACH):
        caller = make_caller(fleet, source.choice(["entry-1", "entry-2"]))
        calls.append(asyncio.ensure_future(journal.call(caller, number, key)))
        await asyncio.sleep(source.choice([0.0, 0.01, 0.3, 1.5]))
    await asyncio.gather(*calls)


async def kill_entry(fleet):
    plan = fleet.plan.entries[0]
    await fleet.processes[plan.name].kill()
    await fleet.start_entry(plan)
    await fleet.list_vms()


async def kill_agent(fleet):
    plan = fleet.plan.plains[0]
    await fleet.processes[plan.name].kill()
    await fleet.start_agent(plan)
    await fleet.list_vms()


async def freeze(fleet, name):
    fleet.processes[name].freeze()
    await asyncio.sleep(2.0)
    fleet.processes[name].thaw()


async def freeze_entry(fleet):
    await freeze(fleet, "entry-1")


async def freeze_agent(fleet):
    await freeze(fleet, "orders-0")


async def stop_platform(fleet):
    control = fleet.control("platform")
    await control.set_fault(Refuse(path="/v1"))
    await asyncio.sleep(2.0)
    await control.clear_faults()


async def hang_platform(fleet):
    control = fleet.control("platform")
    await control.set_fault(Hang(path="/v1"))
    await asyncio.sleep(2.0)
    await control.clear_faults()


async def lose_swaps(fleet):
    await fleet.control("platform").set_fault(LoseAnswer(**SWAPS, times=15))


FAULTS = {
    "killed entry": (kill_entry,),
    "killed agent": (kill_agent,),
    "frozen entry": (freeze_entry,),
    "frozen agent": (freeze_agent,),
    "platform refuses": (stop_platform,),
    "platform hangs": (hang_platform,),
    "lost answers of writes": (lose_swaps,),
    "lost writes and killed agent": (lose_swaps, kill_agent),
    "platform hangs and killed entry": (hang_platform, kill_entry),
    "frozen agent and frozen entry": (freeze_agent, freeze_entry),
}


async def run_orders(fleet, faults, seed):
    source = random.Random(seed)
    journal = CallHistory()
    orders = [
        send_order(fleet, journal, f"order-{number}", source)
        for number in range(ORDERS)
    ]

    async def disturb():
        await asyncio.sleep(2.0)
        await asyncio.gather(*(fault(fleet) for fault in faults))

    await asyncio.gather(disturb(), *orders)
    runs = await count_runs(fleet)
    for number, records in journal.records.items():
        assert runs.get(number, 0) <= 1, (number, records)
        assert find_violation(records) is None, (number, records)
        ends = [record.end for record in records]
        if any(isinstance(end, (AnsweredCall, RanCall)) for end in ends):
            assert runs.get(number, 0) == 1, (number, records)
        if all(isinstance(end, (NotRunCall, RefusedCall)) for end in ends):
            assert runs.get(number, 0) == 0, (number, records)
    answered = sum(
        any(isinstance(record.end, AnsweredCall) for record in records)
        for records in journal.records.values()
    )
    assert answered > ORDERS / 2, "the faults must leave something to check"


@pytest.mark.parametrize("name", FAULTS)
def test_orders_run_at_most_once(name):
    async def scenario(fleet):
        await run_orders(fleet, FAULTS[name], seed=f"orders {name}")

    run_with_fleet(plan_small(models=0, plains=2), scenario)


def test_with_the_platform_down_an_order_is_refused_at_once_as_not_run():
    async def scenario(fleet):
        await fleet.control("platform").set_fault(Refuse(path="/v1"))
        caller = make_caller(fleet)
        for _ in range(5):
            receipt = await caller.call(
                "orders", "/orders", b"order-1", key=create_order_key()
            )
            assert receipt.code == ResultCode.PLATFORM_UNAVAILABLE.number
            assert receipt.ran == "no"
            assert receipt.elapsed_s < 1.0
        assert await count_runs(fleet) == {}

    run_with_fleet(plan_small(models=0, plains=1), scenario)
