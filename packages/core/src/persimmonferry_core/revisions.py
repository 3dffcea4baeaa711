"""
Revisions of a configuration document: deltas, checkpoints and replicas.

The platform stores a small head (the last few changes) and a checkpoint (the full text
and its history), so that processes that watch the head receive only changes.
"""

import hashlib
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, replace

from persimmonferry_core.sections import Section, split_sections

__all__ = [
    "MAX_TEXT_BYTES",
    "AdvanceResult",
    "Advanced",
    "Change",
    "ChangesUpdate",
    "Checkpoint",
    "Delta",
    "Gap",
    "Head",
    "Patch",
    "Replacement",
    "Replica",
    "SectionChange",
    "Unchanged",
    "WholeUpdate",
    "advance",
    "apply_delta",
    "compose_update",
    "digest_text",
    "extend_head",
    "find_change",
    "is_full",
    "list_changes",
    "make_checkpoint",
    "make_delta",
    "read_text_at",
]

MAX_HEAD_BYTES = 2_048
MAX_RECENT_BYTES = 16_384
MAX_PAST_BYTES = 400_000
MAX_PAST_CHANGES = 1_000
MAX_TEXT_BYTES = 1_000_000


@dataclass(frozen=True)
class SectionChange:
    """
    A section that was added or modified.

    :param header: the section's header; empty for the lines before the first section.
    :param after: header of the preceding section; used if the section is new.
    :param text: all lines of the section, including its header.
    """

    header: str
    after: str
    text: str


@dataclass(frozen=True)
class Patch:
    """Sections to remove, then sections to replace or insert, in order."""

    removed: tuple[str, ...]
    changed: tuple[SectionChange, ...]


@dataclass(frozen=True)
class Replacement:
    """The full new text, for a change that a patch can't express."""

    text: str


Delta = Patch | Replacement


@dataclass(frozen=True)
class Change:
    """
    One change of a document.

    :param revision: of the text after the change; 0 until the platform assigns one.
    :param change_id: chosen by the requesting process, which finds out by it whether a
        change was accepted if the reply was lost.
    :param time_s: time of the operator's request, in seconds since 1970.
    :param digest: hex SHA-256 digest of the full text after the change.
    :param delta: from the text before the change; in a checkpoint's history it is the
        reverse delta.
    """

    revision: int
    change_id: str
    operator: str
    time_s: float
    note: str
    digest: str
    delta: Delta


@dataclass(frozen=True)
class Head:
    """
    Value of the key of a team's document.

    :param base: revision of the checkpoint; 0 for the empty text.
    :param slot: which of the two checkpoint keys holds it.
    :param changes: since the checkpoint; the last one gives the accepted document.
    """

    base: int = 0
    slot: int = 0
    changes: tuple[Change, ...] = ()


@dataclass(frozen=True)
class Checkpoint:
    """
    The text at an accepted revision.

    :param past: changes up to this revision, oldest first, each with a reverse delta.
    """

    revision: int = 0
    text: str = ""
    past: tuple[Change, ...] = ()


@dataclass(frozen=True)
class ChangesUpdate:
    """Changes since revision ``base``, oldest first."""

    base: int
    changes: tuple[Change, ...]


@dataclass(frozen=True)
class WholeUpdate:
    """A full text with the change that produced it."""

    last: Change
    text: str


@dataclass(frozen=True)
class Replica:
    """
    The copy of the document that one process holds.

    :param base: revision that the first of ``recent`` is based on.
    :param recent: the last changes, oldest first, retained to update peers.
    """

    text: str = ""
    last: Change | None = None
    base: int = 0
    recent: tuple[Change, ...] = ()

    @property
    def revision(self) -> int:
        """Revision of the text; 0 if there is none yet."""
        return self.last.revision if self.last else 0


@dataclass(frozen=True)
class Advanced:
    """The update was applied and gave a later revision."""

    replica: Replica


@dataclass(frozen=True)
class Unchanged:
    """The update contains nothing newer than the replica."""


@dataclass(frozen=True)
class Gap:
    """The update can't be applied to the replica; the full text is needed."""


AdvanceResult = Advanced | Unchanged | Gap


def digest_text(text: str) -> str:
    """Return the hex SHA-256 digest of a text."""
    return hashlib.sha256(text.encode()).hexdigest()


def make_delta(base: str, target: str) -> Delta:
    """
    Return the delta from one text to another.

    >>> delta = make_delta("[a]\\nx = 1\\n[b]\\n", "[a]\\nx = 2\\n[b]\\n[c]\\n")
    >>> [(change.header, change.after) for change in delta.changed]
    [('[a]', ''), ('[c]', '[b]')]
    """
    before = {section.header: section.text for section in split_sections(base)}
    sections = tuple(split_sections(target))
    after = {section.header for section in sections}
    removed = tuple(header for header in before if header not in after)
    patch = Patch(removed, tuple(_list_section_changes(before, sections)))
    # A patch can't express moved or repeated sections, which are rare.
    if apply_delta(base, patch) == target:
        return patch
    return Replacement(target)


def apply_delta(base: str, delta: Delta) -> str:
    """Apply a delta; the digest of the result shows whether ``base`` was right."""
    match delta:
        case Replacement(text):
            return text
        case Patch(removed, changed):
            gone = set(removed)
            kept = [item for item in split_sections(base) if item.header not in gone]
            for change in changed:
                _write_section(kept, change)
            return "".join(section.text for section in kept)


def advance(replica: Replica, update: ChangesUpdate | WholeUpdate) -> AdvanceResult:
    """
    Apply an update to a replica.

    :returns: ``Advanced``, ``Unchanged`` or ``Gap``; never an earlier revision.
    """
    match update:
        case WholeUpdate(last, text):
            if last.revision <= replica.revision:
                return Unchanged()
            if digest_text(text) != last.digest:
                return Gap()
            return Advanced(Replica(text, last, last.revision))
        case ChangesUpdate(base, changes):
            later = [item for item in changes if item.revision > replica.revision]
            if not later:
                return Unchanged()
            if not _is_contiguous(replica, base, changes):
                return Gap()
            return _apply_changes(replica, later)


def compose_update(replica: Replica, known: int) -> ChangesUpdate | WholeUpdate | None:
    """
    Return an update for a peer from the revision that it holds.

    :param known: the peer's revision; 0 if it needs the full text.
    :returns: the changes if they are held and shorter than the full text, otherwise the
        full text; None if the peer is up to date.
    """
    if replica.last is None or known >= replica.revision:
        return None
    later = tuple(change for change in replica.recent if change.revision > known)
    starts = {replica.base, *(change.revision for change in replica.recent)}
    if (
        known
        and known in starts
        and sum(map(_estimate_bytes, later)) < len(replica.text)
    ):
        return ChangesUpdate(known, later)
    return WholeUpdate(replica.last, replica.text)


def extend_head(
    head: Head, revision: int, checkpoint_slot: int | None, change: Change
) -> Head:
    """
    Return the head with one more change.

    :param revision: that the platform assigned to ``head``.
    :param checkpoint_slot: slot that holds a checkpoint of ``revision``, or None to
        retain the head's checkpoint.
    """
    if checkpoint_slot is not None:
        return Head(revision, checkpoint_slot, (change,))
    return replace(head, changes=(*list_changes(head, revision), change))


def list_changes(head: Head, revision: int) -> tuple[Change, ...]:
    """Return the changes of a head; the last one gets its assigned revision."""
    if not head.changes:
        return ()
    *earlier, last = head.changes
    return (*earlier, replace(last, revision=revision))


def is_full(head: Head) -> bool:
    """Return whether a head needs a new checkpoint before its next change."""
    return sum(map(_estimate_bytes, head.changes)) > MAX_HEAD_BYTES


def make_checkpoint(checkpoint: Checkpoint, changes: Iterable[Change]) -> Checkpoint:
    """
    Return the checkpoint after further changes.

    The result depends only on the arguments, so that concurrent writers of a checkpoint
    of the same revision write the same value. The oldest history is dropped at the size
    limit.
    """
    text = checkpoint.text
    past = list(checkpoint.past)
    revision = checkpoint.revision
    for change in changes:
        target = apply_delta(text, change.delta)
        past.append(replace(change, delta=make_delta(target, text)))
        text = target
        revision = change.revision
    return Checkpoint(revision, text, tuple(_limit_past(past)))


def read_text_at(checkpoint: Checkpoint, revision: int) -> str | None:
    """Return the text of an earlier revision, or None if it is no longer held."""
    if revision not in {change.revision for change in checkpoint.past}:
        return None
    text = checkpoint.text
    for change in reversed(checkpoint.past):
        if change.revision == revision:
            return text if digest_text(text) == change.digest else None
        text = apply_delta(text, change.delta)
    return None


def find_change(changes: Iterable[Change], change_id: str) -> Change | None:
    """Return the change with an id, or None."""
    return next((item for item in changes if item.change_id == change_id), None)


def _list_section_changes(
    before: Mapping[str, str], sections: Iterable[Section]
) -> Iterator[SectionChange]:
    previous = ""
    for section in sections:
        if before.get(section.header) != section.text:
            yield SectionChange(section.header, previous, section.text)
        previous = section.header


def _write_section(sections: list[Section], change: SectionChange) -> None:
    headers = [section.header for section in sections]
    written = Section(change.header, change.text)
    if change.header in headers:
        sections[headers.index(change.header)] = written
    elif change.after in headers:
        sections.insert(headers.index(change.after) + 1, written)
    else:
        sections.insert(0, written)


def _is_contiguous(replica: Replica, base: int, changes: Iterable[Change]) -> bool:
    starts = {base, *(change.revision for change in changes)}
    return replica.revision in starts


def _apply_changes(replica: Replica, later: Iterable[Change]) -> Advanced | Gap:
    text = replica.text
    last = replica.last
    for change in later:
        text = apply_delta(text, change.delta)
        last = change
    if digest_text(text) != last.digest:
        return Gap()
    longer = Replica(text, last, replica.base, (*replica.recent, *later))
    return Advanced(_limit_recent(longer))


def _limit_recent(replica: Replica) -> Replica:
    base = replica.base
    recent = replica.recent
    while len(recent) > 1 and sum(map(_estimate_bytes, recent)) > MAX_RECENT_BYTES:
        base = recent[0].revision
        recent = recent[1:]
    return replace(replica, base=base, recent=recent)


def _limit_past(past: list[Change]) -> list[Change]:
    past = past[-MAX_PAST_CHANGES:]
    total = 0
    for count, change in enumerate(reversed(past)):
        total += _estimate_bytes(change)
        if total > MAX_PAST_BYTES:
            return past[len(past) - count :]
    return past


def _estimate_bytes(change: Change) -> int:
    match change.delta:
        case Replacement(text):
            return len(text)
        case Patch(removed, changed):
            sizes = [len(item.header) + len(item.text) for item in changed]
            return sum(sizes) + sum(map(len, removed)) + len(change.note)
