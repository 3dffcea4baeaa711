"""What gateways tell each other: their work at the upstreams, and new cached blocks."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from persimmonferry_core.dispatch import Dispatcher
from persimmonferry_core.upstreams import PeerWork
from persimmonferry_core.world import Address
from persimmonferry_wire import decode, encode
from persimmonferry_wire.generated.peers.ttypes import NewlyHeld, OwnWork, PeerNews

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
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        address: Address,
        dispatcher: Dispatcher,
        note_version: Callable[[str, int, float], None],
    ) -> None:
        self._note_version = note_version
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
        self._dispatcher.set_entries((self._name, *self._addresses))

    def note_held(
        self, upstream: str, names: tuple[str, ...], sizes: tuple[int, ...]
    ) -> None:
        """Keep for the next message which blocks an engine has computed."""
        if upstream in self._held or len(self._held) < MAX_HELD_UPSTREAMS:
            held = self._held.setdefault(upstream, {})
            held.update(zip(names, sizes, strict=True))

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
        """Take over a peer's news unless a later one came before."""
        try:
            news = decode(PeerNews, data)
        except ValueError as error:
            _log.warning("peer message can't be read", extra={"cause": str(error)})
            return
        known = self._heard.get(news.sender)
        order = (news.incarnation, news.sequence)
        if news.sender not in self._addresses:
            return
        if known is not None and order <= (known.incarnation, known.sequence):
            return
        self._heard[news.sender] = _Peer(*order, self._loop.time())
        work = {
            item.upstream: PeerWork(
                item.runs, item.memory_tokens, tuple(item.waiting_tokens.items())
            )
            for item in news.work
        }
        self._dispatcher.set_peer_work(news.sender, work)
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
        self._send(now)
        self._timer = self._loop.call_later(self.interval_s, self._tick)

    def _send(self, now: float) -> None:
        work = self._dispatcher.summarise_own_work(now)
        is_idle = not (work or self._held or self._paused)
        if is_idle and self._was_idle:
            # One empty message has told of it; a lost one is repeated by time-out.
            return
        self._was_idle = is_idle
        self._sequence += 1
        news = PeerNews(
            self._name,
            self._incarnation,
            self._sequence,
            [
                OwnWork(name, item.runs, item.memory_tokens, dict(item.waiting_tokens))
                for name, item in work.items()
            ],
            [
                NewlyHeld(name, list(held), list(held.values()))
                for name, held in self._held.items()
            ],
            list(self._paused),
            self._versions,
        )
        self._held.clear()
        data = encode(news)
        if len(data) > MAX_DATAGRAM_BYTES:
            news.held = []
            data = encode(news)
        for address in self._addresses.values():
            self._transport.sendto(data, (address.host, address.port))

    def _forget(self, name: str) -> None:
        self._heard.pop(name, None)
        self._dispatcher.set_peer_work(name, {})
        self._dispatcher.set_paused(name, frozenset())
