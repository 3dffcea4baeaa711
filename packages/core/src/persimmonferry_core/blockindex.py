"""Hints where cache blocks are: cached at engines of upstreams, or in stores."""

from collections import OrderedDict

__all__ = ["BlockIndex"]

MAX_INDEXED_BLOCKS = 100_000


class _HeldBlocks:
    """Cached blocks of one engine, least recently used first."""

    def __init__(self) -> None:
        self.sizes: OrderedDict[str, int] = OrderedDict()
        self.capacity = 0
        self.total = 0

    def add(self, name: str, size: int) -> None:
        self.discard(name)
        self.sizes[name] = size
        self.total += size

    def discard(self, name: str) -> None:
        self.total -= self.sizes.pop(name, 0)

    def drop_excess(self) -> list[str]:
        dropped = []
        while self.capacity and self.total > self.capacity:
            name, size = self.sizes.popitem(last=False)
            self.total -= size
            dropped.append(name)
        return dropped


class BlockIndex:
    """
    Hints which upstreams cache a block, and which failure domains store it.

    A block that an upstream has cached is assumed to be in the stores of its failure
    domain, as agents export what their engines cache. A wrong hint only costs time.
    """

    def __init__(self) -> None:
        self._holders: dict[str, set[str]] = {}
        self._held: dict[str, _HeldBlocks] = {}
        self._stored: OrderedDict[str, set[str]] = OrderedDict()

    def set_capacity(self, upstream: str, tokens: int) -> None:
        """
        Set how many tokens an upstream's engine can cache.

        If no events report evictions, the least recently used blocks beyond this
        capacity are assumed to be evicted.
        """
        self._held.setdefault(upstream, _HeldBlocks()).capacity = tokens

    def add_held(
        self, upstream: str, names: tuple[str, ...], sizes: tuple[int, ...] = ()
    ) -> None:
        """
        Record blocks that are cached at an upstream's engine.

        :param sizes: in tokens, if known.
        """
        held = self._held.setdefault(upstream, _HeldBlocks())
        for index, name in enumerate(names):
            held.add(name, sizes[index] if sizes else 0)
            self._holders.setdefault(name, set()).add(upstream)
        for name in held.drop_excess():
            _discard(self._holders, name, upstream)

    def add_stored(self, failure_domain: str, names: tuple[str, ...]) -> None:
        """Record blocks that are in the stores of a failure domain."""
        for name in names:
            self._stored.setdefault(name, set()).add(failure_domain)
            self._stored.move_to_end(name)
        while len(self._stored) > MAX_INDEXED_BLOCKS:
            self._stored.popitem(last=False)

    def remove_held(self, upstream: str, names: tuple[str, ...]) -> None:
        """Record blocks that an upstream's engine evicted."""
        held = self._held.get(upstream)
        for name in names:
            if held is not None:
                held.discard(name)
            _discard(self._holders, name, upstream)

    def remove_stored(self, failure_domain: str, names: tuple[str, ...]) -> None:
        """Record blocks that are no longer in the stores of a failure domain."""
        for name in names:
            _discard(self._stored, name, failure_domain)

    def count_tokens(self, upstream: str) -> int:
        """Return the number of tokens in the cached blocks of an upstream's engine."""
        held = self._held.get(upstream)
        return held.total if held else 0

    def remove_upstream(self, upstream: str) -> None:
        """Remove all blocks of an upstream."""
        held = self._held.pop(upstream, None)
        if held is not None:
            for name in held.sizes:
                _discard(self._holders, name, upstream)

    def find_holders(self, names: tuple[str, ...]) -> dict[str, int]:
        """Return for each upstream how many leading blocks it has cached."""
        return _find_depths(self._holders, names)

    def find_stored(self, names: tuple[str, ...]) -> dict[str, int]:
        """Return for each failure domain how many leading blocks its stores have."""
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
