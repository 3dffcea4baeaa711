import asyncio
import random
from dataclasses import dataclass, field

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from persimmonferry_core.codes import ResultCode
from persimmonferry_core.exceptions import (
    FerryError,
    NotRun,
    PlatformAnswerLost,
    PlatformUnavailable,
)
from persimmonferry_core.rollout import LEASE_S, LOAD_TIMEOUT_S, name_engine_lease
from persimmonferry_core.runs import EngineLoad, LoadAdapter, LoadVersion
from persimmonferry_core.schema import Service, ServiceKind
from persimmonferry_daemon.order_tracking import REPORT_LAG_S, OrderTrackingEngine
from persimmonferry_daemon.weights import DRAIN_TIMEOUT_S, WeightLoader
from persimmonferry_standins.memory import MemoryPlatform
from persimmonferry_standins.virtualtime import VirtualLoop

LOAD_S = 2.0
AGENTS = 4


@dataclass
class FakeEngine:
    loop: VirtualLoop
    fenced: bool = False
    model: str = "m"
    version: str = "v1"
    adapter: str = ""
    loading: int = 0
    highest: int = 0
    load_s: float = LOAD_S
    orders: list = field(default_factory=list)
    reports: list = field(default_factory=list)

    async def read_load(self):
        seen_s = self.loop.time() - REPORT_LAG_S + 1.0
        reports = [report for time_s, report in self.reports if time_s <= seen_s]
        return reports[-1] if reports else EngineLoad("m", "v1", 0, 0, 0, 8, 1e4, 50.0)

    def report(self):
        load = EngineLoad(
            self.model, self.version, 0, 0, 0, 8, 1e4, 50.0, bool(self.loading)
        )
        self.reports.append((self.loop.time(), load))

    async def give_order(self, numbered):
        if self.fenced and numbered.fencing < self.highest:
            raise NotRun(ResultCode.FENCING_REFUSED)
        self.highest = max(self.highest, numbered.fencing)
        self.orders.append(numbered.order)
        self.loading += 1
        self.report()
        # The load continues in the engine when the call of the order is cancelled.
        await asyncio.shield(asyncio.ensure_future(self._load(numbered.order)))

    async def _load(self, order):
        await asyncio.sleep(self.load_s)
        self.loading -= 1
        match order:
            case LoadVersion(model, version):
                self.model, self.version, self.adapter = model, version, ""
            case LoadAdapter(_, adapter):
                self.adapter = adapter
        self.report()


class FakeGate:
    def __init__(self):
        self.draining = False
        self.drains = 0
        self.idle = asyncio.Event()
        self.idle.set()

    def drain(self):
        self.draining = True
        self.drains += 1

    def resume(self):
        self.draining = False

    async def wait_idle(self):
        await self.idle.wait()


class PausableProxy:
    """Proxy of the platform that delays replies while the process is paused."""

    def __init__(self, inner):
        self.inner = inner
        self.running = asyncio.Event()
        self.running.set()

    def __getattr__(self, name):
        method = getattr(self.inner, name)

        async def call(*arguments):
            try:
                return await method(*arguments)
            finally:
                await self.running.wait()

        return call


class Fleet:
    def __init__(self, loading_slots, fenced=False):
        random.seed(0)
        self.loop = VirtualLoop()
        self.platform = MemoryPlatform(self.loop.time)
        self.loading_slots = loading_slots
        self.want("v1")
        self.engines = [FakeEngine(self.loop, fenced) for _ in range(AGENTS)]
        self.tracked = [OrderTrackingEngine(e, self.loop.time) for e in self.engines]
        self.gates = [FakeGate() for _ in range(AGENTS)]
        self.ways = [PausableProxy(self.platform) for _ in range(AGENTS)]
        self.loaders = [self.make_loader(index, "a") for index in range(AGENTS)]

    def want(self, version, adapter=""):
        self.service = Service(
            "s", ServiceKind.MODEL, "m", version, adapter, 8, self.loading_slots
        )

    def make_loader(self, index, incarnation):
        return WeightLoader(
            self.tracked[index],
            self.ways[index],
            self.gates[index],
            f"vm{index}/{incarnation}",
            f"vm{index}",
            "team",
            lambda: self.service,
            self.loop.time,
        )

    def start(self):
        self.loop.run(self._start())

    async def _start(self):
        for loader in self.loaders:
            loader.start()


class Rollouts(RuleBasedStateMachine):
    """Documents change while processes pause and the platform fails."""

    def __init__(self):
        super().__init__()
        self.fleet = Fleet(loading_slots=2)
        self.fleet.start()

    @rule(version=st.sampled_from(["v1", "v2", "v3"]), adapter=st.sampled_from("ab"))
    def change_document(self, version, adapter):
        self.fleet.want(version, adapter)

    @rule(fault=st.sampled_from([PlatformUnavailable, PlatformAnswerLost, None]))
    def change_platform(self, fault):
        self.fleet.platform.fault = fault

    @rule(index=st.integers(0, AGENTS - 1))
    def pause(self, index):
        self.fleet.ways[index].running.clear()

    @rule(index=st.integers(0, AGENTS - 1))
    def resume(self, index):
        self.fleet.ways[index].running.set()

    @rule(index=st.integers(0, AGENTS - 1))
    def start_or_end_a_long_run(self, index):
        idle = self.fleet.gates[index].idle
        idle.clear() if idle.is_set() else idle.set()

    @rule(duration_s=st.sampled_from([0.1, 1.0, 5.0, LEASE_S, 2 * LEASE_S]))
    def wait(self, duration_s):
        end_s = self.fleet.loop.time() + duration_s
        while self.fleet.loop.time() < end_s:
            self.fleet.loop.run_for(0.25)
            self.no_more_engines_load_than_allowed()

    @invariant()
    def no_more_engines_load_than_allowed(self):
        loading = [engine.loading for engine in self.fleet.engines]
        assert sum(loading) <= 2
        assert max(loading) <= 1

    def teardown(self):
        """Once faults end, every engine gets what the document wants."""
        self.fleet.platform.fault = None
        for way in self.fleet.ways:
            way.running.set()
        self.wait(5 * LEASE_S)
        wanted = (self.fleet.service.version, self.fleet.service.adapter)
        held = {(engine.version, engine.adapter) for engine in self.fleet.engines}
        assert held == {wanted}
        assert not any(gate.draining for gate in self.fleet.gates)
        self.fleet.loop.stop_all()


Rollouts.TestCase.settings = settings(
    derandomize=True, max_examples=25, stateful_step_count=25, deadline=None
)
TestRollouts = Rollouts.TestCase


def test_a_process_paused_past_its_lease_sends_no_order():
    fleet = Fleet(loading_slots=1)
    fleet.want("v2")
    engine = fleet.engines[0]
    fleet.gates[0].idle.clear()
    task = fleet.loop.create_task(fleet.loaders[0].reconcile())
    fleet.loop.run_for(DRAIN_TIMEOUT_S)
    fleet.ways[0].running.clear()
    fleet.loop.run_for(2 * LEASE_S)
    fleet.loop.run(fleet.loaders[1].reconcile())
    assert fleet.engines[1].version == "v2"
    fleet.ways[0].running.set()
    assert fleet.loop.run(task) is False
    assert engine.orders == []
    fleet.loop.stop_all()


def test_a_slot_stays_taken_while_a_load_outlasts_its_timeout():
    fleet = Fleet(loading_slots=1)
    fleet.want("v2")
    fleet.engines[0].load_s = LOAD_TIMEOUT_S + 2 * LEASE_S
    task = fleet.loop.create_task(fleet.loaders[0].reconcile())
    fleet.loop.run_for(LOAD_TIMEOUT_S + LEASE_S + 1.0)
    assert fleet.loop.run(fleet.loaders[1].reconcile()) is False
    assert fleet.engines[1].orders == []
    fleet.loop.run_for(LEASE_S)
    assert fleet.loop.run(task) is True
    fleet.loop.stop_all()


def test_a_load_is_ordered_once_while_reports_still_show_the_old_version():
    fleet = Fleet(loading_slots=1)
    fleet.want("v2")
    task = fleet.loop.create_task(fleet.loaders[0].reconcile())
    fleet.loop.run_for(LOAD_S / 2)
    assert not fleet.loop.run(fleet.engines[0].read_load()).loading
    assert fleet.loop.run(fleet.tracked[0].read_load()).loading
    assert fleet.loop.run(task) is True
    for _ in range(20):
        fleet.loop.run(fleet.loaders[0].reconcile())
        fleet.loop.run_for(0.5)
    assert fleet.engines[0].orders == [LoadVersion("m", "v2")]
    fleet.loop.stop_all()


def test_a_new_process_waits_until_the_lease_of_its_predecessor_has_expired():
    fleet = Fleet(loading_slots=1)
    fleet.want("v2")
    lease_name = name_engine_lease("team", "vm0")
    taken = fleet.platform.acquire_lease(lease_name, "vm0/old", LEASE_S, 0.0)
    fleet.loop.run(taken)
    assert fleet.loop.run(fleet.loaders[0].reconcile()) is False
    assert fleet.gates[0].drains == 0
    fleet.loop.run_for(LEASE_S)
    assert fleet.loop.run(fleet.loaders[0].reconcile()) is True
    fleet.loop.stop_all()


def test_an_engine_refuses_an_order_with_a_stale_fencing_token():
    fleet = Fleet(loading_slots=2, fenced=True)
    fleet.want("v2")
    fleet.engines[0].highest = 5
    assert fleet.loop.run(fleet.loaders[0].reconcile()) is False
    assert fleet.engines[0].orders == []
    assert not fleet.gates[0].draining
    fleet.loop.stop_all()


def test_no_order_is_sent_when_the_document_reverts_during_the_drain():
    fleet = Fleet(loading_slots=1)
    fleet.want("v2")
    fleet.gates[0].idle.clear()
    task = fleet.loop.create_task(fleet.loaders[0].reconcile())
    fleet.loop.run_for(1.0)
    assert fleet.gates[0].draining
    fleet.want("v1")
    fleet.gates[0].idle.set()
    assert fleet.loop.run(task) is True
    assert fleet.engines[0].orders == []
    fleet.loop.stop_all()


def test_engines_keep_serving_during_a_platform_outage():
    fleet = Fleet(loading_slots=4)
    fleet.want("v2")
    fleet.platform.fault = PlatformUnavailable
    for loader in fleet.loaders:
        with pytest.raises(FerryError):
            fleet.loop.run(loader.reconcile())
    assert not any(gate.draining for gate in fleet.gates)
    assert not any(engine.orders for engine in fleet.engines)
    fleet.loop.stop_all()
