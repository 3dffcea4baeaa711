"""Watches the store VMs that hold parts of prompts, and frees obsolete parts."""

import asyncio
import logging
import random
from collections.abc import Callable

from persimmonferry_adapters.http_client import (
    MAX_RESPONSE_BYTES,
    MAX_SHORT_RESPONSE_BYTES,
    ConnectionReuse,
    Request,
    RequestFailure,
    close_connection,
    fetch_complete,
)
from persimmonferry_core.cache_stores import (
    CacheStoreIndex,
    PartEvent,
    StoreUpdate,
    choose_watchers,
    group_stores,
)
from persimmonferry_core.deployment import CacheStore

from persimmonferry_gateway.clocks import ClockBounds, read_boot_clock
from persimmonferry_gateway.interfaces import Codec, StoreReport
from persimmonferry_gateway.upstream_client import CancellableClient

__all__ = ["StoreWatch"]

# Calls that wait at least 0.2 s cost the store nothing; with this wait, a view is
# confirmed before it expires.
EVENTS_WAIT_S = 0.4
EVENTS_PAUSE_S = 0.1
CALL_TIMEOUT_S = 0.6
RETRY_S = 0.4
# Some events are never sent; a new list contains the changes they would have reported.
RELIST_INTERVAL_S = 10.0
# For a store that other gateways watch: a list costs the store time, and all gateways
# request it.
RELAYED_RELIST_INTERVAL_S = 30.0
RELAYED_RETRY_S = 2.0
RELAYED_CHECK_S = 0.25
# Engines discard a fetch that takes longer, so a part may be freed this long after the
# last fetch that may name it.
MAX_FETCH_S = 2.0
FREE_BATCH_PARTS = 200

_log = logging.getLogger(__name__)


class StoreWatch:
    """
    Keeps the views of all stores up to date, on the boot clock.

    That clock advances while the process is suspended, so views are not mistaken for
    fresh afterwards. A store serves few calls at once, so in a large fleet some
    gateways watch its events and send them to the others, which only read its list
    from time to time.

    Answers don't state to which call they belong. Calls for events share a connection,
    as their answers contain the store's clock; every other call has its own.

    :param record_change: called with parts that became readable or ceased to be.
    :param name: of this gateway.
    :param list_gateways: returns the gateways that are alive, including this one.
    :param announce: called with each update from a store that this gateway watches.
    """

    def __init__(
        self,
        kept: CacheStoreIndex,
        codec: Codec,
        client: CancellableClient,
        record_change: Callable[[tuple[str, ...], bool], None],
        name: str,
        list_gateways: Callable[[], tuple[str, ...]],
        announce: Callable[[StoreUpdate], None],
    ) -> None:
        self._name = name
        self._list_gateways = list_gateways
        self._announce = announce
        self._store_index = kept
        self._codec = codec
        self._client = client
        self._record_change = record_change
        self._stores: dict[str, CacheStore] = {}
        self._tasks: dict[str, asyncio.Task] = {}
        self._reachable: dict[str, bool] = {}
        self._clock = ClockBounds()
        self._store_clocks: dict[str, ClockBounds] = {}
        self._groups: dict[str, str] = {}
        self._gateways: frozenset[str] = frozenset()
        self._watched: dict[str, bool] = {}
        self._check: asyncio.Future[None] | None = None

    def configure(self, stores: tuple[CacheStore, ...]) -> None:
        """Apply the stores of a new configuration; unchanged ones keep their views."""
        wanted = {store.name: store for store in stores}
        for name, store in tuple(self._stores.items()):
            if wanted.get(name) != store:
                self._tasks.pop(name).cancel()
                self._store_clocks.pop(name, None)
                del self._stores[name]
                self._drop_view(store)
        self._store_index.configure(stores)
        groups = group_stores(wanted)
        if groups != self._groups:
            self._groups = groups
            self._watched.clear()
        for name, store in wanted.items():
            if name not in self._stores:
                self._stores[name] = store
                self._tasks[name] = asyncio.create_task(self._watch_store(store))

    async def stop(self) -> None:
        """Cancel all calls."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    def find_fetch_deadline(self, longest_s: float = MAX_FETCH_S) -> float | None:
        """
        Return the deadline of a fetch that begins now, on the engines' clock.

        :param longest_s: the longest time it may take, at most ``MAX_FETCH_S``.
        :returns: None while the engines' clock is unknown.
        """
        now_s = self._clock.earliest_remote(read_boot_clock())
        return None if now_s is None else now_s + min(MAX_FETCH_S, longest_s)

    def apply_update(self, update: StoreUpdate) -> None:
        """Apply a store update from another gateway."""
        view = self._store_index.views.get(update.store)
        asked_s = self._clock.earliest_local(update.clock_s)
        if view is None or view.epoch is None or asked_s is None:
            return
        if view.store.address != update.address:
            # The other gateway has a different configuration.
            return
        self._apply_events(update.store, update.epoch, update.events, asked_s)

    def _apply_events(
        self, store: str, epoch: int, events: tuple[PartEvent, ...], asked_s: float
    ) -> bool:
        """Apply events to a view; return False when the store has restarted."""
        view = self._store_index.views.get(store)
        before = tuple(view.parts) if view is not None else ()
        if not self._store_index.apply_events(store, epoch, events, asked_s):
            self._record_change(before, False)
            return False
        for event in events:
            self._record_change((event.name,), event.is_whole)
        return True

    async def free_obsolete(self, is_obsolete: Callable[[str], bool]) -> None:
        """Free the parts that may not be read any more, one batch at each store."""
        found = self._store_index.list_obsolete(is_obsolete)
        await asyncio.gather(
            *(
                self._free(self._store_index.views[name].store, tuple(parts))
                for name, parts in found.items()
            )
        )

    async def _free(self, store: CacheStore, names: tuple[str, ...]) -> None:
        names = names[:FREE_BATCH_PARTS]
        view = self._store_index.views.get(store.name)
        until_s = self.find_fetch_deadline()
        if view is None or view.epoch is None or until_s is None:
            return
        free_call = self._codec.encode_free(names, view.epoch, until_s)
        path, content_type, body = free_call
        request = Request(
            f"http://{store.address}{path}",
            method="POST",
            body=body,
            content_type=content_type,
            reuse=ConnectionReuse.NEVER,
            timeout_s=CALL_TIMEOUT_S,
            max_response_bytes=MAX_SHORT_RESPONSE_BYTES,
        )
        result = await fetch_complete(self._client, request)
        outcome = result.value if isinstance(result, RequestFailure) else result.code
        _log.info(
            "parts freed",
            extra={"store": store.name, "parts": len(names), "outcome": outcome},
        )

    async def _watch_store(self, store: CacheStore) -> None:
        await self._pause(store)
        while True:
            try:
                while await self._list_and_watch(store):
                    # The view stays in use while the next list is requested.
                    pass
            except Exception:
                _log.exception("store watch failed")
            self._drop_view(store)
            await self._pause(store)

    async def _pause(self, store: CacheStore) -> None:
        """Wait for a random time, so that gateways don't all call at once."""
        limit_s = RETRY_S if self._is_watcher(store) else RELAYED_RETRY_S
        await asyncio.sleep(random.uniform(limit_s / 4, limit_s))

    async def _list_and_watch(self, store: CacheStore) -> bool:
        """
        Read the list, then watch events until the next list is due.

        :returns: False when the view is no longer valid.
        """
        asked_s = read_boot_clock()
        report = await self._ask(store, self._codec.store_list_path, ())
        if report is None:
            return False
        self._record_clock(store, report, asked_s)
        self._record_reachable(store)
        before = frozenset(self._store_index.views[store.name].parts)
        parts = {event.name: event.tokens for event in report.events}
        self._store_index.replace_view(
            store.name, report.epoch, parts, report.partial_tokens, asked_s
        )
        self._record_change(tuple(before - parts.keys()), False)
        self._record_change(tuple(parts), True)
        cursor = report.cursor
        if self._clock.is_outdated(read_boot_clock()):
            # Only responses with events contain the store's clock.
            cursor = await self._read_events(store, cursor)
        while cursor is not None and self._is_watcher(store):
            if read_boot_clock() >= asked_s + RELIST_INTERVAL_S:
                return True
            await asyncio.sleep(EVENTS_PAUSE_S)
            cursor = await self._read_events(store, cursor)
        return cursor is not None and await self._rely_on_peers(store, asked_s)

    def _record_reachable(self, store: CacheStore) -> None:
        if not self._reachable.get(store.name):
            fields = {"store": store.name, "calls": store.call_limit}
            _log.info("store reachable", extra=fields)
        self._reachable[store.name] = True

    async def _read_events(self, store: CacheStore, cursor: int) -> int | None:
        """Return the cursor for the next events, None when the view is not valid."""
        call_s = read_boot_clock()
        clock = self._store_clocks.setdefault(store.name, ClockBounds())
        # The answer on a new connection is always that to this call.
        can_identify = not clock.is_outdated(call_s)
        reuse = ConnectionReuse.ALLOWED if can_identify else ConnectionReuse.NEVER
        path, headers = self._codec.encode_events_call(cursor, EVENTS_WAIT_S)
        timeout_s = EVENTS_WAIT_S + CALL_TIMEOUT_S
        report = await self._ask(store, path, headers, timeout_s, reuse)
        if report is None:
            return None
        if can_identify and (
            report.clock_s is None or clock.is_before(report.clock_s, call_s)
        ):
            _log.warning("store answered twice", extra={"store": store.name})
            await self._close_connection(store)
            return cursor
        self._record_clock(store, report, call_s)
        if report.has_gap:
            return None
        if not self._apply_events(store.name, report.epoch, report.events, call_s):
            return None
        if report.clock_s is not None and self._is_watcher(store):
            self._announce(
                StoreUpdate(
                    store.name,
                    store.address,
                    report.epoch,
                    report.clock_s,
                    report.events,
                )
            )
        return report.cursor

    async def _rely_on_peers(self, store: CacheStore, listed_s: float) -> bool:
        """
        Wait while other gateways watch the store and send its updates.

        :returns: False when their updates have stopped, or the store has restarted.
        """
        while not self._is_watcher(store):
            await self._wait_for_check()
            now = read_boot_clock()
            view = self._store_index.views.get(store.name)
            if view is None or not view.is_fresh(now):
                return False
            if now >= listed_s + RELAYED_RELIST_INTERVAL_S:
                return True
        return True

    async def _wait_for_check(self) -> None:
        """Wait for the next check, on one timer for all stores that others watch."""
        if self._check is None or self._check.done():
            loop = asyncio.get_running_loop()
            self._check = loop.create_future()
            loop.call_later(RELAYED_CHECK_S, self._check.set_result, None)
        await asyncio.shield(self._check)

    def _is_watcher(self, store: CacheStore) -> bool:
        gateways = frozenset(self._list_gateways())
        if gateways != self._gateways:
            self._gateways = gateways
            self._watched.clear()
        if store.name not in self._watched:
            group = self._groups.get(store.name, store.name)
            watchers = choose_watchers(group, gateways, store.call_limit)
            self._watched[store.name] = self._name in watchers
        return self._watched[store.name]

    def _drop_view(self, store: CacheStore) -> None:
        view = self._store_index.views.get(store.name)
        if view is None:
            return
        names = tuple(view.parts)
        self._store_index.invalidate(store.name)
        self._record_change(names, False)

    async def _ask(
        self,
        store: CacheStore,
        path: str,
        headers: tuple[tuple[str, str], ...],
        timeout_s: float = CALL_TIMEOUT_S,
        reuse: ConnectionReuse = ConnectionReuse.NEVER,
    ) -> StoreReport | None:
        request = Request(
            f"http://{store.address}{path}",
            headers=dict(headers),
            reuse=reuse,
            timeout_s=timeout_s,
            max_response_bytes=MAX_RESPONSE_BYTES,
        )
        result = await fetch_complete(self._client, request)
        if isinstance(result, RequestFailure) or result.code != 200:
            cause = result.value if isinstance(result, RequestFailure) else result.code
            if self._reachable.get(store.name) is not False:
                _log.info(
                    "store unreachable", extra={"store": store.name, "cause": cause}
                )
            self._reachable[store.name] = False
        else:
            try:
                return self._codec.decode_store_report(result.body)
            except ValueError as error:
                cause = {"store": store.name, "cause": str(error)}
                _log.warning("store response malformed", extra=cause)
        if reuse is not ConnectionReuse.NEVER:
            await self._close_connection(store)
        return None

    async def _close_connection(self, store: CacheStore) -> None:
        """Close a connection whose next answer may be that to an earlier call."""
        self._store_clocks.pop(store.name, None)
        await close_connection(self._client, f"http://{store.address}/")

    def _record_clock(
        self, store: CacheStore, report: StoreReport, asked_s: float
    ) -> None:
        if report.clock_s is not None:
            now = read_boot_clock()
            self._clock.record(report.clock_s, asked_s, now)
            clock = self._store_clocks.setdefault(store.name, ClockBounds())
            clock.record(report.clock_s, asked_s, now)
