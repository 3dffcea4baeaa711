"""Types of a team's configuration document: services, tiers, accounts and limits."""

import enum
from dataclasses import dataclass

from persimmonferry_core.topology import Link

__all__ = [
    "ClientAccount",
    "Limits",
    "Operator",
    "RoutingWeights",
    "Service",
    "ServiceKind",
    "TeamDocument",
    "Tier",
]


class ServiceKind(enum.Enum):
    """Whether the upstreams of a service are model engines or plain services."""

    MODEL = "model"
    PLAIN = "plain"


@dataclass(frozen=True)
class RoutingWeights:
    """
    Weights of the cost terms by which an upstream is chosen.

    :param first_token: weight of a second of estimated time to first token.
    :param recomputed: weight of a second of prefill for tokens cached elsewhere.
    :param link: weight of one unit of the team's currency spent on links.
    """

    first_token: float = 1.0
    recomputed: float = 0.0
    link: float = 0.0


@dataclass(frozen=True)
class Tier:
    """
    A service tier with a promised maximum wait and prices.

    :param promised_wait_s: maximum time from arrival to the start of the run.
    :param price_per_1k_tokens: for tokens computed or generated.
    :param cached_price_per_1k_tokens: for prompt tokens read from cache.
    """

    name: str
    promised_wait_s: float
    price_per_1k_tokens: float
    cached_price_per_1k_tokens: float


@dataclass(frozen=True)
class Limits:
    """Fleet-wide limits of one client account; 0 means unlimited."""

    requests_per_s: float = 0.0
    tokens_per_s: float = 0.0
    concurrency: int = 0


@dataclass(frozen=True)
class ClientAccount:
    """
    A client account.

    :param key_digests: hex SHA-256 digests of the valid keys (one or two).
    :param cache_secret: hex; it keys the names of the account's cache blocks.
    :param weight: its weight in fair sharing among accounts.
    :param services: names of the services that it may use.
    """

    name: str
    key_digests: tuple[str, ...]
    cache_secret: str
    weight: float
    services: tuple[str, ...]
    limits: Limits = Limits()


@dataclass(frozen=True)
class Operator:
    """An operator of the team, with the digests of the valid keys."""

    name: str
    key_digests: tuple[str, ...]


@dataclass(frozen=True)
class Service:
    """
    A service that callers address by name.

    :param model: model that its upstreams must load; empty for a plain service.
    :param version: weight version for new requests; empty for a plain service.
    :param slots_per_upstream: runs that one upstream batches at a time.
    :param loading_slots: upstreams that may load weights at the same time.
    :param fenced: whether its upstreams refuse an order with an outdated fencing token.
    :param safe_paths: path prefixes of a plain service that are idempotent.
    :param prefills_in_order: whether its engines prefill prompts in order of arrival,
        regardless of priority.
    """

    name: str
    kind: ServiceKind
    model: str = ""
    version: str = ""
    adapter: str = ""
    slots_per_upstream: int = 8
    loading_slots: int = 1
    fenced: bool = True
    safe_paths: tuple[str, ...] = ()
    weights: RoutingWeights = RoutingWeights()
    prefills_in_order: bool = False


@dataclass(frozen=True)
class TeamDocument:
    """
    A validated configuration document of a team.

    :param revision: at which the platform accepted it; 0 if it is not accepted yet.
    """

    team: str
    revision: int
    services: tuple[Service, ...]
    tiers: tuple[Tier, ...]
    accounts: tuple[ClientAccount, ...]
    operators: tuple[Operator, ...]
    links: tuple[Link, ...] = ()

    def find_service(self, name: str) -> Service | None:
        """Return the service of that name, or None."""
        return next((item for item in self.services if item.name == name), None)

    def find_tier(self, name: str) -> Tier | None:
        """Return the tier of that name, or None."""
        return next((item for item in self.tiers if item.name == name), None)

    def find_account(self, key_digest: str) -> ClientAccount | None:
        """Return the account with a key digest, or None."""
        matches = (item for item in self.accounts if key_digest in item.key_digests)
        return next(matches, None)
