"""Splits a stream of server-sent events into complete events."""

import re

__all__ = ["EventSplitter"]

# An event holds a few tokens; a faulty upstream may send bytes without end.
MAX_EVENT_BYTES = 1024 * 1024

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_ID = re.compile(rb"^id:\s*(\S+)\s*$", re.MULTILINE)


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
    """

    def __init__(self) -> None:
        self.last_id: str | None = None
        self._buffer = b""

    def feed(self, data: bytes) -> bytes:
        """
        Add bytes of the stream and return the events that are complete now.

        :raises ValueError: an event is longer than ``MAX_EVENT_BYTES``.
        """
        data = self._buffer + data
        end = 0
        for match in _EVENT_END.finditer(data):
            end = match.end()
        events, self._buffer = data[:end], data[end:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError(f"event longer than {MAX_EVENT_BYTES} bytes")
        ids = _EVENT_ID.findall(events)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
        return events

    @property
    def has_partial(self) -> bool:
        """Whether an event has begun and is not complete."""
        return bool(self._buffer.strip(b"\r\n"))

    def flush(self) -> bytes:
        """Return the bytes after the last complete event, at the end of the stream."""
        rest, self._buffer = self._buffer, b""
        return rest

    def discard_partial(self) -> None:
        """Drop the incomplete event of a truncated stream."""
        self._buffer = b""
