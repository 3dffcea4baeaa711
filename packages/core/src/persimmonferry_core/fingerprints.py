"""Fingerprints of calls: equal for calls that ask an upstream for the same work."""

import hashlib

__all__ = ["HASH_BYTES", "format_hash", "hash_call"]

HASH_BYTES = 8
_MAX_HASH = (1 << 8 * HASH_BYTES) - 1


def hash_call(method: str, host: str, target: str, account: str, body: bytes) -> int:
    """
    Return a signed number that stands for a call; its id is not a part of it.

    >>> first = hash_call("GET", "shop.example", "/list", "a1", b"")
    >>> first == hash_call("GET", "shop.example", "/list", "a1", b"")
    True
    >>> first == hash_call("GET", "shop.example", "/list", "a2", b"")
    False
    """
    # No field but the body can contain a line feed.
    head = "\n".join((method, host.lower(), target, account, ""))
    digest = hashlib.blake2b(head.encode(errors="replace"), digest_size=HASH_BYTES)
    digest.update(body)
    return int.from_bytes(digest.digest(), "big", signed=True)


def format_hash(number: int) -> str:
    """
    Return a hash as text for logs and metrics.

    >>> format_hash(255), format_hash(-1)
    ('00000000000000ff', 'ffffffffffffffff')
    """
    return f"{number & _MAX_HASH:016x}"
