"""
Forwards changes of the journal to the preferred writer of their partition.

This saves writes and conflicts, and safety does not depend on it: when the writer
does not reply, the sender writes the same changes itself, and the journal places each
run id once.
"""

import enum
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from persimmonferry_core.journal import (
    Claim,
    ClaimChange,
    EndingChange,
    Expired,
    JournalEntry,
    Placed,
    Placement,
    SegmentFull,
    SegmentLocation,
    choose_writer,
)
from persimmonferry_core.topology import Address
from persimmonferry_wire import PeerClient, PeerRequestFailed
from persimmonferry_wire.generated.claims.ttypes import (
    ClaimLine,
    CommitReply,
    CommitRequest,
    PlacementLine,
)

__all__ = [
    "COMMIT_PATH",
    "EntryPeer",
    "Forwarder",
    "decode_claims",
    "decode_endings",
    "encode_placement",
]

COMMIT_PATH = "/claims"
FORWARD_TIMEOUT_S = 0.4
WRITER_PAUSE_S = 3.0


class _Outcome(enum.IntEnum):
    PLACED = 0
    NO_ROOM = 1
    EXPIRED = 2


@dataclass(frozen=True)
class EntryPeer:
    """An entry process that other entries can reach."""

    name: str
    address: Address


class Forwarder:
    """
    Chooses the writer of a partition, and sends it changes.

    :param identity: of this entry.
    :param list_entries: returns the entries believed to be live.
    """

    def __init__(
        self,
        peers: PeerClient,
        identity: EntryPeer,
        list_entries: Callable[[], Sequence[EntryPeer]],
        read_clock: Callable[[], float],
    ) -> None:
        self._peers = peers
        self._identity = identity
        self._list_entries = list_entries
        self._read_clock = read_clock
        self._avoided_until_s: dict[str, float] = {}

    def is_writer(self, partition: int) -> bool:
        """Return whether this entry is the preferred writer of a partition."""
        return self._choose(partition) == self._identity

    async def commit(
        self,
        location: SegmentLocation,
        claims: Sequence[ClaimChange],
        endings: Sequence[EndingChange],
    ) -> Sequence[Placement] | None:
        """Forward the changes to the writer; None when this entry has to write."""
        writer = self._choose(location.partition)
        if writer == self._identity:
            return None
        request = CommitRequest(
            partition=location.partition,
            bucket=location.bucket,
            claims=[ClaimLine(item.claim.encode(), item.replaces) for item in claims],
            endings=[change.encode() for change in endings],
        )
        url = writer.address.url + COMMIT_PATH
        try:
            reply = await self._peers.ask(url, request, CommitReply, FORWARD_TIMEOUT_S)
            placements = [_decode_placement(line) for line in reply.placements]
        except (PeerRequestFailed, ValueError):
            reply = None
        if reply is None or reply.failed or len(placements) != len(claims):
            self._avoided_until_s[writer.name] = self._read_clock() + WRITER_PAUSE_S
            return None
        return placements

    def _choose(self, partition: int) -> EntryPeer:
        now = self._read_clock()
        entries = {
            peer.name: peer
            for peer in self._list_entries()
            if self._avoided_until_s.get(peer.name, 0.0) <= now
        }
        entries[self._identity.name] = self._identity
        return entries[choose_writer(partition, sorted(entries))]


def decode_claims(request: CommitRequest) -> list[ClaimChange]:
    """
    Return the claims of a request.

    :raises ValueError: a line is not a claim.
    """
    return [ClaimChange(Claim.decode(i.line), i.replaces) for i in request.claims]


def decode_endings(request: CommitRequest) -> list[EndingChange]:
    """
    Return the endings of a request.

    :raises ValueError: a line is not an ending.
    """
    return [EndingChange.decode(line) for line in request.endings]


def encode_placement(placement: Placement) -> PlacementLine:
    """Return the thrift form of a placement."""
    match placement:
        case SegmentFull():
            return PlacementLine(_Outcome.NO_ROOM, b"")
        case Expired():
            return PlacementLine(_Outcome.EXPIRED, b"")
        case Placed(JournalEntry(claim, None)):
            return PlacementLine(_Outcome.PLACED, claim.encode())
        case Placed(JournalEntry(claim, ending)):
            change = EndingChange(claim.key_digest, claim.run_id, ending)
            return PlacementLine(_Outcome.PLACED, claim.encode(), change.encode())
    raise ValueError(f"no message can carry the placement {placement}")


def _decode_placement(line: PlacementLine) -> Placement:
    match line.outcome:
        case _Outcome.NO_ROOM:
            return SegmentFull()
        case _Outcome.EXPIRED:
            return Expired()
    claim = Claim.decode(line.claim)
    if line.ending is None:
        return Placed(JournalEntry(claim))
    return Placed(JournalEntry(claim, EndingChange.decode(line.ending).ending))
