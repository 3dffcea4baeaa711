"""Interfaces to the platform, implemented by an adapter, and their data classes."""

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

# Renewing three times per lease leaves time for two more attempts after a failure.
RENEWALS_PER_LEASE = 3


@dataclass(frozen=True)
class Item:
    """
    An item of the registry.

    :param value: None when the item was removed.
    :param revision: of its last change.
    :param lease: at whose end it is removed, 0 for none.
    """

    key: str
    value: bytes | None
    revision: int
    lease: int = 0


@dataclass(frozen=True)
class Snapshot:
    """
    All items under a prefix; a watch after ``revision`` returns later changes.

    :param era: rises when the registry has come back from an older copy.
    :param is_restored: whether it is the first one since then: items may be older than
        before, or missing, until their writers have written them again.
    """

    items: tuple[Item, ...]
    revision: int
    era: int = 0
    is_restored: bool = False


@dataclass(frozen=True)
class Changes:
    """The items that changed under a prefix up to a revision, in order."""

    items: tuple[Item, ...]
    revision: int


class Registry(Protocol):
    """
    The platform's key-value store; each method makes one call, or one for each page.

    Revisions increase with each write, also when the registry has come back from an
    older copy: they are told apart from those of the lost history.

    :param calls: number of calls made, by kind.
    """

    calls: Mapping[str, int]

    async def list_items(self, prefix: str) -> Snapshot:
        """
        Return all items under a prefix, as of this call or later.

        :raises PlatformUnavailable: no usable response.
        """

    async def watch(self, prefix: str, after: int, wait_s: float) -> Changes:
        """
        Return the changes after a revision, waiting up to ``wait_s`` for one.

        :raises HistoryUnavailable: the registry no longer has all changes since then.
        :raises HistoryReplaced: the registry has lost changes that it had acknowledged.
        :raises PlatformUnavailable: no usable response.
        """

    async def write(self, key: str, value: bytes, expected: int, lease: int) -> int:
        """
        Write a value if the key has the expected revision, and return the new one.

        :param expected: 0 when the key must not exist.
        :param lease: at whose end the key is removed, 0 for none.
        :raises SwapConflict: the key has another revision.
        :raises LeaseEnded: there is no such lease.
        :raises PlatformUnavailable: the write provably took no effect.
        :raises PlatformAnswerLost: the write may have taken effect.
        """

    async def open_lease(self, ttl_s: float) -> int:
        """
        Return a new lease.

        :raises PlatformUnavailable: no usable response.
        """

    async def renew_lease(self, lease: int) -> None:
        """
        Renew a lease; its time counts from the arrival of the call at the registry.

        :raises LeaseEnded: there is no such lease.
        :raises PlatformUnavailable: no usable response.
        """

    async def end_lease(self, lease: int) -> None:
        """
        End a lease; its keys are removed.

        :raises PlatformUnavailable: no usable response.
        """


@dataclass(frozen=True)
class ForwardOptions:
    """
    What the gateway adds to a call that it forwards to an upstream.

    :param upstream: name of the upstream; another one at its address refuses the call.
    :param budget_s: time after which the upstream ends its work on the call.
    :param version: of the weights, None for a plain service; an upstream with another
        version refuses the call.
    :param cache_scope: cached parts are only found under an equal scope.
    :param rank: priority at the engine, 0 is the most urgent.
    :param resumes_after: id of the last event that was delivered, or None.
    :param fetch_from: address from which to fetch each part of the prompt, or None.
    :param save_to: address of the store to which the engine sends each part after
        computing it, or None.
    :param fetch_until_s: deadline of the fetches, on the engines' clock; the engine
        discards those that end later.
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
    """
    Load that an upstream reports with a response.

    :param slowness: how long work takes there now, 1.0 as usual; None if not stated.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


@dataclass(frozen=True)
class ResponseHead:
    """
    The head of an upstream's response.

    :param headers: that are forwarded to the caller.
    :param call_id: the id of the call that it answers, None when it has none.
    :param did_not_run: whether the upstream states that it did not run the call.
    :param reads_as_not_run: whether callers take its status for that statement.
    :param is_other_upstream: whether the call was meant for another upstream, or for
        other weights.
    :param is_genuine: whether it has the seal of an upstream that ran the call.
    :param version: of the weights that the run began on.
    :param idle_s: time after which the upstream closes the idle connection, None if
        not stated.
    :param is_leaving: whether the upstream is leaving.
    :param refuses_for_s: time for which it refuses further calls from this gateway,
        None if not stated.
    :param calls_per_s: that the upstream takes from all gateways together, None for no
        limit.
    :param cold_left_s: how long the upstream remains cold, None if not stated.
    """

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    call_id: str | None
    did_not_run: bool
    is_genuine: bool
    is_other_upstream: bool = False
    reads_as_not_run: bool = False
    load: UpstreamLoad | None = None
    version: int | None = None
    idle_s: float | None = None
    is_leaving: bool = False
    refuses_for_s: float | None = None
    calls_per_s: float | None = None
    cold_left_s: float | None = None

    @property
    def is_refusal(self) -> bool:
        """Whether the call did not run, or its caller would take it so."""
        return self.did_not_run or self.reads_as_not_run


@dataclass(frozen=True)
class EngineReport:
    """
    What an engine reports when polled; the report lags behind its state.

    :param versions: of its weights, by model.
    :param is_busy: whether it is carrying out an order.
    :param accepted_orders: number of orders accepted since its start.
    :param incarnation: start time of the process as in its entry, None if not stated.
    """

    versions: tuple[tuple[str, int], ...]
    is_busy: bool
    accepted_orders: int
    incarnation: int | None = None


@dataclass(frozen=True)
class StoreReport:
    """
    A store's list of complete parts, or the events since the last call.

    :param epoch: changes with each start of the store.
    :param cursor: position after which the next events follow.
    :param has_gap: whether earlier events are no longer available.
    :param clock_s: time on the clock of the engines and stores, None if not stated.
    :param partial_tokens: reserved for incomplete parts.
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
    Outcome of an order to an engine.

    :param is_accepted: whether the engine accepted it, None when unknown.
    :param is_fenced_off: whether the engine has received an order with a greater
        fencing token.
    """

    is_accepted: bool | None
    is_fenced_off: bool = False


class Codec(Protocol):
    """Encodes and decodes the platform's calls, orders and registry entries."""

    configuration_key: str
    upstream_prefix: str
    weights_prefix: str
    evacuation_prefix: str
    report_path: str
    store_list_path: str

    def decode_deployment(self, body: bytes) -> Deployment:
        """
        Decode the operators' configuration.

        :raises ValueError: it is malformed.
        """

    def decode_upstream(self, name: str, body: bytes) -> UpstreamRecord:
        """
        Decode an upstream's entry.

        :raises ValueError: it is not the entry of a usable upstream.
        """

    def decode_weights(self, body: bytes) -> tuple[str, int]:
        """
        Decode the model and the version of the weights that operators want.

        :raises ValueError: it is malformed.
        """

    def decode_call(
        self, method: str, target: str, headers: list[tuple[str, str]], body: bytes
    ) -> IncomingCall:
        """
        Decode a caller's call.

        :raises FerryError: it is malformed.
        """

    def encode_call(
        self, call: IncomingCall, options: ForwardOptions
    ) -> list[tuple[str, str]]:
        """Return the headers of a call to an upstream."""

    def decode_response_head(
        self, status: int, reason: str, headers: list[tuple[str, str]]
    ) -> ResponseHead:
        """Decode the head of an upstream's response."""

    def decode_report(self, body: bytes) -> EngineReport:
        """
        Decode an engine's report.

        :raises ValueError: it is malformed.
        """

    def encode_events_call(
        self, cursor: int, wait_s: float
    ) -> tuple[str, tuple[tuple[str, str], ...]]:
        """Return the path and the headers of a call for a store's next events."""

    def decode_store_report(self, body: bytes) -> StoreReport:
        """
        Decode a store's list or events.

        :raises ValueError: they are malformed.
        """

    def encode_free(
        self, names: tuple[str, ...], epoch: int, until_s: float
    ) -> tuple[str, str, bytes]:
        """Return the path, the content type and the body of a call that frees parts."""

    def encode_expected_upstream(self, upstream: str) -> list[tuple[str, str]]:
        """Return the headers that make any other upstream refuse the request."""

    def encode_order(self, order: WeightOrder) -> tuple[str, str, bytes]:
        """Return the path, the content type and the body of an order to an engine."""

    def decode_order_outcome(self, status: int) -> OrderOutcome:
        """Decode the status of the response to an order."""
