"""Thrift form of revisions, for the platform's values and for peers."""

import zlib
from collections.abc import Iterable
from dataclasses import replace

from persimmonferry_core.revisions import (
    Change,
    ChangesUpdate,
    Checkpoint,
    Delta,
    Head,
    Patch,
    Replacement,
    SectionChange,
    WholeUpdate,
)
from persimmonferry_wire import decode, encode
from persimmonferry_wire.generated.configuration import ttypes

__all__ = [
    "decode_checkpoint",
    "decode_head",
    "encode_checkpoint",
    "encode_head",
    "read_update",
    "write_update",
]

MAX_UNPACKED_BYTES = 16 * 1024 * 1024


def encode_head(head: Head) -> bytes:
    """Return the platform's value for a head."""
    return zlib.compress(encode(_write_head(head)))


def decode_head(value: bytes) -> Head:
    """
    Read the platform's value of a head; an empty one is the head of no document.

    :raises ValueError: when the value is not a head.
    """
    if not value:
        return Head()
    message = decode(ttypes.Head, _unpack(value))
    return Head(message.base, message.slot, _read_changes(message.changes))


def encode_checkpoint(checkpoint: Checkpoint) -> bytes:
    """Return the platform's value for a checkpoint."""
    past = _write_changes(checkpoint.past)
    message = ttypes.Checkpoint(checkpoint.revision, checkpoint.text, past)
    return zlib.compress(encode(message))


def decode_checkpoint(value: bytes) -> Checkpoint:
    """
    Read the platform's value of a checkpoint; an empty one is the empty text.

    :raises ValueError: when the value is not a checkpoint.
    """
    if not value:
        return Checkpoint()
    message = decode(ttypes.Checkpoint, _unpack(value))
    return Checkpoint(message.revision, message.text, _read_changes(message.past))


def write_update(
    team: str, update: ChangesUpdate | WholeUpdate | None
) -> ttypes.RevisionUpdate | None:
    """Return the message for an update."""
    match update:
        case ChangesUpdate(base, changes):
            return ttypes.RevisionUpdate(team, base, _write_changes(changes))
        case WholeUpdate(last, text):
            whole = zlib.compress(text.encode())
            # The delta is redundant beside the whole text, and may be as long.
            bare = _write_change(replace(last, delta=Patch((), ())))
            return ttypes.RevisionUpdate(team, 0, [], whole, bare)
    return None


def read_update(message: ttypes.RevisionUpdate) -> ChangesUpdate | WholeUpdate:
    """
    Read the message of an update.

    :raises ValueError: when it is malformed.
    """
    if message.whole is None:
        return ChangesUpdate(message.base, _read_changes(message.changes))
    if message.last is None:
        raise ValueError("a whole text without its change")
    return WholeUpdate(_read_change(message.last), _unpack(message.whole).decode())


def _write_head(head: Head) -> ttypes.Head:
    return ttypes.Head(head.base, head.slot, _write_changes(head.changes))


def _write_changes(changes: Iterable[Change]) -> list[ttypes.Change]:
    return [_write_change(change) for change in changes]


def _write_change(change: Change) -> ttypes.Change:
    return ttypes.Change(
        change.revision,
        change.change_id,
        change.operator,
        change.time_s,
        change.note,
        bytes.fromhex(change.digest),
        _write_delta(change.delta),
    )


def _write_delta(delta: Delta) -> ttypes.Delta:
    match delta:
        case Replacement(text):
            return ttypes.Delta([], [], text)
        case Patch(removed, changed):
            sections = [
                ttypes.SectionChange(item.header, item.after, item.text)
                for item in changed
            ]
            return ttypes.Delta(list(removed), sections)


def _read_changes(messages: Iterable[ttypes.Change]) -> tuple[Change, ...]:
    return tuple(_read_change(message) for message in messages)


def _read_change(message: ttypes.Change) -> Change:
    return Change(
        message.revision,
        message.change_id,
        message.operator_name,
        message.time_s,
        message.note,
        message.digest.hex(),
        _read_delta(message.delta),
    )


def _read_delta(message: ttypes.Delta) -> Delta:
    if message.whole is not None:
        return Replacement(message.whole)
    changed = tuple(
        SectionChange(item.header, item.after, item.text) for item in message.changed
    )
    return Patch(tuple(message.removed), changed)


def _unpack(data: bytes) -> bytes:
    unpacker = zlib.decompressobj()
    try:
        unpacked = unpacker.decompress(data, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise ValueError("not zlib data") from error
    if not unpacker.eof:
        raise ValueError("zlib data is truncated or too long")
    return unpacked
