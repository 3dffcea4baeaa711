"""Decides which connections of callers are closed, and which new ones are served."""

from collections import deque
from collections.abc import Hashable
from typing import Generic, TypeVar

__all__ = ["OpenConnections", "limit_connections"]

# Longer than an answer takes to reach its caller.
IDLE_BEFORE_CLOSE_S = 0.1
# New connections that wait for others to be closed, as a share of the limit.
LINE_SHARE = 1 / 8
MAX_LINE_S = 2.0
# Descriptors that the platform keeps for files.
FILE_DESCRIPTORS = 200
# Shares of the other descriptors; the rest is for the gateway's own.
CALLER_DESCRIPTOR_SHARE = 0.45
UPSTREAM_DESCRIPTOR_SHARE = 0.3
# What a connection may hold besides bodies: its objects, and the part of a head or what
# it has received and not read.
CONNECTION_BYTES = 32 * 1024
CONNECTION_MEMORY_SHARE = 0.25
MIN_CONNECTIONS = 16
DEFAULT_CALLER_CONNECTIONS = 1024
DEFAULT_UPSTREAM_CONNECTIONS = 512

_Item = TypeVar("_Item", bound=Hashable)


def limit_connections(
    memory_bytes: int | None, descriptors: int | None
) -> tuple[int, int]:
    """
    Return how many connections of callers and to upstreams may be open.

    >>> limit_connections(150_000_000, 4100)
    (1144, 512)
    >>> limit_connections(None, None)
    (1024, 512)
    """
    callers = DEFAULT_CALLER_CONNECTIONS
    upstreams = DEFAULT_UPSTREAM_CONNECTIONS
    if memory_bytes is not None:
        callers = int(CONNECTION_MEMORY_SHARE * memory_bytes / CONNECTION_BYTES)
    if descriptors is not None:
        sockets = max(0, descriptors - FILE_DESCRIPTORS)
        own = int(CALLER_DESCRIPTOR_SHARE * sockets)
        callers = own if memory_bytes is None else min(callers, own)
        upstreams = min(upstreams, int(UPSTREAM_DESCRIPTOR_SHARE * sockets))
    return max(MIN_CONNECTIONS, callers), max(MIN_CONNECTIONS, upstreams)


class OpenConnections(Generic[_Item]):
    """
    The open connections of callers: those that wait for a request, and those in use.

    At the limit, a new connection takes the place of one that waits for a request: of
    those that never had one, the oldest, otherwise of the one that has waited for
    longest. If all are in use, it waits in a line until one is closed; the line is
    short, and the oldest in it gives way.

    >>> connections = OpenConnections(limit=2)
    >>> for name in ("a", "b"):
    ...     connections.open(name, now=0.0)
    >>> connections.record_busy("a")
    >>> connections.find_replaced()
    'b'
    >>> connections.record_busy("b")
    >>> connections.is_full, connections.find_replaced()
    (True, None)
    """

    def __init__(self, limit: int = DEFAULT_CALLER_CONNECTIONS) -> None:
        self.limit = limit
        # Both in the order in which their waiting began.
        self._new: dict[_Item, float] = {}
        self._idle: dict[_Item, float] = {}
        self._busy: set[_Item] = set()
        self._line: deque[tuple[_Item, float]] = deque()

    def __len__(self) -> int:
        return len(self._new) + len(self._idle) + len(self._busy)

    @property
    def is_full(self) -> bool:
        """Whether a new connection has to take the place of another one."""
        return len(self) >= self.limit

    @property
    def line_length(self) -> int:
        """Return the number of connections in the line."""
        return len(self._line)

    def open(self, item: _Item, now: float) -> None:
        """Record a new connection, which waits for its first request."""
        self._new[item] = now

    def record_busy(self, item: _Item) -> None:
        """Record that a request is being received on a connection."""
        self.drop(item)
        self._busy.add(item)

    def record_idle(self, item: _Item, now: float) -> None:
        """Record that a connection in use waits for its next request."""
        if item in self._busy:
            self._busy.discard(item)
            self._idle[item] = now

    def drop(self, item: _Item) -> None:
        """Forget a connection."""
        self._new.pop(item, None)
        self._idle.pop(item, None)
        self._busy.discard(item)

    def find_replaced(self) -> _Item | None:
        """Return the connection in whose place a new one is served, None without."""
        found = next(iter(self._new), None)
        return next(iter(self._idle), None) if found is None else found

    def queue(self, item: _Item, now: float) -> _Item | None:
        """Add a new connection to the line, and return the one that gives way."""
        self._line.append((item, now))
        if len(self._line) > max(1, LINE_SHARE * self.limit):
            return self._line.popleft()[0]
        return None

    def take_next(self) -> _Item | None:
        """Return the next connection of the line to be served, the latest first."""
        return self._line.pop()[0] if self._line and not self.is_full else None

    def take_late(self, now: float) -> list[_Item]:
        """Remove those that have waited too long from the line, and return them."""
        late = []
        while self._line and now - self._line[0][1] > MAX_LINE_S:
            late.append(self._line.popleft()[0])
        return late

    def list_silent(self, now: float, limit_s: float) -> list[_Item]:
        """Return the connections that have waited longer than that for a request."""
        waiting = (*self._new.items(), *self._idle.items())
        return [item for item, since_s in waiting if now - since_s > limit_s]

    def list_idle(self, now: float) -> list[_Item]:
        """Return those that wait, except where an answer may be on its way."""
        return self.list_silent(now, IDLE_BEFORE_CLOSE_S)
