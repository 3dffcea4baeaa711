from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from persimmonferry_core.attempts import Answered, Attempt, Lost, Refused
from persimmonferry_core.codes import ResultCode
from persimmonferry_core.journal import (
    Claim,
    ClaimChange,
    EndingChange,
    Expired,
    JournalEntry,
    JournalShape,
    Placed,
    Segment,
    SegmentFull,
    choose_writer,
    locate_segment,
)
from persimmonferry_core.runs import CallAnswer
from persimmonferry_core.topology import Address

SHAPE = JournalShape(segment_bytes=2000, answer_bytes=30)
KEYS = st.sampled_from([f"{number:032x}" for number in range(3)])
NUMBERS = st.integers(0, 5)


def build_claim(key, body, number):
    attempt = Attempt(f"run{number}", 1, 1000.0)
    return Claim(key, body, "agent", Address("127.0.0.1", 80), attempt)


def build_ending(kind, run_id):
    match kind:
        case "answered" | "answered at length":
            size = 5 if kind == "answered" else 50
            return Answered(CallAnswer(run_id, 201, "text/plain", b"\xff" * size))
        case "refused":
            return Refused(ResultCode.UPSTREAM_REFUSED, "busy")
    return Lost(ResultCode.UPSTREAM_LOST, "gone")


class JournalMachine(RuleBasedStateMachine):
    """Changes arrive in any order and duplicated; each new value is parsed again."""

    def __init__(self):
        super().__init__()
        self.bucket = 7
        self.segment = Segment.parse(b"")
        self.current = {}
        self.endings = {}
        self.placed = set()
        self.claims = {}

    def apply(self, bucket, claims=(), endings=()):
        applied = self.segment.apply(bucket, claims, endings, SHAPE)
        if applied.changed:
            parsed = Segment.parse(applied.segment.value, self.segment)
            assert parsed == Segment.parse(applied.segment.value) == applied.segment
            self.segment = parsed
        return applied

    @rule(key=KEYS, body=st.sampled_from("ab"), number=NUMBERS, replaced=NUMBERS)
    def claim(self, key, body, number, replaced):
        run_id = f"{key[-1]}-{number}"
        claim = self.claims.setdefault(run_id, build_claim(key, body, run_id))
        replaces = f"run{key[-1]}-{replaced}"
        change = ClaimChange(claim, replaces)
        (placement,) = self.apply(self.bucket, [change]).placements
        before = self.current.get(key)
        may_replace = before is None or (
            claim.run_id not in self.placed
            and claim.body_digest == before.body_digest
            and self.is_disproved(before, replaces)
        )
        match placement:
            case SegmentFull():
                assert before is None
            case Placed(JournalEntry(current)) if current == before:
                assert not may_replace or self.is_nearly_full()
            case Placed(JournalEntry(current, None)):
                assert may_replace
                assert current == claim
                self.current[key] = claim
                self.placed.add(claim.run_id)

    def is_disproved(self, claim, replaces):
        ending = self.endings.get(claim.run_id)
        if ending is None:
            return claim.run_id == replaces
        return isinstance(ending, Refused)

    def is_nearly_full(self):
        return len(self.segment.value) > SHAPE.claim_limit_bytes - 300

    @rule(
        key=KEYS,
        number=NUMBERS,
        kind=st.sampled_from(["answered", "answered at length", "refused", "lost"]),
    )
    def end(self, key, number, kind):
        run_id = f"run{key[-1]}-{number}"
        change = EndingChange(key, run_id, build_ending(kind, run_id))
        self.apply(self.bucket, endings=[change])
        entry = self.segment.entries.get(key)
        if entry is not None and entry.claim.run_id == run_id and entry.ending:
            self.endings.setdefault(run_id, entry.ending)
            answer = getattr(entry.ending, "answer", None)
            assert answer is None or len(answer.body) <= SHAPE.answer_bytes

    @rule()
    def clear_for_a_later_segment(self):
        old = self.bucket
        self.bucket += SHAPE.slots
        claim = build_claim("f" * 32, "a", f"later{self.bucket}")
        (placement,) = self.apply(self.bucket, [ClaimChange(claim)]).placements
        assert placement == Placed(JournalEntry(claim))
        again = self.segment.apply(old, [ClaimChange(claim)], [], SHAPE)
        assert again.placements == (Expired(),)
        assert not again.changed
        self.current = {claim.key_digest: claim}
        self.endings = {}
        self.placed = {claim.run_id}

    @invariant()
    def the_segment_holds_each_current_claim_and_its_first_ending(self):
        assert len(self.segment.value) <= SHAPE.segment_bytes
        for key, claim in self.current.items():
            entry = self.segment.entries[key]
            assert entry.claim == claim
            assert entry.ending == self.endings.get(claim.run_id)


JournalMachine.TestCase.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=50, deadline=None
)
TestJournal = JournalMachine.TestCase


def test_a_platform_key_is_not_reused_within_the_retention():
    shape = JournalShape()
    issued_s = 1_800_000_000.0
    first = locate_segment("0" * 32, issued_s, shape)
    span_s = shape.retention_s + 2 * shape.clock_margin_s
    for step in range(1, int(span_s / shape.segment_s) + 1):
        later = locate_segment("0" * 32, issued_s + step * shape.segment_s, shape)
        assert later.platform_key != first.platform_key


def test_partitions_are_spread_evenly_among_the_entries():
    names = [f"entry{number}" for number in range(4)]
    writers = [choose_writer(partition, names) for partition in range(400)]
    assert min(map(writers.count, names)) > 60


def test_a_full_segment_refuses_new_keys_and_still_records_endings():
    segment = Segment.parse(b"")
    placements = []
    for number in range(40):
        run_id = f"run{number}"
        claim = build_claim(f"{number:032x}", "a", number)
        ending = EndingChange(
            claim.key_digest, run_id, build_ending("answered", run_id)
        )
        applied = segment.apply(3, [ClaimChange(claim)], [ending], SHAPE)
        placements += applied.placements
        segment = applied.segment
    assert len(segment.value) <= SHAPE.segment_bytes
    assert placements[-1] == SegmentFull()
    endings = [entry.ending for entry in segment.entries.values()]
    assert endings[0].answer is not None
    assert endings[-1] == Answered(None)
    assert len(endings) == sum(isinstance(item, Placed) for item in placements)
