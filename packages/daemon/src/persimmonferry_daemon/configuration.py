"""Replicates the team's document to a process, and propagates changes to peers."""

import asyncio
import logging
import random
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from persimmonferry_core.dissemination import (
    Branch,
    Member,
    Members,
    RemoteDomain,
    choose_peer,
    rank_members,
)
from persimmonferry_core.document import parse_document
from persimmonferry_core.exceptions import (
    ConfigurationFaulty,
    PlatformError,
    PlatformUnavailable,
)
from persimmonferry_core.interfaces import Platform, Versioned
from persimmonferry_core.revisions import (
    Advanced,
    AdvanceResult,
    ChangesUpdate,
    Gap,
    Replica,
    Unchanged,
    WholeUpdate,
    advance,
    compose_update,
    list_changes,
)
from persimmonferry_core.schema import TeamDocument
from persimmonferry_core.topology import VM
from persimmonferry_wire import PeerClient, PeerRequestFailed, PeerRoute
from persimmonferry_wire.generated.configuration.ttypes import (
    RevisionQuery,
    RevisionReply,
    RevisionUpdate,
)

from persimmonferry_daemon.counted_platform import CountedPlatform
from persimmonferry_daemon.documents import Applied, DocumentRecord, Proposal
from persimmonferry_daemon.revision_messages import (
    decode_head,
    read_update,
    write_update,
)

__all__ = ["ConfigurationReplicator"]

_log = logging.getLogger(__name__)

UPDATE_PATH = "/peer/configuration/update"
QUERY_PATH = "/peer/configuration/query"

ASK_TIMEOUT_S = 0.5
WATCH_WAIT_S = 30.0
WATCHER_CHECK_S = 1.0
ANTI_ENTROPY_INTERVAL_S = 1.0
STARTUP_INTERVAL_S = 0.2
SUSPICION_S = 10.0
CANCEL_WAIT_S = 0.1
FIRST_BACKOFF_S = 0.25
MAX_BACKOFF_S = 2.0
STARTUP_PEERS = 5
MAX_EXCHANGES = 3
MAX_REVISION = 2**62
NO_REVISION = 0
OTHER_TEAM = -1


class ConfigurationReplicator:
    """
    The replica of the document in one process; its revision never decreases.

    Two processes of each failure domain watch the platform. They send a change down a
    tree of the domain's processes, and to other domains; anti-entropy with random
    peers repairs what the tree missed.

    :param own: this process.
    :param list_peers: returns the VM list as last read by this process.
    :param seed: of the jitter and of the choice of peers.
    """

    def __init__(
        self,
        platform: Platform,
        peers: PeerClient,
        own: Member,
        team: str,
        list_peers: Callable[[], tuple[VM, ...]],
        seed: int | None = None,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self.own = own
        self.team = team
        self.document: TeamDocument | None = None
        self.platform = CountedPlatform(platform)
        self.record = DocumentRecord(self.platform, team, sleep)
        self.on_change: list[Callable[[TeamDocument], None]] = []
        self.messages_sent = 0
        self._replica = Replica()
        self._peers = peers
        self._list_peers = list_peers
        self._random = random.Random(seed)
        self._clock = clock
        self._sleep = sleep
        self._tasks: set[asyncio.Task] = set()
        self._suspected: dict[str, float] = {}
        self._updating: set[str] = set()
        self._vms: tuple[VM, ...] | None = None
        self._members: Members | None = None

    @property
    def revision(self) -> int:
        """The newest revision that this process holds; 0 before it has one."""
        return self._replica.revision

    @property
    def text(self) -> str:
        """The document's text at that revision."""
        return self._replica.text

    @property
    def routes(self) -> tuple[PeerRoute, ...]:
        """The messages that peers send to this process."""
        return (
            PeerRoute(UPDATE_PATH, RevisionUpdate, self._answer_update),
            PeerRoute(QUERY_PATH, RevisionQuery, self._answer_query),
        )

    @property
    def is_watcher(self) -> bool:
        """Whether this process watches the platform."""
        return self._find_members().is_watcher(self._list_suspected())

    def start(self) -> None:
        """Start replicating the document."""
        self._spawn(self._start_up())

    async def stop(self) -> None:
        """Stop replicating the document; the one in force stays in force."""
        # asyncio.wait_for loses a cancellation that comes together with its result, so
        # that one round of cancelling may not end every task.
        while self._tasks:
            for task in self._tasks:
                task.cancel()
            await asyncio.wait(self._tasks, timeout=CANCEL_WAIT_S)

    async def apply(self, proposal: Proposal) -> Applied:
        """
        Submit a changed document, and put it in force in this process.

        :raises FerryError: as ``DocumentRecord.apply``.
        """
        applied = await self.record.apply(proposal)
        if isinstance(
            self._apply_update(applied.accepted.changes, from_tree=False), Gap
        ):
            self._apply_update(applied.accepted.whole, from_tree=False)
        return applied

    # Watching the platform.

    async def _start_up(self) -> None:
        await self._fetch_newest()
        self._spawn(self._watch_forever())
        self._spawn(self._run_anti_entropy())

    async def _watch_forever(self) -> None:
        failures = 0
        while True:
            if not self.is_watcher:
                await self._sleep(WATCHER_CHECK_S * self._random.uniform(0.5, 1.5))
                continue
            try:
                await self._watch_once()
                failures = 0
            except PlatformError as error:
                _log.info("the platform is unreachable: %s", error)
                await self._sleep(self._choose_backoff(failures))
                failures += 1

    async def _watch_once(self) -> None:
        key = self.record.key
        value = await self.platform.watch(key, self.revision, WATCH_WAIT_S)
        if value is not None and value.revision > self.revision:
            await self._apply_head(value)

    async def _apply_head(self, value: Versioned) -> None:
        try:
            head = decode_head(value.value)
        except ValueError as error:
            raise PlatformUnavailable("the document's value is corrupt") from error
        update = ChangesUpdate(head.base, list_changes(head, value.revision))
        if isinstance(self._apply_update(update, from_tree=False), Gap):
            accepted = await self.record.read()
            self._apply_update(accepted.whole, from_tree=False)

    def _choose_backoff(self, failures: int) -> float:
        # Jitter over nearly the whole delay, so that the watchers of all failure
        # domains don't call at the same time when the platform recovers.
        longest = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**failures)
        return self._random.uniform(0.1 * longest, longest)

    # Anti-entropy with peers.

    async def _fetch_newest(self) -> None:
        members = self._find_members()
        chosen = {choose_peer(members, self._random) for _ in range(STARTUP_PEERS)}
        peers = sorted(chosen - {None}, key=lambda peer: peer.name)
        queries = (self._query(peer, MAX_REVISION) for peer in peers)
        replies = await asyncio.gather(*queries)
        pairs = zip(replies, peers, strict=True)
        answers = [(reply.revision, peer) for reply, peer in pairs if reply]
        for revision, peer in sorted(answers, key=lambda item: -item[0]):
            if revision <= self.revision:
                return
            await self._synchronize(peer)

    async def _run_anti_entropy(self) -> None:
        while True:
            longest = ANTI_ENTROPY_INTERVAL_S if self.revision else STARTUP_INTERVAL_S
            await self._sleep(longest * self._random.uniform(0.5, 1.5))
            peer = choose_peer(self._find_members(), self._random)
            if peer is not None:
                await self._synchronize(peer)

    async def _synchronize(self, peer: Member) -> None:
        reply = await self._query(peer, self.revision)
        if reply is None:
            return
        if isinstance(self._apply_message(reply.update, from_tree=False), Gap):
            reply = await self._query(peer, NO_REVISION)
            self._apply_message(reply and reply.update, from_tree=False)
        elif reply.revision < self.revision:
            await self._update_peer(peer, reply.revision)

    async def _query(self, peer: Member, revision: int) -> RevisionReply | None:
        message = RevisionQuery(self.team, revision, self.own.name)
        return await self._ask(peer, QUERY_PATH, message)

    async def _ask(self, peer: Member, path: str, message: Any) -> RevisionReply | None:
        self.messages_sent += 1
        try:
            reply = await self._peers.ask(
                peer.url + path, message, RevisionReply, ASK_TIMEOUT_S
            )
        except PeerRequestFailed as error:
            _log.info("peer %s is unreachable: %s", peer.name, error)
            reply = None
        # The address may have been reassigned to a VM of another team.
        if reply is None or reply.revision == OTHER_TEAM:
            self._suspected[peer.name] = self._clock() + SUSPICION_S
            return None
        self._suspected.pop(peer.name, None)
        return reply

    # Propagating changes.

    def _apply_message(
        self, message: RevisionUpdate | None, *, from_tree: bool
    ) -> AdvanceResult:
        if message is None:
            return Unchanged()
        try:
            update = read_update(message)
        except ValueError as error:
            _log.warning("malformed update of the document: %s", error)
            return Unchanged()
        return self._apply_update(update, from_tree=from_tree)

    def _apply_update(
        self, update: ChangesUpdate | WholeUpdate, *, from_tree: bool
    ) -> AdvanceResult:
        outcome = advance(self._replica, update)
        match outcome:
            case Advanced(replica):
                before = self._replica.revision
                self._replica = replica
                self._activate()
                self._propagate(before, from_tree=from_tree)
        return outcome

    def _activate(self) -> None:
        try:
            document = parse_document(self.text, self.team, self.revision)
        except ConfigurationFaulty as error:
            # A newer release accepted it: it is propagated, and the earlier document
            # stays in force in this process.
            _log.error("revision %d cannot be parsed: %s", self.revision, error)
            return
        self.document = document
        for notify in self.on_change:
            notify(document)

    def _propagate(self, before: int, *, from_tree: bool) -> None:
        members = self._find_members()
        targets: list[Branch | RemoteDomain] = [*members.list_children()]
        if self.is_watcher:
            # Other domains update only one watcher, and the platform may be down.
            targets += [*members.list_roots(), *members.list_remote_domains()]
        elif not from_tree:
            targets += members.list_roots()
        for target in targets:
            self._spawn(self._update_target(target, before))

    async def _update_target(self, target: Branch | RemoteDomain, before: int) -> None:
        match target:
            case Branch(member, children):
                if not self._is_suspected(member) and await self._update_peer(
                    member, before
                ):
                    return
                for child in children:
                    self._spawn(self._update_target(child, before))
            case RemoteDomain(members):
                for member in members:
                    if not self._is_suspected(member) and await self._update_peer(
                        member, before
                    ):
                        return

    async def _update_peer(self, peer: Member, before: int) -> bool:
        """Send a peer the newest revision; return whether the peer was reachable."""
        if peer.name in self._updating:
            # Another task updates the peer, and ends when it has the newest revision.
            return True
        self._updating.add(peer.name)
        try:
            return await self._send_updates(peer, before)
        finally:
            self._updating.discard(peer.name)

    async def _send_updates(self, peer: Member, known: int) -> bool:
        for _ in range(MAX_EXCHANGES):
            update = compose_update(self._replica, known)
            if update is None:
                return True
            message = write_update(self.team, update)
            message.sender = self.own.name
            reply = await self._ask(peer, UPDATE_PATH, message)
            if reply is None:
                return False
            self._apply_message(reply.update, from_tree=False)
            known = reply.revision
        return True

    # Replying to peers.

    async def _answer_update(self, message: RevisionUpdate) -> RevisionReply:
        if message.team != self.team:
            return RevisionReply(OTHER_TEAM)
        self._suspected.pop(message.sender, None)
        if isinstance(self._apply_message(message, from_tree=True), Gap):
            # Whatever caused the gap, the whole text closes it.
            return RevisionReply(NO_REVISION)
        sent = message.last or message.changes[-1]
        return self._make_reply(sent.revision)

    async def _answer_query(self, message: RevisionQuery) -> RevisionReply:
        if message.team != self.team:
            return RevisionReply(OTHER_TEAM)
        self._suspected.pop(message.sender, None)
        return self._make_reply(message.revision)

    def _make_reply(self, known: int) -> RevisionReply:
        update = compose_update(self._replica, known)
        return RevisionReply(self.revision, write_update(self.team, update))

    # The process's view of its peers.

    def _find_members(self) -> Members:
        vms = self._list_peers()
        if self._members is None or vms != self._vms:
            self._vms = vms
            self._members = rank_members(self.own, vms, self.team)
        return self._members

    def _is_suspected(self, member: Member) -> bool:
        return self._suspected.get(member.name, 0.0) > self._clock()

    def _list_suspected(self) -> frozenset[str]:
        now = self._clock()
        self._suspected = {
            name: until for name, until in self._suspected.items() if until > now
        }
        return frozenset(self._suspected)

    def _spawn(self, work: Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finish)

    def _finish(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error("document replication failed", exc_info=task.exception())
