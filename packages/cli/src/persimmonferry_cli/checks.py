"""The command that checks a configuration before it is sent."""

import importlib
import json as json_text
from collections.abc import Callable
from pathlib import Path
from typing import Any

from persimmonferry_core.codes import ResultCode
from persimmonferry_core.configuration_check import check_deployment, check_document
from persimmonferry_core.configuration_findings import (
    Finding,
    Severity,
    Unreadable,
    describe_finding,
    encode_finding,
    find_severity,
    has_errors,
)
from persimmonferry_core.deployment import Deployment
from persimmonferry_core.document import parse_document
from persimmonferry_core.exceptions import ConfigurationFaulty
from persimmonferry_core.schema import TeamDocument

from persimmonferry_cli.client import EXIT_REFUSED, EXIT_USAGE, CommandFailed
from persimmonferry_cli.documents import read_document

__all__ = ["check"]

BYTES_PER_MB = 1_000_000


def check(
    file: Path,
    *,
    against: Path | None = None,
    decoder: str = "",
    memory_mb: int | None = None,
    json: bool = False,
) -> None:
    """
    Check a configuration without a connection and list every finding.

    :param file: a team's INI document, or a deployment for a decoder.
    :param against: the configuration in force, to list the differences.
    :param decoder: MODULE:FUNCTION that decodes a deployment from its bytes.
    :param memory_mb: the smallest memory of a gateway, in megabytes.
    :param json: print JSON for programs.
    """
    read = _make_deployment_reader(decoder) if decoder else _read_team_document
    in_force = None
    if against is not None:
        in_force = read(against)
        if isinstance(in_force, tuple):
            causes = (describe_finding(finding) for finding in in_force)
            lines = (f"error: {against} can't be compared with", *causes)
            raise CommandFailed(EXIT_USAGE, lines)
    memory_bytes = None if memory_mb is None else memory_mb * BYTES_PER_MB
    candidate = read(file)
    findings = _find(candidate, in_force, memory_bytes)
    if json:
        _print_json(file, findings)
    else:
        _print_text(file, candidate, findings)


def _find(
    candidate: TeamDocument | Deployment | tuple[Finding, ...],
    in_force: TeamDocument | Deployment | None,
    memory_bytes: int | None,
) -> tuple[Finding, ...]:
    match candidate:
        case TeamDocument():
            return check_document(candidate, in_force)
        case Deployment():
            return check_deployment(candidate, in_force, memory_bytes)
    return candidate


def _print_json(file: Path, findings: tuple[Finding, ...]) -> None:
    document = {
        "file": str(file),
        "has_errors": has_errors(findings),
        "findings": [encode_finding(finding) for finding in findings],
    }
    print(json_text.dumps(document, indent=2))
    if has_errors(findings):
        raise CommandFailed(EXIT_REFUSED, ())


def _print_text(file: Path, candidate: Any, findings: tuple[Finding, ...]) -> None:
    """Print warnings and changes, and raise the errors."""
    lines: dict[Severity, list[str]] = {severity: [] for severity in Severity}
    for finding in findings:
        lines[find_severity(finding)].append(describe_finding(finding))
    for severity in (Severity.WARNING, Severity.CHANGE):
        for line in lines[severity]:
            print(f"{severity.value}: {line}")
    if lines[Severity.ERROR]:
        code = ResultCode.CONFIGURATION_FAULTY
        first = f"error {code.number} {code.text}"
        raise CommandFailed(EXIT_REFUSED, (first, *lines[Severity.ERROR]))
    match candidate:
        case TeamDocument(team=team):
            print(f"{file}: no faults, team {team}")
        case Deployment(version=version):
            print(f"{file}: no faults, version {version}")


def _read_team_document(file: Path) -> TeamDocument | tuple[Finding, ...]:
    """Return a document, or its faults."""
    _, text = read_document(file)
    try:
        return parse_document(text)
    except ConfigurationFaulty as error:
        return tuple(Unreadable(fault) for fault in error.faults)


def _make_deployment_reader(
    decoder: str,
) -> Callable[[Path], Deployment | tuple[Finding, ...]]:
    """Return a function that returns a deployment in a file, or what is wrong."""
    module, _, name = decoder.partition(":")
    try:
        decode = getattr(importlib.import_module(module), name)
    except (ImportError, AttributeError, ValueError) as error:
        lines = (f"error: decoder {decoder!r}: {error}",)
        raise CommandFailed(EXIT_USAGE, lines) from None

    def read(file: Path) -> Deployment | tuple[Finding, ...]:
        try:
            body = file.read_bytes()
        except OSError as error:
            lines = (f"error: {file}: {error}",)
            raise CommandFailed(EXIT_REFUSED, lines) from None
        try:
            return decode(body)
        except ValueError as error:
            return (Unreadable(str(error)),)

    return read
