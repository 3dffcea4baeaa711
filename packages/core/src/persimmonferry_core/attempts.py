"""
The attempts that an agent has seen; each run id starts at most once.

An attempt is identified by its run id, the incarnation of the agent that its claim
names, and a start deadline. Its outcome is :class:`Answered`, :class:`Refused` (did not
run and never will) or :class:`Lost` (may have run).

Correctness does not depend on synchronized clocks. A run id is retained until its start
deadline has passed by the agent's own clock; after that, the deadline itself causes a
refusal. A restarted agent has a new incarnation and refuses all earlier attempts.
"""

from collections import OrderedDict
from dataclasses import dataclass

from persimmonferry_core.codes import ResultCode
from persimmonferry_core.exceptions import FerryError, NotRun, OutcomeUnknown
from persimmonferry_core.runs import CallAnswer

__all__ = [
    "Admission",
    "Admitted",
    "Answered",
    "Attempt",
    "AttemptLimits",
    "AttemptOutcome",
    "AttemptState",
    "AttemptTable",
    "Denied",
    "Finished",
    "Lost",
    "NeverSeen",
    "Refused",
    "Repeated",
    "Running",
]


RETRY_AFTER_S = 1.0


@dataclass(frozen=True)
class Attempt:
    """
    One attempt to run a call.

    :param incarnation: of the agent that the claim names.
    :param start_deadline_s: latest time at which the agent starts it, in seconds since
        1970.
    """

    run_id: str
    incarnation: int
    start_deadline_s: float


@dataclass(frozen=True)
class Answered:
    """
    The attempt ran and was answered.

    :param answer: None if the answer is no longer held.
    """

    answer: CallAnswer | None


@dataclass(frozen=True)
class Refused:
    """The attempt did not run and never will."""

    code: ResultCode
    detail: str = ""
    retry_after_s: float | None = None


@dataclass(frozen=True)
class Lost:
    """The attempt may have run; no complete answer was received."""

    code: ResultCode
    detail: str = ""


AttemptOutcome = Answered | Refused | Lost


@dataclass(frozen=True)
class Admitted:
    """The attempt may start now; returned at most once for each run id."""


@dataclass(frozen=True)
class Repeated:
    """The run id was seen before; :meth:`AttemptTable.query` returns its state."""


@dataclass(frozen=True)
class Denied:
    """
    The attempt must not start.

    :param error: a :class:`NotRun`, or an :class:`OutcomeUnknown` if a copy of the
        request may have run or may still run.
    """

    error: FerryError


Admission = Admitted | Repeated | Denied


@dataclass(frozen=True)
class NeverSeen:
    """No request of this attempt has been received yet; one may still arrive."""


@dataclass(frozen=True)
class Running:
    """The attempt was admitted and has not ended."""


@dataclass(frozen=True)
class Finished:
    """The attempt has ended."""

    ending: AttemptOutcome


AttemptState = NeverSeen | Running | Finished


@dataclass(frozen=True)
class AttemptLimits:
    """
    Limits of one table.

    :param attempts: number of run ids retained; new ones are refused at this limit.
    :param answer_bytes: total size of the answers held; the oldest are evicted first.
    :param retention_s: minimum time that a run id is retained after its start deadline;
        longer than an entry waits for any call.
    :param start_window_s: a start deadline further ahead than this is refused.
    """

    attempts: int = 50_000
    answer_bytes: int = 32 * 1024 * 1024
    retention_s: float = 600.0
    start_window_s: float = 60.0


@dataclass(frozen=True)
class _Row:
    attempt: Attempt
    state: Running | Finished


def _deny(detail: str) -> Denied:
    return Denied(NotRun(ResultCode.UPSTREAM_REFUSED, detail, RETRY_AFTER_S))


class AttemptTable:
    """
    The attempts of one incarnation of an agent.

    :param incarnation: of this agent; differs after each start of its process.
    """

    def __init__(
        self, incarnation: int, limits: AttemptLimits = AttemptLimits()
    ) -> None:
        self._incarnation = incarnation
        self._limits = limits
        self._rows: OrderedDict[str, _Row] = OrderedDict()
        self._held: OrderedDict[str, int] = OrderedDict()
        self._held_bytes = 0
        self._now = 0.0
        # Unknown attempts with a start deadline up to this one are refused: some were
        # refused while the table was full, so they could not be recorded.
        self._closed_deadline_s = 0.0

    @property
    def incarnation(self) -> int:
        """The incarnation of this agent."""
        return self._incarnation

    def admit(self, attempt: Attempt, now: float) -> Admission:
        """
        Decide whether an attempt may start, before any other check of the request.

        If a later check refuses an admitted request, pass :class:`Refused` to
        :meth:`finish`, so that no copy of the request starts later.
        """
        state = self.query(attempt, now)
        if attempt.run_id in self._rows:
            return Repeated()
        match state:
            case Finished(Refused(code, detail)):
                return Denied(NotRun(code, detail, RETRY_AFTER_S))
            case Finished(Lost(code, detail)):
                return Denied(OutcomeUnknown(code, detail))
        if not self._make_room():
            return self._deny_when_full(attempt)
        if self._is_far_ahead(attempt):
            refused = Refused(
                ResultCode.UPSTREAM_REFUSED,
                "start deadline is too far ahead; check the clocks",
            )
            self._rows[attempt.run_id] = _Row(attempt, Finished(refused))
            return _deny(refused.detail)
        self._rows[attempt.run_id] = _Row(attempt, Running())
        return Admitted()

    def finish(self, run_id: str, ending: AttemptOutcome) -> None:
        """
        Record the outcome of an admitted attempt; the first one recorded stays.

        :raises KeyError: the attempt was not admitted.
        """
        row = self._rows[run_id]
        if isinstance(row.state, Finished):
            return
        self._rows[run_id] = _Row(row.attempt, Finished(ending))
        if isinstance(ending, Answered) and ending.answer is not None:
            self._hold(run_id, ending.answer)

    def query(self, attempt: Attempt, now: float) -> AttemptState:
        """Return the state of an attempt."""
        # A clock that is set back must not make a dropped attempt look new.
        self._now = max(self._now, now)
        row = self._rows.get(attempt.run_id)
        if row is not None:
            return row.state
        if attempt.incarnation != self._incarnation:
            # A copy sent earlier may have run before this process started.
            return Finished(Lost(ResultCode.UPSTREAM_LOST, "the agent was restarted"))
        if attempt.start_deadline_s + self._limits.retention_s <= self._now:
            return Finished(
                Lost(
                    ResultCode.UPSTREAM_LOST,
                    "the agent no longer has a record of the attempt",
                )
            )
        if self._is_closed(attempt):
            detail = "the start deadline has passed"
            return Finished(Refused(ResultCode.UPSTREAM_REFUSED, detail))
        return NeverSeen()

    def fence(self, attempt: Attempt, now: float) -> AttemptState:
        """
        Refuse an attempt from now on if it was never seen, and return its state.

        :class:`Refused` proves that this attempt has not started and never will.
        :class:`NeverSeen` is returned only if the table is full, so that the refusal
        can't be recorded.
        """
        state = self.query(attempt, now)
        if not isinstance(state, NeverSeen):
            return state
        if self._make_room():
            refused = Refused(ResultCode.UPSTREAM_REFUSED, "the attempt was abandoned")
            self._rows[attempt.run_id] = _Row(attempt, Finished(refused))
        elif not self._is_far_ahead(attempt):
            self._close(attempt)
        return self.query(attempt, now)

    def _is_closed(self, attempt: Attempt) -> bool:
        return attempt.start_deadline_s <= max(self._now, self._closed_deadline_s)

    def _is_far_ahead(self, attempt: Attempt) -> bool:
        return attempt.start_deadline_s > self._now + self._limits.start_window_s

    def _close(self, attempt: Attempt) -> None:
        self._closed_deadline_s = max(self._closed_deadline_s, attempt.start_deadline_s)

    def _deny_when_full(self, attempt: Attempt) -> Denied:
        if self._is_far_ahead(attempt):
            # A later copy could still be admitted, so this can't be NotRun.
            return Denied(
                OutcomeUnknown(ResultCode.UPSTREAM_LOST, "the attempt table is full")
            )
        self._close(attempt)
        return _deny("the attempt table is full")

    def _make_room(self) -> bool:
        while self._rows:
            oldest = next(iter(self._rows.values()))
            if not self._has_expired(oldest):
                break
            self._forget(oldest.attempt.run_id)
        return len(self._rows) < self._limits.attempts

    def _has_expired(self, row: _Row) -> bool:
        ended = isinstance(row.state, Finished)
        expires_s = row.attempt.start_deadline_s + self._limits.retention_s
        return ended and expires_s <= self._now

    def _forget(self, run_id: str) -> None:
        del self._rows[run_id]
        self._held_bytes -= self._held.pop(run_id, 0)

    def _hold(self, run_id: str, answer: CallAnswer) -> None:
        self._held[run_id] = len(answer.body)
        self._held_bytes += len(answer.body)
        while self._held_bytes > self._limits.answer_bytes:
            oldest, size = self._held.popitem(last=False)
            self._held_bytes -= size
            row = self._rows[oldest]
            self._rows[oldest] = _Row(row.attempt, Finished(Answered(None)))
