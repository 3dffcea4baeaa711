"""The entry: accepts callers' requests, chooses where each runs, and responds."""

import asyncio
import logging
import random
import time
import uuid

from persimmonferry_adapters import HttpPlatform, HttpVMList
from persimmonferry_core.dispatch import Dispatcher
from persimmonferry_core.dissemination import Member
from persimmonferry_core.exceptions import PlatformError
from persimmonferry_core.schema import TeamDocument
from persimmonferry_core.settings import EntrySettings, ProcessSettings
from persimmonferry_core.topology import Role
from persimmonferry_core.usage import UsageLine
from persimmonferry_wire import PeerClient
from tornado.httpclient import AsyncHTTPClient

from persimmonferry_daemon.administration import (
    Administration,
    UsageRow,
    administration_routes,
)
from persimmonferry_daemon.agent_client import AgentClient
from persimmonferry_daemon.agents import PlainAgents
from persimmonferry_daemon.calls import CallDispatcher
from persimmonferry_daemon.claims import ClaimJournal, EntryPeer
from persimmonferry_daemon.configuration import ConfigurationReplicator
from persimmonferry_daemon.drain import CloseReason, DrainGate
from persimmonferry_daemon.edge import Edge
from persimmonferry_daemon.histograms import Histograms
from persimmonferry_daemon.ledgers import LedgerWriter
from persimmonferry_daemon.limit_loans import LimitLoans
from persimmonferry_daemon.periodic import PeriodicTask
from persimmonferry_daemon.prompt_service import PromptService
from persimmonferry_daemon.scheduling import Scheduler
from persimmonferry_daemon.servers import Listener, list_peer_rules
from persimmonferry_daemon.upstream_directory import UpstreamDirectory
from persimmonferry_daemon.vms import VMListPoller

__all__ = ["Entry"]

REFRESH_INTERVAL_S = 1.0
BODY_CHECK_INTERVAL_S = 0.25
# Of a request to a page that takes no body.
MAX_IGNORED_BODY_BYTES = 1024
# Receive buffer of a caller's connection in the kernel, where a body waits for room.
RECEIVE_BUFFER_BYTES = 16 * 1024
FIRST_REPORTS_TIMEOUT_S = 3.0

_log = logging.getLogger(__name__)


class Entry:
    """
    One entry process; owns all of its parts.

    :param settings: with the role of an entry.
    :param client: HTTP client for all calls of this process.
    """

    def __init__(self, settings: ProcessSettings, client: AsyncHTTPClient) -> None:
        self._settings = settings
        self._role: EntrySettings = settings.role
        self._gate = DrainGate(settings.name)
        self._is_stopping = False
        self._started_at = time.monotonic()
        self._histograms = Histograms()
        self._peers = PeerClient(client)
        self._vms = VMListPoller(HttpVMList(client, settings.vm_list_url))
        platform = HttpPlatform(client, settings.platform_url)
        # Created first, since other parts need its address.
        self._peer_listener = Listener(settings.peers, lambda: self.is_ready)
        self._identity = EntryPeer(settings.name, self._peer_listener.address)
        self._configuration = ConfigurationReplicator(
            platform,
            self._peers,
            Member(settings.name, self._identity.address.url, settings.failure_domain),
            settings.team,
            self._vms.list_vms,
        )
        self._dispatcher = Dispatcher(
            _make_empty_document(settings),
            seed=random.getrandbits(32),
            entry=settings.name,
            incarnation=int(time.time()),
        )
        self._scheduler = Scheduler(self._dispatcher, time.monotonic)
        self._configuration.on_change.append(self._configure)
        self._upstreams = UpstreamDirectory(
            self._scheduler,
            self._peers,
            self._vms,
            time.monotonic,
            lambda: self._configuration.revision,
        )
        agents = AgentClient(client, self._peers)
        self._claims = ClaimJournal(
            platform, self._peers, self._identity, self._list_entries, time.time
        )
        self._limit_shares = LimitLoans(
            self._dispatcher.limits, self._peers, self._list_entries, time.monotonic
        )
        self._usage_lines: tuple[UsageLine, ...] = ()
        self._ledger = LedgerWriter(
            self._dispatcher.usage,
            platform,
            settings.team,
            settings.name,
            count_writers=lambda: len(self._list_entries()),
        )
        self._edge = self._build_edge(agents)
        self._caller_listener = Listener(
            self._role.callers,
            lambda: self.is_ready,
            MAX_IGNORED_BODY_BYTES,
            RECEIVE_BUFFER_BYTES,
        )
        self._checking = PeriodicTask(self._check_bodies, lambda: BODY_CHECK_INTERVAL_S)
        self._refreshing = PeriodicTask(self._refresh, lambda: REFRESH_INTERVAL_S)

    @property
    def is_ready(self) -> bool:
        """
        Whether the platform's load balancer should send callers here.

        A new entry waits for reports of upstreams of every service, but for
        ``FIRST_REPORTS_TIMEOUT_S`` at most: then callers should rather receive an error
        with a result code.
        """
        document = self._configuration.document
        if self._gate.closed or self._is_stopping or document is None:
            return False
        if self._vms.is_leaving(self._settings.name):
            return False
        if time.monotonic() - self._started_at > FIRST_REPORTS_TIMEOUT_S:
            return True
        known = {item.report.service for item in self._upstreams.list_all()}
        return known >= {service.name for service in document.services}

    def describe_addresses(self) -> str:
        """Return the line with the addresses on which the process listens."""
        peers = self._peer_listener.address
        callers = self._caller_listener.address
        return f"listening peers={peers} callers={callers}"

    async def start(self) -> None:
        """Read the state from the platform and the agents, and start serving."""
        await self._vms.start()
        self._peer_listener.start(self._list_peer_rules())
        self._configuration.start()
        await self._upstreams.start(self._peer_listener.address)
        await self._refresh()
        self._refreshing.start()
        self._checking.start()
        self._limit_shares.start()
        self._ledger.start()
        self._caller_listener.start(self._edge.rules)
        _log.info(
            "entry started", extra={"callers": str(self._caller_listener.address)}
        )

    async def drain(self) -> None:
        """Refuse new work on an operator's request; work in progress continues."""
        self._gate.close(CloseReason.DRAINED)

    async def undrain(self) -> None:
        """Accept new work again."""
        self._gate.open(CloseReason.DRAINED)

    async def stop(self) -> None:
        """
        Stop gracefully: become unready first, and complete the requests in progress.

        New requests are accepted for ``readiness_grace_s``, since the load balancer
        notices the change late.
        """
        _log.info("entry stopping", extra={"under_way": self._gate.count})
        self._is_stopping = True
        await asyncio.sleep(self._role.readiness_grace_s)
        self._caller_listener.stop()
        self._gate.close(CloseReason.STOPPING)
        await self._gate.wait_idle()
        await self._claims.close()
        await self._limit_shares.stop()
        await self._ledger.stop()
        await self._stop_parts()
        _log.info("entry stopped")

    async def _stop_parts(self) -> None:
        await self._refreshing.stop()
        await self._checking.stop()
        await self._upstreams.stop()
        await self._configuration.stop()
        await self._vms.stop()
        self._peer_listener.stop()
        await self._caller_listener.close()
        await self._peer_listener.close()

    def _build_edge(self, agents: AgentClient) -> Edge:
        prompts = PromptService(
            self._read_document,
            self._scheduler,
            self._upstreams,
            agents,
            self._histograms,
        )
        plain_agents = PlainAgents(self._dispatcher, self._upstreams, agents)
        calls = CallDispatcher(
            self._claims, plain_agents, time.time, lambda: uuid.uuid4().hex
        )
        return Edge(
            self._read_document,
            self._gate,
            prompts,
            calls,
            self._histograms,
            self._role,
        )

    def _list_peer_rules(self) -> list[tuple]:
        routes = (
            *self._configuration.routes,
            *self._upstreams.routes,
            *self._claims.routes,
            *self._limit_shares.routes,
        )
        return [
            *list_peer_rules(routes),
            *administration_routes(self._describe_administration()),
        ]

    def _describe_administration(self) -> Administration:
        return Administration(
            configuration=self._configuration,
            role="entry",
            drain=self.drain,
            undrain=self.undrain,
            is_draining=lambda: self._gate.closed,
            list_histograms=self._histograms.list_rows,
            list_usage=self._list_usage,
            read_clock=time.time,
        )

    async def _list_usage(self) -> list[UsageRow]:
        """Return the day's usage over all entries; in an outage, as last read."""
        try:
            await self._ledger.write()
            self._usage_lines = await self._ledger.read_day()
        except PlatformError as error:
            _log.warning("usage not read", extra={"why": str(error)})
        return [
            UsageRow(
                line.account,
                line.tier,
                line.requests,
                line.computed_tokens + line.cached_tokens,
                line.cached_tokens,
                line.generated_tokens,
                round(line.price, 6),
            )
            for line in self._usage_lines
        ]

    def _configure(self, document: TeamDocument) -> None:
        self._dispatcher.configure(document, time.monotonic())
        self._upstreams.report_all()

    def _read_document(self) -> TeamDocument | None:
        return self._configuration.document

    def _list_entries(self) -> tuple[EntryPeer, ...]:
        """Return the entries of the VM list, and always this one."""
        listed = {
            EntryPeer(vm.name, vm.address) for vm in self._vms.list_role(Role.ENTRY)
        }
        return tuple(listed | {self._identity})

    async def _check_bodies(self) -> None:
        """Refuse the callers whose bodies make no progress or find no room."""
        self._edge.room.check(time.monotonic())

    async def _refresh(self) -> None:
        """Update the dispatcher from the VM list."""
        names = tuple(entry.name for entry in self._list_entries())
        self._dispatcher.set_entries(names)
        stores = self._vms.list_role(Role.STORE)
        domains = frozenset(vm.failure_domain.name for vm in stores)
        self._dispatcher.set_store_domains(domains)


def _make_empty_document(settings: ProcessSettings) -> TeamDocument:
    """Return a document without services, for the time before the first one."""
    return TeamDocument(settings.team, 0, (), (), (), ())
