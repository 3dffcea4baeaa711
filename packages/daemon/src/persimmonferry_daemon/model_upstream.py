"""The agent's part for a model engine: runs, cache blocks, weights and load."""

import time
import uuid
from collections.abc import Mapping

from persimmonferry_adapters import HttpEngine, HttpStore
from persimmonferry_core.interfaces import Platform, Store
from persimmonferry_core.runs import EngineLoad, LoadVersion
from persimmonferry_core.schema import RoutingWeights, Service
from persimmonferry_core.settings import AgentSettings, ProcessSettings
from persimmonferry_core.topology import FailureDomain, Role, VMState
from persimmonferry_wire import PeerRoute
from persimmonferry_wire.generated.membership.ttypes import CacheReport, LoadReport
from persimmonferry_wire.generated.runs.ttypes import (
    Acknowledgement,
    AnswerQuery,
    CancelRequest,
)
from tornado.httpclient import AsyncHTTPClient

from persimmonferry_daemon.block_transfers import BlockTransferManager
from persimmonferry_daemon.configuration import ConfigurationReplicator
from persimmonferry_daemon.drain import DrainGate, LoadDrainGate
from persimmonferry_daemon.engine_runs import EngineRuns, RunHandler
from persimmonferry_daemon.load_poller import LoadPoller
from persimmonferry_daemon.order_tracking import OrderTrackingEngine
from persimmonferry_daemon.paths import ANSWER_PATH, CANCEL_PATH, RUN_PATH
from persimmonferry_daemon.vms import VMListPoller
from persimmonferry_daemon.weights import WeightLoader

__all__ = ["ModelUpstream"]

EXPORT_GRACE_S = 5.0


class ModelUpstream:
    """
    Manages the runs of one engine, its cache blocks, its weights and its load.

    :param configuration: provides the model and version specified for the service.
    """

    def __init__(
        self,
        client: AsyncHTTPClient,
        platform: Platform,
        settings: ProcessSettings,
        gate: DrainGate,
        vms: VMListPoller,
        configuration: ConfigurationReplicator,
    ) -> None:
        role: AgentSettings = settings.role
        self._client = client
        self._name = settings.name
        self._service_name = role.service
        self._failure_domain = settings.failure_domain
        self._vms = vms
        self._configuration = configuration
        self._reported: frozenset[str] = frozenset()
        holder = f"{settings.name}-{uuid.uuid4().hex}"
        engine = OrderTrackingEngine(
            HttpEngine(client, role.upstream_url), time.monotonic
        )
        self._load: LoadPoller[EngineLoad] = LoadPoller(engine.read_load)
        self._blocks = BlockTransferManager(
            engine,
            self._find_stores,
            platform,
            holder,
            f"{settings.team}/{settings.failure_domain.name}",
            self._find_weights,
            time.time,
            find_remote=self._find_stores_of,
        )
        self._weights = WeightLoader(
            engine,
            platform,
            LoadDrainGate(gate),
            holder,
            settings.name,
            settings.team,
            self._find_service,
            _read_boot_clock,
            self._list_engines,
        )
        self._runs = EngineRuns(
            engine,
            gate,
            self._blocks,
            self._find_held,
            lambda: self.describe_load().slots,
            time.time,
        )
        self.rules = [(RUN_PATH, RunHandler, {"runs": self._runs})]
        self.routes = (
            PeerRoute(ANSWER_PATH, AnswerQuery, self._answer_query),
            PeerRoute(CANCEL_PATH, CancelRequest, self._answer_cancel),
        )

    @property
    def model(self) -> str:
        """The model that the engine has loaded; empty when it does not respond."""
        load = self._load.latest
        return load.model if load else ""

    @property
    def version(self) -> str:
        """The weight version that new runs use; empty while none can start."""
        load = self._load.latest
        return load.version if load and not load.loading else ""

    @property
    def is_ready(self) -> bool:
        """Whether the engine responds and can start runs."""
        return bool(self.version)

    async def start(self) -> None:
        """Start the background work."""
        await self._load.start()
        self._blocks.start()
        self._weights.start()
        self._runs.start()

    async def stop(self) -> None:
        """Stop the background work; queued exports may take ``EXPORT_GRACE_S``."""
        await self._runs.stop()
        await self._weights.close()
        await self._blocks.close(EXPORT_GRACE_S)
        await self._load.stop()

    def describe_load(self) -> LoadReport:
        """Return the newest load in the form reported to entries."""
        load = self._load.latest
        if load is None:
            return LoadReport(0, 0, 0, 0, 0.0, 0.0)
        return LoadReport(
            load.running,
            load.waiting,
            load.waiting_prefill_tokens,
            load.slots,
            load.prefill_tokens_per_s,
            load.decode_tokens_per_s,
        )

    def describe_cache(self, *, whole: bool) -> CacheReport:
        """Return the cached blocks: all, or the changes since the last call."""
        held = self._blocks.cached_blocks.list_names()
        if whole:
            return CacheReport(sorted(held), [], True)
        stored = held - self._reported
        removed = self._reported - held
        self._reported = held
        return CacheReport(sorted(stored), sorted(removed), False)

    def _find_service(self) -> Service | None:
        document = self._configuration.document
        return document.find_service(self._service_name) if document else None

    def _list_engines(self) -> tuple[str, ...]:
        """Return the names of all upstreams that may load weights, with this one."""
        names = {vm.name for vm in self._vms.list_role(Role.UPSTREAM)}
        return tuple(sorted(names | {self._name}))

    def _find_weights(self) -> RoutingWeights:
        service = self._find_service()
        return service.weights if service else RoutingWeights()

    def _find_held(self) -> LoadVersion:
        return LoadVersion(self.model, self.version)

    def _find_stores(self) -> Mapping[str, Store]:
        """Return the stores of this failure domain."""
        return self._find_stores_of(self._failure_domain.name)

    def _find_stores_of(self, domain: str) -> Mapping[str, Store]:
        """Return the stores of a failure domain of this region."""
        region = self._failure_domain.region
        return {
            vm.name: HttpStore(self._client, vm.address.url)
            for vm in self._vms.list_role(Role.STORE)
            if vm.state is VMState.LIVE
            and vm.failure_domain == FailureDomain(region, domain)
        }

    async def _answer_query(self, query: AnswerQuery) -> Acknowledgement:
        return Acknowledgement(self._runs.has_answer(query.answer_key))

    async def _answer_cancel(self, request: CancelRequest) -> Acknowledgement:
        return Acknowledgement(await self._runs.cancel(request.run_id))


def _read_boot_clock() -> float:
    """Return the seconds since boot, with those in which the VM was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
