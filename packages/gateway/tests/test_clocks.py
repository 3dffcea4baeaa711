import subprocess
import sys
import time

import pytest
from persimmonferry_gateway import clocks
from persimmonferry_gateway.clocks import (
    MAX_BOUNDS_AGE_S,
    ClockBounds,
    estimate_process_start,
    read_boot_clock,
)

OFFSET_S = 1000.0


def make_clock(*calls):
    """Calls are rows of the times asked, written and received, on the local clock."""
    clock = ClockBounds()
    for asked_s, written_s, received_s in calls:
        clock.record(written_s + OFFSET_S, asked_s, received_s)
    return clock


def test_there_are_no_estimates_before_the_first_response():
    clock = ClockBounds()
    assert clock.earliest_remote(1.0) is None
    assert clock.earliest_local(1.0) is None
    assert clock.is_outdated(1.0)


def test_a_delayed_response_does_not_widen_the_bounds():
    clock = make_clock((0.0, 0.01, 0.02), (1.0, 1.4, 1.41), (2.0, 2.0, 2.3))
    assert clock.earliest_local(OFFSET_S + 5.0) == pytest.approx(5.0, abs=0.011)
    assert clock.earliest_remote(5.0) == pytest.approx(OFFSET_S + 5.0, abs=0.011)


def test_estimates_are_never_late():
    clock = make_clock((0.0, 0.4, 0.41), (1.0, 1.0, 1.3))
    assert clock.earliest_local(OFFSET_S + 5.0) <= 5.0
    assert clock.earliest_remote(5.0) <= OFFSET_S + 5.0


def test_bounds_are_replaced_when_the_remote_clock_was_set():
    clock = make_clock((0.0, 0.01, 0.02))
    clock.record(OFFSET_S - 50.0, 3.0, 3.1)
    assert clock.earliest_remote(4.0) == pytest.approx(OFFSET_S - 49.1)


def test_bounds_are_outdated_after_their_maximum_age():
    clock = make_clock((0.0, 0.01, 0.02))
    assert not clock.is_outdated(MAX_BOUNDS_AGE_S)
    assert clock.is_outdated(MAX_BOUNDS_AGE_S + 0.02)


# The time in which a process got no processor was left out.
def test_the_estimated_start_of_a_process_is_too_late():
    program = (
        "import time; time.sleep(0.7);"
        "from persimmonferry_gateway.clocks import *;"
        "print(read_boot_clock() - estimate_process_start())"
    )
    path = {"PYTHONPATH": ":".join(sys.path)}
    command = [sys.executable, "-c", program]
    output = subprocess.run(command, env=path, capture_output=True, check=True).stdout
    assert 0.7 <= float(output) < 30.0


@pytest.mark.parametrize("status", [None, "1 (a) S 2", "1 (a b) S " + "0 " * 40])
def test_a_start_on_another_clock_is_ignored(tmp_path, monkeypatch, status):
    path = tmp_path / "stat"
    if status is not None:
        path.write_text(status)
    monkeypatch.setattr(clocks, "PROCESS_STATUS", path)
    latest_s = read_boot_clock() - time.process_time()
    assert estimate_process_start() == pytest.approx(latest_s, abs=0.1)
