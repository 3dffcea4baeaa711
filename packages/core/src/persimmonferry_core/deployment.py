"""What operators configure for callers: routes, services, client accounts, limits."""

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


# Callers abandon a stream, also before its first event, after the longest of these.
MIN_SILENCE_S = 2.0
SILENCE_OBJECTIVES = 4
SILENCE_GAPS = 8
# Calls for events that a store holds at once where the operators name no number.
DEFAULT_CALL_LIMIT = 8


class CallKind(enum.Enum):
    """What may be repeated of a call, and how it is answered."""

    IDEMPOTENT = "idempotent"
    ONCE = "at most once"
    STREAM = "stream"


@dataclass(frozen=True)
class WeightedTarget:
    """A service that takes a share of a route's calls in proportion to its weight."""

    service: str
    weight: float


@dataclass(frozen=True)
class CallRoute:
    """
    Where the calls of a host and a path prefix go.

    :param prefix: begins and ends with a slash.
    :param timeout_s: longest time that a caller is kept waiting.
    :param objective_s: time to the first event, or to the whole answer.
    :param rank: urgency, 0 is the most urgent.
    :param max_attempts: upstreams that one call may be sent to.
    :param needs_key: whether callers must show a key.
    :param is_resumable: whether a stream may go on at another upstream.
    :param gap_s: longest pause between events for which a stream is in time.
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
        """How long callers stay with a silent stream, None for other calls."""
        if self.kind is not CallKind.STREAM:
            return None
        return max(
            MIN_SILENCE_S,
            SILENCE_OBJECTIVES * self.objective_s,
            SILENCE_GAPS * self.gap_s,
        )

    @property
    def may_repeat(self) -> bool:
        """Whether a call that may have run may be sent once more."""
        return self.kind is CallKind.IDEMPOTENT or self.is_resumable


@dataclass(frozen=True)
class CallerLimits:
    """Bounds on what callers send and how long they take."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True)
class AccountKeys:
    """
    A client account with its keys.

    :param rank: replaces the rank of the routes, None to keep it.
    :param is_isolated: whether its cache is shared with no other account.
    """

    name: str
    keys: frozenset[str]
    rank: int | None
    is_isolated: bool


@dataclass(frozen=True)
class EngineCapacity:
    """
    Sizes of the model engines of a service.

    :param cache_tokens: tokens that running requests and cached parts share.
    :param token_bytes: of one token's KV cache.
    :param event_tokens: most tokens in one event of a stream.
    :param link_bytes_per_s: at which an engine fetches cache from another one, 0 when
        it is not known.
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
    """

    name: str
    engine: EngineCapacity | None


@dataclass(frozen=True)
class CacheStore:
    """
    A store VM that keeps KV cache until it is told to free it.

    :param first_byte_s: wait before the first byte of a transfer.
    :param call_limit: calls for events that it holds at once.
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
    An upstream as it registered itself.

    :param incarnation: start of the process, in milliseconds since 1970.
    :param weights: version of the weights that it holds, by model.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_leaving: bool
    incarnation: int
    weights: tuple[tuple[str, int], ...] = ()

    def find_version(self, model: str) -> int | None:
        """Return the version of a model's weights that it holds, or None."""
        return dict(self.weights).get(model)


@dataclass(frozen=True)
class Deployment:
    """
    One whole configuration.

    :param version: grows with each configuration.
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
        """Return the route with the longest prefix of the path, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_account(self, key: str) -> AccountKeys | None:
        """Return the account that holds a key, or None."""
        return self._by_key.get(key)

    def find_service(self, name: str) -> UpstreamService | None:
        """Return the service of that name, or None."""
        return next((item for item in self.services if item.name == name), None)


def _prefix_length(route: CallRoute) -> int:
    return len(route.prefix)
