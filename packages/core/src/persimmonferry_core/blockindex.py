"""Hints of where cache blocks lie: engines of upstreams and stores."""

from collections import OrderedDict

__all__ = ["BlockIndex"]

MAX_INDEXED_BLOCKS = 100_000


class BlockIndex:
    """
    Hints of which upstreams and which failure domains' stores hold a cache block.

    A block that an upstream held is taken to be in the stores of its failure domain,
    since agents export what their engines cache. A wrong hint costs time only.
    """

    def __init__(self) -> None:
        self._holders: dict[str, set[str]] = {}
        self._held: dict[str, set[str]] = {}
        self._stored: OrderedDict[str, set[str]] = OrderedDict()

    def add_held(self, upstream: str, names: tuple[str, ...]) -> None:
        """Note that an upstream's engine holds blocks."""
        self._held.setdefault(upstream, set()).update(names)
        for name in names:
            self._holders.setdefault(name, set()).add(upstream)

    def add_stored(self, failure_domain: str, names: tuple[str, ...]) -> None:
        """Note that the stores of a failure domain hold blocks."""
        for name in names:
            self._stored.setdefault(name, set()).add(failure_domain)
            self._stored.move_to_end(name)
        while len(self._stored) > MAX_INDEXED_BLOCKS:
            self._stored.popitem(last=False)

    def remove_held(self, upstream: str, names: tuple[str, ...]) -> None:
        """Note that an upstream's engine dropped blocks."""
        self._held.get(upstream, set()).difference_update(names)
        for name in names:
            _discard(self._holders, name, upstream)

    def remove_stored(self, failure_domain: str, names: tuple[str, ...]) -> None:
        """Note that the stores of a failure domain don't hold blocks any more."""
        for name in names:
            _discard(self._stored, name, failure_domain)

    def remove_upstream(self, upstream: str) -> None:
        """Forget all that an upstream held."""
        self.remove_held(upstream, tuple(self._held.get(upstream, ())))
        self._held.pop(upstream, None)

    def find_holders(self, names: tuple[str, ...]) -> dict[str, int]:
        """Return for each upstream how many leading blocks it holds."""
        return _find_depths(self._holders, names)

    def find_stored(self, names: tuple[str, ...]) -> dict[str, int]:
        """Return for each failure domain how many leading blocks its stores hold."""
        return _find_depths(self._stored, names)


def _discard(index: dict[str, set[str]], name: str, member: str) -> None:
    members = index.get(name)
    if members is None:
        return
    members.discard(member)
    if not members:
        del index[name]


def _find_depths(index: dict[str, set[str]], names: tuple[str, ...]) -> dict[str, int]:
    depths: dict[str, int] = {}
    current: set[str] | None = None
    for depth, name in enumerate(names, start=1):
        members = index.get(name)
        if not members:
            break
        current = members if current is None else current & members
        if not current:
            break
        for member in current:
            depths[member] = depth
    return depths
