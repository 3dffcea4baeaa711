"""What gateways tell each other: their work at the upstreams, and new cached blocks."""

import asyncio
import logging
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from persimmonferry_core.dispatch import Dispatcher
from persimmonferry_core.keptparts import PartEvent, StoreUpdate
from persimmonferry_core.upstreams import PeerWork
from persimmonferry_core.world import Address
from persimmonferry_wire import decode, encode
from persimmonferry_wire.generated.peers.ttypes import (
    KeptChange,
    KeptNews,
    KeptUpdate,
    NewlyHeld,
    OwnWork,
    PeerMessage,
    PeerNews,
    StartedWork,
)

from persimmonferry_gateway.clocks import read_boot_clock

__all__ = ["PeerExchange"]

# Requests come some ten milliseconds apart; older news would send several gateways'
# requests to the same engine.
MIN_INTERVAL_S = 0.04
# With more peers the interval grows, so that the messages of all stay bounded.
INTERVAL_PER_PEER_S = 0.012
# A peer that was not heard for this many intervals is taken to have no work.
FORGET_INTERVALS = 8
MAX_DATAGRAM_BYTES = 1400
MAX_HELD_UPSTREAMS = 16
# A gateway without work says so this often, so that the others know that it lives.
IDLE_INTERVAL_S = 1.0
# After this silence other gateways take over what a gateway followed.
ALIVE_S = 3.0
# Changes at stores in one datagram: a name and a size take up to some 40 bytes, and
# so does an update without changes.
MAX_CHANGES = 30
MS_PER_S = 1000

_log = logging.getLogger(__name__)


@dataclass
class _Peer:
    """What was last heard of a peer."""

    incarnation: int
    sequence: int
    heard_s: float


class PeerExchange(asyncio.DatagramProtocol):
    """
    Sends this gateway's news to the others and takes over theirs.

    Datagrams may be lost: each one replaces the last, except for the cached blocks,
    which are hints.

    :param incarnation: grows with each start of a gateway of that name.
    :param note_version: told of weights that the holder of the rollout has seen.
    :param note_update: told what another gateway heard from a store.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        address: Address,
        dispatcher: Dispatcher,
        note_version: Callable[[str, int, float], None],
        note_update: Callable[[StoreUpdate], None],
    ) -> None:
        self._note_version = note_version
        self._note_update = note_update
        self._updates: list[StoreUpdate] = []
        # Kept longer than what a peer said of its work.
        self._alive_s: dict[str, float] = {}
        self._sent_s = float("-inf")
        self._name = name
        self._incarnation = incarnation
        self._address = address
        self._dispatcher = dispatcher
        self._loop = asyncio.get_running_loop()
        self._addresses: dict[str, Address] = {}
        self._heard: dict[str, _Peer] = {}
        self._held: dict[str, dict[str, int]] = {}
        self._paused: frozenset[str] = frozenset()
        self._versions: dict[str, int] = {}
        self._last_pause_s = float("-inf")
        self._sequence = 0
        self._was_idle = False
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Bind the address and begin to send."""
        self._transport, _ = await self._loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._address.host, self._address.port)
        )
        self._tick()

    def stop(self) -> None:
        """Send nothing more."""
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()

    @property
    def interval_s(self) -> float:
        """Seconds between two messages."""
        return max(MIN_INTERVAL_S, INTERVAL_PER_PEER_S * len(self._addresses))

    def set_peers(self, addresses: dict[str, Address]) -> None:
        """Take over the addresses of all gateways."""
        self._addresses = {
            name: address for name, address in addresses.items() if name != self._name
        }
        for name in tuple(self._heard):
            if name not in self._addresses:
                self._forget(name)
        now = self._loop.time()
        # One that has just registered is taken to live.
        self._alive_s = {name: self._alive_s.get(name, now) for name in self._addresses}
        self._dispatcher.set_entries((self._name, *self._addresses))

    def list_alive(self) -> tuple[str, ...]:
        """Return the gateways that were heard lately, with this one."""
        limit_s = self._loop.time() - ALIVE_S
        heard = (name for name, at_s in self._alive_s.items() if at_s > limit_s)
        return (self._name, *heard)

    def announce_update(self, update: StoreUpdate) -> None:
        """Keep for the next message what was heard from a store."""
        self._updates.append(update)

    def note_held(
        self, upstream: str, names: tuple[str, ...], sizes: tuple[int, ...]
    ) -> None:
        """Keep for the next message which blocks an engine has computed."""
        if upstream in self._held or len(self._held) < MAX_HELD_UPSTREAMS:
            held = self._held.setdefault(upstream, {})
            held.update(zip(names, sizes, strict=True))

    def announce_started(self, work: dict[str, PeerWork]) -> None:
        """
        Tell at once what was sent to upstreams.

        Load pattern: many gateways that see the same upstream idle. Until the next
        message about all work, each would send its next prompt there.
        """
        if not work or not self._addresses:
            return
        started = StartedWork(
            self._name, self._incarnation, self._sequence, _encode_work(work)
        )
        self._send(encode(PeerMessage(started=started)))

    def announce_loading(
        self, paused: frozenset[str], versions: dict[str, int]
    ) -> None:
        """
        Tell all gateways, this one too, which engines take no prompts now.

        :param versions: of the weights of engines that were loading.
        """
        if (paused, versions) == (self._paused, self._versions):
            return
        self._paused, self._versions = paused, versions
        self._dispatcher.set_paused(self._name, paused)

    def find_last_pause(self) -> float:
        """Return when a peer last told of loading engines, on the boot clock."""
        return self._last_pause_s

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take over a peer's news."""
        try:
            message = decode(PeerMessage, data)
        except ValueError as error:
            _log.warning("peer message can't be read", extra={"cause": str(error)})
            return
        news = message.work or message.kept or message.started
        if news is None or news.sender not in self._addresses:
            return
        self._alive_s[news.sender] = self._loop.time()
        if message.kept is not None:
            self._take_kept(message.kept)
        elif message.started is not None:
            self._take_started(message.started)
        else:
            self._take_work(message.work)

    def _take_kept(self, news: KeptNews) -> None:
        for item in news.updates:
            events = tuple(
                PartEvent(change.name, change.tokens, change.is_whole)
                for change in item.changes
            )
            clock_s = item.clock_ms / MS_PER_S
            self._note_update(
                StoreUpdate(item.store, item.address, item.epoch, clock_s, events)
            )

    def _take_started(self, news: StartedWork) -> None:
        """Add to what is known of a peer's work unless it is in that already."""
        known = self._heard.get(news.sender)
        order = (news.incarnation, news.sequence)
        if known is None:
            # Forgotten while it was idle, or its first news was lost.
            self._heard[news.sender] = _Peer(*order, self._loop.time())
        elif order < (known.incarnation, known.sequence):
            return
        work = _decode_work(news.work)
        self._dispatcher.add_peer_work(news.sender, work, self._loop.time())

    def _take_work(self, news: PeerNews) -> None:
        """Replace what is known of a peer's work unless later news came before."""
        known = self._heard.get(news.sender)
        order = (news.incarnation, news.sequence)
        if known is not None and order <= (known.incarnation, known.sequence):
            return
        self._heard[news.sender] = _Peer(*order, self._loop.time())
        now = self._loop.time()
        self._dispatcher.set_peer_work(news.sender, _decode_work(news.work), now)
        self._dispatcher.set_paused(news.sender, frozenset(news.paused))
        if news.paused:
            self._last_pause_s = read_boot_clock()
        for name, version in news.versions.items():
            self._note_version(name, version, self._loop.time())
        for item in news.held:
            self._dispatcher.record_held(
                item.upstream, tuple(item.names), tuple(item.sizes)
            )

    def error_received(self, error: Exception) -> None:
        """Note that a datagram was not delivered; the next one replaces it."""
        _log.debug("peer message lost", extra={"cause": str(error)})

    def _tick(self) -> None:
        now = self._loop.time()
        limit_s = now - FORGET_INTERVALS * self.interval_s
        for name, peer in tuple(self._heard.items()):
            if peer.heard_s < limit_s:
                self._forget(name)
        self._send_work(now)
        self._send_updates()
        self._timer = self._loop.call_later(self.interval_s, self._tick)

    def _send_work(self, now: float) -> None:
        work = self._dispatcher.summarise_own_work(now)
        is_idle = not (work or self._held or self._paused)
        if is_idle and self._was_idle and now < self._sent_s + IDLE_INTERVAL_S:
            return
        self._sent_s = now
        self._was_idle = is_idle
        self._sequence += 1
        news = PeerNews(
            self._name,
            self._incarnation,
            self._sequence,
            _encode_work(work),
            [
                NewlyHeld(name, list(held), list(held.values()))
                for name, held in self._held.items()
            ],
            list(self._paused),
            self._versions,
        )
        self._held.clear()
        data = encode(PeerMessage(work=news))
        if len(data) > MAX_DATAGRAM_BYTES:
            news.held = []
            data = encode(PeerMessage(work=news))
        self._send(data)

    def _send_updates(self) -> None:
        """Tell what was heard from stores, with a bounded number of changes each."""
        updates, self._updates = self._updates, []
        batch: list[KeptUpdate] = []
        room = MAX_CHANGES
        for update in updates:
            for item in _split(update):
                size = len(item.changes) + 1
                if batch and size > room:
                    self._send(encode(PeerMessage(kept=KeptNews(self._name, batch))))
                    batch, room = [], MAX_CHANGES
                batch.append(item)
                room -= size
        if batch:
            self._send(encode(PeerMessage(kept=KeptNews(self._name, batch))))

    def _send(self, data: bytes) -> None:
        for address in self._addresses.values():
            self._transport.sendto(data, (address.host, address.port))

    def _forget(self, name: str) -> None:
        self._heard.pop(name, None)
        self._dispatcher.set_peer_work(name, {}, self._loop.time())
        self._dispatcher.set_paused(name, frozenset())


def _split(update: StoreUpdate) -> Iterator[KeptUpdate]:
    """Return an update as messages that fit into a datagram each."""
    clock_ms = int(update.clock_s * MS_PER_S)
    changes = [
        KeptChange(event.name, event.tokens, event.is_whole) for event in update.events
    ]
    for first in range(0, max(1, len(changes)), MAX_CHANGES):
        batch = changes[first : first + MAX_CHANGES]
        yield KeptUpdate(update.store, update.address, update.epoch, clock_ms, batch)


def _encode_work(work: dict[str, PeerWork]) -> list[OwnWork]:
    return [
        OwnWork(name, item.runs, item.memory_tokens, dict(item.waiting_tokens))
        for name, item in work.items()
    ]


def _decode_work(work: list[OwnWork]) -> dict[str, PeerWork]:
    return {
        item.upstream: PeerWork(
            item.runs, item.memory_tokens, tuple(item.waiting_tokens.items())
        )
        for item in work
    }
