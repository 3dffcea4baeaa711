"""
Calls through real entries and agents while messages and processes fail.

Guards against a call that runs twice, or that ran although it was refused as not run.
Every process has its own event loop, which runs in virtual time and only when it is
stepped; a frozen process is not stepped. Messages between processes wait in a list
until a rule delivers, duplicates or loses them.
"""

import asyncio
import itertools
from collections import Counter

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)
from persimmonferry_core.attempts import AttemptTable
from persimmonferry_core.codes import ResultCode
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
from persimmonferry_core.schema import Service, ServiceKind
from persimmonferry_core.topology import Address
from persimmonferry_daemon.attempt_executor import AttemptExecutor
from persimmonferry_daemon.calls import AgentHandle, CallDispatcher, PlainRequest
from persimmonferry_daemon.claims import ClaimJournal, EntryPeer
from persimmonferry_standins.histories import (
    AnsweredCall,
    CallRecord,
    NotRunCall,
    RanCall,
    UnknownCall,
    find_violation,
)
from persimmonferry_wire import PeerRequestFailed
from persimmonferry_wire.generated.runs.ttypes import AttemptQuery

FAULTS = ("", "refuse", "cut", "lose answer", "copy", "hold")
DISTURBANCES = (
    "platform down",
    "platform up",
    "platform up",
    "freeze entry",
    "freeze agent",
    "thaw",
    "thaw",
    "replace entry",
    "kill agent",
    "restart agent",
    "restart agent",
)
ORDERS = Service("orders", ServiceKind.PLAIN)
SHAPE = JournalShape(partitions=1, segment_s=1000.0)
START_S = 1_800_000_000.0


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
    """One message; ``serve`` runs it at the receiver, which replies later."""

    def __init__(self, world, kind, future, serve, lost, refused):
        self.world = world
        self.kind = kind
        self.future = future
        self.serve = serve
        self.lost = lost
        self.refused = refused
        self.cut = False
        self.sent = False

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
            case "refuse" if not self.sent:
                pending.remove(self)
                self.reply(self.refused)
            case "cut":
                self.reply(self.lost)
                self.sent = self.cut = True
            case "lose answer":
                pending.remove(self)
                self.reply(self.lost)
                self.serve(self)
            case "copy":
                self.sent = True
                self.serve(self)
            case "hold":
                pending.remove(self)
                pending.append(self)
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
        self.broken_adapter = False
        self.processes = []
        self.runs = Counter()
        self.run_numbers = itertools.count()

    async def send(self, kind, serve, lost, refused):
        future = asyncio.get_running_loop().create_future()
        self.messages.append(Message(self, kind, future, serve, lost, refused))
        return await future

    def step(self):
        while any(
            process.alive and not process.frozen and process.is_ready()
            for process in self.processes
        ):
            for process in self.processes:
                process.step()

    def spawn(self, process, function, argument, message):
        async def answer():
            try:
                message.reply(await function(argument))
            except FerryError as error:
                message.reply(error)

        process.loop.create_task(answer())


class FakePlatform:
    def __init__(self, world):
        self.world = world

    async def read(self, key):
        def serve(message):
            if self.world.broken_adapter:
                message.reply(ValueError("not a number"))
            else:
                message.reply(self.find(key) if self.world.platform_up else down)

        down = PlatformUnavailable()
        return await self.world.send("read", serve, PlatformUnavailable(), down)

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

        lost, refused = PlatformAnswerLost(), PlatformUnavailable()
        return await self.world.send("swap", serve, lost, refused)

    def find(self, key):
        return self.world.values.get(key, Versioned(key, b"", 0))


class FakeService:
    """Runs an order when a rule chooses it, and counts the runs."""

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
        self.gate = AttemptExecutor(table, service, lambda: None, lambda: world.now)


class Entry(Process):
    """An entry, which stands in for its clients of agents and other entries, too."""

    def __init__(self, world, name, skew_s):
        super().__init__(world)
        self.name = name
        self.read_clock = lambda: world.now + skew_s
        self.peer = EntryPeer(name, Address(name, 1))
        self.claim_journal = ClaimJournal(
            FakePlatform(world),
            self,
            self.peer,
            lambda: [entry.peer for entry in world.entries],
            self.read_clock,
            SHAPE,
        )

    def choose(self, service, excluded, now):
        for agent in self.world.agents.values():
            if agent.alive and agent.handle.name not in excluded:
                return agent.handle
        raise NotRun(ResultCode.NO_UPSTREAM)

    async def call(self, handle, request):
        lost = OutcomeUnknown(ResultCode.UPSTREAM_LOST)
        refused = NotRun(ResultCode.NO_UPSTREAM)

        def serve(message):
            agent = self.world.agents[handle.name]
            if not agent.alive:
                return message.reply(lost if message.sent else refused)
            self.world.spawn(agent, agent.gate.call, request, message)

        return await self.world.send("call", serve, lost, refused)

    async def query(self, handle, request, fence):
        lost = OutcomeUnknown(ResultCode.UPSTREAM_LOST)
        query = AttemptQuery(
            request.run_id, request.incarnation, request.start_deadline_s, fence
        )

        def serve(message):
            agent = self.world.agents[handle.name]
            if not agent.alive:
                return message.reply(lost)
            self.world.spawn(agent, agent.gate.query, query, message)

        return await self.world.send("query", serve, lost, lost)

    async def ask(self, url, message, kind, timeout_s):
        lost = PeerRequestFailed("lost", sent=True)
        target = next(e for e in self.world.entries if e.peer.address.url in url)

        def serve(sent):
            if not target.alive:
                return sent.reply(lost)
            self.world.spawn(target, target.claim_journal.answer_commit, message, sent)

        try:
            async with asyncio.timeout(timeout_s):
                return await self.world.send("commit", serve, lost, lost)
        except TimeoutError:
            raise lost from None


class Call:
    """One call of a caller, with the run ids that were created for it."""

    def __init__(self, world, entry, key, body, account="kovanci", method="POST"):
        self.world = world
        self.key = key
        self.body = body
        self.run_ids = []
        self.started = next(world.positions)
        self.ended = None
        dispatcher = CallDispatcher(
            entry.claim_journal, entry, entry.read_clock, self.create_run_id
        )
        request = PlainRequest(
            account, ORDERS, method, "/orders", "text/plain", body, key
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
                answer = self.task.result().body
                assert answer.endswith(self.body), "another request's answer"
                end = AnsweredCall(answer)
            case NotRun(code=code) if not code.earlier_unknown:
                end = NotRunCall()
            case RanBefore(code=ResultCode.ANSWER_NOT_HELD):
                end = RanCall()
        return CallRecord(self.started, self.ended, end)


def _end_service_call(order, future, outcome):
    match outcome:
        case "answer":
            body = order.run_id.encode() + b" " + order.body
            answer = CallAnswer(order.run_id, 200, "text/plain", body)
            future.set_result(answer)
        case "lose":
            future.set_exception(OutcomeUnknown(ResultCode.UPSTREAM_LOST))
        case "refuse":
            future.set_exception(NotRun(ResultCode.UPSTREAM_REFUSED))


class OrderMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.world = world = World()
        world.positions = itertools.count()
        world.entries = [Entry(world, f"entry{i}", i * 0.5) for i in range(2)]
        world.agents = {f"agent{i}": Agent(world, f"agent{i}", 1) for i in range(2)}
        world.processes = [*world.entries, *world.agents.values()]
        self.calls = []
        self.newest_key = 0

    @rule(
        entry=st.integers(0, 1),
        age=st.sampled_from([0, 0, 0, 1, 2]),
        body=st.sampled_from([b"one vise", b"one vise", b"one vise", b"two vises"]),
    )
    def start_call(self, entry, age, body):
        process = self.world.entries[entry]
        text = f"{START_S:.0f}-order-{self.newest_key - age}"
        self.calls.append(Call(self.world, process, text, body))
        self.world.step()

    @rule(entry=st.integers(0, 1), twice=st.booleans())
    def start_order(self, entry, twice):
        """Start an order with a new key, perhaps at both entries at once."""
        self.newest_key += 1
        self.start_call(entry, 0, b"one vise")
        if twice:
            self.start_call(1 - entry, 0, b"one vise")

    @rule(
        skipped=st.integers(0, 6),
        fault=st.sampled_from(FAULTS),
        disturbance=st.sampled_from(["", "", "", "", *DISTURBANCES]),
        index=st.integers(0, 1),
    )
    def bring_about_fault(self, skipped, fault, disturbance, index):
        """Let some messages pass and bring about faults at the next one."""
        for _ in range(skipped):
            self.advance_any(index)
        self.disturb(disturbance, index)
        if self.world.messages:
            self.world.messages[-1].deliver(fault)
        self.world.step()

    def advance_any(self, index):
        if self.world.messages:
            self.world.messages[0].deliver("")
        elif self.world.service_calls:
            self.run_service(0, "answer")
        else:
            self.end_faults()
            self.advance(1.5)
            self.start_order(index, True)
        self.world.step()

    @precondition(lambda self: self.world.messages)
    @rule(index=st.integers(0, 9))
    def deliver(self, index):
        messages = self.world.messages
        messages[index % len(messages)].deliver("")
        self.world.step()

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
            self.world.runs[order.run_id] += 1
        if not future.done() and not future.get_loop().is_closed():
            _end_service_call(order, future, outcome)
        self.world.step()

    @rule(step_s=st.sampled_from([0.05, 0.2, 0.6, 1.5, 6.0]))
    def advance(self, step_s):
        self.world.now += step_s
        self.world.step()

    @rule(disturbance=st.sampled_from(DISTURBANCES), index=st.integers(0, 1))
    def disturb(self, disturbance, index):
        entry = self.world.entries[index]
        agent = self.world.agents[f"agent{index}"]
        match disturbance:
            case "platform down":
                self.world.platform_up = False
            case "platform up":
                self.world.platform_up = True
            case "freeze entry":
                entry.frozen = True
            case "freeze agent":
                agent.frozen = True
            case "thaw":
                entry.frozen = agent.frozen = False
            case "replace entry":
                entry.alive = False
                self.world.entries[index] = Entry(self.world, entry.name, index * 0.5)
                self.world.processes.append(self.world.entries[index])
            case "kill agent":
                agent.alive = False
            case "restart agent":
                agent.alive = False
                self.restart_agent(agent)
        self.world.step()

    def restart_agent(self, old):
        new = Agent(self.world, old.handle.name, old.handle.incarnation + 1)
        self.world.agents[old.handle.name] = new
        self.world.processes.append(new)

    @invariant()
    def each_order_runs_at_most_once(self):
        runs = Counter()
        for call in self.calls:
            runs[call.key] += sum(self.world.runs[run_id] for run_id in call.run_ids)
        assert max(runs.values(), default=0) <= 1, f"an order ran twice: {runs}"

    @invariant()
    def a_refusal_is_true(self):
        for call in self.calls:
            if isinstance(call.error, NotRun):
                ran = any(self.world.runs[run_id] for run_id in call.run_ids)
                assert not ran, f"{call.error} was said of a call that ran"

    @invariant()
    def histories_have_an_explanation(self):
        for key in {call.key for call in self.calls}:
            calls = [call.describe() for call in self.calls if call.key == key]
            fault = find_violation(calls)
            assert fault is None, f"{fault}: {calls}"

    def teardown(self):
        try:
            self.check_recovery()
        finally:
            for process in self.world.processes:
                process.close()

    def end_faults(self):
        self.world.platform_up = True
        for process in self.world.processes:
            process.frozen = False
        for agent in list(self.world.agents.values()):
            if not agent.alive:
                self.restart_agent(agent)

    def check_recovery(self):
        """After all faults are over, each key has a final outcome again."""
        self.end_faults()
        self.settle(rounds=30)
        keys = {call.key: call.body for call in reversed(self.calls)}
        for entry in self.world.entries:
            retries = [Call(self.world, entry, key, keys[key]) for key in sorted(keys)]
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


class Scenario:
    """A world whose events are chosen by the test."""

    def __init__(self):
        self.machine = OrderMachine()
        self.world = self.machine.world
        self.entries = self.world.entries

    def call(self, entry, **changes):
        changes = {"key": f"{START_S:.0f}-order", "body": b"one vise"} | changes
        call = Call(self.world, entry, **changes)
        self.world.step()
        return call

    def deliver_while(self, condition):
        while condition():
            self.machine.deliver(0)

    def finish(self, call, rounds=6):
        self.machine.settle(rounds)
        assert call.ended is not None
        return call


@pytest.fixture
def scene():
    scene = Scenario()
    yield scene
    scene.machine.teardown()


def test_calls_are_refused_during_a_platform_outage_and_accepted_after_it(scene):
    scene.world.platform_up = False
    scene.finish(scene.call(scene.entries[0]))
    refused = scene.call(scene.entries[0], key=f"{START_S:.0f}-another")
    assert refused.error.code is ResultCode.PLATFORM_UNAVAILABLE
    assert refused.error.retry_after_s > 0
    scene.world.platform_up = True
    scene.machine.settle(rounds=4)
    assert scene.finish(scene.call(scene.entries[0])).error is None


def test_calls_are_accepted_after_an_outage_with_an_unexpected_probe_error(scene):
    scene.world.platform_up = False
    scene.finish(scene.call(scene.entries[0]))
    scene.world.broken_adapter = True
    scene.machine.settle(rounds=4)
    scene.world.platform_up, scene.world.broken_adapter = True, False
    scene.machine.settle(rounds=4)
    assert scene.finish(scene.call(scene.entries[0])).error is None


def test_a_retry_without_upstreams_or_platform_does_not_report_not_run(scene):
    for entry in scene.entries:
        scene.finish(scene.call(entry))
    scene.world.platform_up = False
    for agent in scene.world.agents.values():
        agent.alive = False
    for entry in scene.entries:
        retry = scene.finish(scene.call(entry))
        if retry.error is not None:
            assert retry.error.code is ResultCode.PLATFORM_UNAVAILABLE


def test_a_duplicate_of_a_refused_attempt_does_not_start(scene):
    call = scene.call(scene.entries[0])
    while not scene.world.service_calls:
        message = scene.world.messages[0]
        message.deliver("copy" if "Entry.call" in repr(message.serve) else "")
        scene.world.step()
    scene.machine.run_service(0, "refuse")
    scene.machine.deliver(0)
    assert not scene.world.service_calls
    assert scene.finish(call).error is None


def test_a_recorded_answer_is_found_despite_a_stale_copy_and_a_lost_agent(scene):
    first, second = scene.entries
    scene.world.entries = []  # Without peers, each entry writes by itself.
    call = scene.call(first)
    scene.deliver_while(lambda: not scene.world.service_calls)
    early = scene.call(second)
    scene.deliver_while(lambda: early.ended is None)
    assert early.error.code is ResultCode.STILL_RUNNING
    scene.finish(call)
    scene.world.agents["agent0"].alive = False
    assert scene.finish(scene.call(second)).error is None
    scene.world.entries = [first, second]


def test_a_call_to_an_unresponsive_agent_fails_within_two_seconds(scene):
    call = scene.call(scene.entries[0])
    scene.deliver_while(lambda: not scene.world.service_calls)
    scene.world.agents["agent0"].frozen = True
    started_s = scene.world.now
    while call.ended is None:
        for message in list(scene.world.messages):
            message.deliver("lose answer")
        scene.machine.advance(0.1)
    assert scene.world.now - started_s < 2.0
    assert isinstance(call.error, OutcomeUnknown)
    scene.world.agents["agent0"].frozen = False
    answer = scene.finish(scene.call(scene.entries[1])).task.result()
    assert answer.run_id == call.run_ids[0]


def test_two_accounts_may_use_the_same_key(scene):
    calls = [scene.call(scene.entries[0], account=name) for name in "ab"]
    answers = {scene.finish(call).task.result().body for call in calls}
    assert len(answers) == 2


@pytest.mark.parametrize(
    ("key", "code"),
    [
        (None, ResultCode.IDEMPOTENCY_KEY_MISSING),
        ("order-17", ResultCode.MALFORMED_REQUEST),
        (f"{START_S + 3600:.0f}-order", ResultCode.MALFORMED_REQUEST),
        (f"{START_S - 1e6:.0f}-order", ResultCode.IDEMPOTENCY_KEY_EXPIRED),
    ],
)
def test_missing_malformed_and_expired_keys_are_refused(scene, key, code):
    call = scene.call(scene.entries[0], key=key)
    assert call.error.code is code
    scene.machine.calls.clear()


def test_an_idempotent_call_is_retried_without_a_claim(scene):
    call = scene.call(scene.entries[0], key=None, method="GET")
    scene.world.messages[0].deliver("cut")
    scene.finish(call)
    assert call.error is None
    assert not scene.world.values
