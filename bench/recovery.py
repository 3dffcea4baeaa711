"""
How long the loss of a process delays answers: killed entry, killed or frozen agent.

The baseline is what Goddard and Schroeder report for their dispatcher (The SASHA
Architecture for Network-Clustered Web Servers): 1.5 to 6 s.
"""

import asyncio
import signal
import time
from dataclasses import dataclass, field

from persimmonferry_standins.fleet import Fleet
from persimmonferry_standins.scenarios import (
    find_busy,
    make_caller,
    plan_small,
    run_with_fleet,
)

from bench.tables import print_table, take_percentile

INTERVAL_S = 0.02
BEFORE_S = 2.0
AFTER_S = 5.0
TOKENS = 4
LONG_TOKENS = 300
RETRY_AFTER_S = 0.05
MS_PER_S = 1000
PAPER = "1.5 to 6 s"


@dataclass
class Probe:
    """Prompts at a constant rate, with the times when each was sent and answered."""

    fleet: Fleet
    entries: tuple[str, ...]
    answers: list[tuple[float, float]] = field(default_factory=list)
    failures: int = 0

    async def run(self, duration_s: float) -> None:
        """Send prompts for a while and wait for all answers."""
        tasks = []
        started = time.monotonic()
        number = 0
        while time.monotonic() - started < duration_s:
            tasks.append(asyncio.ensure_future(self._ask(number)))
            number += 1
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*tasks)

    async def _ask(self, number: int) -> None:
        sent = time.monotonic()
        for attempt in range(100):
            entry = self.entries[(number + attempt) % len(self.entries)]
            receipt = await make_caller(self.fleet, entry).complete(
                "notes", f"question {number}", tier="urgent", max_tokens=TOKENS
            )
            if receipt.whole:
                self.answers.append((sent, time.monotonic()))
                return
            await asyncio.sleep(RETRY_AFTER_S)
        self.failures += 1

    def describe(self, lost_at: float) -> tuple[float, float, float]:
        """Return the median time before the loss, the longest after it, and the time
        from the loss to the last answer that took over three times that median."""
        before = [end - sent for sent, end in self.answers if end < lost_at]
        after = [(sent, end) for sent, end in self.answers if end >= lost_at]
        usual = take_percentile(before, 50)
        slow = [end for sent, end in after if end - sent > 3 * usual]
        slow_s = max((end - lost_at for end in slow), default=0.0)
        return usual, max(end - sent for sent, end in after), slow_s


async def measure_loss(fleet: Fleet, name: str, number: signal.Signals) -> list:
    """Send a signal to a process during a constant stream of prompts."""
    probe = Probe(fleet, ("entry-1", "entry-2"))
    running = asyncio.ensure_future(probe.run(BEFORE_S + AFTER_S))
    await asyncio.sleep(BEFORE_S)
    lost_at = time.monotonic()
    fleet.processes[name].send(number)
    await running
    usual, longest, slow_s = probe.describe(lost_at)
    title = f"{name} gets {number.name}"
    values = (usual, longest, slow_s)
    return [title, *(value * MS_PER_S for value in values), probe.failures, PAPER]


async def measure_reattach(fleet: Fleet) -> None:
    """Kill an entry during an answer, and reconnect through the other entry."""
    asked = {"max_tokens": LONG_TOKENS, "request_id": "route-17"}
    first = asyncio.ensure_future(
        make_caller(fleet).complete("notes", "the whole route", **asked)
    )
    await find_busy(fleet)
    await asyncio.sleep(1.0)
    lost_at = time.monotonic()
    await fleet.processes["entry-1"].kill()
    await first
    second = await make_caller(fleet, "entry-2").complete(
        "notes", "the whole route", is_retry=True, **asked
    )
    elapsed_ms = (time.monotonic() - lost_at - second.elapsed_s) * MS_PER_S
    first_token_ms = elapsed_ms + second.first_token_s * MS_PER_S
    header = ("", "kill to next token, ms", "whole", "paper")
    row = ("answer followed through another entry", first_token_ms, second.whole, PAPER)
    print_table("A killed entry's answer", header, [row])


def main() -> None:
    """Print how long each loss delays answers."""
    rows = []

    def measure(name: str, number: signal.Signals) -> None:
        async def scenario(fleet: Fleet) -> None:
            rows.append(await measure_loss(fleet, name, number))

        run_with_fleet(plan_small(models=4, plains=0), scenario)

    measure("entry-1", signal.SIGKILL)
    measure("notes-0", signal.SIGKILL)
    measure("notes-0", signal.SIGSTOP)
    header = ("loss", "usual, ms", "longest, ms", "felt, ms", "unanswered", "paper")
    print_table("Prompts of the urgent tier, one each 20 ms", header, rows)
    run_with_fleet(plan_small(models=2, plains=0), measure_reattach)


if __name__ == "__main__":
    main()
