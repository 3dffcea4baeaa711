"""An entry of another writer is in the store when all gateways start again."""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tests"))

from common.client import Attempt, ask, make_headers
from common.run import BOUNDS, Deployment, main, make_plain_service, make_route

REQUESTS_PER_S = 20.0
WORKERS = 4
BUDGET_S = 4.0
ENTRY_S = 1.0
KILL_S = 4.0
# From recoveryS after the machines are back, for this long.
JUDGED_S = 6.0
# A number in place of milliseconds; no clock counts so far.
DIGITS = 400


async def scenario(deployment: Deployment) -> bool:
    """Play the case, and return whether the rule held."""
    route = make_route(
        "status", "idempotent", "desk", timeoutMs=2000, targetLatencyMs=300
    )
    deployment.configure([route], [make_plain_service("desk")])
    for number in range(WORKERS):
        await deployment.add_worker(f"i-7f3a{number}", "desk", slots=6)
    await deployment.open(gateways=2)
    await asyncio.sleep(3.0)
    calls = []
    is_done = asyncio.Event()

    async def call(number: int) -> Attempt:
        gateway = deployment.balancer.choose(f"client-{number}", 0)
        headers = make_headers("", BUDGET_S * 1000)
        return await ask(
            gateway,
            "GET",
            f"/status/{number}",
            headers,
            BUDGET_S,
            note=deployment.note,
        )

    async def send() -> None:
        while not is_done.is_set():
            calls.append(asyncio.create_task(call(len(calls))))
            await asyncio.sleep(1 / REQUESTS_PER_S)

    sending = asyncio.create_task(send())
    await asyncio.sleep(ENTRY_S)
    if deployment.has_trouble:
        entry = {
            "service": "desk",
            "address": "127.0.3.9:9",
            "zone": "z1",
            "version": "1.0",
            "slots": 6,
            "state": "ready",
            "coldLeftMs": int("9" * DIGITS),
            "sequence": 1,
            "born": 1,
        }
        deployment.store.put("servers/i-00c1", json.dumps(entry).encode())
        deployment.note("another writer has written servers/i-00c1")
    await asyncio.sleep(KILL_S - ENTRY_S)
    # The final fault: all processes are killed.
    killed_s = time.monotonic()
    await asyncio.gather(*(gateway.kill() for gateway in deployment.gateways))
    await asyncio.gather(*(gateway.restart() for gateway in deployment.gateways))
    back_s = max(gateway.started_s for gateway in deployment.gateways)
    await asyncio.sleep(BOUNDS["recoveryS"] + JUDGED_S)
    is_done.set()
    await sending
    attempts = await asyncio.gather(*calls)

    def share(found: list[Attempt]) -> float:
        served = sum(item.status == 200 and item.is_whole for item in found)
        deployment.note(f"  {served} of {len(found)} served")
        return served / len(found)

    deployment.note("before the final fault:")
    before = share([item for item in attempts if item.sent_s < killed_s])
    from_s = back_s + BOUNDS["recoveryS"]
    deployment.note(f"later than {BOUNDS['recoveryS']} s after the machines were back:")
    after = share([item for item in attempts if item.sent_s > from_s])
    for gateway in deployment.gateways:
        ready = "ready" if await gateway.is_ready() else "not ready"
        errors = gateway.read_log().count("registry response could not be applied")
        deployment.note(f"{gateway.name}: {ready}, {errors} responses not applied")
    return not (before >= 0.25 and after < 0.25)


if __name__ == "__main__":
    main(__file__, scenario)
