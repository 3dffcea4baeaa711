"""
Group commit: writes many claims and outcomes of a segment at once.

A claim's attempt may start only after a placement of this module shows the claim's
run id. A placement comes from a segment that was written or read in the same
commit, or from a cached copy in which the key has an outcome; neither can become
invalid later. A write whose reply was lost is resolved by reading the segment again:
applying the changes a second time finds the claims that the write placed.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

from persimmonferry_core.exceptions import (
    FerryError,
    PlatformAnswerLost,
    PlatformUnavailable,
    SwapConflict,
)
from persimmonferry_core.journal import (
    ClaimChange,
    EndingChange,
    JournalEntry,
    JournalShape,
    Placed,
    Placement,
    Segment,
    SegmentLocation,
)

from persimmonferry_daemon.forwarding import Forwarder
from persimmonferry_daemon.journals import JournalStore, StoredSegment

__all__ = ["SegmentCommitter"]

COMMIT_INTERVAL_S = 0.1
FORWARD_INTERVAL_S = 0.02
MAX_FORWARDS = 16
COMMIT_TIMEOUT_S = 2.0
CONFLICT_DELAY_S = 0.01
ENDING_DELAY_S = 1.0

_log = logging.getLogger(__name__)


@dataclass(frozen=True)
class _PendingClaim:
    change: ClaimChange
    placement_future: asyncio.Future[Placement]
    forwarded: bool


@dataclass(frozen=True)
class _Batch:
    claims: list[_PendingClaim]
    endings: list[EndingChange]

    @property
    def changes(self) -> list[ClaimChange]:
        return [claim.change for claim in self.claims]

    @property
    def forwarded(self) -> bool:
        return any(claim.forwarded for claim in self.claims)


class SegmentCommitter:
    """
    Writes the changes of one segment, one write at a time, or forwards them.

    A claim that arrives while the committer is idle is written at once; later ones are
    batched for the commit interval. Outcomes wait for a claim's write, for
    ``ENDING_DELAY_S`` at most. Batches for another writer are sent after a shorter
    interval and concurrently, since that writer batches them by its own interval.

    :param forwarder: chooses the entry that writes this partition.
    """

    def __init__(
        self,
        location: SegmentLocation,
        store: JournalStore,
        forwarder: Forwarder,
        shape: JournalShape,
        read_clock: Callable[[], float],
    ) -> None:
        self._location = location
        self._store = store
        self._forwarder = forwarder
        self._shape = shape
        self._read_clock = read_clock
        self._claims: list[_PendingClaim] = []
        self._endings: list[EndingChange] = []
        self._claim_added = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._forwards: set[asyncio.Task[None]] = set()
        self._writing = asyncio.Lock()
        self._stored: StoredSegment | None = None
        self._cached_segment: Segment | None = None
        self._next_commit_s = 0.0
        self._flushing = False

    @property
    def idle(self) -> bool:
        """Whether nothing waits to be written."""
        return self._task is None and not self._forwards

    @property
    def pending_claims(self) -> int:
        """Claims that wait for the next write."""
        return len(self._claims)

    @property
    def pending_endings(self) -> int:
        """Number of outcomes that wait for the next write."""
        return len(self._endings)

    @property
    def cached_bytes(self) -> int:
        """Size of the cached segment."""
        return (
            len(self._cached_segment.value) if self._cached_segment is not None else 0
        )

    async def claim(self, change: ClaimChange, forwarded: bool = False) -> Placement:
        """
        Place a claim.

        :param forwarded: whether another entry sent it, so that it is written here.
        :raises PlatformUnavailable: the claim may have been written; its attempt must
            never start.
        """
        placed = asyncio.get_running_loop().create_future()
        self._claims.append(_PendingClaim(change, placed, forwarded))
        self._claim_added.set()
        self._start()
        return await placed

    def record(self, change: EndingChange) -> None:
        """Queue an outcome for a later write."""
        self._endings.append(change)
        self._start()

    def find_cached(self, key_digest: str) -> JournalEntry | None:
        """Return the entry of a key from the cached segment, which may be stale."""
        if (
            self._cached_segment is None
            or self._cached_segment.bucket != self._location.bucket
        ):
            return None
        return self._cached_segment.entries.get(key_digest)

    async def find(self, key_digest: str) -> JournalEntry | None:
        """
        Return the entry of a key, read from the platform's service.

        :raises PlatformUnavailable: the platform's service did not respond.
        """
        stored = await self._store.read(self._location, self._cached_segment)
        if stored.segment.bucket != self._location.bucket:
            return None
        return stored.segment.entries.get(key_digest)

    async def flush(self) -> None:
        """Write all queued changes without delay, and return after the attempt."""
        self._flushing = True
        self._claim_added.set()
        while not self.idle:
            await asyncio.sleep(CONFLICT_DELAY_S)

    def _start(self) -> None:
        if self._task is None:
            self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while self._claims or self._endings:
            await self._wait_for_interval()
            batch = _Batch(self._claims, self._endings)
            self._claims, self._endings = [], []
            if batch.forwarded or self._forwarder.is_writer(self._location.partition):
                self._next_commit_s = self._read_clock() + COMMIT_INTERVAL_S
                await self._finish(batch, self._write(batch))
            else:
                self._next_commit_s = self._read_clock() + FORWARD_INTERVAL_S
                await self._start_forward(batch)
        self._task = None

    async def _start_forward(self, batch: _Batch) -> None:
        if len(self._forwards) >= MAX_FORWARDS:
            await asyncio.wait(self._forwards, return_when=asyncio.FIRST_COMPLETED)
        task = asyncio.create_task(self._finish(batch, self._forward(batch)))
        self._forwards.add(task)
        task.add_done_callback(self._forwards.discard)

    async def _wait_for_interval(self) -> None:
        if not self._claims and not self._flushing:
            await self._wait_for_claim()
        delay_s = self._next_commit_s - self._read_clock()
        if delay_s > 0:
            await asyncio.sleep(min(delay_s, COMMIT_INTERVAL_S))

    async def _wait_for_claim(self) -> None:
        self._claim_added.clear()
        try:
            async with asyncio.timeout(ENDING_DELAY_S):
                await self._claim_added.wait()
        except TimeoutError:
            return

    async def _finish(
        self, batch: _Batch, commit: Awaitable[Sequence[Placement]]
    ) -> None:
        try:
            placements = await commit
        except FerryError as error:
            self._endings = [*batch.endings, *self._endings]
            _reject_claims(batch.claims, error)
            self._restart()
            return
        except Exception:
            _log.exception("commit failed", extra={"key": self._location.platform_key})
            _reject_claims(batch.claims, PlatformUnavailable("the commit failed"))
            return
        for claim, placement in zip(batch.claims, placements, strict=True):
            if not claim.placement_future.done():
                claim.placement_future.set_result(placement)

    def _restart(self) -> None:
        if self._endings:
            self._start()

    async def _forward(self, batch: _Batch) -> Sequence[Placement]:
        placements = await self._forwarder.commit(
            self._location, batch.changes, batch.endings
        )
        if placements is None:
            return await self._write(batch)
        return placements

    async def _write(self, batch: _Batch) -> Sequence[Placement]:
        async with self._writing:
            deadline_s = self._read_clock() + COMMIT_TIMEOUT_S
            while self._read_clock() < deadline_s:
                placements = await self._try_commit(batch.changes, batch.endings)
                if placements is not None:
                    return placements
                await asyncio.sleep(CONFLICT_DELAY_S)
        raise PlatformUnavailable("write conflicts until the commit timeout")

    async def _try_commit(
        self, changes: list[ClaimChange], endings: list[EndingChange]
    ) -> Sequence[Placement] | None:
        fresh = self._stored is None
        if self._stored is None:
            self._cache(await self._store.read(self._location, self._cached_segment))
        stored = self._stored
        applied = stored.segment.apply(
            self._location.bucket, changes, endings, self._shape
        )
        if applied.changed:
            try:
                self._cache(await self._store.swap(stored, applied.segment))
            except (SwapConflict, PlatformAnswerLost):
                self._stored = None
                return None
            return applied.placements
        if not fresh and any(map(_may_be_stale, applied.placements)):
            self._stored = None
            return None
        return applied.placements

    def _cache(self, stored: StoredSegment) -> None:
        self._stored = stored
        self._cached_segment = stored.segment


def _may_be_stale(placement: Placement) -> bool:
    match placement:
        case Placed(JournalEntry(ending=ending)):
            return ending is None
    return True


def _reject_claims(claims: list[_PendingClaim], error: FerryError) -> None:
    for claim in claims:
        if not claim.placement_future.done():
            claim.placement_future.set_exception(error)
