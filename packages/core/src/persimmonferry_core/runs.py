"""Typed messages between an agent and its upstream: runs, calls, answers, loads."""

import enum
import re
from dataclasses import dataclass

__all__ = [
    "CacheEvent",
    "CacheEventKind",
    "CallAnswer",
    "CallOrder",
    "EngineLoad",
    "EngineOrder",
    "LoadAdapter",
    "LoadVersion",
    "PlainLoad",
    "RunEnd",
    "RunOrder",
    "TokenBatch",
    "split_tokens",
]


_TOKEN = re.compile(r"\s*\S+")


def split_tokens(text: str) -> tuple[str, ...]:
    """
    Split text into tokens: a word with the white space before it.

    Joining the tokens gives the text back, but for trailing white space.

    >>> split_tokens("two red roses")
    ('two', ' red', ' roses')
    """
    return tuple(_TOKEN.findall(text))


@dataclass(frozen=True)
class RunOrder:
    """
    One attempt to run a prompt at a model engine.

    :param run_id: of this attempt; every event of the run carries it.
    :param prompt: the prompt's text.
    :param delivered: tokens that an earlier attempt generated and that the caller
        has; the engine goes on behind them.
    :param max_tokens: of the whole answer, ``delivered`` included.
    :param priority: the lower, the sooner.
    :param block_names: names of the full cache blocks of the prompt, in order; two
        runs may share a cached block only when its name is equal.
    :param block_tokens: tokens in one block.
    """

    run_id: str
    model: str
    version: str
    adapter: str
    prompt: str
    max_tokens: int
    priority: int
    delivered: tuple[str, ...] = ()
    block_names: tuple[str, ...] = ()
    block_tokens: int = 1000


@dataclass(frozen=True)
class TokenBatch:
    """
    Tokens of a running answer, in order.

    :param first_index: index of the first token in the whole answer, from 0.
    """

    run_id: str
    first_index: int
    tokens: tuple[str, ...]


@dataclass(frozen=True)
class RunEnd:
    """
    The end mark of a whole answer.

    :param total_tokens: length of the whole answer, tokens delivered before included.
    :param prompt_tokens: length of the prompt.
    :param cached_tokens: prompt tokens that were not computed again.
    :param imported_blocks: cache blocks that the agent brought before the run.
    :param import_s: how long that took, in seconds.
    """

    run_id: str
    version: str
    total_tokens: int
    prompt_tokens: int
    cached_tokens: int
    finish_reason: str
    imported_blocks: int = 0
    imported_bytes: int = 0
    import_s: float = 0.0


@dataclass(frozen=True)
class EngineLoad:
    """
    The load that an engine reports; it lags.

    :param waiting_prefill_tokens: prompt tokens of waiting runs, not yet computed.
    :param version: the weight version that new runs get; empty while loading.
    """

    model: str
    version: str
    running: int
    waiting: int
    waiting_prefill_tokens: int
    slots: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    loading: bool = False


@dataclass(frozen=True)
class PlainLoad:
    """The load that a plain service reports; it lags."""

    running: int
    waiting: int
    slots: int
    calls_per_s: float


class CacheEventKind(enum.Enum):
    """What happened to a block in an engine's memory."""

    STORED = "stored"
    REMOVED = "removed"


@dataclass(frozen=True)
class CacheEvent:
    """An engine's cache event; events come late, and sequence numbers may have gaps."""

    sequence: int
    kind: CacheEventKind
    block_name: str


@dataclass(frozen=True)
class LoadVersion:
    """Load a weight version of a model."""

    model: str
    version: str


@dataclass(frozen=True)
class LoadAdapter:
    """Load an adapter of a model."""

    model: str
    adapter: str


@dataclass(frozen=True)
class EngineOrder:
    """An order to an engine with the fencing number of the holder that gives it."""

    fencing: int
    order: LoadVersion | LoadAdapter


@dataclass(frozen=True)
class CallOrder:
    """
    One attempt to call a plain service.

    :param run_id: of this attempt; the answer must carry it.
    """

    run_id: str
    method: str
    path: str
    content_type: str
    body: bytes


@dataclass(frozen=True)
class CallAnswer:
    """The whole answer of a plain service."""

    run_id: str
    status: int
    content_type: str
    body: bytes
