"""Streams are taken up at a gateway that was restarted after their version had left."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tests"))

from common.client import Stream, stream_once
from common.run import Deployment, main, make_engine_service, make_route

CLIENTS = 8
# A stream of 12 s; its client waits 15 s.
TOKENS = 1200
STRIDE = 10
EVENT_S = 0.1
BUDGET_S = 15.0
# The new version registers, then the old one's entries are removed.
RELEASE_S = 1.0
REMOVED_S = 1.5
RESTART_S = 2.0
# The old workers serve this long after the removal of their entries.
LINGER_S = 7.0
RETRIES = 3
# RULES.md, ORDER: more than two.
MOST_MIXED = 2


async def scenario(deployment: Deployment) -> bool:
    """Play the case, and return whether the rule held."""
    services = [make_engine_service("llm", stride=STRIDE)]
    route = make_route(
        "plan", "streaming", "llm", resumable=True, maxAttempts=2, gapAimMs=500
    )
    deployment.configure([route], services)
    pace = {"event_s": EVENT_S, "stride": STRIDE}
    old = [
        await deployment.add_worker(f"old-{n}", "llm", build="1.0", **pace)
        for n in (1, 2)
    ]
    await deployment.open(gateways=2)
    await asyncio.sleep(4.0)
    first, second = deployment.gateways

    # The balancer's hash gives these clients to the first gateway.
    names = (f"client-{number}" for number in range(1000))
    found = (name for name in names if deployment.balancer.choose(name, 0) is first)
    streams = [Stream(next(found)) for _ in range(CLIENTS)]

    async def call(stream: Stream) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + BUDGET_S
        for attempt in range(1 + RETRIES):
            left_s = end_s - loop.time()
            if left_s <= 0:
                return
            gateway = deployment.balancer.choose(stream.client, attempt)
            got = await stream_once(
                gateway,
                stream.client,
                "/plan/q",
                TOKENS,
                left_s,
                stream,
                note=deployment.note,
            )
            if got.status == 200 and got.is_whole:
                return
            # Retry-After is honoured up to a third of the time that is left.
            left_s = end_s - loop.time()
            await asyncio.sleep(max(0.05, min(got.retry_after_s, left_s / 3)))

    async def release() -> None:
        await asyncio.sleep(RELEASE_S)
        for number in (1, 2):
            name = f"new-{number}"
            await deployment.add_worker(name, "llm", build="2.0", **pace)
        await asyncio.sleep(REMOVED_S - RELEASE_S)
        for worker in old:
            worker.deregister()
        await asyncio.sleep(LINGER_S)
        for worker in old:
            await worker.stop()
            deployment.note(f"{worker.name} ended")

    async def restart() -> None:
        await asyncio.sleep(RESTART_S)
        await second.terminate()
        await second.restart()
        await second.wait_until_ready()

    tasks = [call(stream) for stream in streams]
    tasks.append(release())
    if deployment.has_trouble:
        tasks.append(restart())
    await asyncio.gather(*tasks)
    mixed = [stream for stream in streams if len(stream.builds) > 1]
    for stream in streams:
        ends = [
            (item.gateway, item.status, len(item.events)) for item in stream.attempts
        ]
        deployment.note(f"{stream.client}: versions {stream.builds}, attempts {ends}")
    deployment.note(
        f"{len(mixed)} of {len(streams)} streams hold events of two versions"
    )
    return len(mixed) <= MOST_MIXED


if __name__ == "__main__":
    main(__file__, scenario)
