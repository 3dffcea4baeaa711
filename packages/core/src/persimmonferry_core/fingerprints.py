"""Fingerprints of calls: equal for calls that ask an upstream for the same work."""

import hashlib

from persimmonferry_core.incoming import IncomingCall

__all__ = ["HASH_BYTES", "format_hash", "hash_call"]

HASH_BYTES = 8
_MAX_HASH = (1 << 8 * HASH_BYTES) - 1


def hash_call(call: IncomingCall, account: str) -> int:
    """
    Return a signed number that stands for a call of an account.

    The call's id and its other headers are not a part of it, but the parts of a prompt
    are: they stand for its text.
    """
    parts = call.prompt.parts if call.prompt else ()
    names = " ".join(part.name for part in parts)
    # No field but the body can contain a line feed.
    head = "\n".join((call.method, call.host, call.target, account, names, ""))
    digest = hashlib.blake2b(head.encode(errors="replace"), digest_size=HASH_BYTES)
    digest.update(call.body)
    return int.from_bytes(digest.digest(), "big", signed=True)


def format_hash(number: int) -> str:
    """
    Return a hash as text for logs and metrics.

    >>> format_hash(255), format_hash(-1)
    ('00000000000000ff', 'ffffffffffffffff')
    """
    return f"{number & _MAX_HASH:016x}"
