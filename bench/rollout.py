"""
Duration of a rollout of weights in virtual time, and its calls to the platform.

The baseline of each row is the shortest time that the loading slots allow.
"""

import asyncio
import math
import random
from dataclasses import dataclass, replace

from persimmonferry_core.interfaces import Lease
from persimmonferry_core.runs import EngineLoad, EngineOrder
from persimmonferry_core.schema import Service, ServiceKind
from persimmonferry_daemon.order_tracking import OrderTrackingEngine
from persimmonferry_daemon.weights import WeightLoader
from persimmonferry_standins.memory import MemoryPlatform
from persimmonferry_standins.virtualtime import VirtualLoop

from bench.tables import print_table

SEED = 7
STEP_S = 0.25


class CountingPlatform(MemoryPlatform):
    """Counts the calls for leases."""

    calls = 0

    async def acquire_lease(
        self, name: str, holder: str, duration_s: float, now: float
    ) -> Lease | None:
        self.calls += 1
        return await super().acquire_lease(name, holder, duration_s, now)

    async def release_lease(self, lease: Lease) -> None:
        self.calls += 1
        await super().release_lease(lease)


class LoadingEngine:
    """An engine that takes a fixed time to load weights."""

    def __init__(self, load_s: float) -> None:
        self.load_s = load_s
        self.version = "v1"

    async def read_load(self) -> EngineLoad:
        return EngineLoad("m", self.version, 0, 0, 0, 8, 1e4, 50.0)

    async def give_order(self, order: EngineOrder) -> None:
        await asyncio.sleep(self.load_s)
        self.version = order.order.version


class IdleGate:
    """A gate without runs in progress."""

    def drain(self) -> None:
        pass

    def resume(self) -> None:
        pass

    async def wait_idle(self) -> None:
        pass


@dataclass(frozen=True)
class Rollout:
    """
    Measurements of one rollout.

    :param calls: number of calls for leases.
    :param most_calls: most calls within one second.
    """

    elapsed_s: float
    calls: int
    most_calls: int


async def roll_out(
    loop: VirtualLoop, platform: CountingPlatform, engines: list, slots: int
) -> tuple[Rollout, Rollout]:
    """Return the first rollout, and the second with load times from the first."""
    wanted = [Service("s", ServiceKind.MODEL, "m", "v1", loading_slots=slots)]
    peers = [f"vm{index}" for index in range(len(engines))]
    for index, engine in enumerate(engines):
        name = f"vm{index}"
        tracked = OrderTrackingEngine(engine, loop.time)
        gate = IdleGate()
        loader = WeightLoader(
            tracked,
            platform,
            gate,
            name,
            name,
            "team",
            lambda: wanted[-1],
            loop.time,
            lambda: peers,
        )
        loader.start()
    rollouts = []
    for version in ("v2", "v3"):
        await asyncio.sleep(10.0)
        wanted.append(replace(wanted[-1], version=version))
        rollouts.append(await watch(loop, platform, engines, version))
    return tuple(rollouts)


async def watch(
    loop: VirtualLoop, platform: CountingPlatform, engines: list, version: str
) -> Rollout:
    """Wait for a rollout that begins now and return its measurements."""
    start_s = loop.time()
    counts = [platform.calls]
    while any(engine.version != version for engine in engines):
        await asyncio.sleep(STEP_S)
        counts.append(platform.calls)
    steps = round(1 / STEP_S)
    pairs = zip(counts, counts[steps:], strict=False)
    most = max(later - earlier for earlier, later in pairs)
    return Rollout(loop.time() - start_s, counts[-1] - counts[0], most)


def main() -> None:
    """Print rollouts of the example deployments and of one large service."""
    rows = []
    for title, workers, slots, load_s in (
        ("Kovanci", 6, 2, 2.0),
        ("Abrazadera", 9, 3, 1.0),
        ("a service of 600 workers", 600, 40, 5.0),
    ):
        random.seed(SEED)
        loop = VirtualLoop()
        platform = CountingPlatform(loop.time)
        engines = [LoadingEngine(load_s) for _ in range(workers)]
        rollouts = loop.run(roll_out(loop, platform, engines, slots))
        loop.stop_all()
        best_s = math.ceil(workers / slots) * load_s
        for name, rollout in zip(("first", "second"), rollouts, strict=True):
            measured = (rollout.elapsed_s, rollout.calls, rollout.most_calls)
            rows.append((f"{title}, {name}", workers, slots, best_s, *measured))
    header = (
        "",
        "workers",
        "slots",
        "at best, s",
        "taken, s",
        "lease calls",
        "most calls/s",
    )
    print_table("Rollout of a weight version", header, rows)


if __name__ == "__main__":
    main()
