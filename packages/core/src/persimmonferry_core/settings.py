"""Settings of one process, parsed from INI and validated."""

import configparser
import enum
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import urlsplit

from persimmonferry_core.codes import ResultCode
from persimmonferry_core.exceptions import ConfigurationFaulty
from persimmonferry_core.schema import ServiceKind
from persimmonferry_core.topology import Address, FailureDomain

__all__ = [
    "AgentSettings",
    "EntrySettings",
    "ProcessRole",
    "ProcessSettings",
    "parse_settings",
]

Value = TypeVar("Value")


class ProcessRole(enum.Enum):
    """Role of a process."""

    ENTRY = "entry"
    AGENT = "agent"


@dataclass(frozen=True)
class EntrySettings:
    """
    Settings of an entry.

    :param callers: listen address for callers' requests.
    :param max_body_bytes: maximum size of a request body.
    :param body_memory_bytes: maximum size of all bodies that are received or served.
    :param body_timeout_s: maximum time to receive a body.
    :param readiness_grace_s: time between reporting not ready and refusing requests.
    """

    callers: Address
    max_body_bytes: int = 4 * 1024 * 1024
    body_memory_bytes: int = 32 * 1024 * 1024
    body_timeout_s: float = 10.0
    readiness_grace_s: float = 1.0


@dataclass(frozen=True)
class AgentSettings:
    """
    Settings of an agent.

    :param kind: of the upstream.
    :param service: name of the service that the upstream provides.
    :param upstream_url: base URL of the upstream on the same VM.
    """

    kind: ServiceKind
    service: str
    upstream_url: str


@dataclass(frozen=True)
class ProcessSettings:
    """
    Settings of one process.

    :param peers: listen address for other processes and operators.
    :param role: settings of the process's role.
    """

    name: str
    team: str
    failure_domain: FailureDomain
    peers: Address
    platform_url: str
    vm_list_url: str
    role: EntrySettings | AgentSettings
    log_level: str = "INFO"


_KEYS = {
    "process": {"role", "name", "team", "region", "failure_domain"},
    "listen": {"callers", "peers"},
    "platform": {"url", "vm_list_url"},
    "upstream": {"kind", "service", "url"},
    "entry": {
        "max_body_bytes",
        "body_memory_bytes",
        "body_timeout_s",
        "readiness_grace_s",
    },
    "log": {"level"},
}
_LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


class _Reader:
    """Reads typed values and collects all faults."""

    def __init__(self, parser: configparser.ConfigParser) -> None:
        self._parser = parser
        self.faults: list[str] = []

    def check_names(self) -> None:
        for section in self._parser.sections():
            if section not in _KEYS:
                self.faults.append(f"[{section}] is not a known section")
                continue
            for key in self._parser[section]:
                if key not in _KEYS[section]:
                    self.faults.append(f"[{section}] {key} is not a known key")

    def read(
        self,
        section: str,
        key: str,
        convert: Callable[[str], Value],
        default: Value | None = None,
    ) -> Value | None:
        text = self._parser.get(section, key, fallback="").strip()
        if not text:
            if default is None:
                self.faults.append(f"[{section}] {key} is missing")
            return default
        try:
            return convert(text)
        except ValueError as error:
            self.faults.append(f"[{section}] {key}: {error}")
            return default


def parse_settings(text: str) -> ProcessSettings:
    """
    Parse the settings of a process.

    :raises ConfigurationFaulty: with all faults, each with its section and key.

    >>> parse_settings("[process]\\nrole = cook\\n")
    Traceback (most recent call last):
        ...
    persimmonferry_core.exceptions.ConfigurationFaulty: 5006 the settings have faults: \
[process] role: 'cook' is not one of entry, agent; [process] name is missing; \
[process] team is missing; [process] region is missing; \
[process] failure_domain is missing; [listen] peers is missing; \
[platform] url is missing; [platform] vm_list_url is missing
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        raise ConfigurationFaulty(
            ResultCode.SETTINGS_FAULTY, (" ".join(str(error).split()),)
        ) from error
    reader = _Reader(parser)
    reader.check_names()
    kind = reader.read("process", "role", _read_role)
    name = reader.read("process", "name", str)
    team = reader.read("process", "team", str)
    region = reader.read("process", "region", str)
    domain = reader.read("process", "failure_domain", str)
    peers = reader.read("listen", "peers", Address.parse)
    platform_url = reader.read("platform", "url", _read_url)
    vm_list_url = reader.read("platform", "vm_list_url", _read_url)
    level = reader.read("log", "level", _read_level, "INFO")
    role = _read_role_settings(reader, kind)
    if reader.faults:
        raise ConfigurationFaulty(ResultCode.SETTINGS_FAULTY, tuple(reader.faults))
    return ProcessSettings(
        name=name,
        team=team,
        failure_domain=FailureDomain(region, domain),
        peers=peers,
        platform_url=platform_url,
        vm_list_url=vm_list_url,
        role=role,
        log_level=level,
    )


def _read_role_settings(
    reader: _Reader, kind: ProcessRole | None
) -> EntrySettings | AgentSettings | None:
    match kind:
        case ProcessRole.ENTRY:
            return EntrySettings(
                callers=reader.read("listen", "callers", Address.parse),
                max_body_bytes=reader.read(
                    "entry", "max_body_bytes", _read_count, EntrySettings.max_body_bytes
                ),
                body_memory_bytes=reader.read(
                    "entry",
                    "body_memory_bytes",
                    _read_count,
                    EntrySettings.body_memory_bytes,
                ),
                body_timeout_s=reader.read(
                    "entry",
                    "body_timeout_s",
                    _read_seconds,
                    EntrySettings.body_timeout_s,
                ),
                readiness_grace_s=reader.read(
                    "entry",
                    "readiness_grace_s",
                    _read_seconds,
                    EntrySettings.readiness_grace_s,
                ),
            )
        case ProcessRole.AGENT:
            return AgentSettings(
                kind=reader.read("upstream", "kind", _read_kind),
                service=reader.read("upstream", "service", str),
                upstream_url=reader.read("upstream", "url", _read_url),
            )
        case None:
            return None


def _read_choice(text: str, kind: type[enum.Enum]) -> enum.Enum:
    values = [item.value for item in kind]
    if text not in values:
        raise ValueError(f"{text!r} is not one of {', '.join(values)}")
    return kind(text)


def _read_role(text: str) -> ProcessRole:
    return _read_choice(text, ProcessRole)


def _read_kind(text: str) -> ServiceKind:
    return _read_choice(text, ServiceKind)


def _read_url(text: str) -> str:
    parts = urlsplit(text)
    if parts.scheme != "http" or not parts.hostname:
        raise ValueError(f"{text!r} is not of the form http://host:port")
    return text.rstrip("/")


def _read_count(text: str) -> int:
    if not text.isdigit() or int(text) == 0:
        raise ValueError(f"{text!r} is not a positive integer")
    return int(text)


def _read_seconds(text: str) -> float:
    seconds = float(text)
    if not 0 <= seconds < float("inf"):
        raise ValueError(f"{text!r} is not a non-negative number of seconds")
    return seconds


def _read_level(text: str) -> str:
    if text not in _LOG_LEVELS:
        raise ValueError(f"{text!r} is not one of {', '.join(_LOG_LEVELS)}")
    return text
