"""Decides whether the answer on a connection is the answer to the call sent there."""

import enum
import re

from persimmonferry_gateway.interfaces import ResponseHead

__all__ = ["Mismatch", "contains_answer", "find_mismatch"]

# The head of an answer, or what was received of it at the end of the body.
_ANSWER_HEAD = re.compile(
    rb"HTTP/1\.[01] \d{3}[^\r\n]*(?:\Z|\r\n"
    rb"(?:[\w-]+:[^\r\n]*\r\n){0,64}(?:\r\n|[^\r\n]*\Z))"
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


def contains_answer(body: bytes, call_id: str, *, is_framed: bool) -> bool:
    r"""
    Return whether a body includes another answer of the upstream.

    A body without a length lasts until its connection ends, so it includes whatever
    else the upstream sends there. One with a length does if it was cut and the
    connection used again; there only an answer that states the call is taken for
    another one, as documents may have examples of answers.

    :param is_framed: whether the body had a length or came in chunks.

    >>> more = b"do" + b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\ndone"
    >>> contains_answer(more, "a", is_framed=True)
    True
    >>> contains_answer(more, "b", is_framed=True)
    False
    >>> contains_answer(more, "b", is_framed=False)
    True
    >>> contains_answer(b"a 200 is a success in HTTP/1.1", "a", is_framed=False)
    False
    """
    if not is_framed:
        return _ANSWER_HEAD.search(body) is not None
    sought = call_id.encode("latin-1")
    if sought not in body:
        return False
    return any(sought in found.group() for found in _ANSWER_HEAD.finditer(body))
