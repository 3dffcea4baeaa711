"""Encoding of the generated Thrift structs, in Thrift's compact protocol."""

import struct
from collections.abc import Iterator
from typing import Any, TypeVar

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

__all__ = ["FrameReader", "decode", "encode", "encode_frame"]

Message = TypeVar("Message")

_LENGTH_PREFIX = struct.Struct("!I")
MAX_FRAME_BYTES = 16 * 1024 * 1024


def encode(message: Any) -> bytes:
    """Return the bytes of a generated struct."""
    buffer = TMemoryBuffer()
    message.write(TCompactProtocolAccelerated(buffer))
    return buffer.getvalue()


def decode(kind: type[Message], data: bytes) -> Message:
    """
    Read a generated struct.

    :raises ValueError: when the bytes are not a struct of that kind.
    """
    message = kind()
    try:
        message.read(TCompactProtocolAccelerated(TMemoryBuffer(data)))
        message.validate()
    except Exception as error:
        # The library's C extension raises various exceptions for invalid bytes.
        raise ValueError(f"not a {kind.__name__}") from error
    return message


def encode_frame(message: Any) -> bytes:
    """Return a struct with its length in front, for a stream of structs."""
    data = encode(message)
    return _LENGTH_PREFIX.pack(len(data)) + data


class FrameReader:
    """Incremental decoder of a stream of structs of one kind."""

    def __init__(self, kind: type[Message]) -> None:
        self._kind = kind
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[Message]:
        """
        Add bytes and yield the structs that are complete.

        :raises ValueError: when a frame exceeds ``MAX_FRAME_BYTES`` or is malformed.
        """
        self._buffer += data
        start = 0
        while len(self._buffer) - start >= _LENGTH_PREFIX.size:
            (length,) = _LENGTH_PREFIX.unpack_from(self._buffer, start)
            if length > MAX_FRAME_BYTES:
                raise ValueError(f"frame of {length} bytes is too long")
            end = start + _LENGTH_PREFIX.size + length
            if len(self._buffer) < end:
                break
            body = bytes(self._buffer[start + _LENGTH_PREFIX.size : end])
            start = end
            yield decode(self._kind, body)
        del self._buffer[:start]
