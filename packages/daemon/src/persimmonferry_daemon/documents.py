"""The team's document in the platform: reads, compare-and-swap changes, history."""

import asyncio
import difflib
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

from persimmonferry_core.codes import ResultCode
from persimmonferry_core.document import parse_document
from persimmonferry_core.exceptions import (
    ConfigurationFaulty,
    PlatformAnswerLost,
    PlatformUnavailable,
    RevisionConflict,
    SwapConflict,
)
from persimmonferry_core.interfaces import Platform, Versioned
from persimmonferry_core.revisions import (
    MAX_TEXT_BYTES,
    Change,
    ChangesUpdate,
    Checkpoint,
    Head,
    WholeUpdate,
    digest_text,
    extend_head,
    find_change,
    is_full,
    list_changes,
    make_checkpoint,
    make_delta,
    read_text_at,
)

from persimmonferry_daemon.revision_messages import (
    decode_checkpoint,
    decode_head,
    encode_checkpoint,
    encode_head,
)

__all__ = [
    "Accepted",
    "Applied",
    "DocumentRecord",
    "Proposal",
    "check_text",
    "show_difference",
]

MAX_VALUE_BYTES = 1_000_000
MAX_READS = 5
MAX_TRIES = 4
FIRST_RETRY_DELAY_S = 0.1

Value = TypeVar("Value")

_log = logging.getLogger(__name__)


@dataclass(frozen=True)
class Proposal:
    """
    A change that an operator submits.

    :param expected: the revision that the operator read.
    :param change_id: unique; a proposal with the id of an accepted change is a retry.
    :param time_s: when it was submitted, in seconds since 1970.
    """

    text: str
    expected: int
    change_id: str
    operator: str
    time_s: float
    note: str = ""


@dataclass(frozen=True)
class Accepted:
    """
    The accepted document.

    :param head: the head at this revision.
    :param checkpoint: the text and the history at this revision.
    """

    revision: int
    head: Head
    checkpoint: Checkpoint

    @property
    def text(self) -> str:
        """The document's text; empty when there is none."""
        return self.checkpoint.text

    @property
    def changes(self) -> ChangesUpdate:
        """The head as an update for a replica."""
        return ChangesUpdate(self.head.base, list_changes(self.head, self.revision))

    @property
    def whole(self) -> WholeUpdate:
        """The whole document as an update for a replica."""
        return WholeUpdate(self.checkpoint.past[-1], self.text)


@dataclass(frozen=True)
class Applied:
    """
    A proposal that took effect.

    :param revision: at which the proposal was accepted.
    :param accepted: the current document, which may be newer.
    """

    revision: int
    accepted: Accepted


class DocumentRecord:
    """
    A team's document in the platform's service.

    One key holds the head, and its platform revision is the document's revision. Two
    more keys hold checkpoints alternately: a writer stores the accepted text in the
    slot that the head doesn't reference, and references it from the next head.

    :param sleep: waits between tries, in seconds.
    """

    def __init__(
        self,
        platform: Platform,
        team: str,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self.team = team
        self.key = f"teams/{team}/document"
        self._platform = platform
        self._sleep = sleep

    async def read(self) -> Accepted:
        """
        Return the accepted document with its history.

        :raises PlatformUnavailable: the platform did not respond.
        """
        for _ in range(MAX_READS):
            value = await self._platform.read(self.key)
            accepted = await self._load_accepted(value)
            if accepted is not None:
                return accepted
        raise PlatformUnavailable("the document changes faster than it can be read")

    async def apply(self, proposal: Proposal) -> Applied:
        """
        Submit a changed document.

        :raises ConfigurationFaulty: it has faults; nothing was written.
        :raises RevisionConflict: another change was accepted since it was read.
        :raises PlatformUnavailable: nothing was written.
        :raises PlatformAnswerLost: it may take effect, and reading back did not show
            whether it did; applying the same proposal again is safe.
        """
        check_text(proposal.text, self.team)
        may_have_written = False
        for attempt in range(MAX_TRIES):
            try:
                return await self._try_apply(proposal)
            except PlatformAnswerLost:
                # Reading back at the next try finds the change if it took effect.
                may_have_written = True
            except PlatformUnavailable:
                if not may_have_written:
                    raise
            except SwapConflict:
                _log.info("document write conflict", extra={"team": self.team})
            await self._sleep(FIRST_RETRY_DELAY_S * 2**attempt)
        if may_have_written:
            raise PlatformAnswerLost(f"change {proposal.change_id}")
        raise PlatformUnavailable("write conflict on every try")

    async def _try_apply(self, proposal: Proposal) -> Applied:
        accepted = await self.read()
        found = find_change(accepted.checkpoint.past, proposal.change_id)
        if found is not None:
            return Applied(found.revision, accepted)
        if accepted.revision != proposal.expected:
            raise _make_conflict(proposal, accepted)
        if accepted.text == proposal.text:
            return Applied(accepted.revision, accepted)
        slot = await self._save_checkpoint(accepted)
        change = _make_change(proposal, accepted.text)
        head = extend_head(accepted.head, accepted.revision, slot, change)
        value = _limit_value(encode_head(head))
        written = await self._platform.swap(self.key, value, accepted.revision)
        return Applied(written.revision, _apply_head(accepted, head, written.revision))

    async def _save_checkpoint(self, accepted: Accepted) -> int | None:
        if not is_full(accepted.head):
            return None
        slot = 1 - accepted.head.slot
        key = self._name_slot(slot)
        stored = await self._platform.read(key)
        revision = _decode(decode_checkpoint, stored).revision
        # No head that can still be accepted references an earlier checkpoint here. A
        # later one may be in use: the head has changed then, and its swap will fail.
        if revision < accepted.revision:
            value = _limit_value(encode_checkpoint(accepted.checkpoint))
            await self._write_slot(key, value, stored.revision)
        return slot

    async def _write_slot(self, key: str, value: bytes, expected: int) -> None:
        try:
            await self._platform.swap(key, value, expected)
        except PlatformAnswerLost as error:
            # The document itself is untouched; only the next try needs the slot.
            raise SwapConflict(key, expected) from error

    async def _load_accepted(self, value: Versioned) -> Accepted | None:
        head = _decode(decode_head, value)
        checkpoint = Checkpoint()
        if head.base:
            stored = await self._platform.read(self._name_slot(head.slot))
            checkpoint = _decode(decode_checkpoint, stored)
        if checkpoint.revision != head.base:
            return None
        return _apply_head(Accepted(head.base, head, checkpoint), head, value.revision)

    def _name_slot(self, slot: int) -> str:
        return f"teams/{self.team}/checkpoints/{slot}"


def check_text(text: str, team: str) -> None:
    """
    Check a whole document as on submission.

    :raises ConfigurationFaulty: with every fault.
    """
    if len(text.encode()) > MAX_TEXT_BYTES:
        fault = f"the document is longer than {MAX_TEXT_BYTES} bytes"
        raise ConfigurationFaulty(ResultCode.CONFIGURATION_FAULTY, (fault,))
    parse_document(text, team)


def show_difference(before: str, after: str, names: tuple[str, str]) -> str:
    """Return a unified diff of two texts."""
    lines = difflib.unified_diff(
        before.splitlines(keepends=True), after.splitlines(keepends=True), *names
    )
    return "".join(lines)


def _make_conflict(proposal: Proposal, accepted: Accepted) -> RevisionConflict:
    now = accepted.revision
    read = read_text_at(accepted.checkpoint, proposal.expected)
    if read is None:
        names = ("the refused document", f"revision {now}")
        difference = show_difference(proposal.text, accepted.text, names)
    else:
        names = (f"revision {proposal.expected}", f"revision {now}")
        difference = show_difference(read, accepted.text, names)
    return RevisionConflict(proposal.expected, now, difference)


def _make_change(proposal: Proposal, before: str) -> Change:
    return Change(
        0,
        proposal.change_id,
        proposal.operator,
        proposal.time_s,
        proposal.note,
        digest_text(proposal.text),
        make_delta(before, proposal.text),
    )


def _apply_head(accepted: Accepted, head: Head, revision: int) -> Accepted:
    changes = list_changes(head, revision)
    later = [item for item in changes if item.revision > accepted.checkpoint.revision]
    checkpoint = make_checkpoint(accepted.checkpoint, later)
    if checkpoint.past and digest_text(checkpoint.text) != checkpoint.past[-1].digest:
        raise PlatformUnavailable("the document's value is corrupt")
    return Accepted(revision, head, checkpoint)


def _decode(decode: Callable[[bytes], Value], stored: Versioned) -> Value:
    try:
        return decode(stored.value)
    except ValueError as error:
        raise PlatformUnavailable(f"the value of {stored.key} is corrupt") from error


def _limit_value(value: bytes) -> bytes:
    if len(value) > MAX_VALUE_BYTES:
        fault = f"the document takes more than {MAX_VALUE_BYTES} bytes with its history"
        raise ConfigurationFaulty(ResultCode.CONFIGURATION_FAULTY, (fault,))
    return value
