"""Brings engines to the wanted weights, while this gateway holds the duty."""

import asyncio
import logging

from persimmonferry_adapters.exchange import Loss, Request, Reuse, exchange
from persimmonferry_core.deployment import UpstreamRecord
from persimmonferry_core.rollout import WeightOrder

from persimmonferry_gateway.duty import Duty, Holding, read_boot_clock
from persimmonferry_gateway.exchange import CancellableClient
from persimmonferry_gateway.interfaces import Dialect, OrderOutcome
from persimmonferry_gateway.roster import Roster
from persimmonferry_gateway.settings import GatewaySettings

__all__ = ["WeightRollout"]

ORDER_TIMEOUT_S = 1.0
# An engine that has not shown the wanted weights this long after an order is asked
# again: the order may be lost, or be carried out seconds late.
LOAD_TIMEOUT_S = 8.0
CHECK_INTERVAL_S = 0.1
MAX_LOADING_SHARE = 1 / 3

_log = logging.getLogger(__name__)


class WeightRollout:
    """Gives the orders for new weights, a few engines at a time."""

    def __init__(
        self,
        duty: Duty,
        roster: Roster,
        dialect: Dialect,
        client: CancellableClient,
        settings: GatewaySettings,
    ) -> None:
        self._duty = duty
        self._roster = roster
        self._dialect = dialect
        self._client = client
        self._settings = settings
        self._ordered: dict[str, tuple[int, float]] = {}
        self._news = asyncio.Event()
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Begin to look for engines that hold other weights."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Give no more orders."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def wake(self) -> None:
        """Look again now."""
        self._news.set()

    async def _run(self) -> None:
        while True:
            try:
                await self._step()
            except Exception:
                _log.exception("rollout step failed")
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _step(self) -> None:
        now = read_boot_clock()
        holding = self._duty.find_holding(now)
        if holding is None or now < holding.since_s + self._settings.lease_s:
            return
        for model, version in tuple(self._roster.weights.items()):
            await self._order_some(holding, model, version)

    async def _order_some(self, holding: Holding, model: str, version: int) -> None:
        engines = self._roster.list_engines(model)
        behind = [
            item
            for item in engines
            if (self._roster.find_version(item.name) or 0) < version
            and not item.is_leaving
        ]
        now = read_boot_clock()
        loading = [item for item in behind if self._is_loading(item, version, now)]
        room = max(1, round(MAX_LOADING_SHARE * len(engines))) - len(loading)
        orders = [
            self._give_order(holding, item, model, version)
            for item in behind
            if item not in loading
        ]
        for order in orders[max(0, room) :]:
            order.close()
        if room > 0:
            await asyncio.gather(*orders[:room])

    def _is_loading(self, record: UpstreamRecord, version: int, now: float) -> bool:
        ordered = self._ordered.get(record.name)
        if ordered is None or ordered[0] != version:
            return False
        return now < ordered[1] + LOAD_TIMEOUT_S

    async def _give_order(
        self, holding: Holding, record: UpstreamRecord, model: str, version: int
    ) -> None:
        if self._duty.find_holding(read_boot_clock()) is None:
            return
        self._ordered[record.name] = (version, read_boot_clock())
        order = WeightOrder(model, version, self._settings.name, holding.fence)
        outcome = await self._send(record, order)
        extra = {
            "upstream": record.name,
            "model": model,
            "version": version,
            "fence": holding.fence,
            "accepted": outcome.is_accepted,
        }
        _log.info("weights ordered", extra=extra)
        if outcome.is_fenced_off:
            self._duty.resign()
        if outcome.is_accepted is False:
            self._ordered.pop(record.name, None)

    async def _send(self, record: UpstreamRecord, order: WeightOrder) -> OrderOutcome:
        path, content_type, body = self._dialect.encode_order(order)
        request = Request(
            f"http://{record.address}{path}",
            method="POST",
            body=body,
            content_type=content_type,
            headers=dict(self._dialect.name_upstream(record.name)),
            reuse=Reuse.NEVER,
            timeout_s=ORDER_TIMEOUT_S,
        )
        result = await exchange(self._client, request)
        if isinstance(result, Loss):
            return OrderOutcome(is_accepted=None if request.sent else False)
        return self._dialect.decode_order_outcome(result.code)
