"""A route moves to another service while prompts wait for the one that is dropped."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tests"))

from common.client import Attempt, Stream, stream_once
from common.run import Deployment, main, make_engine_service, make_route

# Each of the two workers of a service can serve 8 in 1.25 s, both 12.8 a second.
SLOTS = 8
TOKENS = 12
EVENT_S = 0.1
PROMPTS_PER_S = 8.0
DURATION_S = 8.0
# When the workers of the first service crash; they don't come back.
CRASH_S = 3.0
# The operator moves the route this long after the crash.
CHANGE_S = 1.0
# Entries are removed after three heartbeats of silence.
LAPSE_S = 3.6
TIMEOUT_S = 3.0
# RULES.md: this long after the route's time-out an answer must be there.
SLACK_S = 0.5
# Clients abandon a stream after eight times the longest pause, here 4 s.
PATIENCE_S = 4.0


async def scenario(deployment: Deployment) -> bool:
    """Play the case, and return whether the rule held."""
    old, new = make_engine_service("llm-a", SLOTS), make_engine_service("llm-b", SLOTS)

    def route(service: str) -> dict:
        return make_route(
            "grade",
            "streaming",
            service,
            timeoutMs=int(TIMEOUT_S * 1000),
            targetLatencyMs=500,
            gapAimMs=500,
        )

    deployment.configure([route("llm-a")], [old, new])
    for service in ("llm-a", "llm-b"):
        for number in (1, 2):
            name = f"{service}-{number}"
            await deployment.add_worker(name, service, slots=SLOTS, event_s=EVENT_S)
    await deployment.open(gateways=2)
    # All gateways are in touch before the first prompt.
    await asyncio.sleep(4.0)
    calls = []

    async def call(number: int) -> Attempt:
        stream = Stream(f"client-{number}")
        gateway = deployment.balancer.choose(stream.client, 0)
        return await stream_once(
            gateway,
            stream.client,
            "/grade/q",
            TOKENS,
            PATIENCE_S,
            stream,
            note=deployment.note,
        )

    async def disturb() -> None:
        await asyncio.sleep(CRASH_S)
        crashed = [worker for worker in deployment.workers if worker.service == "llm-a"]
        for worker in crashed:
            await worker.stop()
            deployment.note(f"{worker.name} crashed")
        await asyncio.sleep(CHANGE_S)
        deployment.configure([route("llm-b")], [new])
        await asyncio.sleep(LAPSE_S - CHANGE_S)
        for worker in crashed:
            deployment.store.remove(f"servers/{worker.name}")

    if deployment.has_trouble:
        disturbed = asyncio.create_task(disturb())
    begin_s, count = time.monotonic(), int(PROMPTS_PER_S * DURATION_S)
    for number in range(count):
        await asyncio.sleep(begin_s + number / PROMPTS_PER_S - time.monotonic())
        calls.append(asyncio.create_task(call(number)))
    attempts = await asyncio.gather(*calls)
    # Requests that ended before the route's time-out don't count.
    lasting = [
        item
        for item in attempts
        if item.status == 0 and item.ended_s - item.sent_s >= TIMEOUT_S
    ]
    unanswered = [
        item for item in lasting if item.ended_s - item.sent_s >= TIMEOUT_S + SLACK_S
    ]
    complete = sum(item.status == 200 and item.is_whole for item in attempts)
    refused = sum(item.status == 503 for item in attempts)
    deployment.note(
        f"{len(attempts)} prompts, {complete} complete, {refused} refused; "
        f"{len(lasting)} unanswered at the time-out, "
        f"{len(unanswered)} of these also {SLACK_S} s later"
    )
    if deployment.has_trouble:
        await disturbed
    for gateway in deployment.gateways:
        errors = gateway.read_log().count("AttributeError")
        deployment.note(f"{gateway.name}: {errors} AttributeErrors in its log")
    return len(unanswered) <= len(lasting) / 2


if __name__ == "__main__":
    main(__file__, scenario)
