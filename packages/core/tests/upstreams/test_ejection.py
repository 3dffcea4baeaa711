import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from persimmonferry_core.upstreams.ejection import (
    Closed,
    EjectionPolicy,
    Ejector,
)

NAMES = tuple(f"u{index}" for index in range(7))


class EjectorMachine(RuleBasedStateMachine):
    """For any reports, most upstreams stay in use and each gets one probe at a time."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.ejector = Ejector()
        self.known = set(NAMES)
        self.probing = {}
        for name in NAMES:
            self.ejector.add(name, self.now)

    @rule(seconds=st.floats(0.01, 60.0))
    def advance(self, seconds):
        self.now += seconds

    @rule(name=st.sampled_from(NAMES), slowness=st.sampled_from((0.5, 1.0, 9.0, 50.0)))
    def succeed(self, name, slowness):
        for _ in range(5):
            self.ejector.record_success(name, slowness, self.now)
        self.probing.pop(name, None)

    @rule(name=st.sampled_from(NAMES))
    def fail(self, name):
        for _ in range(3):
            self.ejector.record_failure(name, self.now)
        self.probing.pop(name, None)

    @rule(name=st.sampled_from(NAMES), is_removed=st.booleans())
    def change_fleet(self, name, is_removed):
        if is_removed:
            self.ejector.remove(name)
            self.known.discard(name)
            self.probing.pop(name, None)
        else:
            self.ejector.add(name, self.now)
            self.known.add(name)

    @rule(name=st.sampled_from(NAMES))
    def dispatch(self, name):
        limit = self.ejector.limit_slots(name, 8, self.now)
        is_probe = limit == 1
        if limit > 0:
            self.ejector.record_dispatch(name, self.now)
        if is_probe:
            sent_s = self.probing.get(name)
            timeout_s = self.ejector.policy.probe_timeout_s
            assert sent_s is None or self.now >= sent_s + timeout_s
            self.probing[name] = self.now

    @invariant()
    def the_ejected_part_is_bounded(self):
        out = self.ejector.count_ejected(self.now)
        assert out <= self.ejector.policy.max_share * len(self.known)

    @invariant()
    def slots_stay_within_the_real_ones(self):
        for name in NAMES:
            assert 0 <= self.ejector.limit_slots(name, 8, self.now) <= 8


EjectorMachine.TestCase.settings = settings(
    derandomize=True, max_examples=80, stateful_step_count=50, deadline=None
)
TestEjector = EjectorMachine.TestCase


def make_ejector(**changes):
    ejector = Ejector(EjectionPolicy(**changes))
    for name in NAMES:
        ejector.add(name, 0.0)
    return ejector


def test_a_slow_upstream_is_ejected_probed_and_readmitted():
    ejector = make_ejector()
    for step in range(10):
        for name in NAMES:
            ejector.record_success(name, 10.0 if name == "u0" else 1.0, step * 0.1)
    assert ejector.limit_slots("u0", 8, 1.0) == 0
    assert ejector.limit_slots("u1", 8, 1.0) == 8
    assert ejector.limit_slots("u0", 8, 7.0) == 1
    ejector.record_dispatch("u0", 7.0)
    assert ejector.limit_slots("u0", 8, 7.0) == 0
    ejector.record_success("u0", 1.0, 8.0)
    assert ejector.find_state("u0", 8.0) == Closed()
    assert ejector.find_limited(8.0) == ()
    # From here its pace limits it: see test_pace.
    assert ejector.pop_readmitted() == {"u0"}


def test_a_failed_probe_doubles_the_ejection_time():
    ejector = make_ejector(base_s=5.0)
    for _ in range(3):
        ejector.record_failure("u0", 0.0)
    ejector.limit_slots("u0", 8, 5.0)
    ejector.record_dispatch("u0", 5.0)
    ejector.record_failure("u0", 5.5)
    assert ejector.limit_slots("u0", 8, 15.0) == 0
    assert ejector.limit_slots("u0", 8, 15.6) == 1


def test_no_upstream_is_ejected_if_all_are_equally_slow():
    ejector = make_ejector()
    for step in range(20):
        for name in NAMES:
            ejector.record_success(name, 10.0, step * 0.1)
    assert ejector.count_ejected(2.0) == 0


def test_an_upstream_that_disappears_and_reappears_is_still_ejected():
    ejector = make_ejector()
    for _ in range(3):
        assert ejector.limit_slots("u0", 8, 0.0) == 8
        ejector.remove("u0")
        ejector.record_failure("u0", 0.0)
        ejector.add("u0", 0.0)
    assert ejector.limit_slots("u0", 8, 0.0) == 0


# Engines that loaded weights were ejected, and the others were overloaded.
def test_refusals_eject_an_upstream_only_if_they_last():
    ejector = make_ejector(refusal_s=3.0)
    for step in range(30):
        ejector.record_refusal("u0", step * 0.1)
        ejector.record_refusal("u1", step * 0.1)
    ejector.record_success("u0", 1.0, 2.95)
    for now in (3.0, 3.1, 3.2):
        ejector.record_refusal("u0", now)
        ejector.record_refusal("u1", now)
    assert ejector.limit_slots("u0", 8, 3.2) == 8
    assert ejector.limit_slots("u1", 8, 3.2) == 0


def test_two_consecutive_failed_connections_eject_an_upstream():
    ejector = Ejector()
    for name in NAMES:
        ejector.add(name, 0.0)
    ejector.record_unreachable("u1", 1.0)
    assert isinstance(ejector.find_state("u1", 1.0), Closed)
    ejector.record_success("u1", 1.0, 1.1)
    ejector.record_unreachable("u1", 1.2)
    assert isinstance(ejector.find_state("u1", 1.2), Closed)
    ejector.record_unreachable("u1", 1.3)
    assert not isinstance(ejector.find_state("u1", 1.3), Closed)


# The first token of each stream reset the count of failures.
def test_an_upstream_whose_streams_have_no_end_stays_in_use():
    ejector = make_ejector(base_s=5.0)
    ejector.record_success("u1", 1.0, 1.0)
    ejector.record_endless("u1", 1.1)
    assert ejector.limit_slots("u1", 8, 1.1) == 0
    ejector.limit_slots("u1", 8, 6.2)
    ejector.record_dispatch("u1", 6.2)
    ejector.record_success("u1", 1.0, 6.3)
    ejector.record_endless("u1", 6.4)
    assert ejector.limit_slots("u1", 8, 11.0) == 0
