"""UDP messages between gateways: their work at the upstreams and new cached parts."""

import asyncio
import logging
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import TypeVar

from persimmonferry_core.cache_stores import PartEvent, StoreUpdate
from persimmonferry_core.dispatch import Dispatcher
from persimmonferry_core.quarantine import Crash
from persimmonferry_core.returns import ReturnPromise
from persimmonferry_core.topology import Address
from persimmonferry_core.upstreams import PeerWork
from persimmonferry_core.upstreams.call_rates import CallRates, SentNews
from persimmonferry_core.upstreams.limits import LimitNotice
from persimmonferry_core.upstreams.subsets import UpstreamSubsets
from persimmonferry_wire import decode, encode
from persimmonferry_wire.generated.peers.ttypes import (
    CallNews,
    CrashedPrompt,
    CrashNews,
    EntryNews,
    KeptChange,
    KeptNews,
    KeptUpdate,
    LimitNews,
    LoadingNews,
    NewlyHeld,
    OwnWork,
    PeerMessage,
    PeerNews,
    PromisedReturn,
    ReturnNews,
    SentCalls,
    StartedWork,
    StreamNews,
    UpstreamLimit,
    WeightsNews,
)

from persimmonferry_gateway.clocks import read_boot_clock

__all__ = ["PeerExchange"]

# Requests arrive some ten milliseconds apart; with a longer interval several gateways
# would send their requests to the same engine.
MIN_INTERVAL_S = 0.04
# The interval grows with the number of peers, which bounds the total message rate.
INTERVAL_PER_PEER_S = 0.012
# A peer without a message for this many intervals is assumed to have no work.
PEER_EXPIRY_INTERVALS = 8
# A peer without a message for this many intervals is not in contact.
CONTACT_INTERVALS = 3
MAX_DATAGRAM_BYTES = 1400
MAX_HELD_UPSTREAMS = 16
# A gateway without work sends an empty message this often, as a heartbeat.
IDLE_INTERVAL_S = 1.0
# After this time without a message, other gateways watch the stores that a gateway
# watched.
PEER_TIMEOUT_S = 3.0
# Store changes in one datagram: a name and a size take up to about 40 bytes, and so
# does an update without changes.
MAX_CHANGES = 30
# Longest time between store updates; views of stores expire about a second after the
# last update.
UPDATE_INTERVAL_S = 0.4
# With more peers, only heavy dispatches are announced at once.
MAX_PEERS_FOR_EVERY_DISPATCH = 8
# Loading engines are announced again after this time, as datagrams may be lost.
LOADING_INTERVAL_S = 1.0
LOADING_EXPIRY_INTERVALS = 4
# Engines with new weights in one datagram; the most recent ones are sent.
MAX_VERSIONS = 40
# Limits of upstreams are announced again after this time, as datagrams may be lost. The
# interval grows with the number of gateways, which bounds the message rate.
LIMIT_INTERVAL_S = 1.0
LIMIT_INTERVAL_PER_GATEWAY_S = 0.005
# How often the end of a limit is announced.
LIMIT_END_ANNOUNCEMENTS = 5
# Limits in one datagram.
MAX_LIMITS = 20
# Crashes are announced again at the same intervals, this many times.
CRASH_REPETITIONS = 5
# Crashes and answers within this time are announced together.
CRASH_NEWS_DELAY_S = 0.01
MAX_OWN_CRASHES = 512
# Hashes in one datagram; a crash takes up as much as some hashes more.
MAX_SOUND = 100
MAX_CRASH_HASHES = 102
CRASH_OVERHEAD_HASHES = 6
# A gateway whose entry is gone still has calls for this time, and streams begin there.
MAX_DRAIN_S = 60.0
# Refusals within this time are announced together; callers are told longer ones.
RETURN_NEWS_DELAY_S = 0.03
# Promises in one datagram.
MAX_RETURNS = 20
MS_PER_S = 1000

_Work = TypeVar("_Work")

_log = logging.getLogger(__name__)


@dataclass
class _PeerState:
    """The last message about work that was received from a peer."""

    incarnation: int
    sequence: int
    received_s: float


@dataclass(frozen=True)
class _OwnNotice:
    """A notice that this gateway received from an upstream, newer than any peer's."""

    notice: LimitNotice
    # On the boot clock, so that a suspended process does not report it as newer.
    stated_s: float


class PeerExchange(asyncio.DatagramProtocol):
    """
    Exchanges state with the other gateways.

    Work at engines is sent to the gateways that use the same engines. Only a few
    gateways know what stores hold and which engines load, so they send that to all.
    Datagrams may be lost: each one replaces the last, except for cached parts, which
    are only hints.

    :param incarnation: grows with each start of a gateway of that name.
    :param record_version: called with the engine versions that the leader has observed.
    :param apply_update: called with each store update from another gateway.
    :param record_limit: called with each notice of an upstream's limit from another
        gateway, and with its name; returns False for an outdated notice.
    :param record_crashes: called with the crashes that another gateway has observed,
        the parts with which it has received an answer, and its name.
    :param receive_streams: called with another gateway's news of streams, and its
        address.
    :param receive_weights: called with another gateway's question or answer about
        wanted weights, and its address.
    :param receive_entries: called with another gateway's question or answer about
        upstreams' entries, and its address.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        address: Address,
        dispatcher: Dispatcher,
        record_version: Callable[[str, int, float], None],
        apply_update: Callable[[StoreUpdate], None],
        record_limit: Callable[[LimitNotice, str], bool],
        record_crashes: Callable[[tuple[Crash, ...], frozenset[int], str], None],
        receive_streams: Callable[[StreamNews, tuple[str, int]], None],
        receive_weights: Callable[[WeightsNews, tuple[str, int]], None],
        receive_entries: Callable[[EntryNews, tuple[str, int]], None],
    ) -> None:
        self._receive_streams = receive_streams
        self._receive_entries = receive_entries
        self._receive_weights = receive_weights
        self._record_version = record_version
        self._record_limit = record_limit
        self._own_notices: dict[str, _OwnNotice] = {}
        self._record_crashes = record_crashes
        # How often each crash is still to be announced.
        self._own_crashes: dict[Crash, int] = {}
        # Not sent yet.
        self._new_crashes: dict[Crash, None] = {}
        self._new_sound: set[int] = set()
        self._apply_update = apply_update
        self._updates: list[StoreUpdate] = []
        # Retained longer than the work that a peer reported.
        self._last_message_s: dict[str, float] = {}
        self._name = name
        self._incarnation = incarnation
        self._address = address
        self._dispatcher = dispatcher
        self._groups = UpstreamSubsets(name)
        # The gateways that use each engine; missing for other upstreams.
        self._users: dict[str, frozenset[str]] = {}
        self._loop = asyncio.get_running_loop()
        self._addresses: dict[str, Address] = {}
        # When the entries of gateways that may still drain were removed.
        self._removed_s: dict[str, float] = {}
        self._new_returns: list[ReturnPromise] = []
        # Whether a list of gateways has been received.
        self._has_list = False
        self._peer_states: dict[str, _PeerState] = {}
        self._held: dict[str, dict[str, int]] = {}
        self._paused: frozenset[str] = frozenset()
        self._versions: dict[str, int] = {}
        self._is_leader = False
        self._loading_received_s: dict[str, float] = {}
        self._last_loading_s = float("-inf")
        self._sequence = 0
        self._last_sent_s: dict[str, float] = {}
        self._work_recipients: frozenset[str] = frozenset()
        self._transport: asyncio.DatagramTransport | None = None
        self._timers: dict[str, asyncio.TimerHandle] = {}

    async def start(self) -> None:
        """Bind the address and start sending."""
        self._transport, _ = await self._loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._address.host, self._address.port)
        )
        self._tick()
        self._flush_updates()
        self._refresh_loading()
        self._repeat_limits()
        self._repeat_crashes()

    def stop(self) -> None:
        """Stop sending and close the socket."""
        for timer in self._timers.values():
            timer.cancel()
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    @property
    def interval_s(self) -> float:
        """Seconds between two messages with all work."""
        return max(MIN_INTERVAL_S, INTERVAL_PER_PEER_S * len(self._groups.neighbours))

    def set_peers(self, addresses: dict[str, Address]) -> None:
        """Replace the addresses of all gateways."""
        now = self._loop.time()
        for name in self._addresses.keys() - addresses.keys():
            self._removed_s[name] = now
        if not self._has_list and self._name in addresses:
            self._rates.record_listed()
        self._has_list = True
        self._addresses = {
            name: address for name, address in addresses.items() if name != self._name
        }
        self._removed_s = {
            name: removed_s
            for name, removed_s in self._removed_s.items()
            if name not in addresses and now < removed_s + MAX_DRAIN_S
        }
        # A gateway that has just registered is assumed to be alive.
        self._last_message_s = {
            name: self._last_message_s.get(name, now) for name in self._addresses
        }
        self._dispatcher.set_entries((self._name, *self._addresses))
        self._groups.set_entries(addresses)
        self._apply_groups()
        self._rates.set_contact_timeout(CONTACT_INTERVALS * self.interval_s)

    def set_engines(self, names: tuple[str, ...]) -> None:
        """Replace the names of all engines."""
        self._groups.set_upstreams(names)
        self._apply_groups()

    def _apply_groups(self) -> None:
        self._dispatcher.set_subset(self._groups.subset)
        self._users = self._groups.map_users()
        self._dispatcher.availability.set_users(self._users)
        neighbours = self._groups.neighbours
        for name in tuple(self._peer_states):
            if name not in neighbours:
                self._forget(name)
        self._last_sent_s = {
            name: sent_s
            for name, sent_s in self._last_sent_s.items()
            if name in neighbours
        }

    def list_alive(self) -> tuple[str, ...]:
        """
        Return the gateways that are alive, including this one.

        Gateways that share no engine with this one send it no messages, so they are
        assumed to be alive as long as they are registered.
        """
        limit_s = self._loop.time() - PEER_TIMEOUT_S
        neighbours = self._groups.neighbours
        recent = (
            name
            for name, at_s in self._last_message_s.items()
            if at_s > limit_s or name not in neighbours
        )
        return (self._name, *recent)

    def queue_update(self, update: StoreUpdate) -> None:
        """Queue an update from a store for the next message."""
        self._updates.append(update)

    def queue_held(
        self, upstream: str, names: tuple[str, ...], sizes: tuple[int, ...]
    ) -> None:
        """Queue the parts that an engine has computed for the next message."""
        if upstream in self._held or len(self._held) < MAX_HELD_UPSTREAMS:
            held = self._held.setdefault(upstream, {})
            held.update(zip(names, sizes, strict=True))

    @property
    def announces_every_dispatch(self) -> bool:
        """Whether there are few enough peers to announce every dispatch at once."""
        return len(self._groups.neighbours) <= MAX_PEERS_FOR_EVERY_DISPATCH

    def announce_started(self, work: dict[str, PeerWork]) -> None:
        """
        Announce at once what was sent to upstreams.

        Load pattern: many gateways see the same upstream idle. Until the next message
        with all work, each of them would send its next prompt there.
        """
        for users, part in self._split_by_users(work).items():
            self._send_started(part, users)

    def announce_call(self, upstream: str) -> None:
        """Announce at once a call to an upstream of a plain service, if it counts."""
        if self._rates.has_ceiling(upstream):
            for users in self._split_by_users({upstream: None}):
                self._send_started({}, users, (upstream,))

    def _send_started(
        self,
        part: dict[str, PeerWork],
        users: frozenset[str],
        called: tuple[str, ...] = (),
    ) -> None:
        started = StartedWork(
            self._name,
            self._incarnation,
            self._sequence,
            _encode_work(part),
            self._describe_sent((*part, *called)),
        )
        self._send(encode(PeerMessage(started=started)), users)

    def _describe_sent(self, upstreams: Iterable[str]) -> CallNews | None:
        """Return the calls to these upstreams, None if no calls are counted."""
        rates = self._rates
        if not rates.list_peers():
            return None
        return _encode_sent(rates.describe_sent(upstreams, self._loop.time()))

    @property
    def _rates(self) -> CallRates:
        return self._dispatcher.availability.rates

    def announce_loading(
        self, paused: frozenset[str], versions: dict[str, int], *, is_leader: bool
    ) -> None:
        """
        Announce to all gateways, including this one, which engines take no prompts.

        :param versions: of the weights of engines that were loading.
        :param is_leader: whether this gateway is the leader, which repeats the
            announcement.
        """
        if (paused, versions) == (self._paused, self._versions):
            return
        was_leader, self._is_leader = self._is_leader, is_leader
        self._paused, self._versions = paused, dict(versions)
        self._dispatcher.set_paused(self._name, paused)
        if is_leader or was_leader:
            self._send_loading()

    def announce_limit(self, notice: LimitNotice, *, is_changed: bool) -> None:
        """
        Announce what an upstream has stated about its limit.

        :param is_changed: announce it at once, not with the next message.
        """
        age_s = self._loop.time() - notice.stated_s
        own = _OwnNotice(notice, read_boot_clock() - age_s)
        self._own_notices[notice.upstream] = own
        if is_changed:
            self._send_limits((own,))

    def announce_crash(self, crash: Crash) -> None:
        """
        Announce to all gateways that an upstream was lost with a call.

        Load pattern: all calls at an upstream are lost at once, and answered by others
        some milliseconds later. What is observed within ``CRASH_NEWS_DELAY_S`` is sent
        in the same datagrams.
        """
        self._own_crashes[crash] = CRASH_REPETITIONS
        if len(self._own_crashes) > MAX_OWN_CRASHES:
            del self._own_crashes[next(iter(self._own_crashes))]
        self._new_crashes[crash] = None
        self._plan_crash_news()

    def announce_sound(self, parts: frozenset[int]) -> None:
        """Announce to all gateways that calls with these parts are answered."""
        for crash in tuple(self._own_crashes):
            if crash.parts <= parts:
                del self._own_crashes[crash]
                self._new_crashes.pop(crash, None)
        self._new_sound |= parts
        self._plan_crash_news()

    def announce_return(self, promise: ReturnPromise) -> None:
        """Announce to all gateways when a refused prompt was told to return."""
        self._new_returns.append(promise)
        if "returns" not in self._timers:
            self._call_later("returns", RETURN_NEWS_DELAY_S, self._send_returns)

    def _send_returns(self) -> None:
        del self._timers["returns"]
        promises, self._new_returns = self._new_returns, []
        now = self._loop.time()
        for first in range(0, len(promises), MAX_RETURNS):
            batch = [
                PromisedReturn(
                    item.fingerprint,
                    round((item.due_s - now) * MS_PER_S),
                    round((item.expires_s - now) * MS_PER_S),
                )
                for item in promises[first : first + MAX_RETURNS]
            ]
            news = ReturnNews(self._name, batch)
            self._send(encode(PeerMessage(returns=news)), self._addresses)

    def send_streams(self, news: StreamNews, names: Iterable[str]) -> None:
        """Send news of streams to the named gateways."""
        self._send(encode(PeerMessage(streams=news)), names)

    def reply_streams(self, news: StreamNews, address: tuple[str, int]) -> None:
        """Send an answer about streams to the gateway at an address."""
        self._reply(PeerMessage(streams=news), address)

    def send_weights(self, news: WeightsNews, names: Iterable[str]) -> None:
        """Send a question about wanted weights to the named gateways."""
        self._send(encode(PeerMessage(weights=news)), names)

    def reply_weights(self, news: WeightsNews, address: tuple[str, int]) -> None:
        """Send an answer about wanted weights to the gateway at an address."""
        self._reply(PeerMessage(weights=news), address)

    def send_entries(self, news: EntryNews, names: Iterable[str]) -> None:
        """Send a question about upstreams' entries to the named gateways."""
        self._send(encode(PeerMessage(entries=news)), names)

    def reply_entries(self, news: EntryNews, address: tuple[str, int]) -> None:
        """Send an answer about upstreams' entries to the gateway at an address."""
        self._reply(PeerMessage(entries=news), address)

    def _reply(self, message: PeerMessage, address: tuple[str, int]) -> None:
        if self._transport is not None:
            self._transport.sendto(encode(message), address)

    def _plan_crash_news(self) -> None:
        if "crash news" not in self._timers:
            self._call_later("crash news", CRASH_NEWS_DELAY_S, self._send_crash_news)

    def _send_crash_news(self) -> None:
        del self._timers["crash news"]
        sound, self._new_sound = sorted(self._new_sound), set()
        for first in range(0, len(sound), MAX_SOUND):
            batch = sound[first : first + MAX_SOUND]
            news = CrashNews(self._name, [], batch)
            self._send(encode(PeerMessage(crashes=news)), self._addresses)
        crashes, self._new_crashes = self._new_crashes, {}
        self._send_crashes(crashes)

    def find_last_loading(self) -> float:
        """Return when a peer last announced loading engines, on the boot clock."""
        return self._last_loading_s

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Apply a peer's message."""
        try:
            message = decode(PeerMessage, data)
        except ValueError as error:
            _log.warning("peer message malformed", extra={"cause": str(error)})
            return
        if message.weights is not None:
            # One that asks may have just started, and not be listed yet.
            self._receive_weights(message.weights, addr)
            return
        if message.entries is not None:
            # One that the registry refuses may no longer be listed.
            self._receive_entries(message.entries, addr)
            return
        payload = (
            message.work
            or message.kept
            or message.started
            or message.loading
            or message.limits
            or message.crashes
            or message.streams
            or message.returns
        )
        if payload is None:
            return
        if payload.sender not in self._addresses:
            if message.streams is not None:
                self._receive_unlisted_streams(message.streams, addr)
            return
        self._last_message_s[payload.sender] = self._loop.time()
        if message.kept is not None:
            self._handle_store_updates(message.kept)
        elif message.loading is not None:
            self._handle_loading(message.loading)
        elif message.limits is not None:
            self._handle_limits(message.limits)
        elif message.crashes is not None:
            self._handle_crashes(message.crashes)
        elif message.returns is not None:
            self._handle_returns(message.returns)
        elif message.streams is not None:
            self._receive_streams(message.streams, addr)
        elif message.started is not None:
            self._handle_started(message.started)
        else:
            self._handle_work(message.work)

    def _receive_unlisted_streams(
        self, news: StreamNews, address: tuple[str, int]
    ) -> None:
        """
        Apply the news of a gateway that drains, or answer one that has just started.

        Only gateways that have been listed state where streams began.
        """
        if news.sender not in self._removed_s:
            news = StreamNews(news.sender, [], news.asked, [])
        self._receive_streams(news, address)

    def _handle_store_updates(self, payload: KeptNews) -> None:
        for item in payload.updates:
            events = tuple(
                PartEvent(change.name, change.tokens, change.is_whole)
                for change in item.changes
            )
            clock_s = item.clock_ms / MS_PER_S
            self._apply_update(
                StoreUpdate(item.store, item.address, item.epoch, clock_s, events)
            )

    def _handle_loading(self, payload: LoadingNews) -> None:
        self._loading_received_s[payload.sender] = self._loop.time()
        self._dispatcher.set_paused(payload.sender, frozenset(payload.paused))
        if payload.paused:
            self._last_loading_s = read_boot_clock()
        for name, version in payload.versions.items():
            self._record_version(name, version, self._loop.time())

    def _handle_limits(self, payload: LimitNews) -> None:
        now = self._loop.time()
        for item in payload.limits:
            stated_s = now - item.age_ms / MS_PER_S
            notice = LimitNotice(
                item.upstream, item.incarnation, item.calls_per_s, stated_s
            )
            if self._record_limit(notice, payload.sender):
                self._own_notices.pop(item.upstream, None)

    def _handle_crashes(self, payload: CrashNews) -> None:
        now = self._loop.time()
        crashes = tuple(
            Crash(
                item.upstream,
                item.incarnation,
                frozenset(item.parts),
                now - item.age_ms / MS_PER_S,
            )
            for item in payload.crashes
        )
        self._record_crashes(crashes, frozenset(payload.sound), payload.sender)

    def _handle_returns(self, payload: ReturnNews) -> None:
        now = self._loop.time()
        for item in payload.returns:
            due_s = now + item.due_ms / MS_PER_S
            expires_s = now + item.left_ms / MS_PER_S
            promise = ReturnPromise(item.fingerprint, due_s, expires_s)
            self._dispatcher.promises.add(promise, now)

    def _handle_started(self, payload: StartedWork) -> None:
        """Add work to a peer's last message unless that message already includes it."""
        self._record_sent(payload.sender, payload.sent)
        known = self._peer_states.get(payload.sender)
        order = (payload.incarnation, payload.sequence)
        if known is None:
            # The peer expired while it was idle, or its first message was lost.
            self._peer_states[payload.sender] = _PeerState(*order, self._loop.time())
        elif order < (known.incarnation, known.sequence):
            return
        work = _decode_work(payload.work)
        self._dispatcher.add_peer_work(payload.sender, work, self._loop.time())

    def _handle_work(self, payload: PeerNews) -> None:
        """Replace a peer's work unless a later message was received before."""
        self._record_sent(payload.sender, payload.sent)
        known = self._peer_states.get(payload.sender)
        order = (payload.incarnation, payload.sequence)
        if known is not None and order <= (known.incarnation, known.sequence):
            return
        self._peer_states[payload.sender] = _PeerState(*order, self._loop.time())
        now = self._loop.time()
        self._dispatcher.set_peer_work(payload.sender, _decode_work(payload.work), now)
        for item in payload.held:
            self._dispatcher.record_held(
                item.upstream, tuple(item.names), tuple(item.sizes)
            )

    def _record_sent(self, sender: str, news: CallNews | None) -> None:
        if news is not None:
            self._rates.record_peer(sender, _decode_sent(news), self._loop.time())

    def error_received(self, error: Exception) -> None:
        """Log a datagram that was not delivered; the next one replaces it."""
        _log.debug("peer message lost", extra={"cause": str(error)})

    def _tick(self) -> None:
        self._call_later("work", self.interval_s, self._tick)
        now = self._loop.time()
        limit_s = now - PEER_EXPIRY_INTERVALS * self.interval_s
        for name, peer in tuple(self._peer_states.items()):
            if peer.received_s < limit_s:
                self._forget(name)
        self._send_work(now)

    def _call_later(
        self, name: str, delay_s: float, function: Callable[[], None]
    ) -> None:
        """Plan a run; each duty plans its next one first, as an error ends a run."""
        self._timers[name] = self._loop.call_later(delay_s, function)

    def _send_work(self, now: float) -> None:
        """Send each neighbour the work at the engines that both use."""
        work = self._dispatcher.summarise_own_work(now)
        self._sequence += 1
        called = self._rates.list_called(now)
        parts = self._split_by_users(dict.fromkeys((*self._held, *called)) | work)
        recipients = frozenset().union(*parts)
        # A peer that was sent work must be notified once it has ended.
        silent_s = now - IDLE_INTERVAL_S
        idle = frozenset(
            name
            for name in self._groups.neighbours - recipients
            if name in self._work_recipients
            or self._last_sent_s.get(name, float("-inf")) <= silent_s
        )
        # Those that count their calls together stay in contact.
        idle |= self._rates.list_peers() - recipients
        for users, part in (*parts.items(), (idle, {})):
            if users:
                self._send(self._encode_work_message(part), users)
        self._work_recipients = recipients
        self._last_sent_s.update(dict.fromkeys(recipients | idle, now))
        self._held.clear()

    def _encode_work_message(self, part: dict[str, PeerWork | None]) -> bytes:
        held = [
            NewlyHeld(name, list(self._held[name]), list(self._held[name].values()))
            for name in part
            if name in self._held
        ]
        work = {name: item for name, item in part.items() if item is not None}
        payload = PeerNews(
            self._name,
            self._incarnation,
            self._sequence,
            _encode_work(work),
            held,
            self._describe_sent(part),
        )
        data = encode(PeerMessage(work=payload))
        if len(data) > MAX_DATAGRAM_BYTES:
            payload.held = []
            data = encode(PeerMessage(work=payload))
        return data

    def _split_by_users(
        self, work: dict[str, _Work]
    ) -> dict[frozenset[str], dict[str, _Work]]:
        """Return the work to send, by the neighbours that use these engines."""
        names: dict[str, list[str]] = {}
        for upstream in work:
            for user in self._find_users(upstream):
                names.setdefault(user, []).append(upstream)
        users: dict[tuple[str, ...], set[str]] = {}
        for user, upstreams in names.items():
            users.setdefault(tuple(upstreams), set()).add(user)
        return {
            frozenset(found): {upstream: work[upstream] for upstream in upstreams}
            for upstreams, found in users.items()
        }

    def _find_users(self, upstream: str) -> frozenset[str]:
        """Return the other gateways that use an upstream, all if that is unknown."""
        users = self._groups.list_users(upstream)
        if not users and self._rates.has_ceiling(upstream):
            return frozenset(self._addresses)
        return users

    def _flush_updates(self) -> None:
        """Send the queued store updates, at most ``MAX_CHANGES`` in a datagram."""
        interval_s = min(self.interval_s, UPDATE_INTERVAL_S)
        self._call_later("updates", interval_s, self._flush_updates)
        updates, self._updates = self._updates, []
        batch: list[KeptUpdate] = []
        room = MAX_CHANGES
        for update in updates:
            for item in _split(update):
                size = len(item.changes) + 1
                if batch and size > room:
                    self._send_store_updates(batch)
                    batch, room = [], MAX_CHANGES
                batch.append(item)
                room -= size
        if batch:
            self._send_store_updates(batch)

    def _send_store_updates(self, batch: list[KeptUpdate]) -> None:
        data = encode(PeerMessage(kept=KeptNews(self._name, batch)))
        self._send(data, self._addresses)

    def _send_loading(self) -> None:
        latest = dict(tuple(self._versions.items())[-MAX_VERSIONS:])
        payload = LoadingNews(self._name, list(self._paused), latest)
        self._send(encode(PeerMessage(loading=payload)), self._addresses)

    def _refresh_loading(self) -> None:
        """Announce loading engines again, and expire those of silent peers."""
        self._call_later("loading", LOADING_INTERVAL_S, self._refresh_loading)
        if self._is_leader:
            self._send_loading()
        limit_s = self._loop.time() - LOADING_EXPIRY_INTERVALS * LOADING_INTERVAL_S
        for name, received_s in tuple(self._loading_received_s.items()):
            if received_s < limit_s:
                del self._loading_received_s[name]
                self._dispatcher.set_paused(name, frozenset())

    def _repeat_limits(self) -> None:
        """Announce the limits again of which no peer has sent a newer notice."""
        interval_s = self._repetition_interval_s
        self._call_later("limits", interval_s, self._repeat_limits)
        ended_s = read_boot_clock() - LIMIT_END_ANNOUNCEMENTS * interval_s
        for name, own in tuple(self._own_notices.items()):
            if own.notice.calls_per_s is None:
                is_needed = own.stated_s > ended_s
            else:
                is_needed = self._dispatcher.availability.limits.find(name) is not None
            if not is_needed:
                del self._own_notices[name]
        self._send_limits(self._own_notices.values())

    def _repeat_crashes(self) -> None:
        self._call_later("crashes", self._repetition_interval_s, self._repeat_crashes)
        self._send_crashes(self._own_crashes)
        for crash, left in tuple(self._own_crashes.items()):
            self._own_crashes[crash] = left - 1
            if left <= 1:
                del self._own_crashes[crash]

    def _send_crashes(self, crashes: Iterable[Crash]) -> None:
        """Send crashes, in as few datagrams as hold them."""
        now = self._loop.time()
        batch: list[CrashedPrompt] = []
        room = MAX_CRASH_HASHES
        for crash in crashes:
            size = len(crash.parts) + CRASH_OVERHEAD_HASHES
            if batch and size > room:
                self._send_crash_batch(batch)
                batch, room = [], MAX_CRASH_HASHES
            age_ms = round((now - crash.lost_s) * MS_PER_S)
            parts = sorted(crash.parts)
            batch.append(
                CrashedPrompt(crash.upstream, crash.incarnation, age_ms, parts)
            )
            room -= size
        if batch:
            self._send_crash_batch(batch)

    def _send_crash_batch(self, batch: list[CrashedPrompt]) -> None:
        news = CrashNews(self._name, batch, [])
        self._send(encode(PeerMessage(crashes=news)), self._addresses)

    @property
    def _repetition_interval_s(self) -> float:
        """Seconds between two announcements of the same limit or crash."""
        per_gateway_s = LIMIT_INTERVAL_PER_GATEWAY_S * len(self._addresses)
        return max(LIMIT_INTERVAL_S, per_gateway_s)

    def _send_limits(self, notices: Iterable[_OwnNotice]) -> None:
        """Send limits to the gateways that use these upstreams."""
        recipients: dict[frozenset[str], list[UpstreamLimit]] = {}
        for own in notices:
            name = own.notice.upstream
            names = self._users.get(name, frozenset(self._addresses)) - {self._name}
            recipients.setdefault(names, []).append(_encode_limit(own))
        for names, limits in recipients.items():
            for first in range(0, len(limits), MAX_LIMITS):
                payload = LimitNews(self._name, limits[first : first + MAX_LIMITS])
                self._send(encode(PeerMessage(limits=payload)), names)

    def _send(self, data: bytes, names: Iterable[str]) -> None:
        if self._transport is None:
            return
        for name in names:
            address = self._addresses.get(name)
            if address is not None:
                self._transport.sendto(data, (address.host, address.port))

    def _forget(self, name: str) -> None:
        self._peer_states.pop(name, None)
        self._dispatcher.set_peer_work(name, {}, self._loop.time())


def _split(update: StoreUpdate) -> Iterator[KeptUpdate]:
    """Split an update into messages that each fit into one datagram."""
    clock_ms = int(update.clock_s * MS_PER_S)
    changes = [
        KeptChange(event.name, event.tokens, event.is_whole) for event in update.events
    ]
    for first in range(0, max(1, len(changes)), MAX_CHANGES):
        batch = changes[first : first + MAX_CHANGES]
        yield KeptUpdate(update.store, update.address, update.epoch, clock_ms, batch)


def _encode_limit(own: _OwnNotice) -> UpstreamLimit:
    notice = own.notice
    age_ms = round((read_boot_clock() - own.stated_s) * MS_PER_S)
    return UpstreamLimit(
        notice.upstream, notice.incarnation, age_ms, notice.calls_per_s
    )


def _encode_sent(news: SentNews) -> CallNews:
    calls = [
        SentCalls(name, [round(age_s * MS_PER_S) for age_s in ages])
        for name, ages in news.ages.items()
        if ages
    ]
    return CallNews(news.stated_ms, calls, sorted(news.unheard))


def _decode_sent(news: CallNews) -> SentNews:
    ages = {
        item.upstream: tuple(age_ms / MS_PER_S for age_ms in item.ages_ms)
        for item in news.calls
    }
    return SentNews(news.stated_ms, ages, frozenset(news.unheard))


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
