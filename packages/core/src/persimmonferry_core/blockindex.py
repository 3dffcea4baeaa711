"""Hints of where cache blocks lie: engines of upstreams and stores."""

from collections import OrderedDict

__all__ = ["BlockIndex"]

MAX_INDEXED_BLOCKS = 100_000


class _HeldBlocks:
    """Blocks of one engine, the least recently used first."""

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
    Hints of which upstreams and which failure domains' stores hold a cache block.

    A block that an upstream held is taken to be in the stores of its failure domain,
    since agents export what their engines cache. A wrong hint costs time only.
    """

    def __init__(self) -> None:
        self._holders: dict[str, set[str]] = {}
        self._held: dict[str, _HeldBlocks] = {}
        self._stored: OrderedDict[str, set[str]] = OrderedDict()

    def set_capacity(self, upstream: str, tokens: int) -> None:
        """
        Note how much an upstream's engine can hold.

        Where no events tell of evictions, the least recently used blocks beyond that
        are taken to be gone.
        """
        self._held.setdefault(upstream, _HeldBlocks()).capacity = tokens

    def add_held(
        self, upstream: str, names: tuple[str, ...], sizes: tuple[int, ...] = ()
    ) -> None:
        """
        Note that an upstream's engine holds blocks.

        :param sizes: in tokens, where they are known.
        """
        held = self._held.setdefault(upstream, _HeldBlocks())
        for index, name in enumerate(names):
            held.add(name, sizes[index] if sizes else 0)
            self._holders.setdefault(name, set()).add(upstream)
        for name in held.drop_excess():
            _discard(self._holders, name, upstream)

    def add_stored(self, failure_domain: str, names: tuple[str, ...]) -> None:
        """Note that the stores of a failure domain hold blocks."""
        for name in names:
            self._stored.setdefault(name, set()).add(failure_domain)
            self._stored.move_to_end(name)
        while len(self._stored) > MAX_INDEXED_BLOCKS:
            self._stored.popitem(last=False)

    def remove_held(self, upstream: str, names: tuple[str, ...]) -> None:
        """Note that an upstream's engine dropped blocks."""
        held = self._held.get(upstream)
        for name in names:
            if held is not None:
                held.discard(name)
            _discard(self._holders, name, upstream)

    def remove_stored(self, failure_domain: str, names: tuple[str, ...]) -> None:
        """Note that the stores of a failure domain don't hold blocks any more."""
        for name in names:
            _discard(self._stored, name, failure_domain)

    def count_tokens(self, upstream: str) -> int:
        """Return the tokens of the blocks that an upstream's engine holds."""
        held = self._held.get(upstream)
        return held.total if held else 0

    def remove_upstream(self, upstream: str) -> None:
        """Forget all that an upstream held."""
        held = self._held.pop(upstream, None)
        if held is not None:
            for name in held.sizes:
                _discard(self._holders, name, upstream)

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
