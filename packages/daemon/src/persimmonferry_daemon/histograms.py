"""Latency histograms for each client account and tier, by ``hdrhistogram``."""

import enum
from collections import OrderedDict
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

__all__ = ["HistogramRow", "Histograms", "Measure"]

UNITS_PER_S = 10_000
MS_PER_UNIT = 0.1
LOWEST_UNITS = 1
HIGHEST_UNITS = 3600 * UNITS_PER_S
SIGNIFICANT_DIGITS = 2
MAX_LIVE = 256


class Measure(enum.Enum):
    """The quantity that a histogram records."""

    QUEUE_WAIT = "queue_wait"
    FIRST_TOKEN = "first_token"
    BETWEEN_TOKENS = "between_tokens"
    WHOLE_ANSWER = "whole_answer"
    REFUSAL = "refusal"


@dataclass(frozen=True)
class HistogramRow:
    """Summary of one histogram; times in milliseconds."""

    account: str
    tier: str
    measure: str
    count: int
    p50_ms: float
    p95_ms: float
    p99_ms: float
    max_ms: float


class Histograms:
    """
    All histograms of one process.

    A histogram takes about 19 KB, and there may be thousands: the least recently used
    ones are stored encoded, in a few hundred bytes each.
    """

    def __init__(self, max_live: int = MAX_LIVE) -> None:
        self._max_live = max_live
        self._live: OrderedDict[_Series, HdrHistogram] = OrderedDict()
        self._encoded: dict[_Series, bytes] = {}

    def record(
        self, account: str, tier: str, measure: Measure, duration_s: float
    ) -> None:
        """Count one duration."""
        histogram = self._activate(_Series(account, tier, measure.value))
        units = int(duration_s * UNITS_PER_S)
        histogram.record_value(min(max(units, LOWEST_UNITS), HIGHEST_UNITS))

    def list_rows(self) -> tuple[HistogramRow, ...]:
        """Return all histograms, by account, tier and measure."""
        every = sorted((*self._live, *self._encoded))
        return tuple(_summarise(series, self._read(series)) for series in every)

    def _activate(self, series: "_Series") -> HdrHistogram:
        histogram = self._live.get(series)
        if histogram is None:
            histogram = self._read(series)
            self._encoded.pop(series, None)
            self._live[series] = histogram
            self._encode_oldest()
        self._live.move_to_end(series)
        return histogram

    def _read(self, series: "_Series") -> HdrHistogram:
        live = self._live.get(series)
        if live is not None:
            return live
        encoded = self._encoded.get(series)
        if encoded is not None:
            return HdrHistogram.decode(encoded)
        return HdrHistogram(LOWEST_UNITS, HIGHEST_UNITS, SIGNIFICANT_DIGITS)

    def _encode_oldest(self) -> None:
        while len(self._live) > self._max_live:
            series, histogram = self._live.popitem(last=False)
            self._encoded[series] = histogram.encode()


@dataclass(frozen=True, order=True)
class _Series:
    account: str
    tier: str
    measure: str


def _summarise(series: _Series, histogram: HdrHistogram) -> HistogramRow:
    def read_ms(percentile: float) -> float:
        return round(histogram.get_value_at_percentile(percentile) * MS_PER_UNIT, 3)

    return HistogramRow(
        account=series.account,
        tier=series.tier,
        measure=series.measure,
        count=histogram.get_total_count(),
        p50_ms=read_ms(50),
        p95_ms=read_ms(95),
        p99_ms=read_ms(99),
        max_ms=read_ms(100),
    )
