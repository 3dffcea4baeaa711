"""Faults that can be injected into a stand-in."""

from dataclasses import asdict, dataclass, fields
from typing import Any

__all__ = [
    "CrossAnswer",
    "CutAnswer",
    "CutStream",
    "DelayAnswer",
    "DropCacheEvents",
    "Fault",
    "Hang",
    "LoseAnswer",
    "Refuse",
    "SlowDown",
    "TearWrite",
    "decode_fault",
    "encode_fault",
]


@dataclass(frozen=True, kw_only=True)
class Fault:
    """
    Base class of the faults.

    :param path: prefix of the paths that are affected.
    :param method: HTTP method that is affected, empty for all.
    :param times: number of requests affected, 0 for all until the fault is cleared.
    """

    path: str = ""
    method: str = ""
    times: int = 0


@dataclass(frozen=True, kw_only=True)
class Hang(Fault):
    """Requests block, as in a suspended process, until the fault is cleared."""


@dataclass(frozen=True, kw_only=True)
class Refuse(Fault):
    """Requests are refused explicitly and have no effect."""


@dataclass(frozen=True, kw_only=True)
class SlowDown(Fault):
    """All work takes ``factor`` times as long."""

    factor: float


@dataclass(frozen=True, kw_only=True)
class CutStream(Fault):
    """The connection closes once a run has sent ``after_tokens`` tokens."""

    after_tokens: int


@dataclass(frozen=True, kw_only=True)
class CutAnswer(Fault):
    """The connection closes after ``after_bytes`` bytes of the response body."""

    after_bytes: int


@dataclass(frozen=True, kw_only=True)
class DelayAnswer(Fault):
    """The request takes effect at once; its response is delayed by ``delay_s``."""

    delay_s: float


@dataclass(frozen=True, kw_only=True)
class CrossAnswer(Fault):
    """The response carries the id of another run."""


@dataclass(frozen=True, kw_only=True)
class LoseAnswer(Fault):
    """The request takes effect, then the connection closes without a response."""


@dataclass(frozen=True, kw_only=True)
class DropCacheEvents(Fault):
    """Cache events are not published; their sequence numbers are skipped."""


@dataclass(frozen=True, kw_only=True)
class TearWrite(Fault):
    """A block write stops after ``after_bytes`` bytes and the connection closes."""

    after_bytes: int


_KINDS = {
    kind.__name__: kind
    for kind in (
        Hang,
        Refuse,
        SlowDown,
        CutStream,
        CutAnswer,
        DelayAnswer,
        CrossAnswer,
        LoseAnswer,
        DropCacheEvents,
        TearWrite,
    )
}


def encode_fault(fault: Fault) -> dict[str, Any]:
    """
    Return a fault as JSON fields.

    >>> decode_fault(encode_fault(SlowDown(factor=2.0)))
    SlowDown(path='', method='', times=0, factor=2.0)
    """
    return {"kind": type(fault).__name__, **asdict(fault)}


def decode_fault(values: dict[str, Any]) -> Fault:
    """
    Read a fault from JSON fields.

    :raises ValueError: if the kind or a field is unknown.
    """
    kind = _KINDS.get(values.get("kind", ""))
    if kind is None:
        raise ValueError(f"unknown kind of fault: {values.get('kind')!r}")
    names = {field.name for field in fields(kind)}
    given = {name: value for name, value in values.items() if name != "kind"}
    if not given.keys() <= names:
        raise ValueError(f"unknown field of fault {kind.__name__}")
    return kind(**given)
