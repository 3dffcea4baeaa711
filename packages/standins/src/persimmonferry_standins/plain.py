"""Stand-in for a plain service whose orders may not be repeated."""

import asyncio
from collections import Counter
from dataclasses import asdict, dataclass
from typing import Any

from persimmonferry_adapters.http_formats import NOT_RUN_HEADER, RUN_ID_HEADER
from persimmonferry_core.runs import PlainLoad

from persimmonferry_standins.faults import CrossAnswer
from persimmonferry_standins.server import LOOPBACK, Handler, Route, StandIn

__all__ = ["PlainSettings", "PlainStandIn"]


@dataclass(frozen=True)
class PlainSettings:
    """
    Parameters of a simulated plain service.

    :param slots: largest number of concurrent calls; others wait.
    :param delay_s: duration of a call.
    """

    slots: int = 16
    delay_s: float = 0.0


class PlainStandIn(StandIn):
    """
    A plain service that counts its runs by order number and by run id.

    The order number is the body of the call as text. A call of a method other than
    GET and HEAD counts as run at its start, also if its caller gets no response.
    """

    def __init__(
        self,
        settings: PlainSettings | None = None,
        port: int = 0,
        host: str = LOOPBACK,
    ) -> None:
        super().__init__(port, host)
        self.settings = settings or PlainSettings()
        self.runs_by_order: Counter[str] = Counter()
        self.runs_by_id: Counter[str] = Counter()
        self.running = 0
        self.waiting = 0
        self.slots = asyncio.Semaphore(self.settings.slots)

    def make_routes(self) -> list[Route]:
        """Return the routes of a plain service."""
        options = {"standin": self}
        return [(r"/v1/load", _LoadHandler, options), (r"/.*", _CallHandler, options)]

    def make_state(self) -> dict[str, Any]:
        """Return the number of runs of each order number and of each run id."""
        return {
            "runs_by_order": dict(self.runs_by_order),
            "runs_by_id": dict(self.runs_by_id),
        }

    def read_load(self) -> PlainLoad:
        """Return the current load."""
        run_s = self.settings.delay_s * self.slow_factor
        calls_per_s = self.settings.slots / run_s if run_s else 1000.0
        slots = self.settings.slots
        return PlainLoad(self.running, self.waiting, slots, calls_per_s)


class _LoadHandler(Handler):
    standin: PlainStandIn

    async def get(self) -> None:
        await self.answer_json(asdict(self.standin.read_load()))


class _CallHandler(Handler):
    standin: PlainStandIn

    def refuse(self) -> None:
        run_id = self._read_run_id()
        self.set_header(RUN_ID_HEADER, run_id)
        self.set_header(NOT_RUN_HEADER, run_id)
        super().refuse()

    async def get(self) -> None:
        await self._run(self.request.uri or "")

    async def post(self) -> None:
        number = self.request.body.decode(errors="replace")
        self.standin.runs_by_order[number] += 1
        self.standin.runs_by_id[self._read_run_id()] += 1
        await self._run(number)

    head = get
    put = post
    patch = post
    delete = post

    async def _run(self, number: str) -> None:
        standin = self.standin
        standin.waiting += 1
        async with standin.slots:
            standin.waiting -= 1
            standin.running += 1
            try:
                await asyncio.sleep(standin.settings.delay_s * standin.slow_factor)
            finally:
                standin.running -= 1
        crossed = self._take_fault(CrossAnswer)
        run_id = self._read_run_id()
        self.set_header(RUN_ID_HEADER, f"not-{run_id}" if crossed else run_id)
        self.set_header("Content-Type", "text/plain; charset=utf-8")
        await self.answer(f"done {number}".encode())

    def _read_run_id(self) -> str:
        return self.request.headers.get(RUN_ID_HEADER, "")
