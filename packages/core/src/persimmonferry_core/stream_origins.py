"""Which service and build began each stream, as only upstreams of that build go on."""

import hashlib
from bisect import bisect
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace

from persimmonferry_core.fingerprints import HASH_BYTES
from persimmonferry_core.upstream_starts import StartVerdict, UpstreamStart

__all__ = [
    "MAX_LIFETIME_S",
    "ServiceBuild",
    "StreamOrigin",
    "StreamOrigins",
    "hash_stream",
]

# Streams are forgotten after this time, however long their callers want to wait.
MAX_LIFETIME_S = 600.0
# Entries that remember each stream; two of them may be lost together.
HOLDERS = 3
MAX_STREAMS = 65_536
EXPIRY_INTERVAL_S = 1.0


def hash_stream(call_id: str, account: str) -> int:
    """
    Return a signed number that stands for the stream that began with a call.

    Accounts choose the ids of their calls, so equal ids of two of them differ.

    >>> hash_stream("c1", "a") == hash_stream("c1", "b")
    False
    """
    text = f"{len(account)}:{account}{call_id}".encode(errors="replace")
    digest = hashlib.blake2b(text, digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big", signed=True)


@dataclass(frozen=True, order=True)
class ServiceBuild:
    """A build that serves in a service, or has served there."""

    service: str
    build: str


@dataclass(frozen=True)
class StreamOrigin:
    """
    Where a stream began.

    :param stream: as of ``hash_stream``.
    :param build: software version of the upstream that sent the first event.
    :param expires_s: when the caller no longer waits for the stream.
    :param unconfirmed_start: process that was to send the first event, while another
        one may have sent it; None if the build is certain.
    :param entry: where the stream began, which is the first to be certain; empty if it
        need not be asked.
    """

    stream: int
    service: str
    build: str
    expires_s: float
    unconfirmed_start: UpstreamStart | None = None
    entry: str = ""

    @property
    def is_certain(self) -> bool:
        """Whether the first event came from an upstream of the build."""
        return self.unconfirmed_start is None


class StreamOrigins:
    """
    Remembers where streams began, and decides which entries have to know it.

    Load pattern: upstreams of several builds serve in one service, and callers take
    streams up again at any entry, when the one before has just been killed. So an entry
    announces each stream when it begins to a few entries, chosen by the hash of the
    stream, where any other one finds it. No entry knows all streams, and the number of
    messages for a stream does not grow with the fleet.

    Streams are announced however many builds are known: an entry that is behind the
    registry knows fewer than there are. One that finds a stream nowhere needs the
    present state of the registry to conclude that there is only one build.

    An entry that starts after a build has left has seen no upstream of it. It takes the
    builds that other entries have recorded for builds that may have left just now.

    :param entry: name of the entry that decides.

    >>> origins = StreamOrigins("e1")
    >>> origins.set_builds({"s": frozenset({"v1"})}, 0.0)
    >>> origins.record(StreamOrigin(7, "s", "v1", 20.0), 1.0)
    >>> origins.find(7, 3.0).build
    'v1'
    >>> origins.find_only_build("s", 3.0)
    'v1'
    """

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._is_leaving = False
        self._ring: list[tuple[int, str]] = []
        self._builds: Mapping[str, frozenset[str]] = {}
        # Until when streams of builds that have left may be taken up.
        self._left_until_s: dict[ServiceBuild, float] = {}
        self._recorded: frozenset[ServiceBuild] = frozenset()
        self._streams: dict[int, StreamOrigin] = {}
        # Those whose build is not certain.
        self._uncertain: set[int] = set()
        self._expired_s = float("-inf")
        self.set_entries(())

    def set_entries(self, entries: Iterable[str]) -> None:
        """Set the names of all entries."""
        own = set() if self._is_leaving else {self._entry}
        names = (set(entries) - {self._entry}) | own
        self._ring = sorted((hash_stream(name, ""), name) for name in names)

    def leave(self) -> None:
        """Count this entry no more among those that remember streams."""
        self._is_leaving = True
        self.set_entries(name for _, name in self._ring)

    def list_holders(self, stream: int) -> tuple[str, ...]:
        """Return the other entries that remember a stream; all entries agree."""
        count = min(HOLDERS, len(self._ring))
        first = bisect(self._ring, (stream, ""))
        places = ((first + step) % len(self._ring) for step in range(count))
        names = (self._ring[place][1] for place in places)
        return tuple(name for name in names if name != self._entry)

    def is_first_holder(self, item: ServiceBuild) -> bool:
        """Whether this entry records that a build serves; all entries agree."""
        if not self._ring:
            return False
        place = bisect(self._ring, (hash_stream(item.build, item.service), ""))
        return self._ring[place % len(self._ring)][1] == self._entry

    def set_builds(
        self,
        builds: Mapping[str, frozenset[str]],
        now: float,
        recorded: frozenset[ServiceBuild] = frozenset(),
    ) -> None:
        """
        Set the builds that serve in each service.

        A build that has left counts for as long as streams of it may be remembered.

        :param recorded: builds that any entry has seen lately.
        """
        until_s = now + MAX_LIFETIME_S
        for service, known in self._builds.items():
            for build in known - builds.get(service, frozenset()):
                self._left_until_s[ServiceBuild(service, build)] = until_s
        for item in recorded - self._recorded:
            if item.build not in builds.get(item.service, frozenset()):
                self._left_until_s[item] = until_s
        self._builds, self._recorded = builds, recorded

    def is_mixed(self, service: str, now: float) -> bool:
        """Whether streams of several builds of a service may be under way."""
        serving = self._builds.get(service, frozenset())
        if len(serving) > 1:
            return True
        return any(
            item.service == service and item.build not in serving and until_s > now
            for item, until_s in self._left_until_s.items()
        )

    def find_only_build(self, service: str, now: float) -> str | None:
        """Return the build of a service if it is known to have one only."""
        serving = self._builds.get(service, frozenset())
        return None if self.is_mixed(service, now) else next(iter(serving), None)

    def record(self, origin: StreamOrigin, now: float) -> None:
        """Record a stream that began at any entry."""
        self._expire(now)
        known = self._streams.setdefault(origin.stream, origin)
        if origin.is_certain and not known.is_certain:
            self._streams[origin.stream] = origin
        self._note_certainty(origin.stream)
        if origin.build not in self._builds.get(origin.service, frozenset()):
            # Its upstreams have left, or this entry has not heard of them yet.
            key = ServiceBuild(origin.service, origin.build)
            until_s = max(origin.expires_s, self._left_until_s.get(key, 0.0))
            self._left_until_s[key] = until_s
        if len(self._streams) > MAX_STREAMS:
            self.forget(next(iter(self._streams)))

    def settle(self, judge: Callable[[UpstreamStart], StartVerdict]) -> None:
        """
        Note which builds have become certain, or can't become certain any longer.

        A stream of the latter is remembered, as one of several builds may have it.
        """
        for stream in tuple(self._uncertain):
            match judge(self._streams[stream].unconfirmed_start):
                case StartVerdict.SAME:
                    self.confirm(stream)
                case StartVerdict.OTHER:
                    self._uncertain.discard(stream)

    def confirm(self, stream: int) -> None:
        """Record that the build of a stream is certain."""
        origin = self._streams.get(stream)
        if origin is not None:
            self._streams[stream] = replace(origin, unconfirmed_start=None)
            self._note_certainty(stream)

    def forget(self, stream: int) -> None:
        """Forget a stream."""
        self._streams.pop(stream, None)
        self._uncertain.discard(stream)

    def _note_certainty(self, stream: int) -> None:
        if self._streams[stream].is_certain:
            self._uncertain.discard(stream)
        else:
            self._uncertain.add(stream)

    def find(self, stream: int, now: float) -> StreamOrigin | None:
        """Return where a stream began, None if this entry does not know it."""
        self._expire(now)
        return self._streams.get(stream)

    def list_all(self, now: float) -> tuple[StreamOrigin, ...]:
        """Return all streams that this entry remembers, for other entries."""
        self._expire(now)
        return tuple(self._streams.values())

    def _expire(self, now: float) -> None:
        if now < self._expired_s + EXPIRY_INTERVAL_S:
            return
        self._expired_s = now
        for stream, origin in tuple(self._streams.items()):
            if origin.expires_s <= now:
                self.forget(stream)
        for item, until_s in tuple(self._left_until_s.items()):
            if until_s <= now:
                del self._left_until_s[item]
