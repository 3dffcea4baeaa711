"""Thrift messages between the processes of persimmonferry."""

from persimmonferry_wire.codec import FrameReader, decode, encode, encode_frame
from persimmonferry_wire.peer_http import (
    PeerClient,
    PeerHandler,
    PeerRequestFailed,
    PeerRoute,
)

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
