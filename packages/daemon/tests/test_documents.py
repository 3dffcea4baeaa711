"""
Concurrent operators, a faulty platform and lagging replicas.

Guards against changes that are lost, accepted twice or reverted. Every call to the
platform is a separate step, so that the machine can interleave the steps of several
operators, and let each call succeed or fail.
"""

import contextlib
from dataclasses import dataclass, replace
from unittest import mock

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from persimmonferry_core import revisions
from persimmonferry_core.exceptions import (
    PlatformAnswerLost,
    PlatformUnavailable,
    RevisionConflict,
    SwapConflict,
)
from persimmonferry_core.interfaces import Versioned
from persimmonferry_core.revisions import Advanced, Gap, Replica
from persimmonferry_daemon.documents import DocumentRecord, Proposal
from persimmonferry_daemon.revision_messages import read_update, write_update

HEAD = """[team]
name = roses
[service notes]
kind = plain
[tier dawn]
promised_wait_s = 9
price_per_1k_tokens = 1
cached_price_per_1k_tokens = 0
[operator demo]
key_digests = {digest}
""".format(digest="ee" * 32)


def write_document(weights):
    accounts = (
        f"[account a{index}]\nkey_digests = {index:064x}\n"
        f"cache_secret = {index:032x}\nservices = notes\nweight = {weight}\n"
        for index, weight in weights
    )
    return HEAD + "".join(accounts)


WEIGHTS = st.lists(
    st.tuples(st.integers(0, 5), st.integers(1, 9)),
    unique_by=lambda pair: pair[0],
    max_size=4,
)

FATES = st.sampled_from(["good"] * 6 + ["down", "lost", "never", "late"])


class Call:
    """One call to the platform; it waits until the machine chooses its outcome."""

    def __init__(self, key, value=None, expected=None):
        self.key, self.value, self.expected = key, value, expected

    def __await__(self):
        return (yield self)


class SteppedPlatform:
    async def read(self, key):
        return await Call(key)

    async def swap(self, key, value, expected):
        return await Call(key, value, expected)


async def skip_pause(duration_s):
    pass


@dataclass
class Operator:
    proposal: Proposal
    coroutine: object
    call: Call


class Documents(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.values = {}
        self.last_revision = 0
        self.record = DocumentRecord(SteppedPlatform(), "roses", skip_pause)
        self.accepted = [(0, "")]
        self.ended_unwritten = set()
        self.written = set()
        self.operators = []
        self.late = []
        self.count = 0
        self.replicas = [Replica() for _ in range(4)]
        self.damaged = set()

    # The platform.

    def load(self, key):
        value, revision = self.values.get(key, (b"", 0))
        return Versioned(key, value, revision)

    def store(self, call, proposal):
        stored = self.load(call.key)
        if stored.revision != call.expected:
            raise SwapConflict(call.key, stored.revision)
        # Revisions of one key have gaps: the platform counts all writes together.
        self.last_revision += 1
        self.values[call.key] = (call.value, self.last_revision)
        if call.key == self.record.key:
            self.note_acceptance(proposal)
        return self.load(call.key)

    def note_acceptance(self, proposal):
        assert proposal.expected == self.accepted[-1][0], "an unseen change was lost"
        assert proposal.change_id not in self.written, "a change was accepted twice"
        assert proposal.change_id not in self.ended_unwritten, "refused, yet accepted"
        self.written.add(proposal.change_id)
        self.accepted.append((self.last_revision, proposal.text))

    def run_now(self, coroutine, result=None):
        try:
            while True:
                call = coroutine.send(result)
                result = self.load(call.key)
        except StopIteration as stop:
            return stop.value

    # Operators.

    def propose(self, weights, stale):
        read = self.accepted[max(0, len(self.accepted) - 1 - stale)][0]
        self.count += 1
        text = write_document(weights)
        return Proposal(text, read, f"c{self.count}", "demo", self.count)

    @rule(weights=WEIGHTS, stale=st.integers(0, 1))
    def start(self, weights, stale):
        proposal = self.propose(weights, stale)
        coroutine = self.record.apply(proposal)
        self.operators.append(Operator(proposal, coroutine, coroutine.send(None)))

    @rule(
        weights=WEIGHTS,
        schedule=st.lists(st.tuples(st.booleans(), FATES), min_size=6, max_size=16),
    )
    def race(self, weights, schedule):
        self.start(weights, 0)
        self.start([], 0)
        pair = self.operators[-2:]
        for first, fate in schedule:
            operator = pair[0] if first else pair[1]
            if operator in self.operators:
                self.step_once(operator, fate)

    @rule(steps=st.integers(0, 4), changes=st.integers(1, 4), fate=FATES)
    def pause(self, steps, changes, fate):
        self.start([], 0)
        paused = self.operators[-1]
        for _ in range(steps):
            if paused in self.operators:
                self.step_once(paused, "good")
        reader = self.record.read()
        head = self.load(reader.send(None).key)
        for _ in range(changes):
            self.change_undisturbed([(index, self.count % 9 + 1) for index in range(4)])
        accepted = self.run_now(reader, head)
        assert (accepted.revision, accepted.text) in self.accepted
        while paused in self.operators:
            self.step_once(paused, fate if fate != "late" else "good")

    @rule(
        first=st.sampled_from(["lost", "never", "late"]),
        after=st.lists(st.sampled_from(["down", "good"]), min_size=1, max_size=6),
    )
    def lose_answer(self, first, after):
        self.start([(0, self.count % 9 + 1)], 0)
        operator = self.operators[-1]
        while operator in self.operators and not self.is_acceptance(operator.call):
            self.step_once(operator, "good")
        for fate in [first, *after]:
            if operator in self.operators:
                self.step_once(operator, fate)

    def is_acceptance(self, call):
        return call.value is not None and call.key == self.record.key

    @rule(weights=WEIGHTS)
    def change_undisturbed(self, weights):
        self.start(weights, 0)
        operator = self.operators[-1]
        while operator in self.operators:
            self.step_once(operator, "good")
        self.watch(self.count % 4)

    @precondition(lambda self: self.operators)
    @rule(
        index=st.integers(0, 9),
        fates=st.lists(FATES, min_size=1, max_size=6),
    )
    def step(self, index, fates):
        operator = self.operators[index % len(self.operators)]
        for fate in fates:
            if operator in self.operators:
                self.step_once(operator, fate)

    def step_once(self, operator, fate):
        call = operator.call
        try:
            result = self.carry_out(call, operator.proposal, fate)
        except Exception as error:
            self.go_on(operator, operator.coroutine.throw, error)
        else:
            self.go_on(operator, operator.coroutine.send, result)

    def carry_out(self, call, proposal, fate):
        if fate == "down":
            raise PlatformUnavailable("down")
        if call.value is None:
            return self.load(call.key)
        if fate == "good":
            return self.store(call, proposal)
        if fate == "late":
            self.late.append((call, proposal))
        if fate == "lost":
            with contextlib.suppress(SwapConflict):
                self.store(call, proposal)
        raise PlatformAnswerLost("lost")

    def go_on(self, operator, resume, value):
        try:
            operator.call = resume(value)
            return
        except StopIteration as stop:
            applied = stop.value
            assert applied.revision in dict(self.accepted)
            if operator.proposal.change_id in self.written:
                assert dict(self.accepted)[applied.revision] == operator.proposal.text
            assert (
                applied.accepted.text == dict(self.accepted)[applied.accepted.revision]
            )
        except PlatformAnswerLost:
            pass
        except (RevisionConflict, PlatformUnavailable) as error:
            assert operator.proposal.change_id not in self.written, str(error)
            self.ended_unwritten.add(operator.proposal.change_id)
        self.operators.remove(operator)

    @precondition(lambda self: self.late)
    @rule()
    def land_late_write(self):
        call, proposal = self.late.pop(0)
        with contextlib.suppress(SwapConflict):
            self.store(call, proposal)

    # Replicas.

    def take(self, index, update):
        before = self.replicas[index]
        outcome = revisions.advance(before, update)
        if isinstance(outcome, Advanced):
            assert outcome.replica.revision > before.revision
            self.replicas[index] = outcome.replica
            self.damaged.discard(index)
        return outcome

    @rule(index=st.integers(0, 3))
    def watch(self, index):
        accepted = self.run_now(self.record.read())
        if accepted.revision and isinstance(self.take(index, accepted.changes), Gap):
            assert not isinstance(self.take(index, accepted.whole), Gap)

    @rule(source=st.integers(0, 3), receiver=st.integers(0, 3), known=st.integers(0, 3))
    def tell(self, source, receiver, known):
        # What the sender believes that the receiver has may be wrong.
        believed = self.replicas[(receiver + known) % 4].revision
        update = revisions.compose_update(self.replicas[source], believed)
        if update is None:
            return
        update = read_update(write_update("roses", update))
        if isinstance(self.take(receiver, update), Gap):
            whole = revisions.compose_update(self.replicas[source], 0)
            self.take(receiver, whole)

    @rule(index=st.integers(0, 3))
    def restart(self, index):
        self.replicas[index] = Replica()
        self.damaged.discard(index)

    @rule(index=st.integers(0, 3))
    def damage(self, index):
        replica = self.replicas[index]
        self.replicas[index] = replace(replica, text=replica.text + "# damaged\n")
        self.damaged.add(index)

    # What must hold.

    @invariant()
    def replicas_hold_accepted_texts(self):
        texts = dict(self.accepted)
        for index, replica in enumerate(self.replicas):
            if index not in self.damaged:
                assert replica.text == texts[replica.revision]

    def teardown(self):
        accepted = self.run_now(self.record.read())
        assert (accepted.revision, accepted.text) == self.accepted[-1]
        held = [change.revision for change in accepted.checkpoint.past]
        assert held == [revision for revision, _ in self.accepted[1:]]
        for revision, text in self.accepted[1:]:
            assert revisions.read_text_at(accepted.checkpoint, revision) == text
        for index in range(4):
            self.watch(index)
            assert self.replicas[index].revision == self.accepted[-1][0]
        for operator in self.operators:
            operator.coroutine.close()


def test_no_accepted_change_is_lost_doubled_or_reverted():
    profile = settings(
        derandomize=True,
        max_examples=250,
        stateful_step_count=25,
        deadline=None,
    )
    # Small heads, so that checkpoints are written in nearly every example.
    with mock.patch.object(revisions, "MAX_HEAD_BYTES", 300):
        run_state_machine_as_test(Documents, settings=profile)
