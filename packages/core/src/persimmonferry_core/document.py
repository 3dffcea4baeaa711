"""Parses, validates and formats the configuration document of a team (INI)."""

import configparser
import re
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from functools import lru_cache
from typing import Any

from persimmonferry_core.codes import ResultCode
from persimmonferry_core.exceptions import ConfigurationFaulty
from persimmonferry_core.schema import (
    ClientAccount,
    Limits,
    Operator,
    RoutingWeights,
    Service,
    ServiceKind,
    TeamDocument,
    Tier,
)
from persimmonferry_core.sections import split_sections
from persimmonferry_core.topology import Link

__all__ = ["format_document", "parse_document"]

MIN_SECRET_HEX = 32
MAX_SLOTS = 100_000
MAX_WAIT_S = 7 * 86_400
MAX_CACHED_SECTIONS = 4096

_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
_DIGEST = re.compile(r"[0-9a-f]{64}")
_SECRET = re.compile(rf"([0-9a-f]{{2}}){{{MIN_SECRET_HEX // 2},}}")
_UNUSED_SECTION = "\0"


@dataclass(frozen=True)
class _KeyRule:
    """How a key is parsed, and its default; None if the key is required."""

    read: Callable[[str], Any]
    default: Any = None


def _read_number(low: float, high: float, exclusive: bool = False) -> Callable:
    def read(text: str) -> float:
        number = float(text)
        if not low <= number <= high or (exclusive and number == low):
            bound = "above" if exclusive else "at least"
            raise ValueError(f"must be {bound} {low:g} and at most {high:g}")
        return number

    return read


def _read_count(low: int, high: int) -> Callable:
    def read(text: str) -> int:
        number = int(text)
        if not low <= number <= high:
            raise ValueError(f"must be from {low} to {high}")
        return number

    return read


def _read_words(text: str) -> tuple[str, ...]:
    return tuple(text.replace(",", " ").split())


def _read_digests(text: str) -> tuple[str, ...]:
    digests = _read_words(text)
    if not 1 <= len(digests) <= 2:
        raise ValueError("must be one or two digests")
    if not all(_DIGEST.fullmatch(digest) for digest in digests):
        raise ValueError("must be hex SHA-256 digests in lower case")
    return digests


def _read_secret(text: str) -> str:
    if not _SECRET.fullmatch(text):
        raise ValueError(f"must be at least {MIN_SECRET_HEX} hex digits, lower case")
    return text


def _read_flag(text: str) -> bool:
    match text.lower():
        case "yes":
            return True
        case "no":
            return False
    raise ValueError("must be yes or no")


def _read_paths(text: str) -> tuple[str, ...]:
    paths = _read_words(text)
    if not all(path.startswith("/") for path in paths):
        raise ValueError("must be paths that start with /")
    return paths


def _read_text(text: str) -> str:
    if not text or any(character.isspace() for character in text):
        raise ValueError("must be one word")
    return text


def _read_optional(text: str) -> str:
    return _read_text(text) if text else ""


_MAX_NUMBER = 1e15
_NON_NEGATIVE = _read_number(0, _MAX_NUMBER)
_POSITIVE = _read_number(0, _MAX_NUMBER, exclusive=True)

_KEYS: Mapping[str, Mapping[str, _KeyRule]] = {
    "team": {"name": _KeyRule(_read_text)},
    "service": {
        "kind": _KeyRule(ServiceKind),
        "model": _KeyRule(_read_optional, ""),
        "version": _KeyRule(_read_optional, ""),
        "adapter": _KeyRule(_read_optional, ""),
        "slots_per_upstream": _KeyRule(_read_count(1, MAX_SLOTS), 8),
        "loading_slots": _KeyRule(_read_count(1, MAX_SLOTS), 1),
        "fenced": _KeyRule(_read_flag, True),
        "safe_paths": _KeyRule(_read_paths, ()),
        "first_token_weight": _KeyRule(_NON_NEGATIVE, 1.0),
        "recomputed_weight": _KeyRule(_NON_NEGATIVE, 0.0),
        "link_weight": _KeyRule(_NON_NEGATIVE, 0.0),
    },
    "tier": {
        "promised_wait_s": _KeyRule(_read_number(0, MAX_WAIT_S, exclusive=True)),
        "price_per_1k_tokens": _KeyRule(_NON_NEGATIVE),
        "cached_price_per_1k_tokens": _KeyRule(_NON_NEGATIVE),
    },
    "account": {
        "key_digests": _KeyRule(_read_digests),
        "cache_secret": _KeyRule(_read_secret),
        "weight": _KeyRule(_POSITIVE, 1.0),
        "services": _KeyRule(_read_words),
        "requests_per_s": _KeyRule(_NON_NEGATIVE, 0.0),
        "tokens_per_s": _KeyRule(_NON_NEGATIVE, 0.0),
        "concurrency": _KeyRule(_read_count(0, MAX_SLOTS), 0),
    },
    "operator": {"key_digests": _KeyRule(_read_digests)},
    "link": {
        "latency_s": _KeyRule(_read_number(0, 60)),
        "bytes_per_s": _KeyRule(_POSITIVE),
        "price_per_gb": _KeyRule(_NON_NEGATIVE, 0.0),
        "loss": _KeyRule(_read_number(0, 1), 0.0),
    },
}
_NAMES_IN_HEADER = {
    "team": 0,
    "service": 1,
    "tier": 1,
    "account": 1,
    "operator": 1,
    "link": 2,
}


@dataclass(frozen=True)
class _Section:
    """A parsed section; ``values`` is None if a name or key in it is invalid."""

    kind: str
    names: tuple[str, ...]
    values: Mapping[str, Any] | None


@dataclass(frozen=True)
class _Chunk:
    """
    Result of parsing the lines of one section.

    :param headers: of all sections in the lines, including invalid ones.
    """

    headers: tuple[str, ...]
    sections: tuple[_Section, ...]
    faults: tuple[str, ...]


def parse_document(text: str, team: str = "", revision: int = 0) -> TeamDocument:
    """
    Parse and validate a team's configuration document.

    :param text: the INI text.
    :param team: required team name; empty for any.
    :param revision: at which the platform accepted it; 0 if it is not accepted.
    :raises ConfigurationFaulty: with all faults, each with its section and key.
    """
    faults: list[str] = []
    sections = tuple(_read_sections(text, faults))
    _check_team(sections, team, faults)
    _check_presence(sections, faults)
    services = tuple(_build_services(sections, faults))
    tiers = tuple(_build_tiers(sections, faults))
    accounts = tuple(_build_accounts(sections))
    operators = tuple(_build_operators(sections))
    links = tuple(_build_links(sections, faults))
    _check_references(sections, accounts, faults)
    _check_distinct_keys(accounts, operators, faults)
    _check_distinct_secrets(accounts, faults)
    if faults:
        raise ConfigurationFaulty(ResultCode.CONFIGURATION_FAULTY, tuple(faults))
    team = next(item.values["name"] for item in _select(sections, "team"))
    return TeamDocument(team, revision, services, tiers, accounts, operators, links)


def format_document(document: TeamDocument) -> str:
    """Return INI text that parses to an equal document."""
    lines = ["[team]", f"name = {document.team}", ""]
    for service in document.services:
        lines += _format_section("service", service.name, _list_service(service))
    for tier in document.tiers:
        lines += _format_section("tier", tier.name, vars(tier))
    for account in document.accounts:
        values = {**vars(account), **vars(account.limits)}
        lines += _format_section("account", account.name, values)
    for operator in document.operators:
        lines += _format_section("operator", operator.name, vars(operator))
    for link in document.links:
        lines += _format_section("link", f"{link.source} {link.target}", vars(link))
    return "\n".join(lines)


def _list_service(service: Service) -> Mapping[str, Any]:
    weights = {f"{key}_weight": value for key, value in vars(service.weights).items()}
    return {**vars(service), **weights}


def _format_section(kind: str, name: str, values: Mapping[str, Any]) -> list[str]:
    lines = [f"[{kind} {name}]"]
    for key, rule in _KEYS[kind].items():
        value = values[key]
        if value != rule.default:
            lines.append(f"{key} = {_format_value(value)}")
    return [*lines, ""]


def _format_value(value: Any) -> str:
    match value:
        case ServiceKind():
            return value.value
        case bool():
            return "yes" if value else "no"
        case tuple():
            return ", ".join(value)
        case float() if value.is_integer():
            return str(int(value))
    return str(value)


def _read_sections(text: str, faults: list[str]) -> Iterable[_Section]:
    seen: set[str] = set()
    for part in split_sections(text):
        chunk = _read_chunk(part.text)
        faults += chunk.faults
        for header in chunk.headers:
            if header in seen:
                faults.append(f"[{header}]: defined twice")
            seen.add(header)
        yield from chunk.sections


@lru_cache(maxsize=MAX_CACHED_SECTIONS)
def _read_chunk(text: str) -> _Chunk:
    """Parse one section; cached, since a change leaves most sections as they were."""
    faults: list[str] = []
    sections = []
    parser = _read_ini(text, faults)
    for header in parser.sections():
        kind, *names = header.split() or [""]
        keys = _KEYS.get(kind)
        if keys is None:
            faults.append(f"[{header}]: no such kind of section")
            continue
        if len(names) != _NAMES_IN_HEADER[kind]:
            faults.append(f"[{header}]: must have {_NAMES_IN_HEADER[kind]} names")
            continue
        has_valid_names = _check_names(header, names, faults)
        values = _read_values(header, parser[header], keys, faults)
        sections.append(
            _Section(kind, tuple(names), values if has_valid_names else None)
        )
    return _Chunk(tuple(parser.sections()), tuple(sections), tuple(faults))


def _read_ini(text: str, faults: list[str]) -> configparser.ConfigParser:
    parser = _make_parser(strict=True)
    try:
        parser.read_string(text)
        return parser
    except configparser.Error as error:
        faults.append(_describe_syntax(text, error))
    # The lenient parser accepts duplicates, so that the other faults are reported too.
    lenient = _make_parser(strict=False)
    try:
        lenient.read_string(text)
    except configparser.Error as error:
        fault = _describe_syntax(text, error)
        if fault not in faults:
            faults.append(fault)
    return lenient


def _make_parser(*, strict: bool) -> configparser.ConfigParser:
    return configparser.ConfigParser(
        strict=strict, interpolation=None, default_section=_UNUSED_SECTION
    )


def _describe_syntax(text: str, error: configparser.Error) -> str:
    lines = text.splitlines()
    match error:
        case configparser.DuplicateSectionError():
            return f"[{error.section}]: defined twice"
        case configparser.DuplicateOptionError():
            return f"[{error.section}] {error.option}: defined twice"
        case configparser.MissingSectionHeaderError():
            return f"{lines[error.lineno - 1]!r}: is outside of any section"
        case configparser.ParsingError():
            wrong = ", ".join(repr(lines[number - 1]) for number, _ in error.errors)
            return f"{lines[0].strip()} {wrong}: neither a section nor key = value"
    return "not a valid INI document"


def _check_names(header: str, names: Iterable[str], faults: list[str]) -> bool:
    wrong = [name for name in names if not _NAME.fullmatch(name)]
    for name in wrong:
        faults.append(f"[{header}]: {name!r} is not a name in lower case")
    return not wrong


def _read_values(
    header: str,
    section: Mapping[str, str],
    keys: Mapping[str, _KeyRule],
    faults: list[str],
) -> Mapping[str, Any] | None:
    before = len(faults)
    for key in section:
        if key not in keys:
            faults.append(f"[{header}] {key}: no such key")
    values = {}
    for key, rule in keys.items():
        if key not in section:
            values[key] = rule.default
            if rule.default is None:
                faults.append(f"[{header}] {key}: is missing")
            continue
        try:
            values[key] = rule.read(section[key].strip())
        except ValueError as error:
            faults.append(f"[{header}] {key}: {_describe_value(rule, error)}")
    return values if len(faults) == before else None


def _describe_value(rule: _KeyRule, error: ValueError) -> str:
    if rule.read is ServiceKind:
        return "must be model or plain"
    text = str(error)
    return text if text.startswith("must") else "must be a number"


def _select(sections: Iterable[_Section], kind: str) -> Iterable[_Section]:
    return (section for section in sections if section.kind == kind)


def _select_valid(sections: Iterable[_Section], kind: str) -> Iterable[_Section]:
    return (item for item in _select(sections, kind) if item.values is not None)


def _check_team(sections: Iterable[_Section], team: str, faults: list[str]) -> None:
    for section in _select_valid(sections, "team"):
        if team and section.values["name"] != team:
            faults.append(f"[team] name: must be {team}")


def _check_presence(sections: Iterable[_Section], faults: list[str]) -> None:
    kinds = {section.kind for section in sections}
    # Without an operator, nobody could change the document any more.
    for kind in ("team", "service", "tier", "operator"):
        if kind not in kinds:
            faults.append(f"[{kind}]: the document has no such section")


def _build_services(
    sections: Iterable[_Section], faults: list[str]
) -> Iterable[Service]:
    for section in _select_valid(sections, "service"):
        values = dict(section.values)
        weights = RoutingWeights(
            values.pop("first_token_weight"),
            values.pop("recomputed_weight"),
            values.pop("link_weight"),
        )
        service = Service(section.names[0], **values, weights=weights)
        _check_service(service, faults)
        yield service


def _check_service(service: Service, faults: list[str]) -> None:
    header = f"[service {service.name}]"
    match service.kind:
        case ServiceKind.MODEL:
            needed = {"model": service.model, "version": service.version}
            faults += [
                f"{header} {key}: is missing" for key in needed if not needed[key]
            ]
            if service.safe_paths:
                faults.append(f"{header} safe_paths: is only for plain services")
        case ServiceKind.PLAIN:
            refused = {
                "model": service.model,
                "version": service.version,
                "adapter": service.adapter,
            }
            for key, value in refused.items():
                if value:
                    faults.append(f"{header} {key}: is for services of kind model")


def _build_tiers(sections: Iterable[_Section], faults: list[str]) -> Iterable[Tier]:
    for section in _select_valid(sections, "tier"):
        tier = Tier(section.names[0], **section.values)
        if tier.cached_price_per_1k_tokens > tier.price_per_1k_tokens:
            faults.append(
                f"[tier {tier.name}] cached_price_per_1k_tokens: "
                "must not be above price_per_1k_tokens"
            )
        yield tier


def _build_accounts(sections: Iterable[_Section]) -> Iterable[ClientAccount]:
    for section in _select_valid(sections, "account"):
        values = dict(section.values)
        limits = Limits(
            values.pop("requests_per_s"),
            values.pop("tokens_per_s"),
            values.pop("concurrency"),
        )
        yield ClientAccount(section.names[0], **values, limits=limits)


def _build_operators(sections: Iterable[_Section]) -> Iterable[Operator]:
    for section in _select_valid(sections, "operator"):
        yield Operator(section.names[0], **section.values)


def _build_links(sections: Iterable[_Section], faults: list[str]) -> Iterable[Link]:
    for section in _select_valid(sections, "link"):
        source, target = section.names
        if source == target:
            faults.append(
                f"[link {source} {target}]: must name two different failure domains"
            )
        yield Link(source, target, **section.values)


def _check_references(
    sections: Iterable[_Section],
    accounts: Iterable[ClientAccount],
    faults: list[str],
) -> None:
    known = {item.names[0] for item in _select(sections, "service")}
    for account in accounts:
        header = f"[account {account.name}]"
        if not account.services:
            faults.append(f"{header} services: must name at least one service")
        for service in account.services:
            if service not in known:
                faults.append(f"{header} services: no service {service}")


def _check_distinct_keys(
    accounts: Iterable[ClientAccount],
    operators: Iterable[Operator],
    faults: list[str],
) -> None:
    holders = [(f"account {item.name}", item.key_digests) for item in accounts]
    holders += [(f"operator {item.name}", item.key_digests) for item in operators]
    seen: dict[str, str] = {}
    for header, digests in holders:
        for digest in digests:
            first = seen.setdefault(digest, header)
            if first != header:
                faults.append(f"[{header}] key_digests: [{first}] has the same key")


def _check_distinct_secrets(
    accounts: Iterable[ClientAccount], faults: list[str]
) -> None:
    seen: dict[str, str] = {}
    for account in accounts:
        first = seen.setdefault(account.cache_secret, account.name)
        if first != account.name:
            faults.append(
                f"[account {account.name}] cache_secret: "
                f"[account {first}] has the same secret"
            )
