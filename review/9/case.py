"""Entries of another writer, with fields missing, lie among those of the workers."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tests"))

from common.client import Attempt, ask, make_headers
from common.run import WORKER_HOST, Deployment, main, make_plain_service, make_route
from common.worker import Worker

WORKERS = 3
REQUESTS = 120
REQUESTS_PER_S = 20.0
BUDGET_S = 4.0
MISSING = ("sequence", "coldLeftMs", "born")


class Other(Worker):
    """A server of another writer; its entry lacks a field."""

    missing = ""

    def make_entry(self) -> dict:
        """Return the entry without the missing field."""
        entry = super().make_entry()
        del entry[self.missing]
        return entry


async def scenario(deployment: Deployment) -> bool:
    """Play the case, and return whether the rule held."""
    route = make_route(
        "book", "non_idempotent", "desk", timeoutMs=2000, targetLatencyMs=300
    )
    deployment.configure([route], [make_plain_service("desk")])
    for number in range(WORKERS):
        await deployment.add_worker(f"i-7f3a{number}", "desk", slots=6)
    others = []
    for name in MISSING if deployment.has_trouble else ():
        port = deployment.ports.take()
        other = Other(
            deployment.store,
            f"other-without-{name}",
            "desk",
            WORKER_HOST,
            port,
            deployment.note,
            slots=6,
        )
        other.missing = name
        await other.start()
        deployment.note(f"entry of {other.name}: {other.make_entry()}")
        others.append(other)
        deployment.workers.append(other)
    await deployment.open(gateways=2)
    await asyncio.sleep(3.5)

    async def call(number: int) -> Attempt:
        await asyncio.sleep(number / REQUESTS_PER_S)
        gateway = deployment.balancer.choose(f"client-{number}", 0)
        headers = make_headers("", BUDGET_S * 1000)
        got = await ask(gateway, "POST", f"/book/{number}", headers, BUDGET_S)
        seal = got.answer.get("response-seal")
        deployment.note(f"{got.call_id}: status {got.status}, seal {seal}")
        return got

    attempts = await asyncio.gather(*(call(number) for number in range(REQUESTS)))
    ran = {
        other.name: sum(has_run for _, _, has_run, _ in other.arrivals)
        for other in others
    }
    served = sum(item.status == 200 for item in attempts)
    deployment.note(f"{served} of {REQUESTS} answered with 200; ran at servers: {ran}")
    return not sum(ran.values())


if __name__ == "__main__":
    main(__file__, scenario)
