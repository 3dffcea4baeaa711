"""Decides whether the answer on a connection is the answer to the call sent there."""

import enum
import re

from persimmonferry_gateway.interfaces import ResponseHead

__all__ = ["Mismatch", "contains_answer", "find_mismatch"]

_ANSWER_HEAD = re.compile(
    rb"HTTP/1\.[01] \d{3}[^\r\n]*\r\n(?:[\w-]+:[^\r\n]*\r\n)+\r\n"
)


class Mismatch(enum.Enum):
    """Why an answer is not relayed."""

    NO_CALL_ID = "answer has no call id"
    OTHER_CALL = "answer of another call"
    NO_SEAL = "answer has no seal"


def find_mismatch(head: ResponseHead, call_id: str) -> Mismatch | None:
    """
    Return why an answer can't be that to a call, None if it is.

    An upstream may answer a call twice, the second time when the answer to the next
    call is expected, so an answer that doesn't state its call is not trusted either.
    """
    if head.call_id is None:
        return Mismatch.NO_CALL_ID
    if head.call_id != call_id:
        return Mismatch.OTHER_CALL
    if head.status < 300 and not head.is_genuine:
        return Mismatch.NO_SEAL
    return None


def contains_answer(body: bytes) -> bool:
    r"""
    Return whether the whole head of another answer is in a body.

    A body without a length lasts until its connection ends, so it includes whatever
    else the upstream answers there.

    >>> contains_answer(b"done"), contains_answer(b"HTTP/1.1 200 means success")
    (False, False)
    >>> contains_answer(b"doneHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
    True
    """
    return _ANSWER_HEAD.search(body) is not None
