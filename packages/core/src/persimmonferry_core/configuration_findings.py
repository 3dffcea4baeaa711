"""What a check of a configuration finds, and how it is put into words."""

import enum
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from typing import Any

__all__ = [
    "Changed",
    "Contradiction",
    "Duplicate",
    "Finding",
    "Ineffective",
    "NotNewer",
    "Presence",
    "Severity",
    "Shadowed",
    "SharedKey",
    "Unknown",
    "Unmatchable",
    "Unreadable",
    "describe_finding",
    "encode_finding",
    "find_severity",
    "has_errors",
]


class Severity(enum.Enum):
    """How much a finding matters to whoever sends the configuration."""

    ERROR = "error"
    WARNING = "warning"
    CHANGE = "change"


class Presence(enum.Enum):
    """How an entry differs from the configuration in force."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True)
class Unreadable:
    """The configuration can't be read."""

    cause: str


@dataclass(frozen=True)
class Duplicate:
    """Two entries of a kind have the same name, so that only one can be found."""

    kind: str
    name: str


@dataclass(frozen=True)
class Shadowed:
    """No call reaches a route, as an earlier one has the same host and prefix."""

    route: str
    by: str


@dataclass(frozen=True)
class Unmatchable:
    """An entry can never match."""

    entry: str
    cause: str


@dataclass(frozen=True)
class Unknown:
    """An entry names another one that does not exist."""

    entry: str
    kind: str
    name: str


@dataclass(frozen=True)
class SharedKey:
    """Client accounts have a key in common; only the last one is found by it."""

    accounts: tuple[str, ...]


@dataclass(frozen=True)
class Contradiction:
    """Limits of an entry contradict each other."""

    entry: str
    cause: str


@dataclass(frozen=True)
class NotNewer:
    """The version is not higher than that in force, so that nobody applies it."""

    version: int
    in_force: int


@dataclass(frozen=True)
class Ineffective:
    """A part of an entry has no effect."""

    entry: str
    cause: str


@dataclass(frozen=True)
class Changed:
    """
    An entry differs from the configuration in force.

    :param details: what differs; empty unless it was changed.
    """

    entry: str
    presence: Presence
    details: tuple[str, ...] = ()


Finding = (
    Unreadable
    | Duplicate
    | Shadowed
    | Unmatchable
    | Unknown
    | SharedKey
    | Contradiction
    | NotNewer
    | Ineffective
    | Changed
)


def find_severity(finding: Finding) -> Severity:
    """Return how much a finding matters."""
    match finding:
        case Changed():
            return Severity.CHANGE
        case Ineffective():
            return Severity.WARNING
    return Severity.ERROR


def has_errors(findings: Iterable[Finding]) -> bool:
    """Return whether the configuration should not be sent."""
    return any(find_severity(finding) is Severity.ERROR for finding in findings)


def describe_finding(finding: Finding) -> str:
    """
    Return a finding as a line of text.

    >>> describe_finding(Shadowed("late", by="early"))
    'route late: never matches, as route early has the same host and prefix'
    """
    match finding:
        case Unreadable(cause):
            return cause
        case Duplicate(kind, name):
            return f"{kind} {name}: the name is given twice"
        case Shadowed(route, by):
            return (
                f"route {route}: never matches, as route {by} has the same host and"
                " prefix"
            )
        case Unmatchable(entry, cause):
            return f"{entry}: never matches, {cause}"
        case Unknown(entry, kind, name):
            return f"{entry}: there is no {kind} {name}"
        case SharedKey(accounts):
            return f"accounts {', '.join(accounts)}: have a key in common"
        case Contradiction(entry, cause) | Ineffective(entry, cause):
            return f"{entry}: {cause}"
        case NotNewer(version, in_force):
            return (
                f"version {version}: is not higher than {in_force}, which is in force"
            )
        case Changed(entry, presence, details):
            return f"{entry}: {'; '.join((presence.value, *details))}"


def encode_finding(finding: Finding) -> dict[str, Any]:
    """
    Return a finding as a JSON object.

    >>> encode_finding(Unknown("route a", "service", "b"))["finding"]
    'unknown'
    """
    fields = {
        name: value.value if isinstance(value, enum.Enum) else value
        for name, value in asdict(finding).items()
    }
    return {
        "severity": find_severity(finding).value,
        "finding": type(finding).__name__.lower(),
        "text": describe_finding(finding),
        "fields": fields,
    }
