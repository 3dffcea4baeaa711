"""Checks a configuration before it is sent: errors, dead entries and differences."""

import enum
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import fields
from typing import Any

from persimmonferry_core.configuration_findings import (
    Changed,
    Contradiction,
    Duplicate,
    Finding,
    Ineffective,
    NotNewer,
    Presence,
    Shadowed,
    SharedKey,
    Unknown,
    Unmatchable,
)
from persimmonferry_core.deployment import (
    CallerLimits,
    CallKind,
    CallRoute,
    Deployment,
    EngineCapacity,
    UpstreamService,
    WeightedTarget,
)
from persimmonferry_core.schema import ServiceKind, TeamDocument, Tier

__all__ = ["check_deployment", "check_document"]

# Their values are secret, so differences name the field only.
_SECRET_FIELDS = frozenset(("keys", "key_digests", "cache_secret"))


def check_deployment(
    candidate: Deployment,
    in_force: Deployment | None = None,
    memory_bytes: int | None = None,
) -> tuple[Finding, ...]:
    """
    Return what is wrong with a deployment, and what it changes.

    :param in_force: None if there is none.
    :param memory_bytes: the smallest memory of a gateway, None if it is not known.
    """
    findings = [
        *_find_duplicates("route", candidate.routes),
        *_find_duplicates("service", (*candidate.services, *candidate.stores)),
        *_find_duplicates("account", candidate.accounts),
        *_check_matches(candidate.routes),
        *(each for route in candidate.routes for each in _check_route(route)),
        *(
            each
            for route in candidate.routes
            for each in _check_targets(route, candidate)
        ),
        *(
            each
            for item in candidate.services
            for each in _check_service(item, candidate)
        ),
        *_check_accounts(candidate),
        *_check_limits(candidate.limits, memory_bytes),
    ]
    if in_force is not None:
        if candidate.version <= in_force.version:
            findings.append(NotNewer(candidate.version, in_force.version))
        findings += _compare("route", in_force.routes, candidate.routes)
        findings += _compare("service", in_force.services, candidate.services)
        findings += _compare("store", in_force.stores, candidate.stores)
        findings += _compare("account", in_force.accounts, candidate.accounts)
        findings += _compare_fields("limits", in_force.limits, candidate.limits)
    return tuple(findings)


def check_document(
    candidate: TeamDocument, in_force: TeamDocument | None = None
) -> tuple[Finding, ...]:
    """
    Return what has no effect in a team's document, and what it changes.

    A document with a fault can't be parsed in the first place.
    """
    findings: list[Finding] = []
    used = {name for account in candidate.accounts for name in account.services}
    for service in candidate.services:
        if service.name not in used:
            cause = "no client account may use it"
            findings.append(Unmatchable(f"service {service.name}", cause))
        if service.kind is ServiceKind.MODEL and service.safe_paths:
            cause = "safe_paths has no effect, as its upstreams are model engines"
            findings.append(Ineffective(f"service {service.name}", cause))
    findings += _check_tiers(candidate.tiers)
    for account in candidate.accounts:
        limits = account.limits
        if limits.tokens_per_s and limits.tokens_per_s < limits.requests_per_s:
            cause = "tokens_per_s allows less than a token for each of requests_per_s"
            findings.append(Contradiction(f"account {account.name}", cause))
    if in_force is not None:
        if candidate.team != in_force.team:
            cause = f"the document in force is that of team {in_force.team}"
            findings.append(Contradiction(f"team {candidate.team}", cause))
        findings += _compare("service", in_force.services, candidate.services)
        findings += _compare("tier", in_force.tiers, candidate.tiers)
        findings += _compare("account", in_force.accounts, candidate.accounts)
        findings += _compare("operator", in_force.operators, candidate.operators)
        findings += _compare("link", in_force.links, candidate.links, _name_link)
    return tuple(findings)


def _name(entry: Any) -> str:
    return entry.name


def _name_link(link: Any) -> str:
    return f"{link.source} {link.target}"


def _find_duplicates(kind: str, entries: Iterable[Any]) -> Iterator[Finding]:
    counts = Counter(entry.name for entry in entries)
    return (Duplicate(kind, name) for name, count in counts.items() if count > 1)


def _check_matches(routes: Iterable[CallRoute]) -> Iterator[Finding]:
    """Find routes that no call reaches."""
    first: dict[tuple[str, str], str] = {}
    for route in routes:
        entry = f"route {route.name}"
        if not route.prefix.startswith("/"):
            yield Unmatchable(entry, "as its prefix does not begin with a slash")
        elif not route.prefix.endswith("/"):
            cause = "its prefix does not end with a slash, and matches in mid-word"
            yield Contradiction(entry, cause)
        if ":" in route.host or "/" in route.host:
            yield Unmatchable(entry, "as its host has a port or a path")
        key = (route.host, route.prefix)
        if key in first:
            yield Shadowed(route.name, first[key])
        first.setdefault(key, route.name)


def _check_route(route: CallRoute) -> Iterator[Finding]:
    """Find limits of a route that contradict each other."""
    entry = f"route {route.name}"
    if route.timeout_s <= 0:
        yield Contradiction(entry, "its timeout leaves no time for any call")
    elif route.timeout_s < route.objective_s:
        cause = (
            f"its timeout of {route.timeout_s:g} s is shorter than its objective of"
            f" {route.objective_s:g} s"
        )
        yield Contradiction(entry, cause)
    if route.kind is CallKind.STREAM:
        if route.timeout_s < route.gap_s:
            cause = f"its timeout is shorter than one pause of {route.gap_s:g} s"
            yield Contradiction(entry, cause)
        return
    if route.is_resumable:
        yield Ineffective(entry, "only streams can be resumed")
    if route.gap_s:
        yield Ineffective(entry, "only streams have pauses between events")


def _check_targets(route: CallRoute, deployment: Deployment) -> Iterator[Finding]:
    """Find services that get no calls of a route, or that don't exist."""
    entry = f"route {route.name}"
    names = [target.service for target in route.targets]
    for name in names:
        if deployment.find_service(name) is None:
            yield Unknown(entry, "service", name)
    for name, count in Counter(names).items():
        if count > 1:
            yield Contradiction(entry, f"service {name} is in its split twice")
    weights = [target.weight for target in route.targets]
    if not any(weight > 0 for weight in weights):
        yield Contradiction(entry, "its split has no positive weight")
        return
    for target in route.targets:
        if target.weight <= 0:
            yield Ineffective(entry, f"service {target.service} gets none of its calls")
    kinds = {
        service.engine is not None
        for name in names
        if (service := deployment.find_service(name)) is not None
    }
    if len(kinds) > 1:
        cause = "its split mixes model engines and plain services"
        yield Contradiction(entry, cause)


def _check_service(
    service: UpstreamService, deployment: Deployment
) -> Iterator[Finding]:
    entry = f"service {service.name}"
    targets = {item.service for route in deployment.routes for item in route.targets}
    if service.name not in targets:
        yield Ineffective(entry, "no route leads to it")
    if service.engine is not None:
        yield from _check_engine(entry, service.engine)


def _check_engine(entry: str, engine: EngineCapacity) -> Iterator[Finding]:
    if not engine.models:
        yield Unmatchable(entry, "as its engines have no model")
    if not engine.slots:
        yield Contradiction(entry, "its engines have no slots")
    if not engine.cache_tokens:
        yield Contradiction(entry, "its engines have no memory")


def _check_accounts(deployment: Deployment) -> Iterator[Finding]:
    holders: dict[str, list[str]] = {}
    for account in deployment.accounts:
        if not account.keys:
            yield Ineffective(f"account {account.name}", "it has no key")
        for key in account.keys:
            holders.setdefault(key, []).append(account.name)
    # The keys themselves are secret.
    shared = {tuple(sorted(names)) for names in holders.values() if len(names) > 1}
    for names in sorted(shared):
        yield SharedKey(names)
    needing = [route.name for route in deployment.routes if route.needs_key]
    if deployment.accounts and not needing:
        yield Ineffective("accounts", "no route asks for a key")
    has_key = any(account.keys for account in deployment.accounts)
    if deployment.accounts and needing and not has_key:
        yield Unmatchable("routes that need a key", "as no account has one")


def _check_limits(limits: CallerLimits, memory_bytes: int | None) -> Iterator[Finding]:
    named = (
        ("the limit on heads", limits.header_bytes),
        ("the time for heads", limits.header_timeout_s),
        ("the time for idle connections", limits.idle_timeout_s),
    )
    for name, value in named:
        if not value:
            yield Contradiction("limits", f"{name} is zero")
    if not limits.body_bytes:
        yield Ineffective("limits", "no call may have a body")
    if memory_bytes is not None and limits.body_bytes > memory_bytes:
        cause = (
            f"bodies of {limits.body_bytes} bytes exceed a gateway's memory of"
            f" {memory_bytes} bytes"
        )
        yield Contradiction("limits", cause)


def _check_tiers(tiers: Sequence[Tier]) -> Iterator[Finding]:
    """Find tiers that nobody has a reason to choose, and contradicting prices."""
    for tier in tiers:
        entry = f"tier {tier.name}"
        if tier.cached_price_per_1k_tokens > tier.price_per_1k_tokens:
            yield Contradiction(entry, "cached tokens cost more than computed ones")
        for other in tiers:
            if (
                other.promised_wait_s < tier.promised_wait_s
                and other.price_per_1k_tokens < tier.price_per_1k_tokens
            ):
                cause = f"tier {other.name} promises a shorter wait and costs less"
                yield Ineffective(entry, cause)


def _compare(
    kind: str,
    former: Iterable[Any],
    present: Iterable[Any],
    find_name: Callable[[Any], str] = _name,
) -> Iterator[Finding]:
    """Find the entries that were added, removed or changed."""
    before = {find_name(entry): entry for entry in former}
    after = {find_name(entry): entry for entry in present}
    for name in sorted(before.keys() - after.keys()):
        yield Changed(f"{kind} {name}", Presence.REMOVED)
    for name, entry in after.items():
        if name not in before:
            yield Changed(f"{kind} {name}", Presence.ADDED)
        else:
            yield from _compare_fields(f"{kind} {name}", before[name], entry)


def _compare_fields(entry: str, former: Any, present: Any) -> Iterator[Finding]:
    details = tuple(
        _describe_change(field.name, getattr(former, field.name), value)
        for field in fields(present)
        if getattr(former, field.name) != (value := getattr(present, field.name))
    )
    if details:
        yield Changed(entry, Presence.CHANGED, details)


def _describe_change(name: str, former: Any, present: Any) -> str:
    """Return how a field was changed."""
    if name not in _SECRET_FIELDS:
        return f"{name} {_format_value(former)} -> {_format_value(present)}"
    if isinstance(present, str):
        return f"{name} differs"
    added, removed = set(present) - set(former), set(former) - set(present)
    return f"{name}: {len(added)} added, {len(removed)} removed"


def _format_value(value: Any) -> str:
    """
    Return a value as people write it.

    >>> _format_value((WeightedTarget("a", 1.0), WeightedTarget("b", 3.0)))
    'a:1, b:3'
    """
    match value:
        case None | "" | ():
            return "none"
        case bool():
            return "yes" if value else "no"
        case float():
            return f"{value:g}"
        case enum.Enum():
            return value.value
        case WeightedTarget(service, weight):
            return f"{service}:{weight:g}"
        case tuple():
            return ", ".join(_format_value(each) for each in value)
    return str(value)
