"""Stand-in for the weight store, whose bandwidth is limited."""

import asyncio
from dataclasses import dataclass

from persimmonferry_standins.server import LOOPBACK, Handler, Route, StandIn

__all__ = ["WeightsSettings", "WeightsStandIn"]

TICK_S = 0.02


@dataclass(frozen=True)
class WeightsSettings:
    """
    Parameters of a simulated weight store.

    :param load_s: duration of a weight load at full rate.
    :param parallel: concurrent loads that run at full rate; more share that bandwidth.
    """

    load_s: float = 2.0
    parallel: int = 2


class WeightsStandIn(StandIn):
    """A weight store whose concurrent loads share bandwidth; counter: ``loads``."""

    def __init__(
        self,
        settings: WeightsSettings | None = None,
        port: int = 0,
        host: str = LOOPBACK,
    ) -> None:
        super().__init__(port, host)
        self.settings = settings or WeightsSettings()
        self.loading = 0

    def make_routes(self) -> list[Route]:
        """Return the routes of the weight store."""
        return [(r"/v1/weights/([^/]+)/([^/]+)", _WeightsHandler, {"standin": self})]

    async def load(self) -> None:
        """Wait for the duration of one load."""
        loop = asyncio.get_running_loop()
        remaining_s = self.settings.load_s * self.slow_factor
        self.loading += 1
        try:
            before = loop.time()
            while remaining_s > 0:
                await asyncio.sleep(TICK_S)
                now = loop.time()
                remaining_s -= (now - before) * min(
                    1.0, self.settings.parallel / self.loading
                )
                before = now
        finally:
            self.loading -= 1


class _WeightsHandler(Handler):
    standin: WeightsStandIn

    async def get(self, model: str, name: str) -> None:
        self.standin.counters["loads"] += 1
        await self.standin.load()
        await self.answer(f"{model} {name}".encode())
