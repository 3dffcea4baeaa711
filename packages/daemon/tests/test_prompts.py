"""Prompts through real processes, some of which are killed, frozen or stopped."""

import asyncio
import signal

import pytest
from persimmonferry_core.codes import ResultCode
from persimmonferry_core.exceptions import NotRun
from persimmonferry_daemon.agent_client import AgentClient
from persimmonferry_standins.faults import CrossAnswer, CutAnswer, CutStream
from persimmonferry_standins.scenarios import (
    count_started,
    find_busy,
    make_caller,
    plan_small,
    run_with_fleet,
)
from persimmonferry_standins.tokens import answer_tokens
from persimmonferry_wire import PeerClient
from persimmonferry_wire.generated.runs.ttypes import RunRequest

PROMPT = "which stems go to the shop at the harbour?"
LONG = 300


def right_text(tokens=LONG, prompt=PROMPT):
    return "".join(answer_tokens(prompt, "v1", tokens))


async def count_at(fleet, name):
    """Return how many runs one engine has started."""
    report = await fleet.control(f"{name}-upstream").read_report()
    return report.counters.get("runs_started", 0)


@pytest.mark.parametrize("fault", [signal.SIGKILL, signal.SIGSTOP])
def test_an_answer_continues_at_another_agent_after_a_kill_or_freeze(fault):
    async def scenario(fleet):
        started = await count_started(fleet)
        caller = make_caller(fleet)
        answer = asyncio.ensure_future(
            caller.complete("notes", PROMPT, max_tokens=LONG, tier="urgent")
        )
        busy = await find_busy(fleet)
        fleet.processes[busy].send(fault)
        receipt = await answer
        assert receipt.whole
        assert receipt.text == right_text()
        assert await count_started(fleet) == started + 2
        assert max(receipt.gaps_s) < 2.0

    run_with_fleet(plan_small(), scenario)


@pytest.mark.parametrize(
    "fault",
    [
        CutStream(after_tokens=20, times=1),
        CrossAnswer(times=1),
        CutAnswer(path="/v1/runs", after_bytes=900, times=1),
    ],
)
def test_truncated_and_foreign_answers_are_never_delivered_as_whole(fault):
    async def scenario(fleet):
        for plan in fleet.plan.models:
            await fleet.control(f"{plan.name}-upstream").set_fault(fault)
        for stream in (True, False):
            receipt = await make_caller(fleet).complete(
                "notes", PROMPT, max_tokens=60, tier="standard", stream=stream
            )
            assert receipt.whole
            assert receipt.text == right_text(60)

    run_with_fleet(plan_small(), scenario)


def test_a_retry_through_another_entry_finds_the_running_answer():
    async def scenario(fleet):
        started = await count_started(fleet)
        first = asyncio.ensure_future(
            make_caller(fleet).complete(
                "notes", PROMPT, max_tokens=LONG, request_id="route-17"
            )
        )
        await find_busy(fleet)
        await fleet.processes["entry-1"].kill()
        assert not (await first).whole
        receipt = await make_caller(fleet, "entry-2").complete(
            "notes", PROMPT, max_tokens=LONG, request_id="route-17", is_retry=True
        )
        assert receipt.whole
        assert receipt.text == right_text()
        assert await count_started(fleet) == started + 1

    run_with_fleet(plan_small(), scenario)


def test_another_account_with_the_same_request_id_gets_no_foreign_answer():
    async def scenario(fleet):
        started = await count_started(fleet)
        for account, expected in (("drivers", 1), ("konak-market", 2)):
            receipt = await make_caller(fleet, account=account).complete(
                "notes", PROMPT, request_id="route-17", is_retry=True
            )
            assert receipt.whole
            assert await count_started(fleet) == started + expected

    run_with_fleet(plan_small(models=1), scenario)


def test_graceful_stops_interrupt_no_answer():
    async def scenario(fleet):
        started = await count_started(fleet)
        callers = [make_caller(fleet), make_caller(fleet, "entry-2")]
        answers = [
            asyncio.ensure_future(
                callers[number % 2].complete(
                    "notes",
                    PROMPT,
                    tier="dawn",
                    max_tokens=LONG,
                    stream=number % 4 < 2,
                )
            )
            for number in range(24)
        ]
        await find_busy(fleet)
        names = ("entry-1", "notes-0")
        stops = [asyncio.ensure_future(fleet.processes[n].stop()) for n in names]
        await asyncio.sleep(0.2)
        for name in names:
            # A second signal must not interrupt what the first one waits for.
            fleet.processes[name].send(signal.SIGTERM)
        receipts = await asyncio.gather(*answers)
        assert [receipt.code for receipt in receipts] == [0] * len(receipts)
        assert all(receipt.whole for receipt in receipts)
        assert all(receipt.text == right_text() for receipt in receipts)
        # No run was moved: the stopping agent completed its own runs.
        assert await count_started(fleet) == started + len(receipts)
        assert await asyncio.gather(*stops) == [0, 0]

    run_with_fleet(plan_small(), scenario)


def test_an_upstream_whose_vm_is_listed_as_leaving_gets_no_new_work():
    async def scenario(fleet):
        fleet.mark_leaving("notes-0")
        await fleet.list_vms()
        await asyncio.sleep(3.0)
        before = await count_at(fleet, "notes-0")
        answers = [
            make_caller(fleet, f"entry-{number % 2 + 1}").complete("notes", PROMPT)
            for number in range(8)
        ]
        receipts = await asyncio.gather(*answers)
        assert all(receipt.whole for receipt in receipts)
        assert await count_at(fleet, "notes-0") == before

    run_with_fleet(plan_small(), scenario)


async def check_refused(fleet, name):
    """Request a run as an entry does that has missed the agent's last report."""
    client = AgentClient(fleet.client, PeerClient(fleet.client))
    request = RunRequest("late", "notes", "route-notes", "v1", "", PROMPT, 4, 0)
    request.delivered = request.block_names = []
    request.block_tokens = 1000
    request.answer_key = request.import_domain = ""
    request.keep_free = -1
    address = fleet.processes[name].addresses["peers"]
    with pytest.raises(NotRun) as caught:
        await client.run(address, request, lambda tokens: None)
    assert caught.value.code is ResultCode.STOPPING


def test_a_stopping_agent_gets_no_new_work_from_an_entry_that_missed_its_report():
    async def scenario(fleet):
        fleet.processes["entry-2"].freeze()
        long = asyncio.ensure_future(
            make_caller(fleet).complete("notes", PROMPT, max_tokens=LONG)
        )
        busy = await find_busy(fleet)
        stop = asyncio.ensure_future(fleet.processes[busy].stop())
        await asyncio.sleep(0.3)
        fleet.processes["entry-2"].thaw()
        await check_refused(fleet, busy)
        before = await count_at(fleet, busy)
        for entry in ("entry-1", "entry-2"):
            receipt = await make_caller(fleet, entry).complete("notes", PROMPT)
            assert receipt.whole
        assert await count_at(fleet, busy) == before
        assert (await long).whole
        assert await stop == 0

    run_with_fleet(plan_small(), scenario)
