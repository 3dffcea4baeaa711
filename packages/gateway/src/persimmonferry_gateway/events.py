"""Splits a stream of server-sent events into complete events."""

import re
from collections.abc import Callable

__all__ = ["EndlessStream", "EventSplitter"]

# An event holds a few tokens; a faulty upstream may send bytes without end.
MAX_EVENT_BYTES = 1024 * 1024

_EVENT_END = re.compile(rb"\r?\n\r?\n")
# Lines of events: comments, and fields with or without a value.
_LINES = re.compile(rb"(?:(?:[A-Za-z][\w.-]{0,63}+)?+(?::[^\n]*+|\r?+)\n)*+")
_LINE_BEGIN = re.compile(rb"(?:[A-Za-z][\w.-]{0,63}+)?+:")
# Of a line, enough to tell whether it begins with a field.
_LINE_HEAD_BYTES = 128
# An id is logged, and sent with the call that resumes its stream.
MAX_ID_BYTES = 1024
# Events that hold no token, as one that ends the stream.
MAX_EMPTY_EVENTS = 16
# Of events without ids, as comments that keep the connection alive, and of those after
# the last token.
MAX_EXCESS_BYTES = 64 * 1024
# The end of an event may begin in the last bytes that were searched before.
_SEARCHED_AGAIN_BYTES = 3
# No line of an event begins like this; an upstream that answers twice sends it.
_STATUS_LINE = re.compile(rb"^HTTP/1\.[01] \d{3} ", re.MULTILINE)
_EVENT_ID = re.compile(rb"^id:[ \t]*(\S+)[ \t\r]*$", re.MULTILINE)


class EndlessStream(ValueError):
    """A stream holds more than was asked for."""


class EventSplitter:
    """
    Returns complete events only, so that a truncated stream can be resumed.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 4\\ndata: a\\n\\nid: 5\\nda")
    b'id: 4\\ndata: a\\n\\n'
    >>> splitter.last_id
    '4'
    >>> splitter.feed(b"ta: b\\n\\n")
    b'id: 5\\ndata: b\\n\\n'
    >>> splitter.feed(b"id: 6"), splitter.has_partial
    (b'', True)
    >>> splitter.feed(b"\\ndata: c\\n\\nid: 4\\ndata: a\\n\\n")
    Traceback (most recent call last):
        ...
    ValueError: event 4 after event 6

    :param after: id of the last event that the caller has.
    :param has_answer: whether bytes include another answer of the upstream.
    :param max_tokens: of the stream, None if it is not known.
    """

    def __init__(
        self,
        after: str | None = None,
        has_answer: Callable[[bytes], bool] = lambda _: False,
        max_tokens: int | None = None,
    ) -> None:
        self.last_id = after
        self._has_answer = has_answer
        self._max_tokens = max_tokens
        self._numbered_events = 0
        self._excess_bytes = 0
        self._line_head = b""
        self._buffer = bytearray()

    def feed(self, data: bytes) -> bytes:
        """
        Add bytes of the stream and return the events that are complete now.

        :raises EndlessStream: an event is longer than ``MAX_EVENT_BYTES``, or there are
            more events than the stream may have.
        :raises ValueError: the bytes do not continue the stream: ids that don't
            increase or are too long, another answer, or lines of no event.
        """
        events = self._split(data)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EndlessStream(f"event longer than {MAX_EVENT_BYTES} bytes")
        if _STATUS_LINE.search(events) or self._has_answer(events):
            raise ValueError("another answer in the stream")
        self._check_lines(data)
        ids = _EVENT_ID.findall(events)
        self._check_length(len(ids), len(events))
        last_id = self.last_id
        for found in ids:
            if len(found) > MAX_ID_BYTES:
                raise ValueError(f"event id longer than {MAX_ID_BYTES} bytes")
            event_id = found.decode("latin-1")
            if last_id is not None and not _is_increasing(last_id, event_id):
                raise ValueError(f"event {event_id} after event {last_id}")
            last_id = event_id
        self.last_id = last_id
        return events

    def _check_lines(self, data: bytes) -> None:
        """Refuse the first line of which no event can have one."""
        text = self._line_head + data if self._line_head else data
        begin = text.rfind(b"\n") + 1
        head = self._line_head = text[begin : begin + _LINE_HEAD_BYTES]
        is_long = len(head) == _LINE_HEAD_BYTES
        if not _LINES.fullmatch(text, 0, begin) or (
            is_long and not _LINE_BEGIN.match(head)
        ):
            raise ValueError("line that is no part of an event")

    def _check_length(self, ids: int, size: int) -> None:
        """
        Refuse a stream with more than it may have.

        Each event with an id holds a token or more, but for a few.
        """
        if self._max_tokens is None:
            return
        events = self._numbered_events + ids
        is_expected = ids > 0 and events <= self._max_tokens + MAX_EMPTY_EVENTS
        excess_bytes = 0 if is_expected else self._excess_bytes + size
        if excess_bytes > MAX_EXCESS_BYTES:
            cause = f"more than {MAX_EXCESS_BYTES} bytes that were not asked for"
            raise EndlessStream(cause)
        self._numbered_events, self._excess_bytes = events, excess_bytes

    def _split(self, data: bytes) -> bytes:
        if not self._buffer and data.endswith(b"\n\n"):
            return data
        tail = bytes(self._buffer[-_SEARCHED_AGAIN_BYTES:])
        end = None
        for match in _EVENT_END.finditer(tail + data):
            end = match.end() - len(tail)
        if end is None:
            self._buffer += data
            return b""
        events = bytes(self._buffer) + data[:end]
        self._buffer = bytearray(data[end:])
        return events

    @property
    def buffered_bytes(self) -> int:
        """Return the number of bytes that are held until their event is complete."""
        return len(self._buffer)

    @property
    def has_partial(self) -> bool:
        """Whether an event has begun and is not complete."""
        return self.partial_bytes > 0

    @property
    def partial_bytes(self) -> int:
        """Return the number of bytes of an event that is not complete."""
        return len(self._buffer.strip(b"\r\n"))

    def flush(self) -> bytes:
        """Return the bytes after the last complete event, at the end of the stream."""
        rest, self._buffer = bytes(self._buffer), bytearray()
        return rest

    def discard_partial(self) -> None:
        """Drop the incomplete event of a truncated stream."""
        self._buffer = bytearray()
        self._line_head = b""
        self._excess_bytes = 0


def _is_increasing(earlier: str, later: str) -> bool:
    if earlier.isdecimal() and later.isdecimal():
        return int(later) > int(earlier)
    return later != earlier
