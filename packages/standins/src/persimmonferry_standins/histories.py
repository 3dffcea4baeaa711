"""
Checks histories of concurrent calls that share an idempotency key.

A key is modelled as an object that has either not run or run with one answer. A
history is accepted if it is linearizable: each call can be assigned a point between
its start and its end such that the calls, in the order of these points, agree with
one such object.
"""

from collections.abc import Sequence
from dataclasses import dataclass

__all__ = [
    "AnsweredCall",
    "CallEnd",
    "CallRecord",
    "NotRunCall",
    "RanCall",
    "UnknownCall",
    "find_violation",
]


@dataclass(frozen=True)
class AnsweredCall:
    """The call returned an answer."""

    answer: bytes


@dataclass(frozen=True)
class NotRunCall:
    """The call reported that the request had not run."""


@dataclass(frozen=True)
class RanCall:
    """The call reported that the request ran, without its answer."""


@dataclass(frozen=True)
class UnknownCall:
    """The call did not return, or did not report whether the request ran."""


CallEnd = AnsweredCall | NotRunCall | RanCall | UnknownCall


@dataclass(frozen=True)
class CallRecord:
    """
    One call of a history.

    :param started: position of its start among all starts and ends.
    :param ended: position of its end.
    """

    started: int
    ended: int
    end: CallEnd


def find_violation(history: Sequence[CallRecord]) -> str | None:
    """
    Return why no order of the calls explains the history, or None if one does.

    >>> answered = CallRecord(0, 1, AnsweredCall(b"4 buckets"))
    >>> find_violation([answered, CallRecord(2, 3, NotRunCall())])
    "'not run' was said by a call that started after the run had ended"
    >>> find_violation([answered, CallRecord(0, 3, NotRunCall())]) is None
    True
    """
    answers = {call.end.answer for call in history if _has_answer(call)}
    if len(answers) > 1:
        return f"{len(answers)} different answers were given"
    ran = (AnsweredCall, RanCall)
    ran_by = min(
        (call.ended for call in history if isinstance(call.end, ran)), default=None
    )
    if ran_by is None:
        return None
    for call in history:
        if isinstance(call.end, NotRunCall) and call.started > ran_by:
            return "'not run' was said by a call that started after the run had ended"
    if all(isinstance(call.end, NotRunCall | RanCall) for call in history):
        return "'it ran' was said and no call can have run it"
    return None


def _has_answer(call: CallRecord) -> bool:
    return isinstance(call.end, AnsweredCall)
