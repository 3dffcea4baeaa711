"""Interfaces to the platform, which an adapter implements."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from persimmonferry_core.cache_stores import PartEvent
from persimmonferry_core.deployment import Deployment, UpstreamRecord
from persimmonferry_core.incoming import IncomingCall
from persimmonferry_core.weight_orders import WeightOrder

__all__ = [
    "RENEWALS_PER_LEASE",
    "Changes",
    "Codec",
    "EngineReport",
    "ForwardOptions",
    "Item",
    "OrderOutcome",
    "Registry",
    "ResponseHead",
    "Snapshot",
    "StoreReport",
    "UpstreamLoad",
]

# Renewals at a third of a lease leave time for two more tries.
RENEWALS_PER_LEASE = 3


@dataclass(frozen=True)
class Item:
    """
    An item of the registry.

    :param value: None when the item was removed.
    :param revision: of its last change.
    """

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True)
class Snapshot:
    """All items under a prefix, complete up to a revision."""

    items: tuple[Item, ...]
    revision: int


@dataclass(frozen=True)
class Changes:
    """What changed under a prefix up to a revision, in order."""

    items: tuple[Item, ...]
    revision: int


class Registry(Protocol):
    """
    The platform's key-value store; every method is one call or one a page.

    :param calls: how many were made, by kind.
    """

    calls: Mapping[str, int]

    async def list_items(self, prefix: str) -> Snapshot:
        """
        Return all items under a prefix, as of now or later.

        :raises PlatformUnavailable: no answer.
        """

    async def watch(self, prefix: str, after: int, wait_s: float) -> Changes:
        """
        Return what changed after a revision, as soon as there is something.

        :raises HistoryUnavailable: changes since then are not known any more.
        :raises PlatformUnavailable: no answer.
        """

    async def write(self, key: str, value: bytes, expected: int, lease: int) -> int:
        """
        Write a value if the key has the expected revision, and return the new one.

        :param expected: 0 when the key must not exist.
        :param lease: at whose end the key is removed, 0 for none.
        :raises SwapConflict: it has another revision.
        :raises LeaseEnded: there is no such lease.
        :raises PlatformUnavailable: the write provably took no effect.
        :raises PlatformAnswerLost: the write may have taken effect.
        """

    async def open_lease(self, ttl_s: float) -> int:
        """
        Return a new lease.

        :raises PlatformUnavailable: no answer.
        """

    async def renew_lease(self, lease: int) -> None:
        """
        Renew a lease; it counts from the arrival of the call.

        :raises LeaseEnded: there is no such lease.
        :raises PlatformUnavailable: no answer.
        """

    async def end_lease(self, lease: int) -> None:
        """
        End a lease; its keys are removed.

        :raises PlatformUnavailable: no answer.
        """


@dataclass(frozen=True)
class ForwardOptions:
    """
    What an entry adds to a call that it sends to an upstream.

    :param upstream: name of the upstream; another one at its address refuses the call.
    :param budget_s: time that is left.
    :param version: of the weights, None for a plain service; an upstream with another
        version refuses the call.
    :param cache_scope: cached parts are found only under the same text.
    :param rank: urgency at the engine, 0 is the most urgent.
    :param resumes_after: last event that was delivered, or None.
    :param fetch_from: address of a store for each part of the prompt.
    :param save_to: the same, to which the engine sends a part it has computed.
    :param fetch_until_s: a fetch that ends later is thrown away, on the engines' clock.
    """

    upstream: str
    budget_s: float
    account: str | None = None
    version: int | None = None
    cache_scope: str | None = None
    rank: int | None = None
    resumes_after: str | None = None
    fetch_from: tuple[str | None, ...] = ()
    save_to: tuple[str | None, ...] = ()
    fetch_until_s: float | None = None


@dataclass(frozen=True)
class UpstreamLoad:
    """Load that an upstream tells with an answer."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True)
class ResponseHead:
    """
    The head of an upstream's answer.

    :param headers: that go on to the caller.
    :param call_id: the id of the call that it answers, None when it names none.
    :param did_not_run: whether the upstream states that it did not run the call.
    :param is_other_upstream: whether the call was meant for another upstream, or for
        other weights.
    :param is_genuine: whether it bears the mark of an upstream that ran the call.
    :param version: of the weights that it began on.
    :param idle_s: for which the upstream keeps the idle connection, None if not told.
    :param is_leaving: whether the upstream is about to leave.
    :param refuses_for_s: for which it wants nothing more from this gateway, None where
        it does not say so.
    """

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    call_id: str | None
    did_not_run: bool
    is_genuine: bool
    is_other_upstream: bool = False
    load: UpstreamLoad | None = None
    version: int | None = None
    idle_s: float | None = None
    is_leaving: bool = False
    refuses_for_s: float | None = None


@dataclass(frozen=True)
class EngineReport:
    """
    What an engine reports when asked; it lags.

    :param versions: of its weights, by model.
    :param is_busy: whether it is carrying out an order.
    :param accepted_orders: since its start.
    """

    versions: tuple[tuple[str, int], ...]
    is_busy: bool
    accepted_orders: int


@dataclass(frozen=True)
class StoreReport:
    """
    A store's list of whole parts, or what changed there.

    :param epoch: changes with each start of the store.
    :param cursor: behind which the next events are.
    :param has_gap: whether events before these are not known any more.
    :param clock_s: time on the clock of the engines and stores, None if not told.
    :param partial_tokens: reserved for parts that are not whole.
    """

    epoch: int
    cursor: int
    has_gap: bool
    events: tuple[PartEvent, ...]
    clock_s: float | None
    partial_tokens: int = 0


@dataclass(frozen=True)
class OrderOutcome:
    """
    What came of an order to an engine.

    :param is_accepted: whether it is or was carried out; None when not known.
    :param is_fenced_off: whether a later holder has given orders already.
    """

    is_accepted: bool | None
    is_fenced_off: bool = False


class Codec(Protocol):
    """How calls, orders and registry entries are spelled on the platform."""

    configuration_key: str
    upstream_prefix: str
    weights_prefix: str
    report_path: str
    store_list_path: str

    def decode_deployment(self, body: bytes) -> Deployment:
        """
        Read the operators' configuration.

        :raises ValueError: it can't be read.
        """

    def decode_upstream(self, name: str, body: bytes) -> UpstreamRecord:
        """
        Read an upstream's entry.

        :raises ValueError: it names no upstream to use.
        """

    def decode_weights(self, body: bytes) -> tuple[str, int]:
        """
        Read a model and the version of its weights that operators want.

        :raises ValueError: it can't be read.
        """

    def decode_call(
        self, method: str, target: str, headers: list[tuple[str, str]], body: bytes
    ) -> IncomingCall:
        """
        Read a caller's call.

        :raises FerryError: it is malformed.
        """

    def encode_call(
        self, call: IncomingCall, options: ForwardOptions
    ) -> list[tuple[str, str]]:
        """Return the headers of a call to an upstream."""

    def decode_response_head(
        self, status: int, reason: str, headers: list[tuple[str, str]]
    ) -> ResponseHead:
        """Read the head of an upstream's answer."""

    def decode_report(self, body: bytes) -> EngineReport:
        """
        Read an engine's report.

        :raises ValueError: it can't be read.
        """

    def encode_events_call(
        self, cursor: int, wait_s: float
    ) -> tuple[str, tuple[tuple[str, str], ...]]:
        """Return the path and the headers of a call for a store's next events."""

    def decode_store_report(self, body: bytes) -> StoreReport:
        """
        Read a store's list or events.

        :raises ValueError: they can't be read.
        """

    def encode_free(
        self, names: tuple[str, ...], epoch: int, until_s: float
    ) -> tuple[str, str, bytes]:
        """Return the path, the content type and the body of a call that frees parts."""

    def encode_expected_upstream(self, upstream: str) -> list[tuple[str, str]]:
        """Return the headers by which any other upstream refuses an order."""

    def encode_order(self, order: WeightOrder) -> tuple[str, str, bytes]:
        """Return the path, the content type and the body of an order to an engine."""

    def decode_order_outcome(self, status: int) -> OrderOutcome:
        """Read the answer to an order."""
