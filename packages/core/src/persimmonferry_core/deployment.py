"""Configuration of a gateway: routes, services, client accounts and limits."""

import enum
from dataclasses import dataclass, field

__all__ = [
    "DEFAULT_CALL_LIMIT",
    "AccountKeys",
    "CacheStore",
    "CallKind",
    "CallRoute",
    "CallerLimits",
    "Deployment",
    "EngineCapacity",
    "UpstreamRecord",
    "UpstreamService",
    "WeightedTarget",
]


# A caller closes a stream, even before its first event, after the longest of: this
# minimum, a multiple of the route's objective, and a multiple of its event gap.
MIN_SILENCE_S = 2.0
SILENCE_OBJECTIVES = 4
SILENCE_GAPS = 8
# Concurrent event calls of a store if its configuration gives no number.
DEFAULT_CALL_LIMIT = 8


class CallKind(enum.Enum):
    """Whether a call may be repeated, and whether it is answered by a stream."""

    IDEMPOTENT = "idempotent"
    ONCE = "at most once"
    STREAM = "stream"


@dataclass(frozen=True)
class WeightedTarget:
    """A service that gets a share of a route's calls in proportion to its weight."""

    service: str
    weight: float


@dataclass(frozen=True)
class CallRoute:
    """
    Routes calls by host and path prefix to services.

    :param prefix: begins and ends with a slash.
    :param timeout_s: maximum time that a caller waits.
    :param objective_s: target time to the first event or to the complete answer.
    :param rank: urgency; 0 is the most urgent.
    :param max_attempts: maximum number of upstreams that one call is sent to.
    :param needs_key: whether callers must present a key.
    :param is_resumable: whether a stream may be resumed at another upstream.
    :param gap_s: maximum pause between events for a stream to be in time.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    timeout_s: float
    objective_s: float
    rank: int
    targets: tuple[WeightedTarget, ...]
    max_attempts: int
    needs_key: bool
    is_resumable: bool
    gap_s: float = 0.0

    @property
    def silence_limit_s(self) -> float | None:
        """Silence after which callers close a stream; None for other calls."""
        if self.kind is not CallKind.STREAM:
            return None
        return max(
            MIN_SILENCE_S,
            SILENCE_OBJECTIVES * self.objective_s,
            SILENCE_GAPS * self.gap_s,
        )

    @property
    def may_repeat(self) -> bool:
        """Whether a call that may have run may be sent again."""
        match self.kind:
            case CallKind.IDEMPOTENT:
                return True
            case CallKind.STREAM:
                return self.is_resumable
            case CallKind.ONCE:
                return False


@dataclass(frozen=True)
class CallerLimits:
    """Limits on the size of callers' requests and on the time to send them."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True)
class AccountKeys:
    """
    A client account with its keys.

    :param rank: overrides the rank of the routes; None to use theirs.
    :param is_isolated: whether its cache is never shared with other accounts.
    """

    name: str
    keys: frozenset[str]
    rank: int | None
    is_isolated: bool


@dataclass(frozen=True)
class EngineCapacity:
    """
    Capacity of the model engines of a service.

    :param cache_tokens: cache size in tokens, shared by running requests and cached
        parts.
    :param token_bytes: size of one token's KV cache.
    :param event_tokens: maximum number of tokens in one event of a stream.
    :param link_bytes_per_s: rate at which an engine imports cache from another one; 0
        if unknown.
    """

    slots: int
    cache_tokens: int
    token_bytes: float
    models: tuple[str, ...]
    event_tokens: int = 1
    link_bytes_per_s: float = 0.0


@dataclass(frozen=True)
class UpstreamService:
    """
    A service with its upstreams.

    :param engine: None for a plain service.
    :param cold_calls_per_s: that a cold upstream takes from all gateways together, 0 if
        it takes as many as others.
    """

    name: str
    engine: EngineCapacity | None
    cold_calls_per_s: float = 0.0


@dataclass(frozen=True)
class CacheStore:
    """
    A store VM that holds KV cache until asked to free it.

    :param first_byte_s: latency to the first byte of a transfer.
    :param call_limit: maximum number of concurrent event calls.
    """

    name: str
    address: str
    failure_domain: str
    capacity_tokens: int
    bytes_per_s: float
    first_byte_s: float
    call_limit: int = DEFAULT_CALL_LIMIT


@dataclass(frozen=True)
class UpstreamRecord:
    """
    An upstream as registered by itself.

    :param incarnation: start time of the process, in milliseconds since 1970.
    :param weights: loaded weight version of each model.
    :param build: version of its software; versions have no order.
    :param cold_left_s: how long it remained cold when it wrote this.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_leaving: bool
    incarnation: int
    weights: tuple[tuple[str, int], ...] = ()
    build: str = ""
    cold_left_s: float = field(default=0.0, compare=False)

    def find_version(self, model: str) -> int | None:
        """Return the loaded weight version of a model, or None."""
        return dict(self.weights).get(model)


@dataclass(frozen=True)
class Deployment:
    """
    A complete configuration.

    :param version: increases with each configuration.
    """

    version: int
    routes: tuple[CallRoute, ...]
    services: tuple[UpstreamService, ...]
    stores: tuple[CacheStore, ...]
    limits: CallerLimits
    accounts: tuple[AccountKeys, ...]
    _by_host: dict[str, list[CallRoute]] = field(init=False, repr=False, compare=False)
    _by_key: dict[str, AccountKeys] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        by_host: dict[str, list[CallRoute]] = {}
        for route in sorted(self.routes, key=_prefix_length, reverse=True):
            by_host.setdefault(route.host, []).append(route)
        by_key = {key: account for account in self.accounts for key in account.keys}
        object.__setattr__(self, "_by_host", by_host)
        object.__setattr__(self, "_by_key", by_key)

    def find_route(self, host: str, path: str) -> CallRoute | None:
        """Return the route with the longest matching prefix, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_account(self, key: str) -> AccountKeys | None:
        """Return the account with a key, or None."""
        return self._by_key.get(key)

    def find_service(self, name: str) -> UpstreamService | None:
        """Return the service of that name, or None."""
        return next((item for item in self.services if item.name == name), None)


def _prefix_length(route: CallRoute) -> int:
    return len(route.prefix)
