"""Responses whose heads are spoilt, and unusual ones whose heads are sound."""

from dataclasses import dataclass

__all__ = ["SOUND_HEADS", "SPOILT_HEADS", "RawHead"]

_STATUS_LINE = "HTTP/1.1 200 OK"


@dataclass(frozen=True)
class RawHead:
    """
    Lines of a head, in which ``{size}`` stands for the size of the body.

    :param lines: fields behind those that each response has.
    :param status_line: the first line, or several.
    :param is_chunked: whether the body is sent in chunks.
    :param end: bytes after the last line.
    """

    lines: tuple[str, ...] = ()
    status_line: str = _STATUS_LINE
    is_chunked: bool = False
    end: str = "\r\n\r\n"

    def encode(
        self, body: bytes, fields: tuple[tuple[str, str], ...] = (), status: int = 200
    ) -> bytes:
        """Return the bytes of a response with this head, which has further fields."""
        own = [f"{name}: {value}" for name, value in fields]
        size = len(body)
        lines = [line.format(size=size, more=size + 500) for line in self.lines]
        first = self.status_line.replace(" 200 ", f" {status} ", 1)
        head = "\r\n".join([first, *own, *lines]) + self.end
        if self.is_chunked:
            body = b"%x\r\n%s\r\n0\r\n\r\n" % (size, body)
        return head.encode("latin-1") + body


def _spoil(*lines: str, **options: str | bool) -> RawHead:
    return RawHead(lines, **options)


_LENGTH = "Content-Length: {size}"
_CHUNKED = "Transfer-Encoding: chunked"

# In those with ``more``, a part of the body is missing.
SPOILT_HEADS = {
    "length of 20 digits": _spoil("Content-Length: 99999999999999999999"),
    "length above 63 bits": _spoil("Content-Length: 9223372036854775808"),
    "length of 30 digits": _spoil("Content-Length: " + "0" * 27 + "{size}"),
    "length of no digits": _spoil("Content-Length: 8x0"),
    "length with a sign": _spoil("Content-Length: +{size}"),
    "length with a point": _spoil("Content-Length: {size}.0"),
    "length in hexadecimal digits": _spoil("Content-Length: 0x{size}"),
    "empty length": _spoil("Content-Length:"),
    "lengths that differ": _spoil(_LENGTH, "Content-Length: {more}"),
    "the same length twice": _spoil(_LENGTH, _LENGTH),
    "joined lengths that differ": _spoil("Content-Length: {size}, {more}"),
    "joined lengths": _spoil("Content-Length: {size}, {size}"),
    "space before the colon": _spoil("Content-Length : {more}"),
    "tab before the colon": _spoil("Content-Length\t: {more}"),
    "no colon": _spoil("Content-Length {more}"),
    "other line without a colon": _spoil(_LENGTH, "garbage"),
    "line without a name": _spoil(_LENGTH, ": x"),
    "name of two words": _spoil(_LENGTH, "X Note: x"),
    "name that is no token": _spoil(_LENGTH, "X(Note): x"),
    "name outside ASCII": _spoil(_LENGTH, "X-N\xf6te: x"),
    "control character in a name": _spoil(_LENGTH, "X-\x01Note: x"),
    "control character in a value": _spoil(_LENGTH, "X-Note: a\x01b"),
    "delete character in a value": _spoil(_LENGTH, "X-Note: a\x7fb"),
    "null in a value": _spoil(_LENGTH, "X-Note: a\x00b"),
    "carriage return in a value": _spoil(_LENGTH, "X-Note: a\rb"),
    "line feed alone": _spoil("X-Note: a\n" + _LENGTH),
    "line feed alone at the end": _spoil(_LENGTH, end="\r\n\n"),
    "two carriage returns at the end": _spoil(_LENGTH, end="\r\n\r\r\n"),
    "length in a continued line": _spoil("X-Note: a", "\tContent-Length: {more}"),
    "coding in a continued line": _spoil("X-Note: a", " Transfer-Encoding: chunked"),
    "continued status line": _spoil(_LENGTH, status_line=f"{_STATUS_LINE}\r\n X: 3"),
    "two lengths and chunks": _spoil(_LENGTH, _LENGTH, _CHUNKED, is_chunked=True),
    "chunks and no length": _spoil(_CHUNKED, "Content-Length: 8x0", is_chunked=True),
    "chunks twice": _spoil(_CHUNKED, _CHUNKED, is_chunked=True),
    "joined codings": _spoil(f"{_CHUNKED}, chunked", is_chunked=True),
    "empty element of codings": _spoil("Transfer-Encoding: , chunked", is_chunked=True),
    "empty coding": _spoil("Transfer-Encoding:"),
    "coding with a parameter": _spoil(f"{_CHUNKED};q=1", is_chunked=True),
    "unknown coding": _spoil("Transfer-Encoding: xchunked", is_chunked=True),
    "compressed": _spoil("Transfer-Encoding: gzip"),
    "compressed chunks": _spoil("Transfer-Encoding: gzip, chunked", is_chunked=True),
    "no coding, but a length": _spoil(
        "Transfer-Encoding: identity", "Content-Length: {more}"
    ),
    "no coding twice": _spoil(
        "Transfer-Encoding: identity", "Transfer-Encoding: identity"
    ),
    "chunks in HTTP/1.0": _spoil(
        _CHUNKED, status_line="HTTP/1.0 200 OK", is_chunked=True
    ),
    "version in small letters": _spoil(_LENGTH, status_line="http/1.1 200 OK"),
    "version of HTTP/2": _spoil(_LENGTH, status_line="HTTP/2 200 OK"),
    "tab before the status": _spoil(_LENGTH, status_line="HTTP/1.1\t200 OK"),
    "control character in the reason": _spoil(
        _LENGTH, status_line="HTTP/1.1 200 O\x01K"
    ),
    "interim response with a length": _spoil(
        _LENGTH,
        status_line=f"HTTP/1.1 103 X\r\nContent-Length: 5\r\n\r\n{_STATUS_LINE}",
    ),
    "interim response with a coding": _spoil(
        _LENGTH, status_line=f"HTTP/1.1 103 X\r\n{_CHUNKED}\r\n\r\n{_STATUS_LINE}"
    ),
    "interim response with a line without a name": _spoil(
        _LENGTH, status_line=f"HTTP/1.1 103 X\r\n: x\r\n\r\n{_STATUS_LINE}"
    ),
    "switched protocols": _spoil(
        _LENGTH, status_line=f"HTTP/1.1 101 X\r\n\r\n{_STATUS_LINE}"
    ),
}
SOUND_HEADS = {
    "names in other letters": RawHead(("cOnTeNt-LeNgTh: {size}",)),
    "no space around values": RawHead(("Content-Length:{size}",)),
    "spaces around values": RawHead(("Content-Length: \t{size} \t ",)),
    "empty value": RawHead((_LENGTH, "X-Note:")),
    "tab in a value": RawHead((_LENGTH, "X-Note: a\tb")),
    "bytes outside ASCII": RawHead((_LENGTH, "X-Note: \xe4\x80\xff")),
    "all characters of names": RawHead((_LENGTH, "!#$%&'*+-.^_`|~09Az: x")),
    "many fields": RawHead((_LENGTH, *(f"X-{n}: {'v' * 20}" for n in range(400)))),
    "colons in a value": RawHead((_LENGTH, "X-Note: a: b: c")),
    "leading zeros": RawHead(("Content-Length: 000{size}",)),
    "chunks in other letters": RawHead(
        ("transfer-encoding: Chunked",), is_chunked=True
    ),
    "length and chunks": RawHead((_LENGTH, _CHUNKED), is_chunked=True),
    "chunks and another length": RawHead(
        (_CHUNKED, "Content-Length: {more}"), is_chunked=True
    ),
    "no length": RawHead(),
    "no coding": RawHead(("Transfer-Encoding: identity",)),
    "HTTP/1.0": RawHead((_LENGTH,), status_line="HTTP/1.0 200 OK"),
    "no reason": RawHead((_LENGTH,), status_line="HTTP/1.1 200 "),
    "interim response": RawHead(
        (_LENGTH,), status_line=f"HTTP/1.1 103 X\r\nLink: x\r\n\r\n{_STATUS_LINE}"
    ),
}
