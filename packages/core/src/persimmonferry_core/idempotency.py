"""
Idempotency keys: their format, their age, and which requests need one.

A key contains the time at which it was issued. A key that is older than the retention
period of the claims is therefore refused instead of being treated as a new one.
"""

import hashlib
import re
import uuid
from dataclasses import dataclass

from persimmonferry_core.codes import ResultCode
from persimmonferry_core.exceptions import NotRun
from persimmonferry_core.schema import Service

__all__ = [
    "IdempotencyKey",
    "create_key",
    "digest_body",
    "is_idempotent",
    "parse_key",
]

MAX_KEY_LENGTH = 200
DIGEST_BYTES = 16

_SAFE_METHODS = frozenset({"GET", "HEAD"})
# An upstream may normalise these to a path other than the one compared here.
_AMBIGUOUS_PATH = re.compile(r"\.\.|//|\\|%2e|%2f|%5c|;", re.IGNORECASE)
_SECONDS_FORM = re.compile(r"(\d{10})-[\x21-\x7e]+")


@dataclass(frozen=True)
class IdempotencyKey:
    """
    A key as sent by the caller.

    :param issued_s: issue time, in seconds since 1970.
    """

    text: str
    issued_s: float

    def digest(self, account: str) -> str:
        """Return the hex digest of the key within its client account."""
        return _digest(account.encode(), self.text.encode())


def parse_key(
    text: str | None, now: float, retention_s: float, clock_margin_s: float
) -> IdempotencyKey:
    """
    Parse a key: a UUID version 7, or seconds since 1970 (ten digits), ``-`` and text.

    :param clock_margin_s: how far the caller's clock may be ahead.
    :raises NotRun: the key is missing, malformed, issued in the future, or too old.

    >>> parse_key("1796352671-order-17", 1796352700.0, 3600.0, 300.0).issued_s
    1796352671.0
    """
    if not text:
        raise NotRun(ResultCode.IDEMPOTENCY_KEY_MISSING)
    issued_s = _read_issue_time(text)
    if issued_s is None or len(text) > MAX_KEY_LENGTH:
        detail = (
            "Idempotency-Key must be a UUID version 7 or <seconds since 1970>-<text>"
        )
        raise NotRun(ResultCode.MALFORMED_REQUEST, detail)
    if issued_s > now + clock_margin_s:
        detail = "Idempotency-Key was issued in the future"
        raise NotRun(ResultCode.MALFORMED_REQUEST, detail)
    if issued_s < now - retention_s:
        detail = "an earlier call with the same key may have run"
        raise NotRun(ResultCode.IDEMPOTENCY_KEY_EXPIRED, detail)
    return IdempotencyKey(text, issued_s)


def create_key(now: float, entropy: int) -> str:
    """
    Return a new key, a UUID version 7.

    :param entropy: at least 74 random bits.

    >>> parse_key(create_key(1796352671.5, 1), 1796352672.0, 60.0, 1.0).issued_s
    1796352671.5
    """
    milliseconds = int(now * 1000) & (1 << 48) - 1
    high = (entropy >> 62) & 0xFFF
    low = entropy & (1 << 62) - 1
    bits = milliseconds << 80 | 7 << 76 | high << 64 | 2 << 62 | low
    return str(uuid.UUID(int=bits))


def digest_body(
    service: str, method: str, path: str, content_type: str, body: bytes
) -> str:
    """Return the hex digest by which two requests are compared."""
    head = (part.encode() for part in (service, method, path, content_type))
    return _digest(*head, body)


def is_idempotent(service: Service, method: str, path: str) -> bool:
    """
    Return whether a call of a plain service may be repeated.

    :param path: with the query string.

    >>> from persimmonferry_core.schema import ServiceKind
    >>> stock = Service("stock", ServiceKind.PLAIN, safe_paths=("/quote",))
    >>> is_idempotent(stock, "POST", "/quote?vise=3")
    True
    >>> is_idempotent(stock, "POST", "/quotes"), is_idempotent(stock, "GET", "/x")
    (False, True)
    """
    if method.upper() in _SAFE_METHODS:
        return True
    path = path.partition("?")[0]
    if _AMBIGUOUS_PATH.search(path):
        return False
    prefixes = (prefix.rstrip("/") for prefix in service.safe_paths)
    return any(path == item or path.startswith(f"{item}/") for item in prefixes)


def _read_issue_time(text: str) -> float | None:
    seconds = _SECONDS_FORM.fullmatch(text)
    if seconds:
        return float(seconds[1])
    try:
        identifier = uuid.UUID(text)
    except ValueError:
        return None
    if identifier.version != 7:
        return None
    return (identifier.int >> 80) / 1000


def _digest(*parts: bytes) -> str:
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
