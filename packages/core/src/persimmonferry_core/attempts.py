"""
The attempts that an agent has seen: each run id starts at most once.

An attempt is named by its run id, the incarnation of the agent that its claim names,
and a start deadline. Its three endings are :class:`Answered`, :class:`Refused` (not
run, and it never will) and :class:`Lost` (outcome unknown).

No promise here rests on clocks that agree. A run id is kept until the agent's own
clock has passed its start deadline, and from then on the deadline refuses it. An agent
that starts anew has another incarnation and refuses all older attempts.
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
    :param start_deadline_s: the agent refuses to start it later, in seconds since 1970.
    """

    run_id: str
    incarnation: int
    start_deadline_s: float


@dataclass(frozen=True)
class Answered:
    """
    The attempt ran and was answered.

    :param answer: None when the answer is no longer held.
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
    """The attempt may have run; no whole answer came."""

    code: ResultCode
    detail: str = ""


AttemptOutcome = Answered | Refused | Lost


@dataclass(frozen=True)
class Admitted:
    """The attempt may start now; it is the only time that this is said."""


@dataclass(frozen=True)
class Repeated:
    """The run id was seen before; :meth:`AttemptTable.query` tells its state."""


@dataclass(frozen=True)
class Denied:
    """
    The attempt must not start.

    :param error: a :class:`NotRun`, or an :class:`OutcomeUnknown` when an earlier
        incarnation of the agent may have run it.
    """

    error: FerryError


Admission = Admitted | Repeated | Denied


@dataclass(frozen=True)
class NeverSeen:
    """No request of this attempt has come yet; one may still come."""


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
    Bounds of one table.

    :param attempts: run ids kept; new ones are refused while it is full.
    :param answer_bytes: of all answers held; the oldest go first.
    :param retention_s: kept at least this long after the start deadline; it is longer
        than an entry waits for any call.
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
    What one incarnation of an agent knows of its attempts.

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
        # Attempts with start deadlines up to this one are refused unless known: some
        # were refused when the table had no room to remember them.
        self._closed_deadline_s = 0.0

    @property
    def incarnation(self) -> int:
        """The incarnation of this agent."""
        return self._incarnation

    def admit(self, attempt: Attempt, now: float) -> Admission:
        """
        Decide whether an attempt may start, before any other check of the request.

        A request that is refused after it was admitted is given to :meth:`finish` as
        :class:`Refused`, so that no copy of it starts later.
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
            refused = Refused(ResultCode.UPSTREAM_REFUSED, "the clocks disagree")
            self._rows[attempt.run_id] = _Row(attempt, Finished(refused))
            return _deny(refused.detail)
        self._rows[attempt.run_id] = _Row(attempt, Running())
        return Admitted()

    def finish(self, run_id: str, ending: AttemptOutcome) -> None:
        """
        Record how an admitted attempt ended; the first ending stays.

        :raises KeyError: it was not admitted.
        """
        row = self._rows[run_id]
        if isinstance(row.state, Finished):
            return
        self._rows[run_id] = _Row(row.attempt, Finished(ending))
        if isinstance(ending, Answered) and ending.answer is not None:
            self._hold(run_id, ending.answer)

    def query(self, attempt: Attempt, now: float) -> AttemptState:
        """Tell what is known of an attempt."""
        # A clock that is set back must not make a forgotten attempt new again.
        self._now = max(self._now, now)
        row = self._rows.get(attempt.run_id)
        if row is not None:
            return row.state
        if attempt.incarnation != self._incarnation:
            # A copy sent earlier may have run before this process started.
            return Finished(Lost(ResultCode.UPSTREAM_LOST, "the agent was restarted"))
        if attempt.start_deadline_s + self._limits.retention_s <= self._now:
            return Finished(Lost(ResultCode.UPSTREAM_LOST, "the agent has forgotten"))
        if self._is_closed(attempt):
            detail = "the start deadline has passed"
            return Finished(Refused(ResultCode.UPSTREAM_REFUSED, detail))
        return NeverSeen()

    def fence(self, attempt: Attempt, now: float) -> AttemptState:
        """
        Refuse an attempt from now on if it was never seen, and tell its state.

        :class:`Refused` is a proof: this attempt has not started and never will.
        :class:`NeverSeen` comes back only when there is no room to remember it.
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
            # Nothing keeps a later copy out, so this is no proof.
            return Denied(OutcomeUnknown(ResultCode.UPSTREAM_LOST, "the agent is full"))
        self._close(attempt)
        return _deny("the agent is full")

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
