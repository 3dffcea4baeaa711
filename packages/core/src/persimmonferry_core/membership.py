"""Which upstreams an entry may use, by the reports of their agents."""

import enum
from dataclasses import dataclass, replace

from persimmonferry_core.contracts import ServiceKind
from persimmonferry_core.world import Address

__all__ = [
    "REPORT_INTERVAL_S",
    "REPORT_TIMEOUT_S",
    "Observation",
    "UpstreamReport",
    "UpstreamTable",
]

REPORT_INTERVAL_S = 0.25
REPORT_TIMEOUT_S = 1.0


@dataclass(frozen=True)
class UpstreamReport:
    """
    What an agent says of its upstream.

    :param incarnation: start time of the agent process, in milliseconds since the
        epoch; a higher one replaces a lower one.
    :param sequence: grows with each report of an incarnation.
    :param address: of the agent, for runs and calls.
    :param leaving: whether it refuses new work.
    """

    name: str
    incarnation: int
    sequence: int
    address: Address
    failure_domain: str
    service: str
    kind: ServiceKind
    model: str
    version: str
    leaving: bool
    running: int
    waiting: int
    waiting_prefill_tokens: int
    slots: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float


class Observation(enum.Enum):
    """What a report did to the table."""

    NEW = "new"
    UPDATED = "updated"
    STALE = "stale"


@dataclass(frozen=True)
class _Row:
    report: UpstreamReport
    heard_at: float
    suspected: bool = False


class UpstreamTable:
    """The upstreams of one entry, by name; the newest incarnation of each counts."""

    def __init__(self) -> None:
        self._rows: dict[str, _Row] = {}

    def observe(self, report: UpstreamReport, now: float) -> Observation:
        """
        Take a report.

        A report of an older incarnation, or out of order, changes nothing: a process
        that wakes up after its VM was replaced must not bring its old state back.
        An address that another upstream had belongs to the newer incarnation.
        """
        row = self._rows.get(report.name)
        if row is not None and _order(report) <= _order(row.report):
            return Observation.STALE
        for name, other in list(self._rows.items()):
            if name != report.name and other.report.address == report.address:
                if other.report.incarnation > report.incarnation:
                    return Observation.STALE
                del self._rows[name]
        self._rows[report.name] = _Row(report, now)
        if row is None or row.report.incarnation != report.incarnation:
            return Observation.NEW
        return Observation.UPDATED

    def expire(self, now: float) -> tuple[str, ...]:
        """Remove upstreams that have been silent for too long; return their names."""
        silent = [
            name
            for name, row in self._rows.items()
            if now - row.heard_at > REPORT_TIMEOUT_S
        ]
        for name in silent:
            del self._rows[name]
        return tuple(silent)

    def suspect(self, name: str, incarnation: int) -> bool:
        """
        Avoid an upstream whose connection broke until its next report.

        :returns: whether the table changed.
        """
        row = self._rows.get(name)
        if row is None or row.report.incarnation != incarnation or row.suspected:
            return False
        self._rows[name] = replace(row, suspected=True)
        return True

    def find(self, name: str) -> UpstreamReport | None:
        """Return the newest report of an upstream, or None."""
        row = self._rows.get(name)
        return None if row is None else row.report

    def list_usable(self, service: str) -> tuple[UpstreamReport, ...]:
        """Return the upstreams of a service that take new work."""
        return tuple(
            row.report
            for row in self._rows.values()
            if row.report.service == service
            and not row.report.leaving
            and not row.suspected
        )

    def list_all(self) -> tuple[UpstreamReport, ...]:
        """Return the newest report of every upstream."""
        return tuple(row.report for row in self._rows.values())


def _order(report: UpstreamReport) -> tuple[int, int]:
    return report.incarnation, report.sequence
