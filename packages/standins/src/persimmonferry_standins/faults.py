"""Faults that a stand-in can be told to show."""

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
    What all faults have in common.

    :param path: only requests whose path starts with it are affected.
    :param method: only requests of this HTTP method, empty for all.
    :param times: number of requests affected, 0 for all until the fault is cleared.
    """

    path: str = ""
    method: str = ""
    times: int = 0


@dataclass(frozen=True, kw_only=True)
class Hang(Fault):
    """Requests wait, as in a paused process, and go on once the fault is cleared."""


@dataclass(frozen=True, kw_only=True)
class Refuse(Fault):
    """Requests are refused explicitly and have no effect."""


@dataclass(frozen=True, kw_only=True)
class SlowDown(Fault):
    """All work takes ``factor`` times as long."""

    factor: float


@dataclass(frozen=True, kw_only=True)
class CutStream(Fault):
    """The connection closes after ``after_tokens`` tokens of a run."""

    after_tokens: int


@dataclass(frozen=True, kw_only=True)
class CutAnswer(Fault):
    """The connection closes after ``after_bytes`` bytes of the answer's body."""

    after_bytes: int


@dataclass(frozen=True, kw_only=True)
class DelayAnswer(Fault):
    """The request takes effect at once and is answered ``delay_s`` later."""

    delay_s: float


@dataclass(frozen=True, kw_only=True)
class CrossAnswer(Fault):
    """The answer carries the id of another run."""


@dataclass(frozen=True, kw_only=True)
class LoseAnswer(Fault):
    """The request takes effect, then the connection closes without an answer."""


@dataclass(frozen=True, kw_only=True)
class DropCacheEvents(Fault):
    """Cache events are left out; their sequence numbers are used up."""


@dataclass(frozen=True, kw_only=True)
class TearWrite(Fault):
    """A block is written up to ``after_bytes`` bytes, then the connection closes."""

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

    :raises ValueError: when the kind or a field is not known.
    """
    kind = _KINDS.get(values.get("kind", ""))
    if kind is None:
        raise ValueError("no such kind of fault")
    names = {field.name for field in fields(kind)}
    given = {name: value for name, value in values.items() if name != "kind"}
    if not given.keys() <= names:
        raise ValueError("no such field of the fault")
    return kind(**given)
