"""Thrift messages between the processes of persimmonferry."""

from persimmonferry_wire.carrier import (
    PeerClient,
    PeerHandler,
    PeerRequestFailed,
    PeerRoute,
)
from persimmonferry_wire.codec import FrameReader, decode, encode, encode_frame

__all__ = [
    "FrameReader",
    "PeerClient",
    "PeerHandler",
    "PeerRequestFailed",
    "PeerRoute",
    "decode",
    "encode",
    "encode_frame",
]
