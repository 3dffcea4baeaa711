from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from persimmonferry_core.attempts import (
    Admitted,
    Answered,
    Attempt,
    AttemptLimits,
    AttemptTable,
    Denied,
    Finished,
    Lost,
    Refused,
    Repeated,
    Running,
)
from persimmonferry_core.codes import ResultCode
from persimmonferry_core.exceptions import NotRun
from persimmonferry_core.runs import CallAnswer

LIMITS = AttemptLimits(
    attempts=2, answer_bytes=40, retention_s=20.0, start_window_s=10.0
)


class AttemptMachine(RuleBasedStateMachine):
    """Requests and queries arrive in any order, delayed and duplicated."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0
        self.attempts = []
        self.incarnation = 1
        self.table = AttemptTable(1, LIMITS)
        self.starts = {}
        self.ended = {}
        self.proved_not_run = set()

    @rule(ahead=st.sampled_from([-3.0, 2.0, 5.0, 9.0, 15.0, 60.0]))
    def create_attempt(self, ahead):
        run_id = f"r{len(self.attempts)}"
        self.attempts.append(Attempt(run_id, self.incarnation, self.now + ahead))

    @rule(data=st.data())
    def receive_copy(self, data):
        if not self.attempts:
            return
        attempt = data.draw(st.sampled_from(self.attempts[-4:]))
        match self.table.admit(attempt, self.now):
            case Admitted():
                assert attempt.run_id not in self.proved_not_run
                self.starts[attempt.run_id] = self.starts.get(attempt.run_id, 0) + 1
            case Denied(NotRun()):
                self.prove_not_run(attempt)
            case Repeated():
                assert attempt.run_id in self.starts | dict.fromkeys(
                    self.proved_not_run
                )

    @rule(data=st.data(), size=st.integers(0, 50), answered=st.booleans())
    def finish_running(self, data, size, answered):
        running = [
            attempt
            for attempt in self.attempts
            if attempt.run_id in self.starts
            and attempt.run_id not in self.ended
            and attempt.incarnation == self.incarnation
        ]
        if not running:
            return
        run_id = data.draw(st.sampled_from(running)).run_id
        answer = CallAnswer(run_id, 200, "text/plain", b"x" * size)
        self.ended[run_id] = answer if answered else None
        self.table.finish(run_id, Answered(answer) if answered else Lost(None))

    @rule(data=st.data(), fence=st.booleans())
    def ask_state(self, data, fence):
        if not self.attempts:
            return
        attempt = data.draw(st.sampled_from(self.attempts))
        ask = self.table.fence if fence else self.table.query
        match ask(attempt, self.now):
            case Finished(Refused()):
                self.prove_not_run(attempt)
            case Finished(Answered(CallAnswer() as answer)):
                assert answer == self.ended[attempt.run_id]
            case Finished(Answered(None)):
                assert self.ended[attempt.run_id] is not None
            case Running():
                assert self.starts[attempt.run_id] == 1
                assert attempt.run_id not in self.ended

    @rule(step=st.sampled_from([0.5, 3.0, 12.0, 40.0, -5.0]))
    def move_clock(self, step):
        self.now += step

    @rule()
    def restart(self):
        self.incarnation += 1
        self.table = AttemptTable(self.incarnation, LIMITS)

    def prove_not_run(self, attempt):
        assert attempt.run_id not in self.starts
        self.proved_not_run.add(attempt.run_id)

    @invariant()
    def each_attempt_starts_at_most_once(self):
        assert all(count == 1 for count in self.starts.values())

    @invariant()
    def memory_is_bounded(self):
        assert len(self.table._rows) <= LIMITS.attempts
        assert self.table._held_bytes <= LIMITS.answer_bytes


AttemptMachine.TestCase.settings = settings(
    derandomize=True, max_examples=300, stateful_step_count=40, deadline=None
)
TestAttempts = AttemptMachine.TestCase


def test_an_attempt_refused_by_a_full_table_stays_refused_when_there_is_room():
    table = AttemptTable(1, LIMITS)
    for run_id in "ab":
        attempt = Attempt(run_id, 1, 1002.0)
        assert table.admit(attempt, 1000.0) == Admitted()
        table.finish(run_id, Lost(ResultCode.UPSTREAM_LOST))
    late = Attempt("c", 1, 1025.0)
    assert isinstance(table.admit(late, 1016.0), Denied)
    assert isinstance(table.admit(late, 1023.0), Denied)
    assert table.admit(Attempt("d", 1, 1026.0), 1023.0) == Admitted()
