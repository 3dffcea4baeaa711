"""Hints of an engine's cache contents, from events that may be late or missing."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from persimmonferry_core.runs import CacheEvent, CacheEventKind

__all__ = ["EngineCacheHints"]

EVENT_GAP_TIMEOUT_S = 2.0
MAX_NAMES = 20_000


class EngineCacheHints:
    """
    Blocks that are probably cached at one engine.

    A wrong hint costs time but never an answer: the engine computes missing blocks.
    After a gap that is not closed in time, all hints are dropped and the events are
    requested from the beginning. If that reply has gaps too, only the events after the
    last gap count, because a removal may be missing in a gap.

    :param max_names: above this number the oldest names are dropped.
    """

    def __init__(self, max_names: int = MAX_NAMES) -> None:
        self._max_names = max_names
        self._names: OrderedDict[str, None] = OrderedDict()
        self._cursor = 0
        self._gap_since_s: float | None = None
        self._accepts_gaps = False

    @property
    def cursor(self) -> int:
        """The sequence number after which events are to be requested."""
        return self._cursor

    def apply(self, events: Iterable[CacheEvent], now: float) -> None:
        """
        Apply the reply to a request for the events after the cursor.

        :param events: in any order; those up to the cursor are ignored.
        """
        by_sequence = {event.sequence: event for event in events}
        for sequence in sorted(by_sequence):
            if sequence <= self._cursor:
                continue
            if sequence > self._cursor + 1 and not self._skip_gap(now):
                return
            self._apply_event(by_sequence[sequence])
        self._gap_since_s = None
        self._accepts_gaps = False

    def _skip_gap(self, now: float) -> bool:
        """Return whether the events after a gap may be applied now."""
        if self._accepts_gaps:
            self._names.clear()
            return True
        if self._gap_since_s is None:
            self._gap_since_s = now
        if now - self._gap_since_s >= EVENT_GAP_TIMEOUT_S:
            self.reset()
        return False

    def _apply_event(self, event: CacheEvent) -> None:
        self._cursor = event.sequence
        match event.kind:
            case CacheEventKind.STORED:
                self._add(event.block_name)
            case CacheEventKind.REMOVED:
                self._names.pop(event.block_name, None)

    def _add(self, name: str) -> None:
        self._names[name] = None
        self._names.move_to_end(name)
        if len(self._names) > self._max_names:
            self._names.popitem(last=False)

    def reset(self) -> None:
        """Drop all hints and start from the first event, as after a restart."""
        self._names.clear()
        self._cursor = 0
        self._gap_since_s = None
        self._accepts_gaps = True

    def add_assumed(self, names: Iterable[str]) -> None:
        """Add blocks that a run or an import has just put into the engine's cache."""
        for name in names:
            self._add(name)

    def holds(self, name: str) -> bool:
        """Whether a block is probably cached."""
        return name in self._names

    def list_names(self) -> frozenset[str]:
        """Return the names of all blocks that are probably cached."""
        return frozenset(self._names)

    def count_prefix(self, names: Sequence[str]) -> int:
        """Return how many leading blocks are probably cached without a gap."""
        for index, name in enumerate(names):
            if name not in self._names:
                return index
        return len(names)
