"""What an engine holds in its cache, as a hint built from late and gappy events."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from persimmonferry_core.runs import CacheEvent, CacheEventKind

__all__ = ["EngineCacheHints"]

EVENT_GAP_TIMEOUT_S = 2.0
MAX_NAMES = 20_000


class EngineCacheHints:
    """
    Blocks that one engine seems to hold.

    A wrong hint costs time and never an answer: the engine computes what it lacks.
    After a gap that does not close in time, everything is forgotten and the events are
    asked for from the beginning; what lies before a gap in that reply stays forgotten,
    because a removal may be missing.

    :param max_names: the oldest names are dropped above this number.
    """

    def __init__(self, max_names: int = MAX_NAMES) -> None:
        self._max_names = max_names
        self._names: OrderedDict[str, None] = OrderedDict()
        self._cursor = 0
        self._gap_since_s: float | None = None
        self._accepts_gaps = False

    @property
    def cursor(self) -> int:
        """The sequence number behind which events are to be asked for."""
        return self._cursor

    def apply(self, events: Iterable[CacheEvent], now: float) -> None:
        """
        Take in the reply to a question for the events behind the cursor.

        :param events: in any order; numbers up to the cursor are ignored.
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
        """Return True when events behind a gap may be taken in."""
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
        """Forget everything and ask from the beginning, as after a restart."""
        self._names.clear()
        self._cursor = 0
        self._gap_since_s = None
        self._accepts_gaps = True

    def add_assumed(self, names: Iterable[str]) -> None:
        """Take in names that a run or an import has just put into the engine."""
        for name in names:
            self._add(name)

    def holds(self, name: str) -> bool:
        """Whether the engine seems to hold a block."""
        return name in self._names

    def list_names(self) -> frozenset[str]:
        """Return the names of all blocks that seem to be held."""
        return frozenset(self._names)

    def count_prefix(self, names: Sequence[str]) -> int:
        """Return how many blocks, from the first without a break, seem to be held."""
        for index, name in enumerate(names):
            if name not in self._names:
                return index
        return len(names)
