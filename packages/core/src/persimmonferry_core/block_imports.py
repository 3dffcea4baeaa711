"""Decides which cache blocks are imported, recomputed or exported, and when."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from persimmonferry_core.schema import RoutingWeights

__all__ = [
    "ByteBudget",
    "ImportContext",
    "ImportPlan",
    "LinkEstimate",
    "PendingPrefills",
    "StoredHints",
    "plan_import",
]

LINK_HALF_LIFE_S = 60.0
STORED_HINT_S = 600.0
MAX_STORED_HINTS = 50_000
BYTES_PER_GB = 1e9

_LINK_EWMA_ALPHA = 0.3
_ABANDONED_RATE_FACTOR = 0.5
_MIN_ELAPSED_S = 1e-6


@dataclass(frozen=True)
class LinkEstimate:
    """
    Estimated rate of the link to the stores.

    Without new measurements the estimate returns to its start value, so that a link
    that was slow once is tried again.

    :param start_bytes_per_s: assumed before the first measurement.
    :param bytes_per_s: estimate at the time of the last measurement.
    :param measured_s: time of the last measurement.
    """

    start_bytes_per_s: float
    bytes_per_s: float
    measured_s: float = 0.0

    def read_rate(self, now: float) -> float:
        """Return the estimate at time ``now``, in bytes per second."""
        share = 0.5 ** (max(0.0, now - self.measured_s) / LINK_HALF_LIFE_S)
        ratio = self.bytes_per_s / self.start_bytes_per_s
        return self.start_bytes_per_s * ratio**share

    def add_transfer(
        self, size_bytes: float, elapsed_s: float, now: float
    ) -> "LinkEstimate":
        """Return the estimate after a complete transfer."""
        rate = size_bytes / max(elapsed_s, _MIN_ELAPSED_S)
        current = self.read_rate(now)
        estimate = current + _LINK_EWMA_ALPHA * (rate - current)
        return LinkEstimate(self.start_bytes_per_s, estimate, now)

    def add_abandoned(
        self, size_bytes: float, elapsed_s: float, now: float
    ) -> "LinkEstimate":
        """
        Return the estimate after a transfer that was abandoned at its deadline.

        This only gives an upper bound of the rate, so half of it is assumed.
        """
        limit = size_bytes / max(elapsed_s, _MIN_ELAPSED_S)
        estimate = _ABANDONED_RATE_FACTOR * min(limit, self.read_rate(now))
        return LinkEstimate(self.start_bytes_per_s, estimate, now)


@dataclass(frozen=True)
class ImportContext:
    """
    Inputs of the decision what to import before a run.

    :param missing_blocks: number of the prompt's blocks that are not cached.
    :param queue_s: prefill of other runs that is computed first, in seconds.
    :param link_price_per_gb: in the team's currency.
    """

    missing_blocks: int
    block_tokens: int
    block_bytes: float
    link_bytes_per_s: float
    prefill_tokens_per_s: float
    queue_s: float
    link_price_per_gb: float = 0.0

    @property
    def import_s(self) -> float:
        """Time to import one block."""
        return self.block_bytes / max(self.link_bytes_per_s, 1.0)

    @property
    def prefill_s(self) -> float:
        """Time to compute one block."""
        return self.block_tokens / max(self.prefill_tokens_per_s, 1.0)


@dataclass(frozen=True)
class ImportPlan:
    """
    How much to import before a run.

    :param block_count: missing blocks to import, from the first.
    :param deadline_s: when the import is abandoned, because computing the same blocks
        would have taken until then.
    """

    block_count: int
    deadline_s: float


def plan_import(
    offer: ImportContext, weights: RoutingWeights, now: float
) -> ImportPlan:
    """
    Return the plan with the least cost, and of equal ones the one with fewest bytes.

    An import costs no time while the run has to wait for other runs' prefill anyway.
    """
    counts = range(offer.missing_blocks + 1)
    best = min(counts, key=lambda count: _compute_cost(offer, weights, count))
    deadline_s = now + offer.queue_s + best * offer.prefill_s
    return ImportPlan(best, deadline_s)


def _compute_cost(offer: ImportContext, weights: RoutingWeights, count: int) -> float:
    computed_s = (offer.missing_blocks - count) * offer.prefill_s
    first_token_s = max(offer.queue_s, count * offer.import_s) + computed_s
    gigabytes = count * offer.block_bytes / BYTES_PER_GB
    return (
        weights.first_token * first_token_s
        + weights.recomputed * computed_s
        + weights.link * offer.link_price_per_gb * gigabytes
    )


class StoredHints:
    """
    Blocks that are probably in a store, so that none is exported twice.

    A hint expires, because a store can evict a block or fail without notice.
    """

    def __init__(self, max_names: int = MAX_STORED_HINTS) -> None:
        self._max_names = max_names
        self._noted: OrderedDict[str, float] = OrderedDict()

    def note(self, name: str, now: float) -> None:
        """Record that a block was found in a store, or is being exported to it."""
        self._noted[name] = now
        self._noted.move_to_end(name)
        if len(self._noted) > self._max_names:
            self._noted.popitem(last=False)

    def forget(self, name: str) -> None:
        """Record that a block was not found."""
        self._noted.pop(name, None)

    def choose_exports(self, names: Iterable[str], now: float) -> tuple[str, ...]:
        """Return the names of the blocks that have to be exported."""
        oldest_s = now - STORED_HINT_S
        return tuple(
            name
            for name in names
            if name not in self._noted or self._noted[name] < oldest_s
        )


class ByteBudget:
    """
    Token bucket that limits the rate of exports, so that they don't fill the link.

    :param bytes_per_s: mean rate.
    :param burst_bytes: most bytes that may be sent at once.
    """

    def __init__(self, bytes_per_s: float, burst_bytes: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._burst_s = burst_bytes / bytes_per_s
        self._free_at_s = float("-inf")

    def reserve(self, size_bytes: int, now: float) -> float:
        """Take bytes out of the budget; return the seconds to wait before sending."""
        start_s = max(self._free_at_s, now - self._burst_s)
        self._free_at_s = start_s + size_bytes / self._bytes_per_s
        return max(0.0, self._free_at_s - now)


@dataclass(frozen=True)
class _Prefill:
    names: frozenset[str]
    priority: int


class PendingPrefills:
    """
    Runs of one engine whose prompts are not computed yet, in order of arrival.

    A run that needs a block which an earlier run is about to compute waits for that
    run, so that a prompt that is sent twice in quick succession is computed once.
    """

    def __init__(self) -> None:
        self._prefills: dict[str, _Prefill] = {}

    def begin(self, run_id: str, names: Sequence[str], priority: int) -> None:
        """Add a run; a lower ``priority`` is more urgent."""
        self._prefills[run_id] = _Prefill(frozenset(names), priority)

    def end(self, run_id: str) -> None:
        """Remove a run whose prompt was computed, or that ended."""
        self._prefills.pop(run_id, None)

    def find_shared(self, run_id: str, names: Iterable[str]) -> str | None:
        """
        Return an earlier run that computes one of the blocks, or None.

        Less urgent runs are ignored, as waiting for them would delay this one.
        """
        own = self._prefills.get(run_id)
        wanted = frozenset(names)
        for other_id, other in self._prefills.items():
            if other_id == run_id:
                return None
            if own and other.priority <= own.priority and other.names & wanted:
                return other_id
        return None
