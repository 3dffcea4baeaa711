import random

from persimmonferry_daemon.histograms import Histograms, Measure


def test_percentiles_are_right_to_two_digits():
    histograms = Histograms()
    for milliseconds in range(1, 1001):
        histograms.record("a", "urgent", Measure.FIRST_TOKEN, milliseconds / 1000)
    (row,) = histograms.list_rows()
    assert row.count == 1000
    assert abs(row.p50_ms - 500) < 10
    assert abs(row.p99_ms - 990) < 20


def test_encoded_series_keep_counting():
    source = random.Random(3)
    kept, small = Histograms(), Histograms(max_live=2)
    for _ in range(400):
        account = source.choice("abcdefgh")
        duration_s = source.expovariate(2.0)
        for histograms in (kept, small):
            histograms.record(account, "dawn", Measure.WHOLE_ANSWER, duration_s)
    assert small.list_rows() == kept.list_rows()
