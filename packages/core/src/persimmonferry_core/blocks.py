"""Names of cache blocks, and the envelope in which they are sent and stored."""

import hashlib
import re
import struct
from collections.abc import Sequence
from dataclasses import dataclass

from persimmonferry_core.codes import ResultCode
from persimmonferry_core.exceptions import StoreError
from persimmonferry_core.interfaces import StoredBlock

__all__ = [
    "BLOCK_TOKENS",
    "BlockPosition",
    "name_blocks",
    "open_block",
    "read_position",
    "seal",
]

BLOCK_TOKENS = 1000

_DIGEST_BYTES = 24
_CHECKSUM_BYTES = 16
_CHAIN_HEX_DIGITS = 12
_NAME = re.compile(
    rf"(?P<chain>[0-9a-f]{{{_CHAIN_HEX_DIGITS}}})-(?P<index>[0-9]{{1,9}})"
    rf"-[0-9a-f]{{{2 * _DIGEST_BYTES}}}"
)
_MAGIC = b"PFB1"
_HEADER = struct.Struct(f"<4sHQ{_CHECKSUM_BYTES}s")


def name_blocks(
    account_secret: str,
    model: str,
    version: str,
    adapter: str,
    tokens: Sequence[str],
    block_tokens: int = BLOCK_TOKENS,
) -> tuple[str, ...]:
    """
    Return the names of the full blocks of a prompt, in order.

    A name is ``CHAIN-INDEX-DIGEST``. The digest is keyed with the account's secret and
    covers the model, the weight version, the adapter and all tokens up to the end of
    the block. CHAIN is the start of the first block's digest, so that prompts with a
    common prefix can be recognised by name alone.

    :param account_secret: the client account's cache secret, not empty.
    :param tokens: of the whole prompt; an incomplete last block gets no name.
    :param block_tokens: tokens in one block, at least 1.
    :raises ValueError: the secret is empty, which would let accounts share blocks.

    >>> names = name_blocks("5ec7e7", "m", "v1", "", ["a", " b", " c"], block_tokens=1)
    >>> [read_position(name).index for name in names]
    [0, 1, 2]
    """
    if not account_secret:
        raise ValueError("the account has no cache secret")
    key = hashlib.blake2b(account_secret.encode()).digest()
    digest = hashlib.blake2b(key=key, digest_size=_DIGEST_BYTES)
    scope = (model, version, adapter, str(block_tokens))
    digest.update(_frame(scope))
    digests = []
    for end in range(block_tokens, len(tokens) + 1, block_tokens):
        digest.update(_frame(tokens[end - block_tokens : end]))
        digests.append(digest.copy().hexdigest())
    chain = digests[0][:_CHAIN_HEX_DIGITS] if digests else ""
    return tuple(f"{chain}-{index}-{text}" for index, text in enumerate(digests))


def _frame(parts: Sequence[str]) -> bytes:
    """Join parts behind their lengths, so that the encoding is unambiguous."""
    lengths = struct.pack(f"<{len(parts) + 1}I", len(parts), *map(len, parts))
    return lengths + "".join(parts).encode("utf-8", "surrogatepass")


@dataclass(frozen=True)
class BlockPosition:
    """
    Position of a block in a prompt.

    :param chain: equal for all prompts of an account that share the first block.
    :param index: of the block in its prompt, from 0.
    """

    chain: str
    index: int


def read_position(name: str) -> BlockPosition | None:
    """Return the position given by a block's name, or None for any other name."""
    match = _NAME.fullmatch(name)
    if match is None:
        return None
    return BlockPosition(match["chain"], int(match["index"]))


def seal(name: str, data: bytes) -> bytes:
    """Return the envelope of a block: its full name, length, checksum and data."""
    label = name.encode()
    header = _HEADER.pack(_MAGIC, len(label), len(data), _compute_checksum(label, data))
    return b"".join((header, label, data))


def _compute_checksum(label: bytes, data: bytes | memoryview) -> bytes:
    checksum = hashlib.blake2b(label, digest_size=_CHECKSUM_BYTES)
    checksum.update(data)
    return checksum.digest()


def open_block(name: str, stored: StoredBlock) -> bytes:
    """
    Return the data of a stored block that passes every check.

    :param name: the full name that was requested.
    :raises StoreError: with BLOCK_INVALID if the block is not committed, or its name,
        length or checksum doesn't match.
    """
    if not stored.committed:
        raise _invalid("block is not committed")
    if stored.name != name:
        raise _invalid("the store returned a block with a different name")
    if len(stored.data) < _HEADER.size:
        raise _invalid("block is shorter than its header")
    magic, label_bytes, data_bytes, checksum = _HEADER.unpack_from(stored.data)
    data_start = _HEADER.size + label_bytes
    if magic != _MAGIC or len(stored.data) != data_start + data_bytes:
        raise _invalid("block is truncated, too long or of an unknown format")
    label = stored.data[_HEADER.size : data_start]
    if label != name.encode():
        raise _invalid("the name inside the block does not match")
    data = memoryview(stored.data)[data_start:]
    if _compute_checksum(label, data) != checksum:
        raise _invalid("checksum mismatch")
    return bytes(data)


def _invalid(detail: str) -> StoreError:
    return StoreError(ResultCode.BLOCK_INVALID, detail)
