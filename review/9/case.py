"""A configuration is sent just after the channels to the store have gone silent."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common.client import Attempt, ask, make_headers
from common.run import BOUNDS, main, make_plain_service, make_route

REQUESTS_PER_S = 40.0
DURATION_S = 7.0
# The channels go silent this long after the begin; the operator writes some time later.
SILENT_S = 1.0
CHANGE_S = 0.6
# Of clocks and of the stand-ins.
MARGIN_S = 0.05
BUDGET_S = 4.0
# Of each service; the site has 13 workers.
WORKERS = 6


async def scenario(deployment):
    services = [make_plain_service("desk-a"), make_plain_service("desk-b")]

    def route(service):
        return make_route(
            "status", "idempotent", service, timeoutMs=2000, targetLatencyMs=300
        )

    deployment.configure([route("desk-a")], services)
    for service in ("desk-a", "desk-b"):
        for number in range(WORKERS):
            await deployment.add_worker(f"{service}-{number}", service, slots=6)
    await deployment.open(gateways=4)
    await asyncio.sleep(4.0)
    calls = []
    silent_s = changed_s = None

    async def call(number):
        gateway = deployment.balancer.choose(f"client-{number}", 0)
        headers = make_headers("", BUDGET_S * 1000)
        got: Attempt = await ask(gateway, "GET", f"/status/{number}", headers, BUDGET_S)
        return got

    async def send():
        begin_s = time.monotonic()
        for number in range(int(REQUESTS_PER_S * DURATION_S)):
            due_s = begin_s + number / REQUESTS_PER_S
            await asyncio.sleep(due_s - time.monotonic())
            calls.append(asyncio.create_task(call(number)))

    sending = asyncio.create_task(send())
    await asyncio.sleep(SILENT_S)
    silent_s = time.monotonic()
    if deployment.has_trouble:
        count = deployment.proxy.silence()
        deployment.note(f"{count} channels to the store have gone silent")
    await asyncio.sleep(CHANGE_S)
    deployment.configure([route("desk-b")], services)
    changed_s = time.monotonic()
    await sending
    attempts = {item.call_id: item for item in await asyncio.gather(*calls)}
    # From here on the machines are in touch again, and have to know the version.
    from_s = max(
        silent_s + BOUNDS["contactMs"] / 1000, changed_s + BOUNDS["configApplyMs"] / 1000
    )
    judged = [item for item in attempts.values() if item.sent_s > from_s + MARGIN_S]
    old = [
        (attempts[call_id].sent_s, attempts[call_id].gateway)
        for worker in deployment.workers
        for _, call_id, ran, _ in worker.arrivals
        if worker.service == "desk-a" and ran
    ]
    late = sorted(item for item in old if item[0] > from_s + MARGIN_S)
    for gateway in deployment.gateways:
        last_s = max((at_s for at_s, name in old if name == gateway.name), default=0.0)
        deployment.note(
            f"{gateway.name}: last request run by the old service was sent "
            f"{last_s - silent_s:.3f} s after the silence, "
            f"{last_s - changed_s:.3f} s after the version was acknowledged"
        )
    deployment.note(
        f"{len(judged)} requests to gateways in touch later than configApplyMs, "
        f"{len(late)} of these run by the old service"
    )
    return not late


if __name__ == "__main__":
    main(__file__, scenario)
