"""Converts configuration and upstream entries to the dispatcher's data classes."""

from persimmonferry_core.deployment import (
    CallRoute,
    Deployment,
    UpstreamRecord,
    UpstreamService,
)
from persimmonferry_core.schema import (
    ClientAccount,
    RoutingWeights,
    Service,
    ServiceKind,
    TeamDocument,
    Tier,
)
from persimmonferry_core.topology import Link
from persimmonferry_core.upstreams import UpstreamReport

from persimmonferry_gateway.interfaces import UpstreamLoad

# All stores count as one source of parts, as each part is stored at one of them.
CACHE_STORE_SOURCE = "stores"
# Transfer rate from another failure domain, as a share of the rate within one.
CROSS_DOMAIN_RATE_SHARE = 0.5

__all__ = ["CACHE_STORE_SOURCE", "make_document", "make_report", "name_tier"]

# Assumed rate of one run until its engine's rate is known; only used for the cost of
# requests.
ASSUMED_DECODE_TOKENS_PER_S = 120.0
# Recomputing a part that is cached elsewhere takes engine time from later prompts.
ENGINE_WEIGHTS = RoutingWeights(first_token=1.0, recomputed=0.5)


def name_tier(route: CallRoute, rank: int) -> str:
    """
    Return the name of the tier of a route's calls.

    :param rank: the account's own rank if it has one, otherwise the route's.
    """
    return f"{rank}/{route.objective_s:g}"


def make_document(
    deployment: Deployment, weights: dict[str, int], failure_domains: frozenset[str]
) -> TeamDocument:
    """
    Convert the operators' configuration.

    :param weights: wanted version of each model.
    :param failure_domains: that have upstreams.
    """
    ranks = {route.rank for route in deployment.routes}
    ranks |= {item.rank for item in deployment.accounts if item.rank is not None}
    names = {
        name_tier(route, rank): route.objective_s
        for route in deployment.routes
        for rank in ranks
    }
    return TeamDocument(
        team="",
        revision=deployment.version,
        services=tuple(
            _make_service(service, weights) for service in deployment.services
        ),
        tiers=tuple(Tier(name, wait_s, 0.0, 0.0) for name, wait_s in names.items()),
        accounts=tuple(
            ClientAccount(item.name, (), "", 1.0, ()) for item in deployment.accounts
        ),
        operators=(),
        links=_make_links(deployment, failure_domains),
    )


def _make_links(
    deployment: Deployment, failure_domains: frozenset[str]
) -> tuple[Link, ...]:
    """Return links from the stores as one source, at the rate of the slowest store."""
    if not deployment.stores:
        return ()
    slowest = min(store.bytes_per_s for store in deployment.stores)
    first_s = max(store.first_byte_s for store in deployment.stores)
    return tuple(
        Link(
            CACHE_STORE_SOURCE, domain, first_s, CROSS_DOMAIN_RATE_SHARE * slowest, 0.0
        )
        for domain in sorted(failure_domains)
    )


def _make_service(service: UpstreamService, weights: dict[str, int]) -> Service:
    if service.engine is None:
        return Service(service.name, ServiceKind.PLAIN)
    model = service.engine.models[0] if service.engine.models else ""
    version = str(weights.get(model, ""))
    return Service(
        service.name,
        ServiceKind.MODEL,
        model=model,
        version=version,
        slots_per_upstream=service.engine.slots,
        weights=ENGINE_WEIGHTS,
        prefills_in_order=True,
    )


def make_report(
    record: UpstreamRecord,
    service: UpstreamService,
    load: UpstreamLoad | None,
    version: int | None,
    sequence: int,
) -> UpstreamReport:
    """
    Convert what is known of an upstream to a report.

    :param version: of its weights, None for a plain service.
    :param sequence: grows with each report.
    """
    engine = service.engine
    return UpstreamReport(
        name=record.name,
        incarnation=record.incarnation,
        sequence=sequence,
        failure_domain=record.failure_domain,
        service=record.service,
        model=engine.models[0] if engine and engine.models else "",
        version="" if version is None else str(version),
        running=load.running if load else 0,
        waiting=load.waiting if load else 0,
        waiting_prefill_tokens=0,
        slots=max(1, record.slots),
        prefill_tokens_per_s=0.0,
        decode_tokens_per_s=ASSUMED_DECODE_TOKENS_PER_S,
        leaving=record.is_leaving,
        memory_tokens=engine.cache_tokens if engine else 0,
        build=record.build,
    )
