"""Subsetting: which entries of a large fleet use which upstreams."""

import hashlib
from collections.abc import Iterable

__all__ = ["UpstreamSubsets", "rank_entries"]

# Upstreams that one entry uses. An entry is notified of each dispatch of other entries
# there. This many are enough to spread the load of an entry whose callers send several
# times the usual load.
SUBSET_SIZE = 12
# Upstreams from which an entry chooses its subset; beyond this number, entries and
# upstreams are divided into independent partitions.
MAX_PARTITION_UPSTREAMS = 256


class UpstreamSubsets:
    """
    The subset of upstreams that each entry uses, by rendezvous hashing.

    Load pattern: hundreds of entries share as many upstreams. If each entry notified
    all others of its dispatches, the number of messages would grow with the square of
    the fleet. Instead, each entry uses a bounded number of upstreams and exchanges
    messages only with the entries that share one of them. An added or removed entry or
    upstream changes few subsets.

    :param entry: name of the entry whose view this is.

    >>> groups = UpstreamSubsets("g1")
    >>> groups.set_entries(("g1", "g2"))
    >>> groups.set_upstreams(("u1", "u2"))
    >>> sorted(groups.subset), sorted(groups.list_users("u1"))
    (['u1', 'u2'], ['g2'])
    """

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._entries = frozenset((entry,))
        self._upstreams: frozenset[str] = frozenset()
        self._subsets: dict[str, frozenset[str]] = {}
        self._users: dict[str, frozenset[str]] = {}
        self.subset: frozenset[str] = frozenset()
        self.neighbours: frozenset[str] = frozenset()

    def set_entries(self, entries: Iterable[str]) -> None:
        """Set the names of all entries, including this one."""
        entries = frozenset(entries) | {self._entry}
        if entries != self._entries:
            self._entries = entries
            self._recompute()

    def set_upstreams(self, upstreams: Iterable[str]) -> None:
        """Set the names of all upstreams."""
        upstreams = frozenset(upstreams)
        if upstreams != self._upstreams:
            changed = upstreams ^ self._upstreams
            self._upstreams = upstreams
            self._subsets = {
                entry: subset
                for entry, subset in self._subsets.items()
                if not self._may_change(entry, subset, changed)
            }
            self._recompute()

    def map_users(self) -> dict[str, frozenset[str]]:
        """
        Return the entries that use each upstream, including this one.

        Upstreams outside this entry's subset have none, as their users are unknown.
        """
        found: dict[str, frozenset[str]] = dict.fromkeys(self._upstreams, frozenset())
        for upstream in self.subset:
            found[upstream] = self._users[upstream] | {self._entry}
        return found

    def list_users(self, upstream: str) -> frozenset[str]:
        """Return the other entries that use an upstream of this entry's subset."""
        return self._users.get(upstream, frozenset())

    def _recompute(self) -> None:
        """Recompute this entry's subset and the other users of its upstreams."""
        parts = 1
        while len(self._upstreams) > parts * MAX_PARTITION_UPSTREAMS:
            parts *= 2
        own = _find_partition(self._entry, parts)
        entries = [
            name for name in self._entries if _find_partition(name, parts) == own
        ]
        candidates = [
            name for name in self._upstreams if _find_partition(name, parts) == own
        ]
        self._subsets = {
            name: self._subsets.get(name) or _choose(name, candidates)
            for name in entries
        }
        self.subset = self._subsets[self._entry]
        self._users = {
            upstream: frozenset(
                name
                for name, subset in self._subsets.items()
                if upstream in subset and name != self._entry
            )
            for upstream in self.subset
        }
        self.neighbours = frozenset().union(*self._users.values())

    def _may_change(
        self, entry: str, subset: frozenset[str], changed: frozenset[str]
    ) -> bool:
        """Whether added or removed upstreams may change an entry's subset."""
        if len(subset) < SUBSET_SIZE or changed & subset:
            return True
        least = min(_score(entry, upstream) for upstream in subset)
        return any(_score(entry, upstream) > least for upstream in changed)


def rank_entries(upstream: str, entries: Iterable[str]) -> tuple[str, ...]:
    """
    Return entries in an order that each of them computes alike for an upstream.

    >>> rank_entries("u1", ("g1", "g2")) == rank_entries("u1", ("g2", "g1"))
    True
    """
    return tuple(
        sorted(
            entries, key=lambda entry: (_score(entry, upstream), entry), reverse=True
        )
    )


def _choose(entry: str, upstreams: list[str]) -> frozenset[str]:
    if len(upstreams) <= SUBSET_SIZE:
        return frozenset(upstreams)
    ranked = sorted(upstreams, key=lambda name: _score(entry, name), reverse=True)
    return frozenset(ranked[:SUBSET_SIZE])


def _score(entry: str, upstream: str) -> tuple[bytes, str]:
    text = f"{len(entry)}:{entry}{upstream}".encode()
    return hashlib.blake2b(text, digest_size=8).digest(), upstream


def _find_partition(name: str, parts: int) -> int:
    if parts == 1:
        return 0
    digest = hashlib.blake2b(name.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") % parts
