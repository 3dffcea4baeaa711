"""
The claims of one entry, which permit the attempts of non-idempotent requests.

:class:`ClaimJournal` owns the journal's group commits. It refuses claims at once, as
not run, while the platform's service is down or too many claims wait.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Sequence

from persimmonferry_core.attempts import AttemptOutcome
from persimmonferry_core.codes import ResultCode
from persimmonferry_core.exceptions import FerryError, NotRun, PlatformError
from persimmonferry_core.interfaces import Platform
from persimmonferry_core.journal import (
    Claim,
    ClaimChange,
    EndingChange,
    Expired,
    JournalEntry,
    JournalShape,
    Placed,
    SegmentFull,
    SegmentLocation,
    build_location,
)
from persimmonferry_wire import PeerClient, PeerRoute
from persimmonferry_wire.generated.claims.ttypes import CommitReply, CommitRequest

from persimmonferry_daemon.commits import SegmentCommitter
from persimmonferry_daemon.forwarding import (
    COMMIT_PATH,
    EntryPeer,
    Forwarder,
    decode_claims,
    decode_endings,
    encode_placement,
)
from persimmonferry_daemon.journals import JournalStore

__all__ = ["ClaimJournal", "EntryPeer"]

MAX_PENDING_CLAIMS = 2000
MAX_PENDING_ENDINGS = 20_000
MAX_COMMITTERS = 64
MAX_CACHED_BYTES = 16 * 1024 * 1024
CLOSE_TIMEOUT_S = 2.0
RETRY_AFTER_S = 1.0


class ClaimJournal:
    """
    Writes claims and outcomes of attempts; one for each entry process.

    :param identity: of this entry; its address is where ``routes`` are served.
    :param list_entries: returns the entries believed to be live; a wrong list only
        costs time.
    :param read_clock: returns the present time in seconds since 1970.
    """

    def __init__(
        self,
        platform: Platform,
        peers: PeerClient,
        identity: EntryPeer,
        list_entries: Callable[[], Sequence[EntryPeer]],
        read_clock: Callable[[], float],
        shape: JournalShape | None = None,
    ) -> None:
        self.shape = shape or JournalShape()
        self._store = JournalStore(platform)
        self._forwarder = Forwarder(peers, identity, list_entries, read_clock)
        self._read_clock = read_clock
        self._committers: OrderedDict[SegmentLocation, SegmentCommitter] = OrderedDict()

    @property
    def routes(self) -> tuple[PeerRoute, ...]:
        """The peer messages that the entry process has to serve."""
        return (PeerRoute(COMMIT_PATH, CommitRequest, self.answer_commit),)

    async def claim(
        self, location: SegmentLocation, claim: Claim, replaces: str = ""
    ) -> JournalEntry:
        """
        Make a claim the current one of its key, and return the key's current entry.

        The claim's attempt may start, once, only if the entry has the claim's run id.

        :param replaces: run id of an attempt that provably has not run.
        :raises NotRun: the attempt is not permitted and must never start.
        """
        self._check_room()
        committer = self._find_committer(location)
        try:
            self._store.check()
            placement = await committer.claim(ClaimChange(claim, replaces))
        except PlatformError as error:
            raise _refuse(error) from error
        match placement:
            case Placed(entry):
                return entry
            case SegmentFull():
                detail = "the journal segment is full; retry with a key issued later"
                raise NotRun(ResultCode.PLATFORM_UNAVAILABLE, detail, RETRY_AFTER_S)
            case Expired():
                detail = "an earlier call with the same key may have run"
                raise NotRun(ResultCode.IDEMPOTENCY_KEY_EXPIRED, detail)
        raise ValueError(f"{placement} is not a placement")

    def record(
        self, location: SegmentLocation, claim: Claim, ending: AttemptOutcome
    ) -> None:
        """Queue an attempt's outcome for a later write; dropped under overload."""
        waiting = sum(item.pending_endings for item in self._committers.values())
        if waiting >= MAX_PENDING_ENDINGS:
            return
        change = EndingChange(claim.key_digest, claim.run_id, ending)
        self._find_committer(location).record(change)

    async def find(
        self, location: SegmentLocation, key_digest: str
    ) -> JournalEntry | None:
        """
        Return the entry of a key, read from the platform's service.

        :raises NotRun: the platform's service is down.
        """
        try:
            return await self._find_committer(location).find(key_digest)
        except PlatformError as error:
            raise _refuse(error) from error

    def find_cached(
        self, location: SegmentLocation, key_digest: str
    ) -> JournalEntry | None:
        """Return the entry of a key from the cached segment, which may be stale."""
        return self._find_committer(location).find_cached(key_digest)

    async def answer_commit(self, request: CommitRequest) -> CommitReply:
        """Write the changes that another entry forwarded."""
        location = build_location(request.partition, request.bucket, self.shape)
        committer = self._find_committer(location)
        try:
            self._store.check()
            self._check_room()
            claims = decode_claims(request)
            for change in decode_endings(request):
                committer.record(change)
            waiting = (committer.claim(change, forwarded=True) for change in claims)
            placements = await asyncio.gather(*waiting)
        except (FerryError, ValueError):
            return CommitReply([], True, RETRY_AFTER_S)
        lines = [encode_placement(placement) for placement in placements]
        return CommitReply(lines, False, 0.0)

    async def close(self) -> None:
        """Write the queued outcomes, if that succeeds in ``CLOSE_TIMEOUT_S``."""
        flushes = [item.flush() for item in self._committers.values()]
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await asyncio.gather(*flushes)
        except TimeoutError:
            return

    def _check_room(self) -> None:
        waiting = sum(item.pending_claims for item in self._committers.values())
        if waiting >= MAX_PENDING_CLAIMS:
            detail = "too many claims are waiting"
            raise NotRun(ResultCode.PLATFORM_UNAVAILABLE, detail, RETRY_AFTER_S)

    def _find_committer(self, location: SegmentLocation) -> SegmentCommitter:
        committer = self._committers.get(location)
        if committer is None:
            self._drop_idle_committers()
            committer = SegmentCommitter(
                location, self._store, self._forwarder, self.shape, self._read_clock
            )
            self._committers[location] = committer
        self._committers.move_to_end(location)
        return committer

    def _drop_idle_committers(self) -> None:
        cached_bytes = sum(item.cached_bytes for item in self._committers.values())
        for location, committer in list(self._committers.items()):
            fits = cached_bytes <= MAX_CACHED_BYTES
            if fits and len(self._committers) < MAX_COMMITTERS:
                break
            if committer.idle:
                cached_bytes -= committer.cached_bytes
                del self._committers[location]


def _refuse(error: PlatformError) -> NotRun:
    retry_after_s = error.retry_after_s or RETRY_AFTER_S
    detail = "an earlier call with the same key may have run"
    return NotRun(ResultCode.PLATFORM_UNAVAILABLE, detail, retry_after_s)
