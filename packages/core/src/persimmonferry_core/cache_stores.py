"""Tracks the prompt parts that store VMs hold, and chooses where to save new ones."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from persimmonferry_core.deployment import CacheStore
from persimmonferry_core.placement import rank_stores

__all__ = [
    "CacheStoreIndex",
    "PartEvent",
    "StoreUpdate",
    "StoreView",
    "choose_watchers",
    "group_stores",
]

# A view that was not confirmed for this long is not used: the store may have restarted
# empty, and the part may be partly written again.
MAX_VIEW_AGE_S = 1.2
# A save that is not reported as complete after this time is considered lost.
SAVE_TIMEOUT_S = 3.0
# Watchers of one store in a large fleet; enough if one is disconnected and one frozen.
WATCHERS_PER_STORE = 3
# Stores that the same gateways watch, so that updates of several share a message.
STORES_PER_GROUP = 6
# Share of a store's concurrent calls that watchers use; after a change of the fleet,
# former and new watchers overlap for a while.
MAX_CALL_RATIO = 0.5
# Fill level that leaves room for saves which other gateways have in progress.
MAX_FILL_RATIO = 0.97


@dataclass(frozen=True)
class PartEvent:
    """A part that became complete at a store, or was freed there."""

    name: str
    tokens: int
    is_whole: bool


@dataclass(frozen=True)
class StoreUpdate:
    """
    An update that a watcher sends on to the other gateways.

    :param address: of the store; a new configuration may change it.
    :param clock_s: time of the store's reply, on the clock of engines and stores.
    """

    store: str
    address: str
    epoch: int
    clock_s: float
    events: tuple[PartEvent, ...]


@dataclass
class StoreView:
    """
    A gateway's view of one store.

    :param epoch: changes with each start of the store; None while the view is invalid.
    :param confirmed_s: when the last reply that agrees with the view was requested.
    :param listed_s: when the list of the store's parts was requested.
    :param parts: tokens of each complete part.
    """

    store: CacheStore
    epoch: int | None = None
    confirmed_s: float = float("-inf")
    listed_s: float = float("-inf")
    parts: dict[str, int] = field(default_factory=dict)
    used_tokens: int = 0

    def is_fresh(self, now: float) -> bool:
        """Whether the view was confirmed recently enough to be used."""
        return self.epoch is not None and now - self.confirmed_s <= MAX_VIEW_AGE_S


class CacheStoreIndex:
    """
    The views of all stores of a deployment.

    Load pattern: shared parts exceed the memory of all engines together and are needed
    again after they were evicted there. Rendezvous hashing assigns each part to one
    store, or to the next one if that is full or unavailable, so that gateways agree
    without coordination.

    A part is read only from a store whose view was confirmed recently and lists the
    part as complete. A store that restarts or stops responding is not used.
    """

    def __init__(self) -> None:
        self.views: dict[str, StoreView] = {}
        self._saving: dict[str, float] = {}

    def configure(self, stores: Iterable[CacheStore]) -> None:
        """Set the stores of a new configuration; unchanged ones keep their views."""
        views = {}
        for store in stores:
            known = self.views.get(store.name)
            is_same = known is not None and known.store == store
            views[store.name] = known if is_same else StoreView(store)
        self.views = views

    def replace_view(
        self,
        store: str,
        epoch: int,
        parts: Mapping[str, int],
        partial_tokens: int,
        asked_s: float,
    ) -> None:
        """
        Replace a view by a list of the store's parts.

        :param parts: tokens of each complete part.
        :param partial_tokens: reserved for parts that are not complete.
        :param asked_s: when the list was requested.
        """
        view = self.views.get(store)
        if view is None:
            return
        view.epoch = epoch
        view.parts = dict(parts)
        view.used_tokens = sum(parts.values()) + partial_tokens
        view.confirmed_s = view.listed_s = asked_s

    def apply_events(
        self, store: str, epoch: int, events: Iterable[PartEvent], asked_s: float
    ) -> bool:
        """
        Apply events to a view. Events from before a known restart are ignored.

        :param asked_s: when the events were requested.
        :returns: False if the view is invalid, or is now because the store restarted.
        """
        view = self.views.get(store)
        if view is None or view.epoch is None:
            return False
        if view.epoch != epoch:
            if asked_s <= view.listed_s:
                return True
            self.invalidate(store)
            return False
        for event in events:
            view.used_tokens -= view.parts.pop(event.name, 0)
            if event.is_whole:
                view.parts[event.name] = event.tokens
                view.used_tokens += event.tokens
                self._saving.pop(event.name, None)
        view.confirmed_s = max(view.confirmed_s, asked_s)
        return True

    def invalidate(self, store: str) -> None:
        """Invalidate a view: the store does not respond or has restarted."""
        view = self.views.get(store)
        if view is not None:
            view.epoch = None
            view.parts = {}
            view.used_tokens = 0

    def find(self, name: str, now: float) -> CacheStore | None:
        """Return a store from which a part may be read, or None."""
        for view in self.views.values():
            if name in view.parts and view.is_fresh(now):
                return view.store
        return None

    def choose_save_target(
        self, name: str, tokens: int, now: float
    ) -> CacheStore | None:
        """
        Return where to save a part, None if it is stored already or no store has room.

        The save is recorded, so that the same part is not sent twice.
        """
        if now < self._saving.get(name, float("-inf")) + SAVE_TIMEOUT_S:
            return None
        open_views = {
            view.store.name: view
            for view in self.views.values()
            if view.is_fresh(now)
            and view.used_tokens + tokens <= MAX_FILL_RATIO * view.store.capacity_tokens
        }
        if any(name in view.parts for view in self.views.values()) or not open_views:
            return None
        target = open_views[_choose_by_capacity(name, open_views)]
        self._saving[name] = now
        return target.store

    def list_obsolete(self, is_obsolete: Callable[[str], bool]) -> dict[str, list[str]]:
        """Return for each store the parts that no prompt may read any more."""
        found = {}
        for name, view in self.views.items():
            parts = [part for part in view.parts if is_obsolete(part)]
            if parts:
                found[name] = parts
        return found

    def expire_saves(self, now: float) -> None:
        """Remove the records of saves that are considered lost."""
        limit_s = now - SAVE_TIMEOUT_S
        self._saving = {
            name: begun_s for name, begun_s in self._saving.items() if begun_s > limit_s
        }


def group_stores(stores: Iterable[str]) -> dict[str, str]:
    """
    Return the name of each store's group.

    >>> group_stores(f"s{number}" for number in range(8))["s7"]
    's6'
    """
    names = sorted(stores)
    return {
        name: names[place - place % STORES_PER_GROUP]
        for place, name in enumerate(names)
    }


def choose_watchers(
    group: str, gateways: Iterable[str], call_limit: int
) -> tuple[str, ...]:
    """
    Return the gateways that watch a group's stores and update the other gateways.

    Load pattern: a fleet has more gateways than a store takes concurrent calls. If all
    of them watched it, most would be refused and could not use any part stored there.

    :param group: of the store.
    :param gateways: that are known to be alive.
    :param call_limit: concurrent calls for events that the store takes.

    >>> choose_watchers("s1", ["g1", "g2"], 12)
    ('g1', 'g2')
    """
    names = sorted(gateways)
    most = max(1, int(MAX_CALL_RATIO * call_limit))
    if len(names) <= most:
        return tuple(names)
    return rank_stores(group, names, min(WATCHERS_PER_STORE, most))


def _choose_by_capacity(name: str, views: Mapping[str, StoreView]) -> str:
    """Return the preferred store for a part; larger stores get more parts."""
    smallest = min(view.store.capacity_tokens for view in views.values())
    shares = [
        f"{store}#{copy}"
        for store, view in views.items()
        for copy in range(max(1, round(view.store.capacity_tokens / smallest)))
    ]
    return rank_stores(name, shares, 1)[0].rpartition("#")[0]
