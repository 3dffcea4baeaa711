"""Chooses the store VMs of a block by rendezvous hashing, without a directory."""

import hashlib
from collections.abc import Iterable

__all__ = ["PauseList", "rank_stores"]


def rank_stores(name: str, stores: Iterable[str], count: int = 2) -> tuple[str, ...]:
    """
    Return the preferred stores of a block, best first.

    A store that is added or removed only moves blocks to or from itself.

    :param name: of the block.
    :param stores: names of the store VMs of the failure domain.
    :param count: number of stores to return.

    >>> rank_stores("c-0-aa", ["s1"])
    ('s1',)
    """
    ranked = sorted(stores, key=lambda store: _score(name, store), reverse=True)
    return tuple(ranked[:count])


def _score(name: str, store: str) -> tuple[bytes, str]:
    text = f"{len(name)}:{name}{store}".encode()
    return hashlib.blake2b(text, digest_size=8).digest(), store


class PauseList:
    """
    Store VMs that get no requests for a while after they failed or were full.

    :param pause_s: length of a pause.
    """

    def __init__(self, pause_s: float) -> None:
        self._pause_s = pause_s
        self._until: dict[str, float] = {}

    def pause(self, store: str, now: float) -> None:
        """Pause a store from now on."""
        self._until[store] = now + self._pause_s

    def exclude_paused(self, stores: Iterable[str], now: float) -> tuple[str, ...]:
        """Return the stores that are not paused, and drop pauses that have ended."""
        self._until = {name: end for name, end in self._until.items() if end > now}
        return tuple(store for store in stores if store not in self._until)
