"""
The head of a response of HTTP/1, checked line by line before its body is read.

libcurl decides where a body ends, and repairs, ignores or joins what it finds in a
head. Only a head that leaves it no choice is accepted (RFC 9112, strictly read).
"""

import enum
import re

__all__ = ["MAX_HEAD_BYTES", "Framing", "ResponseLines"]

MAX_HEAD_BYTES = 64 * 1024

# libcurl takes the first three digits of a longer number for the status.
_STATUS_LINE = re.compile(r"HTTP/1\.([01]) ([1-5][0-9]{2})(?: ([\t -~\x80-\xff]*))?")
_SWITCHING_PROTOCOLS = 101
_NO_CONTENT = 204
_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_VALUE = re.compile(r"[\t -~\x80-\xff]*")
# The line belongs to another response that broke off where this one begins.
_STATUS_LINE_INSIDE = re.compile(r".HTTP/1\.[01] \d{3}")
_LENGTH_NAME = "content-length"
_CODING_NAME = "transfer-encoding"
# libcurl joins a line that begins with a space to the one before.
_FRAMING_INSIDE = re.compile(rf"(?i)\b(?:{_LENGTH_NAME}|{_CODING_NAME})[\t ]*:")
# All below 2 ** 63; libcurl ignores a larger length.
_LENGTH = re.compile(r"[0-9]{1,18}")
_CHUNKED = "chunked"
_CODINGS = (_CHUNKED, "identity")


class Framing(enum.Enum):
    """What marks the end of a response."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


class ResponseLines:
    """
    Collects the header lines of a response; each interim response resets them.

    >>> lines = ResponseLines()
    >>> for line in (b"HTTP/1.1 200 OK\\r\\n", b"A: 1\\r\\n", b"\\r\\n"):
    ...     lines.feed(line)
    >>> lines.status, lines.reason, lines.fields, lines.is_whole
    (200, 'OK', [('A', '1')], True)
    """

    def __init__(self) -> None:
        self.status = 0
        self.reason = ""
        self.fields: list[tuple[str, str]] = []
        self.is_whole = False
        self._is_begun = False
        self._is_persistent = True
        self._size = 0

    @property
    def framing(self) -> Framing:
        """
        Return what marks the end of the response.

        >>> lines = ResponseLines()
        >>> lines.fields = [("Transfer-Encoding", "identity")]
        >>> lines.framing
        <Framing.CONNECTION: 'connection'>
        """
        if _CHUNKED in self._find_values(_CODING_NAME):
            return Framing.CHUNKS
        return Framing.LENGTH if self._find_values(_LENGTH_NAME) else Framing.CONNECTION

    @property
    def announces_close(self) -> bool:
        """Whether the upstream closes the connection after the response."""
        values = self._find_values("connection")
        return not self._is_persistent or "close" in ",".join(values)

    def feed(self, line: bytes) -> None:
        """
        Parse one line; the last line of a response that broke off may have no end.

        :raises ValueError: it is no line of a head, the head is too long or contradicts
            itself, or another response broke off in it.
        """
        text = self._read_text(line)
        if text is None:
            return
        if not self._is_begun:
            self._begin(text)
        elif text:
            self.fields.append(_parse_field(text))
        else:
            self._check_framing()
            self._is_begun = False
            self.is_whole = self.status >= 200

    def parse_trailer(self, line: bytes) -> list[tuple[str, str]]:
        """
        Return the field in a line after the body; trailers are not relayed.

        :raises ValueError: it is no field, or one that tells the length of the body, or
            head and trailers are too long.

        >>> ResponseLines().parse_trailer(b"HTTP/1.1 200 OK\\r\\n")
        Traceback (most recent call last):
        ValueError: line without a colon: 'HTTP/1.1 200 OK'
        """
        text = self._read_text(line)
        if not text:
            return []
        name, value = _parse_field(text)
        if name.lower() in (_LENGTH_NAME, _CODING_NAME):
            raise ValueError(f"{name} after the body")
        return [(name, value)]

    def _read_text(self, line: bytes) -> str | None:
        """Return a line without its end, None if the response broke off in it."""
        self._size += len(line)
        if self._size > MAX_HEAD_BYTES:
            raise ValueError(f"response head longer than {MAX_HEAD_BYTES} bytes")
        text = line.decode("latin-1")
        if _STATUS_LINE_INSIDE.search(text):
            raise ValueError("status line inside a line of the response head")
        if not text.endswith("\n"):
            return None
        if not text.endswith("\r\n"):
            raise ValueError("line that ends with a line feed alone")
        return text[:-2]

    def _begin(self, text: str) -> None:
        found = _STATUS_LINE.fullmatch(text)
        if not found:
            raise ValueError(f"no status line of HTTP/1: {text[:60]!r}")
        minor_version, code, reason = found.groups()
        self._is_begun = True
        self._is_persistent = minor_version == "1"
        self.status, self.reason = int(code), reason or ""
        self.fields = []
        if self.status == _SWITCHING_PROTOCOLS:
            raise ValueError("switched protocols, which was not asked for")

    def _check_framing(self) -> None:
        """
        Check that the head tells the length of the body in one way, or in none.

        A length beside chunks doesn't count, for libcurl neither.
        """
        lengths = self._find_values(_LENGTH_NAME)
        codings = self._find_values(_CODING_NAME)
        if len(lengths) > 1 or len(codings) > 1:
            raise ValueError(f"more than one length of the body: {lengths + codings}")
        if lengths and not _LENGTH.fullmatch(lengths[0]):
            raise ValueError(f"no length of a body: {lengths[0][:60]!r}")
        if codings and codings[0] not in _CODINGS:
            raise ValueError(f"transfer coding {codings[0][:60]!r}")
        if lengths and codings and codings[0] != _CHUNKED:
            raise ValueError(f"length beside transfer coding {codings[0]!r}")
        if codings and not self._is_persistent:
            raise ValueError("transfer coding in HTTP/1.0")
        has_body = codings or any(int(length) for length in lengths)
        if has_body and (self.status < 200 or self.status == _NO_CONTENT):
            raise ValueError(f"length of the body of a response {self.status}")

    def _find_values(self, name: str) -> list[str]:
        return [value.lower() for found, value in self.fields if found.lower() == name]


def _parse_field(text: str) -> tuple[str, str]:
    name, colon, value = text.partition(":")
    if not colon:
        raise ValueError(f"line without a colon: {text[:60]!r}")
    if not _NAME.fullmatch(name):
        raise ValueError(f"no name of a field: {name[:60]!r}")
    if not _VALUE.fullmatch(value):
        raise ValueError(f"control character in {name[:60]}")
    if _FRAMING_INSIDE.search(value):
        raise ValueError(f"length of the body inside {name[:60]}")
    return name, value.strip(" \t")
