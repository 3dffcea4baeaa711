import logging

from persimmonferry_gateway.call_log import BURST_LINES, LINES_PER_S, RateLimitedLog


def make_log(caplog):
    caplog.set_level(logging.INFO, logger="calls")
    return RateLimitedLog(logging.getLogger("calls"))


def test_lines_are_rate_limited_and_those_left_out_are_counted(caplog):
    log = make_log(caplog)
    for step in range(20_000):
        log.write("call ended", {}, step * 0.0001, is_failure=True)
    assert len(caplog.records) <= BURST_LINES + 2 * LINES_PER_S + 1
    log.write("call ended", {}, 10.0, is_failure=True)
    left_out = sum(getattr(record, "left_out", 0) for record in caplog.records)
    assert left_out + len(caplog.records) == 20_001


def test_failures_are_logged_when_lines_of_answered_calls_are_left_out(caplog):
    log = make_log(caplog)
    for _ in range(1000):
        log.write("call ended", {"kind": "answered"}, 0.0, is_failure=False)
    answered = len(caplog.records)
    assert answered < 1000
    log.write("call ended", {"kind": "failed"}, 0.0, is_failure=True)
    assert len(caplog.records) == answered + 1
