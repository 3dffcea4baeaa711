"""Decides whether the answer on a connection is the answer to the call sent there."""

import enum
import re
from collections.abc import Callable

from persimmonferry_gateway.interfaces import ResponseHead

__all__ = [
    "LONGEST_PART_BYTES",
    "AnswerFinder",
    "HeadDecoder",
    "Mismatch",
    "ends_with_part_of_status_line",
    "find_mismatch",
    "is_identified",
]

HeadDecoder = Callable[[int, str, list[tuple[str, str]]], ResponseHead]

_ANSWER_BEGIN = b"HTTP/1."

# Status line and fields. It matches at each status line, without going back, as the
# time to search a body would grow with the square of its size otherwise.
_ANSWER_HEAD = re.compile(
    rb"HTTP/1\.[01] \d{3}[^\r\n]*+(?:\r\n(?:[\w-]++:[^\r\n]*+\r\n)*+)?"
)
# The end of the head, or of what was received of it at the end of the body.
_HEAD_END = re.compile(rb"\r\n|[^\r\n]*+\r?\Z")
# A status line that ends a body; with other text behind the status it is a document.
_CUT_STATUS_LINE = re.compile(rb"HTTP/1\.[01] \d{3}[\w '-]*+\r?")
# Less than the status of another answer, at the end of a body.
_PART_OF_STATUS_LINE = re.compile(
    rb"H(?:T(?:T(?:P(?:/(?:1(?:\.(?:[01](?: \d{0,2})?)?)?)?)?)?)?)?\Z"
)
LONGEST_PART_BYTES = len(b"HTTP/1.1 20")


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


def is_identified(fields: list[tuple[str, str]], decode_head: HeadDecoder) -> bool:
    """Return whether fields hold the id of a call or a seal."""
    decoded = decode_head(0, "", fields)
    return decoded.call_id is not None or decoded.is_genuine


def ends_with_part_of_status_line(body: bytes) -> bool:
    """
    Return whether the end of a body may be the begin of another answer.

    It may be text as well, so that alone tells nothing.

    >>> ends_with_part_of_status_line(b"confirmed: HTTP/1.1 2")
    True
    >>> ends_with_part_of_status_line(b"confirmed: HTTP/2 ")
    False
    """
    return bool(_PART_OF_STATUS_LINE.search(body[-LONGEST_PART_BYTES:]))


class AnswerFinder:
    r"""
    Finds other answers of an upstream inside the content of an answer.

    Bytes that an upstream sends twice become a part of a body that lasts until its
    connection ends, and of one whose own end is missing. Documents may have examples of
    answers, so a whole head without an id and a seal counts only in a body without a
    length.

    :param decode_head: decodes the status, reason and fields of an answer.
    """

    def __init__(self, decode_head: HeadDecoder) -> None:
        self._decode_head = decode_head

    def has_answer(self, content: bytes, *, is_framed: bool = True) -> bool:
        """
        Return whether the content includes the head of another answer.

        :param is_framed: whether the answer had a length or came in chunks.
        """
        if _ANSWER_BEGIN not in content:
            return False
        for found in _ANSWER_HEAD.finditer(content):
            end = _HEAD_END.match(content, found.end())
            if end is None:
                continue
            head = found.group() + end.group()
            if b"\r\n" not in head and not _CUT_STATUS_LINE.fullmatch(head):
                continue
            is_cut = not head.endswith(b"\r\n\r\n")
            if not is_framed or is_cut or self._is_identified(head):
                return True
        return False

    def _is_identified(self, head: bytes) -> bool:
        """Return whether a head has an id or a seal."""
        lines = head.decode("latin-1").split("\r\n")
        rows = (line.partition(":") for line in lines[1:])
        fields = [(name, value.strip()) for name, colon, value in rows if colon]
        return is_identified(fields, self._decode_head)
