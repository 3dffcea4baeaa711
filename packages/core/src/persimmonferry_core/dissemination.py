"""
Chooses which processes watch the platform, and how they disseminate changes.

Each process derives watchers and dissemination trees from its own VM list by rendezvous
hashing. No consensus is needed; differing lists only cause a few extra messages.
"""

import hashlib
import random
from collections.abc import Iterable, Set as AbstractSet
from dataclasses import dataclass

from persimmonferry_core.topology import VM, FailureDomain, Role, VMState

__all__ = [
    "FAN_OUT",
    "STANDBYS_PER_DOMAIN",
    "WATCHERS_PER_DOMAIN",
    "Branch",
    "Member",
    "Members",
    "RemoteDomain",
    "choose_peer",
    "count_levels",
    "rank_members",
]

WATCHERS_PER_DOMAIN = 2
STANDBYS_PER_DOMAIN = 2
FAN_OUT = 8
REMOTE_PROBABILITY = 0.25
MAX_REMOTE_ATTEMPTS = 4


@dataclass(frozen=True)
class Member:
    """
    A process that holds a replica of the document.

    :param url: base URL of its control port.
    """

    name: str
    url: str
    failure_domain: FailureDomain


@dataclass(frozen=True)
class Branch:
    """
    A member of the same failure domain that forwards changes to its children.

    :param children: notified in its place if it can't be reached.
    """

    member: Member
    children: tuple["Branch", ...]


@dataclass(frozen=True)
class RemoteDomain:
    """Another failure domain; its first reachable member is notified."""

    members: tuple[Member, ...]


@dataclass(frozen=True)
class Members:
    """
    The processes of one team from the view of one of them.

    :param own: the process itself.
    :param local: members of its failure domain in order of rank, including itself.
    :param others: members of each other failure domain in order of rank. The domains
        are in ring order after its own; equal lists give the same ring.
    """

    own: Member
    local: tuple[Member, ...]
    others: tuple[tuple[Member, ...], ...]

    @property
    def rank(self) -> int:
        """Rank of the process within its failure domain, from 0."""
        return self.local.index(self.own)

    def is_watcher(self, suspected: AbstractSet[str]) -> bool:
        """
        Return whether the process should watch the platform.

        :param suspected: names of members that were recently unreachable.
        """
        before = self.local[: self.rank]
        alive = sum(1 for member in before if member.name not in suspected)
        return alive < WATCHERS_PER_DOMAIN

    def list_children(self) -> tuple[Branch, ...]:
        """
        Return the members to which the process forwards each change.

        The watchers are the roots of a forest with ``FAN_OUT`` children for each node.
        """
        return self._list_branches(self.rank)

    def list_roots(self) -> tuple[Branch, ...]:
        """Return the other members that are watchers by rank."""
        ranks = range(min(WATCHERS_PER_DOMAIN, len(self.local)))
        return tuple(self._make_branch(rank) for rank in ranks if rank != self.rank)

    def list_remote_domains(self) -> tuple[RemoteDomain, ...]:
        """
        Return the failure domains to which a watcher forwards a change.

        They are 1, 2, 4, ... places further in the ring, so that a change reaches n
        domains in log n steps even if their own watches fail.
        """
        count = len(self.others)
        offsets = [2**power for power in range(count.bit_length())]
        domains = [self.others[offset - 1] for offset in offsets if offset <= count]
        return tuple(RemoteDomain(domain[:MAX_REMOTE_ATTEMPTS]) for domain in domains)

    def _list_branches(self, rank: int) -> tuple[Branch, ...]:
        first = WATCHERS_PER_DOMAIN + rank * FAN_OUT
        last = min(first + FAN_OUT, len(self.local))
        return tuple(self._make_branch(child) for child in range(first, last))

    def _make_branch(self, rank: int) -> Branch:
        return Branch(self.local[rank], self._list_branches(rank))


def rank_members(own: Member, vms: Iterable[VM], team: str) -> Members:
    """
    Rank the processes of a VM list.

    :param own: this process; always a member, even if the list does not include it yet.
    """
    found = {own.name: own}
    for vm in vms:
        if vm.role is not Role.STORE and vm.state is VMState.LIVE:
            member = Member(vm.name, vm.address.url, vm.failure_domain)
            found.setdefault(vm.name, member)
    domains: dict[FailureDomain, list[Member]] = {}
    for member in sorted(found.values(), key=lambda item: _hash(team, item.name)):
        domains.setdefault(member.failure_domain, []).append(member)
    ring = sorted(domains, key=lambda domain: _hash(team, repr(domain)))
    start = ring.index(own.failure_domain)
    following = (*ring[start + 1 :], *ring[:start])
    others = tuple(tuple(domains[domain]) for domain in following)
    return Members(own, tuple(domains[own.failure_domain]), others)


def choose_peer(members: Members, random: random.Random) -> Member | None:
    """
    Return the peer to compare revisions with next, or None if there is none.

    Most comparisons are within the failure domain. The standbys, which rank directly
    after the watchers, often choose a watcher, so that they detect its failure and
    replace it.
    """
    others = [item for item in members.local if item.name != members.own.name]
    if members.others and (not others or random.random() < REMOTE_PROBABILITY):
        return random.choice(random.choice(members.others))
    is_standby = (
        WATCHERS_PER_DOMAIN <= members.rank < WATCHERS_PER_DOMAIN + STANDBYS_PER_DOMAIN
    )
    if is_standby and random.random() < 0.5:
        return random.choice(members.local[:WATCHERS_PER_DOMAIN])
    return random.choice(others) if others else None


def count_levels(size: int) -> int:
    """
    Return the number of hops to the last member of a failure domain.

    :param size: number of members, including the watchers.

    >>> [count_levels(size) for size in (2, 4, 18, 19, 353)]
    [0, 1, 1, 2, 3]
    """
    levels = 0
    reached = width = WATCHERS_PER_DOMAIN
    while reached < size:
        width *= FAN_OUT
        reached += width
        levels += 1
    return levels


def _hash(team: str, name: str) -> bytes:
    return hashlib.blake2b(f"{team}\0{name}".encode(), digest_size=16).digest()
