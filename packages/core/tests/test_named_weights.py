"""Processes that hear late of weights that were named during a rollout."""

from persimmonferry_core.named_weights import (
    MAX_UNCERTAINTY_S,
    UNKNOWN_S,
    NamedWeights,
)
from persimmonferry_core.weight_orders import find_start_limits

LIMIT_S = 6.5


def find_limit(named, version=1):
    return find_start_limits({"a": version}, named.find("m"), LIMIT_S)["a"]


def make_started(version=2, now=100.0):
    """Return what a process knows that finds a version in its first list."""
    named = NamedWeights()
    named.record("m", version, UNKNOWN_S, now)
    return named


def test_a_change_that_a_frozen_process_hears_of_late_dates_from_its_freeze():
    """New weights are named while a process is frozen for four seconds."""
    named = NamedWeights()
    named.record("m", 2, 100.0, 104.0)
    assert find_limit(named) == 100.0 + LIMIT_S
    assert named.uncertain == {"m"}


# An age above that of weights named just before a start was cut down to it.
def test_a_change_after_a_long_silence_dates_from_its_begin():
    """A process was cut off from the registry for a minute."""
    named = NamedWeights()
    named.record("m", 2, 44.0, 104.0)
    assert find_limit(named) == 44.0 + LIMIT_S


def test_a_change_made_between_two_watches_is_certain():
    named = NamedWeights()
    named.record("m", 2, 104.0 - 0.8 * MAX_UNCERTAINTY_S, 104.0)
    assert not named.uncertain


def test_no_run_starts_on_weights_replaced_at_an_unknown_time():
    assert find_limit(make_started()) == float("-inf")


def test_the_latest_of_several_times_before_which_a_version_was_not_named_holds():
    named = make_started()
    for earliest_s in (97.0, 98.5, 96.0):
        named.learn("m", 2, earliest_s)
    assert find_limit(named) == 98.5 + LIMIT_S


def test_a_version_that_was_replaced_before_the_start_is_learned_too():
    """Two versions are named within two seconds, then a process starts."""
    named = make_started(version=3)
    named.learn("m", 2, 95.0)
    named.learn("m", 3, 97.0)
    named.settle("m")
    assert find_limit(named, version=1) == 95.0 + LIMIT_S
    assert find_limit(named, version=2) == 97.0 + LIMIT_S


def test_a_process_that_has_not_heard_of_the_newest_version_settles_nothing():
    named = make_started(version=3)
    named.learn("m", 2, 95.0)
    named.settle("m")
    assert named.uncertain == {"m"}
    assert find_limit(named, version=2) == float("-inf")


def test_a_change_dates_from_the_start_if_no_other_process_knows():
    """A power failure follows new weights before all engines have loaded them."""
    version_s, contact_s, margin_s = 10.0, 4.0, 1.5
    started_s, heard_s = 100.0, 103.0
    named = make_started(version=3, now=heard_s)
    named.assume(started_s - (version_s - contact_s))
    limits = find_start_limits({"a": 1}, named.find("m"), version_s - margin_s)
    assert started_s + 2.0 < limits["a"] <= started_s + contact_s - 1.0
    assert not named.uncertain


def test_assumptions_are_told_to_no_other_process():
    named = make_started()
    named.assume(95.0)
    assert named.list_known("m") == {}
    named.learn("m", 2, 97.0)
    assert named.list_known("m") == {2: 97.0}


def test_nothing_is_learned_of_models_that_are_not_wanted():
    named = make_started()
    named.learn("other", 2, 97.0)
    assert named.models == ("m",)
