"""Tracks which upstreams an entry may use, based on the reports of their agents."""

import enum
from dataclasses import dataclass, replace

from persimmonferry_core.routing import UpstreamReport
from persimmonferry_core.topology import Address

__all__ = [
    "MIN_REPORT_TIMEOUT_S",
    "REPORT_INTERVAL_S",
    "Observation",
    "ReportedUpstream",
    "UpstreamTable",
]

REPORT_INTERVAL_S = 0.25
MIN_REPORT_TIMEOUT_S = 1.0
MAX_MISSED_REPORTS = 3
REPORT_BYTES = 350
REPORT_BYTES_PER_S = 3000


@dataclass(frozen=True)
class ReportedUpstream:
    """
    An upstream as last reported by its agent.

    :param address: of the agent, for runs and calls.
    """

    report: UpstreamReport
    address: Address


class Observation(enum.Enum):
    """Effect of a report on the table."""

    NEW = "new"
    UPDATED = "updated"
    STALE = "stale"


@dataclass(frozen=True)
class _Row:
    presence: ReportedUpstream
    received_at: float
    suspected: bool = False


class UpstreamTable:
    """The upstreams of one entry by name, each with its newest incarnation."""

    def __init__(self) -> None:
        self._rows: dict[str, _Row] = {}
        self._names: dict[Address, str] = {}

    def observe(
        self, report: UpstreamReport, address: Address, now: float
    ) -> Observation:
        """
        Apply a report.

        A report from an older incarnation, or out of order, has no effect: a process
        that resumes after its VM was replaced must not restore its old state. If two
        upstreams report the same address, the newer incarnation keeps it.
        """
        known = self.find(report.name)
        if known is not None and _order(report) <= _order(known.report):
            return Observation.STALE
        if not self._claim_address(report, address):
            return Observation.STALE
        if known is not None and known.address != address:
            self._drop(report.name)
        self._rows[report.name] = _Row(ReportedUpstream(report, address), now)
        self._names[address] = report.name
        if known is None or known.report.incarnation != report.incarnation:
            return Observation.NEW
        return Observation.UPDATED

    def expire(self, now: float) -> tuple[str, ...]:
        """Remove upstreams without a recent report and return their names."""
        timeout_s = max(
            MIN_REPORT_TIMEOUT_S, MAX_MISSED_REPORTS * self.compute_report_interval()
        )
        silent = [
            name
            for name, row in self._rows.items()
            if now - row.received_at > timeout_s
        ]
        for name in silent:
            self._drop(name)
        return tuple(silent)

    def compute_report_interval(self) -> float:
        """
        Return how often agents should report, in seconds.

        The interval grows with the number of upstreams, so that the reports stay within
        the entry's bandwidth budget for control traffic.
        """
        return max(
            REPORT_INTERVAL_S, len(self._rows) * REPORT_BYTES / REPORT_BYTES_PER_S
        )

    def suspect(self, name: str, incarnation: int) -> bool:
        """
        Avoid an upstream with a broken connection until its next report.

        :returns: whether the table changed.
        """
        row = self._rows.get(name)
        if row is None or row.suspected:
            return False
        if row.presence.report.incarnation != incarnation:
            return False
        self._rows[name] = replace(row, suspected=True)
        return True

    def find(self, name: str) -> ReportedUpstream | None:
        """Return an upstream as last reported, or None."""
        row = self._rows.get(name)
        return None if row is None else row.presence

    def list_usable(self, service: str) -> tuple[ReportedUpstream, ...]:
        """Return the upstreams of a service that accept new work."""
        return tuple(
            row.presence
            for row in self._rows.values()
            if row.presence.report.service == service
            and not row.presence.report.leaving
            and not row.suspected
        )

    def list_all(self) -> tuple[ReportedUpstream, ...]:
        """Return every upstream as last reported."""
        return tuple(row.presence for row in self._rows.values())

    def _claim_address(self, report: UpstreamReport, address: Address) -> bool:
        """Drop another upstream with the address, unless it is newer."""
        name = self._names.get(address)
        if name is None or name == report.name:
            return True
        if self._rows[name].presence.report.incarnation > report.incarnation:
            return False
        self._drop(name)
        return True

    def _drop(self, name: str) -> None:
        row = self._rows.pop(name)
        del self._names[row.presence.address]


def _order(report: UpstreamReport) -> tuple[int, int]:
    return report.incarnation, report.sequence
