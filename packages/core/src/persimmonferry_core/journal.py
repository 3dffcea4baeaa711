"""
The journal of claims: which attempt of a request may run, and its outcome.

A claim permits one attempt. A process may start run id R only after the
compare-and-swap that made R the current claim of its idempotency key. A claim is
replaced only by one with the same body, and only if its attempt is known not to have
run: either its recorded outcome is
:class:`~persimmonferry_core.attempts.Refused`, or the new claim names its run id, which
means that the writer can prove that it has not run.

Each key belongs to one segment, given by the key's digest (partition) and issue time
(bucket). The segments of a partition use a fixed ring of platform keys. A segment is
cleared only for a later one, and claims for an earlier segment are then refused. So a
key is never claimed a second time after its segment was cleared, even if the writers'
clocks are wrong.

A segment is an append-only text with a JSON array on each line.
"""

import json
from base64 import b64decode, b64encode
from collections.abc import Sequence
from dataclasses import dataclass, replace
from hashlib import blake2b
from math import ceil
from typing import Any

from persimmonferry_core.attempts import (
    Answered,
    Attempt,
    AttemptOutcome,
    Lost,
    Refused,
)
from persimmonferry_core.codes import ResultCode
from persimmonferry_core.runs import CallAnswer
from persimmonferry_core.topology import Address

__all__ = [
    "Applied",
    "Claim",
    "ClaimChange",
    "EndingChange",
    "Expired",
    "JournalEntry",
    "JournalShape",
    "Placed",
    "Placement",
    "Segment",
    "SegmentFull",
    "SegmentLocation",
    "build_location",
    "choose_writer",
    "locate_segment",
]

_CLAIM = "claim"
_ENDING = "ending"
_SEGMENT = "segment"


@dataclass(frozen=True)
class JournalShape:
    """
    Sizes of the journal; equal for all entries of a fleet.

    :param retention_s: a key can be retried for this long after it was issued.
    :param clock_margin_s: how far a key's issue time may be ahead of an entry's clock.
    :param segment_bytes: maximum size of a value; a full segment refuses new claims.
    :param answer_bytes: a longer answer is recorded without its body.
    """

    partitions: int = 4
    segment_s: float = 5.0
    retention_s: float = 4 * 3600.0
    clock_margin_s: float = 60.0
    segment_bytes: int = 1_000_000
    answer_bytes: int = 2048

    @property
    def slots(self) -> int:
        """Number of platform keys of one partition."""
        span_s = self.retention_s + 2 * self.clock_margin_s
        return ceil(span_s / self.segment_s) + 2

    @property
    def claim_limit_bytes(self) -> int:
        """Segment size above which claims are refused, to leave room for outcomes."""
        return self.segment_bytes * 4 // 5

    @property
    def answer_limit_bytes(self) -> int:
        """Segment size above which outcomes are recorded without their answers."""
        return self.segment_bytes // 2


@dataclass(frozen=True, order=True)
class SegmentLocation:
    """A segment, and its key in the platform's key-value service."""

    partition: int
    bucket: int
    platform_key: str


@dataclass(frozen=True)
class Claim:
    """
    Permission for one attempt at one incarnation of one agent.

    :param key_digest: digest of the client account and its idempotency key.
    :param body_digest: digest of the request.
    """

    key_digest: str
    body_digest: str
    agent: str
    address: Address
    attempt: Attempt

    @property
    def run_id(self) -> str:
        """The run id of the attempt."""
        return self.attempt.run_id

    def encode(self) -> bytes:
        """Return the line of the journal."""
        fields = (
            self.key_digest,
            self.body_digest,
            self.agent,
            str(self.address),
            self.run_id,
            self.attempt.incarnation,
            round(self.attempt.start_deadline_s, 3),
        )
        return _encode_line(_CLAIM, *fields)

    @classmethod
    def decode(cls, line: bytes) -> "Claim":
        """
        Parse a line of the journal.

        :raises ValueError: the line is not a claim.
        """
        tag, key, body, agent, address, run_id, incarnation, deadline_s = _decode_line(
            line
        )
        if tag != _CLAIM:
            raise ValueError("journal line is not a claim")
        attempt = Attempt(run_id, incarnation, deadline_s)
        return cls(key, body, agent, Address.parse(address), attempt)


@dataclass(frozen=True)
class ClaimChange:
    """
    A request to make a claim the current one of its key.

    :param replaces: run id of an attempt that provably has not run and never will;
        empty if there is none.
    """

    claim: Claim
    replaces: str = ""


@dataclass(frozen=True)
class EndingChange:
    """A request to record an attempt's outcome; the first one recorded stays."""

    key_digest: str
    run_id: str
    ending: AttemptOutcome

    def encode(self) -> bytes:
        """Return the line of the journal."""
        return _encode_line(_ENDING, self.key_digest, self.run_id, *self._fields())

    @classmethod
    def decode(cls, line: bytes) -> "EndingChange":
        """
        Parse a line of the journal.

        :raises ValueError: the line is not an ending.
        """
        tag, key, run_id, *fields = _decode_line(line)
        if tag != _ENDING:
            raise ValueError("journal line is not an ending")
        return cls(key, run_id, _decode_ending(run_id, fields))

    def _fields(self) -> tuple[Any, ...]:
        match self.ending:
            case Answered(None):
                return ("answered",)
            case Answered(answer):
                body = b64encode(answer.body).decode()
                return ("answered", answer.status, answer.content_type, body)
            case Refused(code, detail):
                return ("refused", code.name, detail)
            case Lost(code, detail):
                return ("lost", code.name, detail)
        raise ValueError(f"{self.ending} is not a recordable outcome")


@dataclass(frozen=True)
class JournalEntry:
    """
    The journal's record of one key.

    :param ending: outcome of the attempt; None until it is recorded.
    """

    claim: Claim
    ending: AttemptOutcome | None = None


@dataclass(frozen=True)
class Placed:
    """The key's current entry after the change: the requested claim or another one."""

    entry: JournalEntry


@dataclass(frozen=True)
class SegmentFull:
    """The segment is full and has no claim of the key."""


@dataclass(frozen=True)
class Expired:
    """The segment was already cleared for a later one."""


Placement = Placed | SegmentFull | Expired


@dataclass(frozen=True)
class Applied:
    """
    Result of applying changes to a segment.

    :param segment: must be written if ``changed``.
    :param placements: one for each claim, in order.
    """

    segment: "Segment"
    placements: tuple[Placement, ...]
    changed: bool


@dataclass(frozen=True)
class Segment:
    """
    A parsed segment.

    :param bucket: time bucket of the segment; -1 for a value never written.
    :param value: the value in the platform's service.
    :param entries: by key digest; must not be modified.
    :param run_ids: of all claims, replaced ones included; must not be modified.
    """

    bucket: int
    value: bytes
    entries: dict[str, JournalEntry]
    run_ids: frozenset[str] | set[str]

    @classmethod
    def create(cls, bucket: int) -> "Segment":
        """Return a segment without claims."""
        return cls(bucket, _encode_line(_SEGMENT, bucket), {}, set())

    @classmethod
    def parse(cls, value: bytes, base: "Segment | None" = None) -> "Segment":
        """
        Parse a value.

        :param base: an earlier version; only what was appended to it is parsed.
        :raises ValueError: the value is not a segment.
        """
        if not value:
            return cls(-1, b"", {}, set())
        if base is None or not base.value or not value.startswith(base.value):
            head, _, _ = value.partition(b"\n")
            tag, bucket = _decode_line(head)
            if tag != _SEGMENT:
                raise ValueError("journal value is not a segment")
            base = cls.create(bucket)
        entries = dict(base.entries)
        run_ids = set(base.run_ids)
        for line in value[len(base.value) :].splitlines():
            _replay(line, entries, run_ids)
        return cls(base.bucket, value, entries, run_ids)

    def apply(
        self,
        bucket: int,
        claims: Sequence[ClaimChange],
        endings: Sequence[EndingChange],
        shape: JournalShape,
    ) -> Applied:
        """
        Apply changes and return the new segment.

        :param bucket: time bucket of the changes.
        """
        if self.bucket > bucket:
            return Applied(self, tuple(Expired() for _ in claims), False)
        current = self if self.bucket == bucket else Segment.create(bucket)
        editor = _SegmentEditor(current, shape)
        placements = tuple(editor.place(change) for change in claims)
        for change in endings:
            editor.record(change)
        return Applied(editor.build(), placements, editor.changed)


class _SegmentEditor:
    def __init__(self, segment: Segment, shape: JournalShape) -> None:
        self._segment = segment
        self._shape = shape
        self._entries = dict(segment.entries)
        self._run_ids = set(segment.run_ids)
        self._lines: list[bytes] = []
        self._size = len(segment.value)

    @property
    def changed(self) -> bool:
        return bool(self._lines)

    def place(self, change: ClaimChange) -> Placement:
        claim = change.claim
        entry = self._entries.get(claim.key_digest)
        if entry is not None and not self._may_replace(entry, change):
            return Placed(entry)
        if not self._append(claim.encode(), self._shape.claim_limit_bytes):
            return SegmentFull() if entry is None else Placed(entry)
        placed = JournalEntry(claim)
        self._entries[claim.key_digest] = placed
        self._run_ids.add(claim.run_id)
        return Placed(placed)

    def record(self, change: EndingChange) -> None:
        entry = self._entries.get(change.key_digest)
        if entry is None or entry.ending is not None:
            return
        if entry.claim.run_id != change.run_id:
            return
        change = self._shorten(change)
        if self._append(change.encode(), self._shape.segment_bytes):
            ended = replace(entry, ending=change.ending)
            self._entries[change.key_digest] = ended

    def build(self) -> Segment:
        if not self.changed:
            return self._segment
        value = b"".join((self._segment.value, *self._lines))
        bucket = self._segment.bucket
        return Segment(bucket, value, self._entries, self._run_ids)

    def _may_replace(self, entry: JournalEntry, change: ClaimChange) -> bool:
        if change.claim.run_id in self._run_ids:
            return False
        if entry.claim.body_digest != change.claim.body_digest:
            return False
        if isinstance(entry.ending, Refused):
            return True
        return entry.ending is None and entry.claim.run_id == change.replaces

    def _shorten(self, change: EndingChange) -> EndingChange:
        match change.ending:
            case Answered(CallAnswer(body=body)):
                too_long = len(body) > self._shape.answer_bytes
                if too_long or self._size > self._shape.answer_limit_bytes:
                    return replace(change, ending=Answered(None))
        return change

    def _append(self, line: bytes, limit_bytes: int) -> bool:
        if self._size + len(line) > limit_bytes:
            return False
        self._lines.append(line)
        self._size += len(line)
        return True


def locate_segment(
    key_digest: str, issued_s: float, shape: JournalShape
) -> SegmentLocation:
    """Return the segment that a key belongs to."""
    partition = int(key_digest[:8], 16) % shape.partitions
    bucket = int(issued_s // shape.segment_s)
    return build_location(partition, bucket, shape)


def build_location(partition: int, bucket: int, shape: JournalShape) -> SegmentLocation:
    """Return the location of a segment."""
    slot = bucket % shape.slots
    return SegmentLocation(partition, bucket, f"claims/{partition}/{slot}")


def choose_writer(partition: int, names: Sequence[str]) -> str:
    """
    Return the preferred writer of a partition (rendezvous hashing).

    This only reduces conflicts; any entry may write any partition at any time.
    """
    return max(names, key=lambda name: blake2b(f"{partition}/{name}".encode()).digest())


def _replay(line: bytes, entries: dict[str, JournalEntry], run_ids: set[str]) -> None:
    if line.startswith(b'["claim"'):
        claim = Claim.decode(line)
        entries[claim.key_digest] = JournalEntry(claim)
        run_ids.add(claim.run_id)
        return
    change = EndingChange.decode(line)
    entry = entries[change.key_digest]
    entries[change.key_digest] = replace(entry, ending=change.ending)


def _encode_line(*fields: Any) -> bytes:
    return json.dumps(fields, separators=(",", ":")).encode() + b"\n"


def _decode_line(line: bytes) -> list[Any]:
    return json.loads(line)


def _decode_ending(run_id: str, fields: list[Any]) -> AttemptOutcome:
    match fields:
        case ["answered"]:
            return Answered(None)
        case ["answered", status, content_type, body]:
            return Answered(CallAnswer(run_id, status, content_type, b64decode(body)))
        case ["refused", code, detail]:
            return Refused(ResultCode[code], detail)
        case ["lost", code, detail]:
            return Lost(ResultCode[code], detail)
    raise ValueError("journal line has a malformed ending")
