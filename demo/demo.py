"""Starts Kovanci's deployment as real processes and sends a morning's requests."""

import asyncio
import random
import signal
import sys
from collections import Counter
from pathlib import Path

from persimmonferry_adapters import HttpEngine
from persimmonferry_standins.callers import Caller, PromptReceipt, create_order_key
from persimmonferry_standins.deployments import plan_kovanci
from persimmonferry_standins.fleet import Fleet
from persimmonferry_standins.tokens import answer_tokens
from tornado.httpclient import AsyncHTTPClient

ROOT = Path(__file__).resolve().parent.parent
SEED = 7
HISTORY_TOKENS = 6000
HISTORIES = 12
QUESTIONS = 40
ORDERS = 60
MAX_CLIENTS = 500
EXPORT_TIME_S = 2.0


def make_history(shop: int, words: int) -> str:
    """Return the text of a shop's history."""
    source = random.Random(f"{SEED}-{shop}")
    stems = ("rose", "tulip", "iris", "fern", "lily", "aster")
    return " ".join(f"{source.choice(stems)}{index}" for index in range(words))


class Demo:
    """The requests of one morning."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.failures: list[str] = []
        self._callers = {
            entry: Caller(fleet.client, fleet.callers_url(entry), "demo-key-drivers")
            for entry in ("entry-1", "entry-2")
        }

    def choose_caller(self, number: int) -> Caller:
        """Return the caller for the entry that a load balancer would choose."""
        return self._callers[f"entry-{number % 2 + 1}"]

    async def serve_morning(self) -> None:
        """Send histories, questions and orders at the same time."""
        histories = [self._send_history(shop) for shop in range(HISTORIES)]
        questions = [self._ask_question(number) for number in range(QUESTIONS)]
        orders = [self._send_order(number) for number in range(ORDERS)]
        results = await asyncio.gather(*histories, *questions)
        await asyncio.gather(*orders)
        self._print_prompts("histories (tier dawn)", results[:HISTORIES])
        self._print_prompts("questions (tier urgent)", results[HISTORIES:])

    async def repeat_histories(self) -> None:
        """Send the histories again after evicting the engines' caches."""
        await asyncio.sleep(EXPORT_TIME_S)
        for plan in self.fleet.plan.models:
            await self.fleet.control(f"{plan.name}-upstream").evict_blocks()
        results = [await self._send_history(shop) for shop in range(HISTORIES)]
        self._print_prompts("the same after eviction", results)
        cached = sum(receipt.cached_tokens for receipt in results)
        share = cached / (HISTORIES * HISTORY_TOKENS)
        print(f"  prompt tokens taken from the store: {share:.0%}")

    async def kill_agent_during_answer(self) -> None:
        """Kill an agent while its engine generates an answer."""
        prompt = make_history(99, 500)
        task = asyncio.ensure_future(
            self.choose_caller(0).complete(
                "notes", prompt, tier="urgent", max_tokens=300
            )
        )
        await asyncio.sleep(1.0)
        busy = await self._find_busy_upstream()
        await self.fleet.processes[busy].kill()
        receipt = await task
        self._expect(receipt.whole, "the answer is whole after the kill")
        right_text = "".join(answer_tokens(prompt, "v1", 300))
        self._expect(receipt.text == right_text, "every token came once")
        print(f"killed {busy} in mid-answer: {receipt.elapsed_s:.1f} s for 300 tokens")

    async def stop_gracefully(self) -> None:
        """Stop an entry and an agent while answers are in progress."""
        tasks = [
            asyncio.ensure_future(
                self.choose_caller(0).complete(
                    "notes", make_history(n, 50), max_tokens=100
                )
            )
            for n in range(8)
        ]
        await asyncio.sleep(0.3)
        agent = next(
            plan.name
            for plan in self.fleet.plan.models
            if self.fleet.processes[plan.name].is_running
        )
        names = ("entry-1", agent, "orders-1")
        statuses = await asyncio.gather(
            *(self.fleet.processes[name].stop() for name in names)
        )
        receipts = await asyncio.gather(*tasks)
        self._expect(all(status == 0 for status in statuses), "clean exits")
        self._expect(all(item.whole for item in receipts), "no answer was cut")
        print(
            f"stopped {', '.join(names)} with {len(tasks)} answers under way: none cut"
        )

    async def check_orders(self) -> None:
        """Check at the services that each order ran exactly once."""
        runs: Counter[str] = Counter()
        for plan in self.fleet.plan.plains:
            control = self.fleet.control(f"{plan.name}-upstream")
            runs.update((await control.read_order_runs()).by_order)
        doubled = [number for number, count in runs.items() if count != 1]
        self._expect(len(runs) == ORDERS, "every order ran")
        self._expect(not doubled, "no order ran twice")
        print(f"orders: {len(runs)} ran, {len(doubled)} doubled")

    def _expect(self, holds: bool, what: str) -> None:
        if not holds:
            self.failures.append(what)
            print(f"FAILED: {what}")

    async def _send_history(self, shop: int) -> PromptReceipt:
        prompt = make_history(shop, HISTORY_TOKENS)
        return await self.choose_caller(shop).complete("notes", prompt, tier="dawn")

    async def _ask_question(self, number: int) -> PromptReceipt:
        await asyncio.sleep(number * 0.05)
        prompt = f"are the stems of order {number} still fresh?"
        return await self.choose_caller(number).complete(
            "notes", prompt, tier="urgent", max_tokens=4
        )

    async def _send_order(self, number: int) -> None:
        """Send an order, then repeat it with the same key through the other entry."""
        key = create_order_key()
        body = str(number).encode()
        first = await self.choose_caller(number).call(
            "orders", "/orders", body, key=key
        )
        again = await self.choose_caller(number + 1).call(
            "orders", "/orders", body, key=key
        )
        self._expect(first.status == 200, f"order {number} was answered")
        self._expect(again.body == first.body, f"order {number} got its first answer")

    async def _find_busy_upstream(self) -> str:
        for plan in self.fleet.plan.models:
            url = self.fleet.processes[f"{plan.name}-upstream"].url
            load = await HttpEngine(self.fleet.client, url).read_load()
            if load.running:
                return plan.name
        raise RuntimeError("no upstream is busy")

    def _print_prompts(self, title: str, receipts: list[PromptReceipt]) -> None:
        whole = [receipt for receipt in receipts if receipt.whole]
        codes = sorted({receipt.code for receipt in receipts if not receipt.whole})
        self._expect(not codes, f"{title}: all answers whole, got codes {codes}")
        times = sorted(receipt.first_token_s for receipt in whole)
        median_ms = times[len(times) // 2] * 1000 if times else 0.0
        print(f"{title}: {len(whole)} of {len(receipts)} whole, ", end="")
        print(f"first token p50 {median_ms:.0f} ms")


async def run() -> int:
    """Run the demo and return the exit status."""
    AsyncHTTPClient.configure(
        "tornado.curl_httpclient.CurlAsyncHTTPClient", max_clients=MAX_CLIENTS
    )
    plan = plan_kovanci(ROOT / "examples" / "kovanci.ini")
    async with Fleet(plan, AsyncHTTPClient()) as fleet:
        print(f"started {len(fleet.processes)} processes")
        demo = Demo(fleet)
        await demo.serve_morning()
        await demo.repeat_histories()
        await demo.check_orders()
        await demo.kill_agent_during_answer()
        await demo.stop_gracefully()
    print("demo failed" if demo.failures else "demo passed")
    return 1 if demo.failures else 0


async def serve() -> int:
    """Keep the deployment running until SIGINT or SIGTERM."""
    stopped = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    plan = plan_kovanci(ROOT / "examples" / "kovanci.ini")
    async with Fleet(plan, AsyncHTTPClient()) as fleet:
        entry = fleet.processes["entry-1"]
        print(f"export PERSIMMONFERRY_ENTRY={entry.addresses['callers'].url}")
        print(f"export PERSIMMONFERRY_ADMIN={entry.addresses['peers'].url}")
        print("export PERSIMMONFERRY_ACCOUNT_KEY=demo-key-drivers")
        print("export PERSIMMONFERRY_KEY=demo-operator-key", flush=True)
        await stopped.wait()
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(serve() if "--serve" in sys.argv[1:] else run()))
