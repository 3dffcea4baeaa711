"""
Real entries and agents against fakes, with each message delivered by the fuzzer.

Every process has an event loop of its own that runs only when it is stepped, in
virtual time. A process is frozen by not stepping it. Every message between processes
waits in the world's list until a rule delivers, cuts, copies or loses it.
"""

import asyncio
import itertools
from collections import Counter

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from persimmonferry_core.attempts import AttemptTable
from persimmonferry_core.codes import ResultCode
from persimmonferry_core.contracts import Service, ServiceKind
from persimmonferry_core.exceptions import (
    FerryError,
    NotRun,
    OutcomeUnknown,
    PlatformAnswerLost,
    PlatformUnavailable,
    RanBefore,
    SwapConflict,
)
from persimmonferry_core.interfaces import Versioned
from persimmonferry_core.journal import JournalShape
from persimmonferry_core.runs import CallAnswer
from persimmonferry_core.world import Address
from persimmonferry_daemon.attempts import CallGate
from persimmonferry_daemon.calls import AgentHandle, CallDispatcher, PlainRequest
from persimmonferry_daemon.claims import ClaimKeeper, EntryPeer
from persimmonferry_standins.histories import (
    AnsweredCall,
    CallRecord,
    NotRunCall,
    RanCall,
    UnknownCall,
    find_fault,
)
from persimmonferry_wire import PeerLost
from persimmonferry_wire.generated.runs.ttypes import AttemptQuery

ORDERS = Service("orders", ServiceKind.PLAIN)
SHAPE = JournalShape(partitions=1, segment_s=1000.0)
START_S = 1_800_000_000.0
# These speak of the call alone: the journal could not be asked about earlier calls,
# or they had another body.
WEAK_REFUSALS = {
    ResultCode.PLATFORM_UNAVAILABLE,
    ResultCode.IDEMPOTENCY_KEY_EXPIRED,
    ResultCode.IDEMPOTENCY_KEY_REUSED,
}


class Process:
    def __init__(self, world):
        self.world = world
        self.loop = asyncio.new_event_loop()
        self.loop.time = lambda: world.now
        self.alive = True
        self.frozen = False

    def step(self):
        while self.alive and not self.frozen and self.is_ready():
            self.loop.call_soon(self.loop.stop)
            self.loop.run_forever()

    def is_ready(self):
        due = any(timer.when() < self.world.now for timer in self.loop._scheduled)
        return bool(self.loop._ready) or due

    def close(self):
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        ended = asyncio.gather(*tasks, return_exceptions=True) if tasks else None
        if ended is not None:
            self.loop.run_until_complete(ended)
        self.loop.close()


class Message:
    """One message; ``serve`` takes effect at the receiver and replies in time."""

    def __init__(self, world, future, serve, lost, refused):
        self.world = world
        self.future = future
        self.serve = serve
        self.lost = lost
        self.refused = refused
        self.cut = False

    def reply(self, result):
        if self.future.done() or self.cut:
            return
        if isinstance(result, Exception):
            self.future.set_exception(result)
        else:
            self.future.set_result(result)

    def deliver(self, fault):
        pending = self.world.messages
        match fault:
            case "refuse" if not self.cut:
                pending.remove(self)
                self.reply(self.refused)
            case "cut":
                self.reply(self.lost)
                self.cut = True
            case "lose answer":
                pending.remove(self)
                self.reply(self.lost)
                self.serve(self)
            case "copy":
                self.serve(self)
            case _:
                pending.remove(self)
                self.serve(self)


class World:
    def __init__(self):
        self.now = START_S
        self.messages = []
        self.service_calls = []
        self.values = {}
        self.platform_up = True
        self.processes = []
        self.runs = Counter()
        self.run_ids = set()
        self.run_numbers = itertools.count()

    async def send(self, serve, lost, refused):
        future = asyncio.get_running_loop().create_future()
        self.messages.append(Message(self, future, serve, lost, refused))
        return await future

    def step(self):
        while any(
            process.alive and not process.frozen and process.is_ready()
            for process in self.processes
        ):
            for process in self.processes:
                process.step()

    def spawn(self, process, coroutine, message):
        async def answer():
            try:
                message.reply(await coroutine)
            except FerryError as error:
                message.reply(error)

        process.loop.create_task(answer())


class FakePlatform:
    def __init__(self, world):
        self.world = world

    async def read(self, key):
        def serve(message):
            message.reply(self.find(key) if self.world.platform_up else down)

        down = PlatformUnavailable()
        return await self.world.send(serve, PlatformUnavailable(), down)

    async def swap(self, key, value, expected):
        def serve(message):
            stored = self.find(key)
            if not self.world.platform_up:
                message.reply(PlatformUnavailable())
            elif stored.revision != expected:
                message.reply(SwapConflict(key, stored.revision))
            else:
                written = Versioned(key, value, expected + 1)
                self.world.values[key] = written
                message.reply(written)

        return await self.world.send(serve, PlatformAnswerLost(), PlatformUnavailable())

    def find(self, key):
        return self.world.values.get(key, Versioned(key, b"", 0))


class FakeService:
    """Runs an order when a rule says so, and counts."""

    def __init__(self, world):
        self.world = world

    async def call(self, order):
        future = asyncio.get_running_loop().create_future()
        self.world.service_calls.append((order, future))
        return await future


class Agent(Process):
    def __init__(self, world, name, incarnation):
        super().__init__(world)
        self.handle = AgentHandle(name, incarnation, Address("127.0.0.1", 1))
        table = AttemptTable(incarnation)
        service = FakeService(world)
        self.gate = CallGate(table, service, lambda: None, lambda: world.now)


class Entry(Process):
    """An entry; it is also its own link to the agents and to other entries."""

    def __init__(self, world, name, skew_s):
        super().__init__(world)
        self.name = name
        self.read_clock = lambda: world.now + skew_s
        self.peer = EntryPeer(name, Address(name, 1))
        self.keeper = ClaimKeeper(
            FakePlatform(world),
            self,
            self.peer,
            lambda: [entry.peer for entry in world.entries],
            self.read_clock,
            SHAPE,
        )

    def choose(self, service, avoided, now):
        for agent in self.world.agents.values():
            if agent.alive and agent.handle.name not in avoided:
                return agent.handle
        raise NotRun(ResultCode.NO_UPSTREAM)

    async def call(self, handle, request):
        lost = OutcomeUnknown(ResultCode.UPSTREAM_LOST)
        refused = NotRun(ResultCode.NO_UPSTREAM)

        def serve(message):
            agent = self.world.agents[handle.name]
            if not agent.alive:
                return message.reply(refused if not message.cut else lost)
            self.world.spawn(agent, agent.gate.call(request), message)

        return await self.world.send(serve, lost, refused)

    async def query(self, handle, request, fence):
        lost = OutcomeUnknown(ResultCode.UPSTREAM_LOST)
        query = AttemptQuery(
            request.run_id, request.incarnation, request.start_deadline_s, fence
        )

        def serve(message):
            agent = self.world.agents[handle.name]
            if not agent.alive:
                return message.reply(lost)
            self.world.spawn(agent, agent.gate.query(query), message)

        return await self.world.send(serve, lost, lost)

    async def ask(self, url, message, kind, timeout_s):
        lost = PeerLost("lost", sent=True)
        target = next(e for e in self.world.entries if e.peer.address.url in url)

        def serve(sent):
            if not target.alive:
                return sent.reply(lost)
            self.world.spawn(target, target.keeper.answer_commit(message), sent)

        try:
            async with asyncio.timeout(timeout_s):
                return await self.world.send(serve, lost, lost)
        except TimeoutError:
            raise lost from None


class Call:
    """One call of a caller, with the run ids that were created for it."""

    def __init__(self, world, entry, key, body):
        self.world = world
        self.key = key
        self.body = body
        self.run_ids = []
        self.started = next(world.positions)
        self.ended = None
        dispatcher = CallDispatcher(
            entry.keeper, entry, entry.read_clock, self.create_run_id
        )
        request = PlainRequest(
            "kovanci", ORDERS, "POST", "/orders", "text/plain", body, key
        )
        call = dispatcher.call(request, entry.read_clock())
        self.task = entry.loop.create_task(call)
        self.task.add_done_callback(self.finish)

    def create_run_id(self):
        self.run_ids.append(f"run{next(self.world.run_numbers)}")
        return self.run_ids[-1]

    def finish(self, task):
        self.ended = next(self.world.positions)
        if not task.cancelled():
            task.exception()

    @property
    def error(self):
        return self.task.exception() if self.ended is not None else None

    def describe(self):
        if self.ended is None:
            return CallRecord(self.started, 1 << 60, UnknownCall())
        end = UnknownCall()
        match self.error:
            case None:
                end = AnsweredCall(self.task.result().body)
            case NotRun(code=code) if code not in WEAK_REFUSALS:
                end = NotRunCall()
            case RanBefore(code=ResultCode.ANSWER_NOT_HELD):
                end = RanCall()
        return CallRecord(self.started, self.ended, end)


class OrderMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.world = world = World()
        world.positions = itertools.count()
        world.entries = [Entry(world, f"entry{i}", i * 0.5) for i in range(2)]
        world.agents = {f"agent{i}": Agent(world, f"agent{i}", 1) for i in range(2)}
        world.processes = [*world.entries, *world.agents.values()]
        self.calls = []
        self.restarts = 0

    @rule(entry=st.integers(0, 1), key=st.integers(0, 1), other=st.integers(0, 5))
    def start_call(self, entry, key, other):
        process = self.world.entries[entry]
        if process.alive:
            body = b"two vises" if other == 0 else b"one vise"
            text = f"{START_S:.0f}-order-{key}"
            self.calls.append(Call(self.world, process, text, body))
            self.world.step()

    @precondition(lambda self: self.world.messages)
    @rule(
        index=st.integers(0, 9),
        fault=st.sampled_from(["", "", "", "refuse", "cut", "lose answer", "copy"]),
    )
    def deliver(self, index, fault):
        messages = self.world.messages
        messages[index % len(messages)].deliver(fault)
        self.world.step()

    @precondition(lambda self: self.world.messages)
    @rule(count=st.integers(1, 8))
    def deliver_in_order(self, count):
        for _ in range(count):
            self.run_service(0, "answer")
            if self.world.messages:
                self.world.messages[0].deliver("")
            self.world.step()

    @precondition(lambda self: self.world.service_calls)
    @rule(
        index=st.integers(0, 3),
        outcome=st.sampled_from(["answer", "answer", "lose", "refuse"]),
    )
    def run_service(self, index, outcome):
        calls = self.world.service_calls
        if not calls:
            return
        order, future = calls.pop(index % len(calls))
        if outcome != "refuse":
            self.world.runs[order.body] += 1
            self.world.run_ids.add(order.run_id)
        if not future.done() and not future.get_loop().is_closed():
            match outcome:
                case "answer":
                    body = order.run_id.encode()
                    answer = CallAnswer(order.run_id, 200, "text/plain", body)
                    future.set_result(answer)
                case "lose":
                    lost = OutcomeUnknown(ResultCode.UPSTREAM_LOST)
                    future.set_exception(lost)
                case "refuse":
                    refused = NotRun(ResultCode.UPSTREAM_REFUSED)
                    future.set_exception(refused)
        self.world.step()

    @rule(step_s=st.sampled_from([0.05, 0.2, 0.6, 1.5, 6.0]))
    def advance(self, step_s):
        self.world.now += step_s
        self.world.step()

    @rule(up=st.booleans())
    def switch_platform(self, up):
        self.world.platform_up = up

    @rule(entry=st.integers(0, 1), frozen=st.booleans())
    def freeze_entry(self, entry, frozen):
        self.world.entries[entry].frozen = frozen
        self.world.step()

    @rule(agent=st.integers(0, 1), frozen=st.booleans())
    def freeze_agent(self, agent, frozen):
        self.world.agents[f"agent{agent}"].frozen = frozen
        self.world.step()

    @rule(entry=st.integers(0, 1))
    def replace_entry(self, entry):
        old = self.world.entries[entry]
        old.alive = False
        self.world.entries[entry] = Entry(self.world, old.name, entry * 0.5)
        self.world.processes.append(self.world.entries[entry])

    @rule(agent=st.integers(0, 1), restart=st.booleans())
    def kill_agent(self, agent, restart):
        old = self.world.agents[f"agent{agent}"]
        old.alive = False
        self.restarts += 1
        if restart:
            self.restart_agent(old)

    def restart_agent(self, old):
        new = Agent(self.world, old.handle.name, old.handle.incarnation + 1)
        self.world.agents[old.handle.name] = new
        self.world.processes.append(new)

    @invariant()
    def each_order_runs_at_most_once(self):
        runs = Counter()
        for call in self.calls:
            ran = [run_id for run_id in call.run_ids if run_id in self.world.run_ids]
            runs[call.key] += len(ran)
        assert max(runs.values(), default=0) <= 1, f"an order ran {runs}"

    @invariant()
    def a_refusal_is_true(self):
        for call in self.calls:
            if isinstance(call.error, NotRun):
                ran = self.world.run_ids.intersection(call.run_ids)
                assert not ran, f"{call.error} was said of a call that ran"

    @invariant()
    def histories_have_an_explanation(self):
        for key in {call.key for call in self.calls}:
            calls = [call.describe() for call in self.calls if call.key == key]
            fault = find_fault(calls)
            assert fault is None, f"{fault}: {calls}"

    def teardown(self):
        try:
            self.check_recovery()
        finally:
            for process in self.world.processes:
                process.close()

    def check_recovery(self):
        """After all faults are over, each key has a final outcome again."""
        world = self.world
        world.platform_up = True
        for process in world.processes:
            process.frozen = False
        for agent in list(world.agents.values()):
            if not agent.alive:
                self.restart_agent(agent)
        self.settle(rounds=30)
        keys = {call.key: call.body for call in reversed(self.calls)}
        retries = [
            Call(world, world.entries[index], key, keys[key])
            for index in range(2)
            for key in sorted(keys)
        ]
        self.calls += retries
        self.settle(rounds=30)
        for call in retries:
            self.check_final(call)
        self.each_order_runs_at_most_once()
        self.a_refusal_is_true()
        self.histories_have_an_explanation()

    def settle(self, rounds):
        for _ in range(rounds):
            self.deliver_in_order(20)
            self.advance(0.5)

    def check_final(self, call):
        assert call.ended is not None, "a call has no end"
        match call.error:
            case None:
                return
            case NotRun(code=ResultCode.IDEMPOTENCY_KEY_REUSED):
                return
            case OutcomeUnknown():
                return
        raise AssertionError(f"{call.error} after all faults were over")


OrderMachine.TestCase.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=50, deadline=None
)
TestOrders = OrderMachine.TestCase
