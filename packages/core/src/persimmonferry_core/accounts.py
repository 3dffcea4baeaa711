"""Keys of client accounts and operators; only their digests are stored."""

import hashlib
import hmac
from collections.abc import Iterable
from dataclasses import replace
from typing import TypeVar

from persimmonferry_core.schema import ClientAccount, Operator, TeamDocument

__all__ = [
    "MAX_VALID_KEYS",
    "find_account",
    "find_operator",
    "hash_key",
    "rotate_key",
]

MAX_VALID_KEYS = 2

Holder = TypeVar("Holder", ClientAccount, Operator)


def hash_key(key: str) -> str:
    """
    Return the digest under which a key is stored.

    Keys are long and random, so one round of SHA-256 is enough.

    :param key: the key as its holder presents it.

    >>> hash_key("demo-key-florist")[:16]
    'eab4d2c731895705'
    """
    return hashlib.sha256(key.encode()).hexdigest()


def find_account(document: TeamDocument, key: str) -> ClientAccount | None:
    """
    Return the client account that a presented key belongs to, or None.

    Digests are compared, not keys: a caller can't choose the leading bytes of a digest,
    so the lookup need not take constant time.
    """
    return document.find_account(hash_key(key))


def find_operator(document: TeamDocument, key: str) -> Operator | None:
    """Return the operator that a presented key belongs to, or None."""
    return _find_holder(document.operators, hash_key(key))


def rotate_key(holder: Holder, key: str) -> Holder:
    """
    Return the holder with the new key and its most recent earlier key.

    A key that is already valid becomes the most recent one.

    :param holder: a client account or an operator.
    :param key: the new key; the digest of the oldest key is dropped.
    """
    digest = hash_key(key)
    earlier = tuple(item for item in holder.key_digests if item != digest)
    digests = (*earlier, digest)[-MAX_VALID_KEYS:]
    return replace(holder, key_digests=digests)


def _find_holder(holders: Iterable[Operator], digest: str) -> Operator | None:
    found = None
    # Compare every digest, so that the time taken doesn't reveal whose key it is.
    for holder in holders:
        for candidate in holder.key_digests:
            if hmac.compare_digest(candidate, digest):
                found = holder
    return found
