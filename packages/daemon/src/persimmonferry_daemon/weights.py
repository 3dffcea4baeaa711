"""Loads the weights that the team's document specifies into the agent's engine."""

import asyncio
import logging
import random
from collections.abc import Callable, Sequence
from typing import Protocol

from persimmonferry_core.exceptions import NotRun, PlatformError
from persimmonferry_core.interfaces import Lease, Platform
from persimmonferry_core.rollout import (
    LEASE_S,
    LOAD_TIMEOUT_S,
    RetryDelay,
    Turn,
    choose_order,
    choose_slot,
    choose_turn,
    is_slot_usable,
    name_engine_lease,
)
from persimmonferry_core.runs import (
    EngineLoad,
    EngineOrder,
    LoadAdapter,
    LoadVersion,
)
from persimmonferry_core.schema import Service

from persimmonferry_daemon.block_stores import EXTERNAL_ERRORS
from persimmonferry_daemon.order_tracking import OrderTrackingEngine

__all__ = ["DrainControl", "WeightLoader"]

DRAIN_TIMEOUT_S = 10.0
ENGINE_CALL_TIMEOUT_S = 0.5
LOAD_POLL_S = 0.5
MAX_ORDERS = 2
FIRST_LOAD_S = 2.0

_log = logging.getLogger(__name__)


class DrainControl(Protocol):
    """Drains the agent's engine before a weight load and resumes it afterwards."""

    def drain(self) -> None:
        """Refuse new runs as not run."""

    def resume(self) -> None:
        """Accept new runs again, unless the agent is stopping."""

    async def wait_idle(self) -> None:
        """Return when no run is in progress."""


class WeightLoader:
    """
    Reconciles the weights of the engine with those that the document specifies.

    An engine is drained only under one of the service's slot leases. An order is sent
    only while its lease can't have expired by this process's clock, which also
    protects engines that ignore fencing tokens.

    :param engine: an ``OrderTrackingEngine``, since raw reports lag behind the orders.
    :param holder: identity of this process in leases; it differs after each restart.
    :param engine_name: name of the engine's VM; it stays the same across restarts.
    :param find_service: returns the service of the document in force, or None.
    :param clock: returns the time in seconds; it advances while the VM is suspended.
    :param find_peers: returns the names of the engines that may load weights, with this
        one; they take turns in requesting slots.
    """

    def __init__(
        self,
        engine: OrderTrackingEngine,
        platform: Platform,
        gate: DrainControl,
        holder: str,
        engine_name: str,
        team: str,
        find_service: Callable[[], Service | None],
        clock: Callable[[], float],
        find_peers: Callable[[], Sequence[str]] = tuple,
    ) -> None:
        self._engine = engine
        self._platform = platform
        self._gate = gate
        self._holder = holder
        self._engine_lease_name = name_engine_lease(team, engine_name)
        self._team = team
        self._find_service = find_service
        self._clock = clock
        self._list_engines = find_peers
        self._engine_name = engine_name
        self._planned: LoadVersion | LoadAdapter | None = None
        self._turn = Turn()
        self._turn_s = 0.0
        self._load_s = FIRST_LOAD_S
        self._delay = RetryDelay()
        self._adapter: tuple[LoadVersion, str] | None = None
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Start reconciling on the running loop."""
        self._task = asyncio.create_task(self._run_forever())

    async def close(self) -> None:
        """Stop; an ordered load continues in the engine, and its lease expires."""
        if self._task:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run_forever(self) -> None:
        while True:
            try:
                await self.reconcile()
            except EXTERNAL_ERRORS as error:
                _log.warning("weights are not reconciled: %s", error)
                self._delay.record_attempt(succeeded=False)
            # Jitter keeps waiting agents from requesting a slot at the same time.
            await asyncio.sleep(self._delay.compute() * random.uniform(0.5, 1.5))

    async def reconcile(self) -> bool:
        """
        Load the weights that the engine lacks, if a slot is free.

        :return: whether the engine has what the document specifies.
        """
        order = await self._choose_order()
        if order is None:
            self._planned = None
            self._delay.record_attempt(succeeded=True)
            return True
        if not self._is_turn(order):
            return False
        slot = await self._acquire_slot()
        if slot is None:
            return False
        # A previous process of this agent may still hold it: then nothing is drained.
        if await self._acquire_lease(self._engine_lease_name) is None:
            self._delay.record_attempt(succeeded=False)
            await self._release(slot)
            return False
        try:
            self._gate.drain()
            await self._drain()
            done = await self._load(slot)
        finally:
            self._gate.resume()
        await self._release(slot)
        return done

    def _is_turn(self, order: LoadVersion | LoadAdapter) -> bool:
        now = self._clock()
        service = self._find_service()
        if order != self._planned and service is not None:
            peers = self._list_engines()
            self._turn = choose_turn(self._engine_name, peers, service, self._load_s)
            self._planned = order
            self._turn_s = now + self._turn.delay_s
        return now >= self._turn_s

    async def _choose_order(self) -> LoadVersion | LoadAdapter | None:
        service = self._find_service()
        if service is None:
            return None
        load = await self._read_load()
        return choose_order(service, load, self._find_adapter(load))

    def _find_adapter(self, load: EngineLoad) -> str | None:
        if self._adapter is None:
            return None
        loaded_for, adapter = self._adapter
        return adapter if loaded_for == LoadVersion(load.model, load.version) else None

    async def _read_load(self) -> EngineLoad:
        return await asyncio.wait_for(self._engine.read_load(), ENGINE_CALL_TIMEOUT_S)

    async def _acquire_slot(self) -> Lease | None:
        service = self._find_service()
        if service is None:
            return None
        attempt = self._delay.attempts
        name = choose_slot(self._team, service, self._turn, attempt)
        slot = await self._acquire_lease(name)
        self._delay.record_attempt(succeeded=slot is not None)
        return slot

    async def _acquire_lease(self, name: str) -> Lease | None:
        asked_s = self._clock()
        return await self._platform.acquire_lease(name, self._holder, LEASE_S, asked_s)

    async def _drain(self) -> None:
        try:
            await asyncio.wait_for(self._gate.wait_idle(), DRAIN_TIMEOUT_S)
        except TimeoutError:
            _log.info("drain timed out; runs continue during the weight load")

    async def _load(self, slot: Lease) -> bool:
        """Give the orders that are still needed; return True when none is left."""
        for _ in range(MAX_ORDERS):
            order = await self._choose_order()
            if order is None:
                return True
            if not await self._execute_order(order, slot.name):
                return False
        return await self._choose_order() is None

    async def _execute_order(
        self, order: LoadVersion | LoadAdapter, slot_name: str
    ) -> bool:
        engine_lease = await self._acquire_lease(self._engine_lease_name)
        slot = await self._acquire_lease(slot_name)
        if engine_lease is None or slot is None:
            _log.warning("another process holds the lease of this engine or slot")
            return False
        now = self._clock()
        if not (is_slot_usable(engine_lease, now) and is_slot_usable(slot, now)):
            _log.warning("the lease may expire before the load ends")
            return False
        numbered = EngineOrder(engine_lease.fencing, order)
        start_s = self._clock()
        try:
            await asyncio.wait_for(self._engine.give_order(numbered), LOAD_TIMEOUT_S)
        except NotRun as error:
            _log.warning("the engine refused the order: %s", error)
            return False
        except TimeoutError:
            _log.warning("the load takes longer than %g s", LOAD_TIMEOUT_S)
        await self._wait_loaded(slot_name)
        self._load_s = self._clock() - start_s
        await self._record_loaded(order)
        await self._release(engine_lease)
        return True

    async def _wait_loaded(self, slot_name: str) -> None:
        """Renew the lease of the slot until the engine has loaded."""
        while (await self._read_load()).loading:
            try:
                await self._acquire_lease(slot_name)
            except PlatformError as error:
                _log.warning("lease %s was not renewed: %s", slot_name, error)
            await asyncio.sleep(LOAD_POLL_S)

    async def _record_loaded(self, order: LoadVersion | LoadAdapter) -> None:
        load = await self._read_load()
        match order:
            case LoadAdapter(adapter=adapter):
                loaded_for = LoadVersion(load.model, load.version)
                self._adapter = (loaded_for, adapter)
            case LoadVersion():
                self._adapter = None

    async def _release(self, slot: Lease) -> None:
        try:
            await self._platform.release_lease(slot)
        except PlatformError:
            _log.info("lease %s was not released and will expire", slot.name)
