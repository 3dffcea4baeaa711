"""Rolls the wanted weights out to the engines while this gateway is the leader."""

import asyncio
import logging
import sys
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from persimmonferry_adapters.http_client import (
    MAX_SHORT_RESPONSE_BYTES,
    ConnectionReuse,
    Request,
    RequestFailure,
    fetch_complete,
)
from persimmonferry_core.deployment import UpstreamRecord
from persimmonferry_core.weight_orders import (
    EngineState,
    WeightOrder,
    choose_loads,
    is_loading,
    is_order_lost,
)
from persimmonferry_daemon.periodic import BackgroundTask

from persimmonferry_gateway.clocks import read_boot_clock
from persimmonferry_gateway.cluster_state import ClusterState
from persimmonferry_gateway.interfaces import Codec, OrderOutcome
from persimmonferry_gateway.leadership import LeaderElection, Leadership
from persimmonferry_gateway.probes import Prober
from persimmonferry_gateway.settings import GatewaySettings
from persimmonferry_gateway.stores import StoreWatch
from persimmonferry_gateway.upstream_client import CancellableClient

__all__ = ["WeightRollout"]

ORDER_CALL_TIMEOUT_S = 1.0
CHECK_INTERVAL_S = 0.15
# Time between announcing which engines will load and ordering them to: prompts that
# other gateways had already sent reach the engine before the order does.
ANNOUNCE_DELAY_S = 0.12

# Parts of replaced weights are freed this long after newer weights were wanted. By then
# no gateway names them and the last fetch has ended: a gateway names parts only if the
# registry responded within the last 3 s, stops REPLACED_READ_GRACE_S after it received
# the newer version, and limits each fetch to 2 s.
OBSOLETE_AFTER_S = 9.0
FREE_INTERVAL_S = 1.0

_log = logging.getLogger(__name__)


@dataclass
class _SentOrder:
    """
    An order that was sent to an engine.

    :param incarnation: of the engine, which loses all orders when it restarts.
    :param accepted_before: orders that the engine had accepted before this one, None
        when it did not report the number.
    """

    version: int
    sent_s: float
    incarnation: int
    accepted_before: int | None


class WeightRollout:
    """
    Orders engines to load new weights, a few engines at a time.

    :param find_last_loading: returns when another gateway last announced loading
        engines, on the boot clock.
    :param announce_loading: notifies all gateways which engines take no prompts while
        they load.
    :param count_held: returns the number of tokens in an engine's cache.
    """

    def __init__(
        self,
        election: LeaderElection,
        cluster: ClusterState,
        codec: Codec,
        client: CancellableClient,
        settings: GatewaySettings,
        find_last_loading: Callable[[], float],
        announce_loading: Callable[..., None],
        count_held: Callable[[str], int],
        prober: Prober,
        stores: StoreWatch,
        read_clock: Callable[[], float],
    ) -> None:
        self._prober = prober
        self._stores = stores
        self._wanted_since: dict[tuple[str, int], float] = {}
        self._freed_s = 0.0
        self._election = election
        self._cluster = cluster
        self._codec = codec
        self._client = client
        self._settings = settings
        self._find_last_loading = find_last_loading
        self._announce_loading = announce_loading
        self._count_held = count_held
        self._read_clock = read_clock
        self._orders: dict[str, _SentOrder] = {}
        # The last order to each engine, including orders that are considered lost.
        self._last_orders: dict[str, _SentOrder] = {}
        self._observed_versions: dict[str, int] = {}
        self._background = BackgroundTask(self._run)

    def start(self) -> None:
        """Start looking for engines that hold replaced weights."""
        self._background.start()

    async def stop(self) -> None:
        """Stop ordering engines to load weights."""
        await self._background.stop()

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply changed settings."""
        self._settings = settings

    async def _run(self) -> None:
        while True:
            try:
                await self._step()
            except Exception:
                _log.exception("weight rollout step failed")
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _step(self) -> None:
        now = read_boot_clock()
        leadership = self._election.find_leadership(now)
        if leadership is None:
            self._orders.clear()
            self._last_orders.clear()
            self._observed_versions.clear()
            self._announce_loading(frozenset(), {}, is_leader=False)
            return
        paused: set[str] = set()
        for model, version in tuple(self._cluster.weights.items()):
            paused |= await self._roll_out_model(leadership, model, version)
        self._announce_loading(
            frozenset(paused), dict(self._observed_versions), is_leader=True
        )
        await self._free_obsolete(now)

    async def _free_obsolete(self, now: float) -> None:
        """Free the stored parts of weights that no gateway may name any more."""
        newest = 0
        for item in self._cluster.weights.items():
            since_s = self._wanted_since.setdefault(item, now)
            if now >= since_s + OBSOLETE_AFTER_S:
                newest = max(newest, item[1])
        if not newest or now < self._freed_s + FREE_INTERVAL_S:
            return
        self._freed_s = now
        await self._stores.free_obsolete(lambda name: _read_version(name) < newest)

    async def _roll_out_model(
        self, leadership: Leadership, model: str, version: int
    ) -> frozenset[str]:
        """Send the orders that are due and return the engines that are loading."""
        records = {
            item.name: item
            for item in self._cluster.list_engines(model)
            if not self._cluster.is_leaving(item)
        }
        self._drop_former_starts(records.values())
        await self._probe_loading(records, model)
        now = read_boot_clock()
        states = [self._make_state(item, version) for item in records.values()]
        chosen: tuple[str, ...] = ()
        if now >= self._find_first_order_time(leadership):
            chosen = choose_loads(states, version, now)
        loading = {state.name for state in states if is_loading(state, now)}
        if chosen:
            paused = frozenset(loading | set(chosen))
            self._announce_loading(
                paused, dict(self._observed_versions), is_leader=True
            )
            await asyncio.sleep(ANNOUNCE_DELAY_S)
            await asyncio.gather(
                *(
                    self._order_weights(leadership, records[name], model, version)
                    for name in chosen
                )
            )
        return frozenset(loading | set(chosen))

    def _drop_former_starts(self, records: Iterable[UpstreamRecord]) -> None:
        """Drop the orders to engines that have restarted since."""
        for record in records:
            for orders in (self._orders, self._last_orders):
                order = orders.get(record.name)
                if order is not None and order.incarnation != record.incarnation:
                    del orders[record.name]

    def _find_first_order_time(self, leadership: Leadership) -> float:
        """
        Return when this leader may send its first order, on the boot clock.

        Engines that don't check fencing tokens always need ``leader_change_s`` between
        the orders of two leaders. Engines that do need it only after the previous
        leader's last announcement of loading engines.
        """
        leader_change_s = self._settings.leader_change_s
        if not self._settings.are_orders_fenced:
            return leadership.since_s + leader_change_s
        return max(leadership.since_s, self._find_last_loading() + leader_change_s)

    def _make_state(self, record: UpstreamRecord, wanted: int) -> EngineState:
        order = self._orders.get(record.name)
        last = self._last_orders.get(record.name)
        is_asked = last is not None and last.version == wanted
        return EngineState(
            record.name,
            self._cluster.find_version(record.name) or 0,
            order.version if order else 0,
            order.sent_s if order else 0.0,
            self._count_held(record.name),
            last.sent_s if is_asked else float("-inf"),
        )

    async def _probe_loading(
        self, records: dict[str, UpstreamRecord], model: str
    ) -> None:
        """Ask the engines that have an order whether they have loaded the weights."""
        loading = [
            record
            for name, record in records.items()
            if name in self._orders
            and (self._cluster.find_version(name) or 0) < self._orders[name].version
        ]
        reports = await asyncio.gather(
            *(self._prober.ask(record) for record in loading)
        )
        now = read_boot_clock()
        for record, report in zip(loading, reports, strict=True):
            if report is None:
                continue
            version = dict(report.versions).get(model)
            if version is not None and not report.is_busy:
                self._observed_versions[record.name] = version
                self._cluster.record_version(record.name, version, self._read_clock())
            order = self._orders[record.name]
            if is_order_lost(
                now - order.sent_s,
                order.accepted_before,
                report.accepted_orders,
                busy=report.is_busy,
            ):
                del self._orders[record.name]

    async def _order_weights(
        self, leadership: Leadership, record: UpstreamRecord, model: str, version: int
    ) -> None:
        before = await self._prober.ask(record)
        if self._election.find_leadership(read_boot_clock()) is None:
            return
        expected = before.accepted_orders if before else None
        sent_order = _SentOrder(
            version, read_boot_clock(), record.incarnation, expected
        )
        self._orders[record.name] = sent_order
        self._record_last_order(record.name, sent_order)
        order = WeightOrder(
            model, version, self._settings.name, leadership.fence, expected
        )
        outcome = await self._post_order(record, order)
        _log.info(
            "weights ordered",
            extra={
                "upstream": record.name,
                "model": model,
                "version": version,
                "fence": leadership.fence,
                "accepted": outcome.is_accepted,
            },
        )
        if outcome.is_fenced_off:
            self._election.resign()
        if outcome.is_accepted is False:
            self._orders.pop(record.name, None)

    def _record_last_order(self, name: str, order: _SentOrder) -> None:
        """Record an engine's last order, and drop those of removed engines."""
        known = self._last_orders.items()
        kept = {item: last for item, last in known if self._cluster.find_record(item)}
        self._last_orders = {**kept, name: order}

    async def _post_order(
        self, record: UpstreamRecord, order: WeightOrder
    ) -> OrderOutcome:
        path, content_type, body = self._codec.encode_order(order)
        request = Request(
            f"http://{record.address}{path}",
            method="POST",
            body=body,
            content_type=content_type,
            headers=dict(self._codec.encode_expected_upstream(record.name)),
            reuse=ConnectionReuse.NEVER,
            timeout_s=ORDER_CALL_TIMEOUT_S,
            max_response_bytes=MAX_SHORT_RESPONSE_BYTES,
        )
        result = await fetch_complete(self._client, request)
        if isinstance(result, RequestFailure):
            return OrderOutcome(is_accepted=None if request.sent else False)
        return self._codec.decode_order_outcome(result.code)


def _read_version(name: str) -> int:
    """
    Return the version of the weights of a stored part.

    >>> _read_version("3/5c1e"), _read_version("4.bozi/5c1e")
    (3, 4)
    """
    version = name.partition("/")[0].partition(".")[0]
    # A name without a version was not stored by a gateway, so its part is never freed.
    return int(version) if version.isdecimal() else sys.maxsize
