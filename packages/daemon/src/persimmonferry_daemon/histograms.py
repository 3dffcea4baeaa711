"""Latency histograms for each client account and tier, by ``hdrhistogram``."""

import enum
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

__all__ = ["HistogramRow", "Histograms", "Measure"]

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
US_PER_S = 1_000_000
MS_PER_US = 1 / 1000


class Measure(enum.Enum):
    """What a histogram holds."""

    QUEUE_WAIT = "queue_wait"
    FIRST_TOKEN = "first_token"
    BETWEEN_TOKENS = "between_tokens"
    WHOLE_ANSWER = "whole_answer"
    REFUSAL = "refusal"


@dataclass(frozen=True)
class HistogramRow:
    """One histogram in short; times in milliseconds."""

    account: str
    tier: str
    measure: str
    count: int
    p50_ms: float
    p95_ms: float
    p99_ms: float
    max_ms: float


class Histograms:
    """All histograms of one process."""

    def __init__(self) -> None:
        self._histograms: dict[tuple[str, str, Measure], HdrHistogram] = {}

    def record(
        self, account: str, tier: str, measure: Measure, duration_s: float
    ) -> None:
        """Count one duration."""
        key = (account, tier, measure)
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self._histograms[key] = histogram
        duration_us = int(duration_s * US_PER_S)
        histogram.record_value(min(max(duration_us, LOWEST_US), HIGHEST_US))

    def list_rows(self) -> tuple[HistogramRow, ...]:
        """Return all histograms, by account, tier and measure."""
        keys = sorted(self._histograms, key=lambda key: (key[0], key[1], key[2].value))
        return tuple(self._summarise(*key) for key in keys)

    def _summarise(self, account: str, tier: str, measure: Measure) -> HistogramRow:
        histogram = self._histograms[account, tier, measure]

        def read_ms(percentile: float) -> float:
            value_us = histogram.get_value_at_percentile(percentile)
            return round(value_us * MS_PER_US, 3)

        return HistogramRow(
            account=account,
            tier=tier,
            measure=measure.value,
            count=histogram.get_total_count(),
            p50_ms=read_ms(50),
            p95_ms=read_ms(95),
            p99_ms=read_ms(99),
            max_ms=read_ms(100),
        )
