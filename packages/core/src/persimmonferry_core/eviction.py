"""Chooses the blocks to evict from a full store VM, by expected reuse."""

import struct
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from persimmonferry_core.blocks import read_position
from persimmonferry_core.interfaces import StoreUsage

__all__ = [
    "ChainUse",
    "EvictionPlan",
    "UseHistory",
    "estimate_reuse_delay",
    "is_eviction_due",
    "plan_eviction",
]

EVICTION_START_RATIO = 0.9
EVICTION_TARGET_RATIO = 0.8
DEFAULT_REUSE_INTERVAL_S = 3600.0
USE_MERGE_WINDOW_S = 30.0
MAX_CHAINS = 8_000

_INTERVAL_EWMA_ALPHA = 0.5
_CHAIN_BYTES = 6
_RECORD = struct.Struct(f"<{_CHAIN_BYTES}sdf")


@dataclass(frozen=True)
class ChainUse:
    """
    Uses of a chain, that is, of the prompts that share a first block.

    :param last_used_s: time of the last use, in seconds.
    :param interval_s: estimated interval between uses, 0 after a single use.
    """

    last_used_s: float
    interval_s: float = 0.0

    def add(self, now: float) -> "ChainUse":
        """Return the uses with one added; uses in quick succession count as one."""
        gap = now - self.last_used_s
        if gap < USE_MERGE_WINDOW_S:
            return ChainUse(max(now, self.last_used_s), self.interval_s)
        if not self.interval_s:
            return ChainUse(now, gap)
        change = _INTERVAL_EWMA_ALPHA * (gap - self.interval_s)
        return ChainUse(now, self.interval_s + change)

    def combine(self, other: "ChainUse") -> "ChainUse":
        """Return the combination of the uses that two processes observed."""
        pair = sorted((self, other), key=lambda use: (use.last_used_s, use.interval_s))
        earlier, later = pair
        return later if later.interval_s else earlier.add(later.last_used_s)


def estimate_reuse_delay(use: ChainUse | None, now: float) -> float:
    """
    Return the expected time until the next use, in seconds.

    For a chain that is long overdue, this is the time since its last use.
    """
    if use is None:
        return DEFAULT_REUSE_INTERVAL_S
    age = now - use.last_used_s
    interval = use.interval_s or DEFAULT_REUSE_INTERVAL_S
    if age <= 2 * interval:
        return abs(interval - age)
    return age


class UseHistory:
    """
    Uses of the chains that one process has observed or merged.

    :param max_chains: above this number the least recently used chains are dropped.
    """

    def __init__(self, max_chains: int = MAX_CHAINS) -> None:
        self._max_chains = max_chains
        self._uses: OrderedDict[str, ChainUse] = OrderedDict()

    def note(self, name: str, now: float) -> None:
        """Record a use of the prompt with this first block."""
        position = read_position(name)
        if position is None:
            return
        use = self._uses.get(position.chain)
        self._set(position.chain, use.add(now) if use else ChainUse(now))

    def _set(self, chain: str, use: ChainUse) -> None:
        self._uses[chain] = use
        self._uses.move_to_end(chain)
        if len(self._uses) > self._max_chains:
            self._uses.popitem(last=False)

    def find(self, name: str) -> ChainUse | None:
        """Return the uses of a block's chain, None if unknown."""
        position = read_position(name)
        return self._uses.get(position.chain) if position else None

    def encode(self) -> bytes:
        """Return the history as bytes that other processes can merge."""
        records = (
            _RECORD.pack(bytes.fromhex(chain), use.last_used_s, use.interval_s)
            for chain, use in self._uses.items()
        )
        return b"".join(records)

    def merge(self, value: bytes) -> None:
        """
        Merge the history of another process.

        :raises ValueError: if the bytes are not an encoded history.
        """
        if len(value) % _RECORD.size:
            raise ValueError(f"use history truncated: got {len(value)} bytes")
        merged = dict(self._uses)
        for text, last_used_s, interval_s in _RECORD.iter_unpack(value):
            chain, use = text.hex(), ChainUse(last_used_s, interval_s)
            known = merged.get(chain)
            merged[chain] = known.combine(use) if known else use
        ordered = sorted(merged.items(), key=lambda item: item[1].last_used_s)
        self._uses = OrderedDict(ordered[-self._max_chains :])


@dataclass(frozen=True)
class EvictionPlan:
    """
    The blocks to evict from a store.

    :param candidates: blocks in the order of eviction; more than ``count``, because
        some may turn out to be gone or not yet committed.
    :param count: number of blocks to evict.
    """

    candidates: tuple[str, ...] = ()
    count: int = 0


def is_eviction_due(usage: StoreUsage) -> bool:
    """Whether a store is so full that blocks have to be evicted."""
    return usage.used_bytes > EVICTION_START_RATIO * usage.capacity_bytes


def plan_eviction(
    names: Iterable[str], usage: StoreUsage, history: UseHistory, now: float
) -> EvictionPlan:
    """
    Choose the blocks to evict.

    The chain whose next use is expected last is evicted first. Within a chain, later
    blocks are evicted first, since earlier ones are useful without them. Blocks with
    names of another format are never evicted. All blocks count as equally large.

    :param names: of all blocks in the store.
    """
    if not is_eviction_due(usage):
        return EvictionPlan()
    positions = {name: read_position(name) for name in names}
    if not positions:
        return EvictionPlan()
    block_bytes = usage.used_bytes / len(positions)
    excess_bytes = usage.used_bytes - EVICTION_TARGET_RATIO * usage.capacity_bytes
    count = max(1, round(excess_bytes / block_bytes))
    own = [(name, position) for name, position in positions.items() if position]
    ranked = sorted(
        own,
        key=lambda item: (
            -estimate_reuse_delay(history.find(item[0]), now),
            item[1].chain,
            -item[1].index,
        ),
    )
    return EvictionPlan(tuple(name for name, _ in ranked), count)
