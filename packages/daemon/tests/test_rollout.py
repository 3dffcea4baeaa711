"""Weights and documents change under load, through real processes."""

import asyncio

from persimmonferry_standins.faults import Refuse
from persimmonferry_standins.scenarios import make_caller, plan_small, run_with_fleet
from persimmonferry_standins.tokens import answer_tokens

TOKENS = 60
CALLERS = 4
SECONDS = 8.0
ENGINE = ("--model", "route-notes", "--load-lag-s", "0.1", "--weights-s", "1.0")


def answer(prompt, version):
    return "".join(answer_tokens(prompt, version, TOKENS))


def test_new_weights_are_loaded_while_every_answer_stays_whole_and_of_one_version():
    async def scenario(fleet):
        texts = []

        async def ask(number):
            loop = asyncio.get_running_loop()
            ends_at = loop.time() + SECONDS
            while loop.time() < ends_at:
                prompt = f"question {number} {len(texts)}"
                caller = make_caller(fleet, f"entry-{number % 2 + 1}")
                receipt = await caller.complete(
                    "notes", prompt, tier="standard", max_tokens=TOKENS
                )
                texts.append((prompt, receipt))

        async def change():
            await asyncio.sleep(1.0)
            document = fleet.plan.document.replace("version = v1", "version = v2")
            await fleet.apply(document)

        await asyncio.gather(change(), *(ask(number) for number in range(CALLERS)))
        versions = []
        for prompt, receipt in texts:
            assert receipt.whole, receipt
            found = [v for v in ("v1", "v2") if receipt.text == answer(prompt, v)]
            assert found, receipt
            versions += found
        assert versions[0] == "v1"
        assert versions[-1] == "v2"

    run_with_fleet(plan_small(models=3, engine=ENGINE), scenario)


def test_a_process_started_in_an_outage_fetches_the_newest_document_from_peers():
    async def scenario(fleet):
        document = fleet.plan.document.replace("weight = 8", "weight = 9")
        await fleet.apply(document)
        control = fleet.control("platform")
        await asyncio.sleep(1.0)
        await control.set_fault(Refuse(path="/v1"))
        plan = fleet.plan.entries[0]
        await fleet.processes[plan.name].kill()
        await fleet.start_entry(plan)
        await fleet.list_vms()
        await fleet.wait_until(lambda: fleet.is_ready(plan.name), "ready in an outage")
        receipt = await make_caller(fleet).complete("notes", "roses")
        assert receipt.whole

    run_with_fleet(plan_small(models=1), scenario)
