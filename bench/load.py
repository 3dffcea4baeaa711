"""
Overload of the real processes: urgent questions together with long histories.

Baseline: the same urgent questions without other load, in the same run.
"""

import asyncio
import random
import time
from dataclasses import dataclass, field

from persimmonferry_standins.callers import PromptReceipt
from persimmonferry_standins.fleet import Fleet
from persimmonferry_standins.scenarios import make_caller, plan_small, run_with_fleet

from bench.tables import print_table, take_percentile

SEED = 5
ENGINES = 4
SLOTS = 8
PREFILL_TOKENS_PER_S = 20_000.0
DECODE_TOKENS_PER_S = 50.0
ENGINE = (
    "--model",
    "route-notes",
    "--load-lag-s",
    "0.2",
    "--slots",
    str(SLOTS),
    "--prefill-tokens-per-s",
    str(PREFILL_TOKENS_PER_S),
    "--decode-tokens-per-s",
    str(DECODE_TOKENS_PER_S),
)
DURATION_S = 12.0
HISTORY_TOKENS = 3000
ANSWER_TOKENS = 100
QUESTIONS_PER_S = 6.0
QUESTION_ANSWER_TOKENS = 4
OVERLOADS = (0.5, 1.0, 2.0, 4.0)
MS_PER_S = 1000
WORDS = [f"stem{number}" for number in range(1000)]
HISTORY_S = HISTORY_TOKENS / PREFILL_TOKENS_PER_S + ANSWER_TOKENS / DECODE_TOKENS_PER_S
QUESTION_S = QUESTION_ANSWER_TOKENS / DECODE_TOKENS_PER_S
CAPACITY_S = ENGINES * SLOTS


@dataclass
class Results:
    """Receipts of one load."""

    questions: list[PromptReceipt] = field(default_factory=list)
    histories: list[PromptReceipt] = field(default_factory=list)

    def work_s(self) -> float:
        """Return the slot seconds of all complete answers."""
        whole_questions = sum(receipt.whole for receipt in self.questions)
        whole_histories = sum(receipt.whole for receipt in self.histories)
        return whole_questions * QUESTION_S + whole_histories * HISTORY_S


async def send_steadily(rate_per_s: float, source: random.Random, send) -> list:
    """Call ``send`` with Poisson arrivals of a rate, and return all results."""
    tasks = []
    ends_at = time.monotonic() + DURATION_S
    while time.monotonic() < ends_at and rate_per_s:
        tasks.append(asyncio.ensure_future(send(len(tasks))))
        await asyncio.sleep(source.expovariate(rate_per_s))
    return await asyncio.gather(*tasks)


async def run_load(fleet: Fleet, histories_per_s: float) -> Results:
    """Send questions and histories at the same time."""
    source = random.Random(SEED)

    def choose_caller(number: int, account: str):
        return make_caller(fleet, f"entry-{number % 2 + 1}", account)

    async def ask(number: int) -> PromptReceipt:
        return await choose_caller(number, "drivers").complete(
            "notes",
            f"question {number} {source.random()}",
            tier="urgent",
            max_tokens=QUESTION_ANSWER_TOKENS,
        )

    async def send_history(number: int) -> PromptReceipt:
        words = " ".join(source.choices(WORDS, k=HISTORY_TOKENS))
        return await choose_caller(number, "konak-market").complete(
            "notes", words, tier="standard", max_tokens=ANSWER_TOKENS
        )

    questions, histories = await asyncio.gather(
        send_steadily(QUESTIONS_PER_S, source, ask),
        send_steadily(histories_per_s, source, send_history),
    )
    return Results(questions, histories)


async def measure(fleet: Fleet) -> None:
    """Measure every load and print the table."""
    alone = await run_load(fleet, 0.0)
    base_ms = describe_first_token(alone.questions)
    rows = [("questions alone", base_ms, 1.0, len(alone.questions), 0, "", "")]
    for overload in OVERLOADS:
        offered_s = overload * CAPACITY_S - QUESTIONS_PER_S * QUESTION_S
        started = time.monotonic()
        results = await run_load(fleet, offered_s / HISTORY_S)
        elapsed_s = time.monotonic() - started
        first_ms = describe_first_token(results.questions)
        refused = sum(not receipt.whole for receipt in results.histories)
        useful = results.work_s() / (elapsed_s * CAPACITY_S)
        rows.append(
            (
                f"{overload:g} of capacity",
                first_ms,
                first_ms / base_ms,
                sum(receipt.whole for receipt in results.questions),
                sum(not receipt.whole for receipt in results.questions),
                f"{len(results.histories) - refused} of {len(results.histories)}",
                f"{useful:.0%}",
            )
        )
    header = (
        "load",
        "urgent p95 to first token, ms",
        "to unloaded",
        "urgent whole",
        "urgent not",
        "histories whole",
        "useful work of capacity",
    )
    print_table("Overload through 2 entries, 4 agents and engines", header, rows)


def describe_first_token(receipts: list[PromptReceipt]) -> float:
    """Return the 95th percentile of the times to first token, in ms."""
    times = [receipt.first_token_s for receipt in receipts if receipt.whole]
    return take_percentile(times, 95) * MS_PER_S


def main() -> None:
    """Run all loads against one fleet."""
    run_with_fleet(plan_small(models=ENGINES, plains=0, engine=ENGINE), measure)


if __name__ == "__main__":
    main()
