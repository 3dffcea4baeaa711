"""Corrects an engine's lagging reports by the orders that were given to it."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace

from persimmonferry_core.exceptions import NotRun
from persimmonferry_core.interfaces import Engine
from persimmonferry_core.runs import (
    CacheEvent,
    EngineLoad,
    EngineOrder,
    LoadAdapter,
    LoadVersion,
    RunEnd,
    RunOrder,
    TokenBatch,
)

__all__ = ["OrderTrackingEngine"]

REPORT_LAG_S = 5.0


@dataclass(frozen=True)
class _Outcome:
    """
    The last order that ended in this process.

    :param order: None when it is not known whether it took effect.
    """

    order: LoadVersion | LoadAdapter | None
    ended_s: float


class OrderTrackingEngine:
    """
    Wraps the engine for the one process that gives it orders.

    Reports lag: without the correction, an engine would appear to have the old
    version after a load, and would be given the same order again.

    :param clock: returns the present time in seconds.
    """

    def __init__(self, engine: Engine, clock: Callable[[], float]) -> None:
        self._engine = engine
        self._clock = clock
        self._open_orders = 0
        self._last: _Outcome | None = None

    async def read_load(self) -> EngineLoad:
        """Return the reported load, with the version that the orders imply."""
        load = await self._engine.read_load()
        if self._open_orders:
            return replace(load, version="", loading=True)
        if self._last is None or self._clock() > self._last.ended_s + REPORT_LAG_S:
            return load
        match self._last.order:
            case LoadVersion(model, version):
                return replace(load, model=model, version=version, loading=False)
            case LoadAdapter():
                return replace(load, loading=False)
            case None:
                return replace(load, version="", loading=True)

    async def give_order(self, order: EngineOrder) -> None:
        """
        Give an order and return when it is done.

        :raises NotRun: with FENCING_REFUSED when the engine rejects the fencing token.
        """
        before = self._last
        outcome: _Outcome | None = None
        self._open_orders += 1
        try:
            await self._engine.give_order(order)
            outcome = _Outcome(order.order, self._clock())
        except NotRun:
            outcome = before
            raise
        except (Exception, asyncio.CancelledError):
            outcome = _Outcome(None, self._clock())
            raise
        finally:
            self._open_orders -= 1
            self._last = outcome

    async def run(
        self, order: RunOrder, deliver: Callable[[TokenBatch], None]
    ) -> RunEnd:
        """Run a prompt; see ``Engine.run``."""
        return await self._engine.run(order, deliver)

    async def cancel(self, run_id: str) -> None:
        """Stop a run."""
        await self._engine.cancel(run_id)

    async def read_cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return the events after a sequence number that are published so far."""
        return await self._engine.read_cache_events(after)

    async def export_block(self, name: str) -> bytes:
        """Return the bytes of a cached block."""
        return await self._engine.export_block(name)

    async def import_block(self, name: str, data: bytes) -> None:
        """Put a block into the engine's cache."""
        await self._engine.import_block(name, data)
