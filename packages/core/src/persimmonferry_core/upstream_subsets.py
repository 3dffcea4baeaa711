"""Which entries of a large fleet use which upstreams, without a directory."""

import hashlib
from collections.abc import Iterable

__all__ = ["UpstreamSubsets"]

# Upstreams that one entry uses. An entry hears of each dispatch that the others make
# there; with this many, entries whose callers ask for several times the usual load
# still spread it.
SUBSET_SIZE = 12
# Upstreams among which an entry chooses its own; beyond this, entries and upstreams are
# divided into parts that don't know of each other.
MAX_PARTITION_UPSTREAMS = 256


class UpstreamSubsets:
    """
    The upstreams that each entry uses, by rendezvous hashing.

    Load pattern: hundreds of entries before as many upstreams. If each entry told all
    others what it sends, messages would grow with the square of the fleet. Each entry
    uses a bounded number of upstreams instead, and talks only to the entries that use
    one of these. An entry or upstream that comes or goes changes few choices.

    :param entry: whose view this is.

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
        """Take over the names of all entries, this one among them."""
        entries = frozenset(entries) | {self._entry}
        if entries != self._entries:
            self._entries = entries
            self._recompute()

    def set_upstreams(self, upstreams: Iterable[str]) -> None:
        """Take over the names of all upstreams."""
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

    def list_users(self, upstream: str) -> frozenset[str]:
        """Return the other entries that use an upstream of this entry's reach."""
        return self._users.get(upstream, frozenset())

    def _recompute(self) -> None:
        """Find this entry's upstreams, and who else uses them."""
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
        """Whether upstreams that came or went may change an entry's choice."""
        if len(subset) < SUBSET_SIZE or changed & subset:
            return True
        least = min(_score(entry, upstream) for upstream in subset)
        return any(_score(entry, upstream) > least for upstream in changed)


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
