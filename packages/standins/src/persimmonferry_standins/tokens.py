"""Answers and block bytes as pure functions, so that tests can predict them."""

import functools
import hashlib

__all__ = ["answer_token", "answer_tokens", "block_bytes"]

_WORDS = (
    " rose",
    " tulip",
    " iris",
    " lily",
    " fern",
    " peony",
    " poppy",
    " aster",
    " clamp",
    " vise",
    " bench",
    " screw",
    " steel",
    " brass",
    " wood",
    " jaw",
)


@functools.lru_cache(maxsize=4096)
def _digest_prompt(prompt: str, version: str) -> bytes:
    return hashlib.sha256(f"{version}\0{prompt}".encode()).digest()


def answer_token(prompt: str, version: str, index: int) -> str:
    """
    Return one token of the only correct answer to a prompt.

    >>> answer_token("two roses", "v1", 3) == answer_token("two roses", "v1", 3)
    True
    """
    seed = _digest_prompt(prompt, version) + index.to_bytes(4, "big")
    digest = hashlib.blake2b(seed, digest_size=3).digest()
    return f"{_WORDS[digest[0] % len(_WORDS)]}{digest[1:].hex()}"


def answer_tokens(
    prompt: str, version: str, count: int, first: int = 0
) -> tuple[str, ...]:
    """Return the tokens of the correct answer from index ``first`` up to ``count``."""
    return tuple(answer_token(prompt, version, i) for i in range(first, count))


def block_bytes(name: str, size: int) -> bytes:
    """Return the only correct contents of the cache block of a name."""
    return hashlib.shake_256(name.encode()).digest(size)
