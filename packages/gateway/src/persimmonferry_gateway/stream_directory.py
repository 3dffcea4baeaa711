"""Announces where streams began, and asks other gateways where one did."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace

from persimmonferry_core.stream_origins import (
    ServiceBuild,
    StreamOrigin,
    StreamOrigins,
)
from persimmonferry_core.upstream_starts import StartVerdict, UpstreamStart
from persimmonferry_wire.generated.peers.ttypes import (
    BegunStream,
    ConnectedUpstream,
    StreamNews,
)

from persimmonferry_gateway.clocks import read_boot_clock
from persimmonferry_gateway.start_checks import StartChecks

__all__ = ["StreamDirectory"]

# The question is asked again after the first time, as datagrams may be lost.
ANSWER_TIMEOUTS_S = (0.1, 0.15)
# Streams in one datagram; the names of services and builds take up most of it.
MAX_STREAMS_SENT = 12
MS_PER_S = 1000

_log = logging.getLogger(__name__)


@dataclass
class _Question:
    """
    A stream whose origin other gateways were asked for.

    :param open: the gateways that have not answered.
    """

    open: set[str]
    is_answered: asyncio.Event = field(default_factory=asyncio.Event)


class StreamDirectory:
    """
    Finds where streams began, also those that began at other gateways.

    :param send: sends news to the named gateways.
    :param reply: sends news to an address: a gateway that has just started is not
        listed yet.
    :param catch_up: receives the changes of the registry until now, and returns whether
        this worked.
    :param starts: tells which process of an upstream has sent the first event.
    """

    def __init__(
        self,
        name: str,
        origins: StreamOrigins,
        read_clock: Callable[[], float],
        send: Callable[[StreamNews, Iterable[str]], None],
        reply: Callable[[StreamNews, tuple[str, int]], None],
        catch_up: Callable[[], Awaitable[bool]],
        starts: StartChecks,
    ) -> None:
        self._name = name
        self._origins = origins
        self._read_clock = read_clock
        self._send = send
        self._reply = reply
        self._catch_up = catch_up
        self._starts = starts
        self._questions: dict[int, _Question] = {}

    def set_builds(
        self,
        builds: Mapping[str, frozenset[str]],
        recorded: frozenset[ServiceBuild],
    ) -> None:
        """Set the builds that serve in each service, as ``StreamOrigins`` does."""
        self._origins.set_builds(builds, self._read_clock(), recorded)

    async def have_one_build_each(self, services: Collection[str]) -> bool:
        """
        Whether streams of one build at most are under way in each of the services.

        What this gateway has not heard of yet may serve all the same, so the answer is
        no unless the registry states it now.
        """
        if self._are_mixed(services) or not await self._catch_up():
            return False
        return not self._are_mixed(services)

    def _are_mixed(self, services: Collection[str]) -> bool:
        now = self._read_clock()
        return any(self._origins.is_mixed(service, now) for service in services)

    def find_only_build(self, service: str) -> str | None:
        """Return the build of a service if it is known to have one only."""
        return self._origins.find_only_build(service, self._read_clock())

    def record(self, origin: StreamOrigin) -> None:
        """Record a stream before its caller receives the first event."""
        verdict = origin.unconfirmed_start and self._starts.judge(
            origin.unconfirmed_start
        )
        if verdict is StartVerdict.SAME:
            origin = replace(origin, unconfirmed_start=None)
        self._origins.record(origin, self._read_clock())
        self._announce((origin,))

    async def confirm(self, origin: StreamOrigin) -> bool:
        """Whether the first event of a stream certainly came from its build."""
        known = self.find_known(origin.stream) or origin
        if known.is_certain:
            return True
        is_certain = await self._starts.confirm(known.unconfirmed_start)
        if is_certain:
            self._origins.confirm(known.stream)
        return is_certain

    def settle(self) -> None:
        """Settle by the registry which streams began at the builds on record."""
        self._origins.settle(self._starts.judge)

    def find_known(self, stream: int) -> StreamOrigin | None:
        """Return where a stream began, None if this gateway does not know it."""
        return self._origins.find(stream, self._read_clock())

    async def find(self, stream: int) -> StreamOrigin | None:
        """
        Return where a stream began, None if no gateway remembers it.

        Gateways learn at different moments that an upstream has started again, so one
        may be certain of the build where another one can't be any longer.
        """
        known = self.find_known(stream)
        if known is None or not await self.confirm(known):
            await self._ask(stream, known)
        return self.find_known(stream)

    async def _ask(self, stream: int, known: StreamOrigin | None) -> None:
        """Ask the gateways that remember a stream, and the one where it began."""
        holders = set(self._origins.list_holders(stream))
        if known is not None and known.entry not in ("", self._name):
            holders.add(known.entry)
        if not holders:
            return
        question = self._questions.setdefault(stream, _Question(holders))
        try:
            for timeout_s in ANSWER_TIMEOUTS_S:
                news = StreamNews(self._name, [], [stream], [])
                self._send(news, tuple(question.open))
                try:
                    async with asyncio.timeout(timeout_s):
                        await question.is_answered.wait()
                    break
                except TimeoutError:
                    continue
        finally:
            self._questions.pop(stream, None)
        if question.open:
            # Callers choose what is asked for; the end of each call is logged.
            fields = {"asked": sorted(holders), "silent": sorted(question.open)}
            _log.debug("gateways silent on a stream", extra=fields)

    def receive(self, news: StreamNews, address: tuple[str, int]) -> None:
        """Apply the news of the gateway at an address, and answer what it asks for."""
        now = self._read_clock()
        for item in news.begun:
            expires_s = now + item.left_ms / MS_PER_S
            origin = StreamOrigin(
                item.stream,
                item.service_name,
                item.build,
                expires_s,
                _decode_start(item.start),
                item.gateway or "",
            )
            self._origins.record(origin, now)
            self._note_answer(item.stream, news.sender, is_certain=origin.is_certain)
        for stream in news.unknown:
            self._note_answer(stream, news.sender, is_certain=False)
        if news.asked:
            self._answer(news.asked, address, now)

    def _note_answer(self, stream: int, sender: str, *, is_certain: bool) -> None:
        question = self._questions.get(stream)
        if question is None:
            return
        question.open.discard(sender)
        if is_certain or not question.open:
            question.is_answered.set()

    def hand_over(self) -> None:
        """Announce all that this gateway remembers to those that will remember it."""
        self._origins.leave()
        self._announce(self._origins.list_all(self._read_clock()))

    def _announce(self, origins: Iterable[StreamOrigin]) -> None:
        """Send at once, as a caller may take its stream up at any moment."""
        recipients: dict[str, list[StreamOrigin]] = {}
        for origin in origins:
            for name in self._origins.list_holders(origin.stream):
                recipients.setdefault(name, []).append(origin)
        for name, found in recipients.items():
            for news in self._describe(found):
                self._send(news, (name,))

    def _answer(self, asked: list[int], address: tuple[str, int], now: float) -> None:
        asked = asked[:MAX_STREAMS_SENT]
        found = [self._origins.find(stream, now) for stream in asked]
        for news in self._describe([origin for origin in found if origin]):
            self._reply(news, address)
        pairs = zip(asked, found, strict=True)
        unknown = [stream for stream, origin in pairs if origin is None]
        if unknown:
            self._reply(StreamNews(self._name, [], [], unknown), address)

    def _describe(self, origins: list[StreamOrigin]) -> Iterator[StreamNews]:
        """Return messages that state where streams began."""
        now = self._read_clock()
        begun = [
            BegunStream(
                origin.stream,
                origin.service,
                origin.build,
                max(0, round((origin.expires_s - now) * MS_PER_S)),
                _encode_start(origin.unconfirmed_start),
                origin.entry if origin.unconfirmed_start else None,
            )
            for origin in origins
        ]
        for first in range(0, len(begun), MAX_STREAMS_SENT):
            batch = begun[first : first + MAX_STREAMS_SENT]
            yield StreamNews(self._name, batch, [], [])


def _encode_start(start: UpstreamStart | None) -> ConnectedUpstream | None:
    if start is None:
        return None
    # Rounded down, as a connection that seems older than it is would prove too much.
    age_ms = int((read_boot_clock() - start.connected_s) * MS_PER_S)
    return ConnectedUpstream(start.upstream, start.incarnation, age_ms)


def _decode_start(start: ConnectedUpstream | None) -> UpstreamStart | None:
    if start is None:
        return None
    connected_s = read_boot_clock() - start.age_ms / MS_PER_S
    return UpstreamStart(start.upstream, start.incarnation, connected_s)
