from dataclasses import replace

import pytest
from persimmonferry_core.stream_origins import (
    HOLDERS,
    MAX_LIFETIME_S,
    MAX_STREAMS,
    ServiceBuild,
    StreamOrigin,
    StreamOrigins,
    hash_stream,
)
from persimmonferry_core.upstream_starts import StartVerdict, UpstreamStart

ENTRIES = [f"g{number}" for number in range(40)]


def make_origins(entry="g0", builds=("v1", "v2")):
    origins = StreamOrigins(entry)
    origins.set_entries(ENTRIES)
    origins.set_builds({"s": frozenset(builds)}, 0.0)
    return origins


def begin(stream, expires_s=20.0, build="v1"):
    return StreamOrigin(stream, "s", build, expires_s)


def test_entries_agree_on_the_holders_of_a_stream():
    everyone = {name: make_origins(name) for name in ENTRIES}
    for number in range(50):
        stream = hash_stream(f"call-{number}", "t1")
        holders = {
            frozenset(origins.list_holders(stream)) | {name}
            for name, origins in everyone.items()
        }
        assert len(frozenset.intersection(*holders)) == HOLDERS or HOLDERS in {
            len(found) for found in holders
        }
        assert max(len(found) for found in holders) == HOLDERS + 1


def test_most_holders_stay_when_an_entry_leaves():
    before, after = make_origins(), make_origins()
    after.set_entries(ENTRIES[:-1])
    for number in range(200):
        stream = hash_stream(f"call-{number}", "t1")
        kept = {*before.list_holders(stream)} & {*after.list_holders(stream)}
        assert len(kept) >= HOLDERS - 2


def test_a_build_that_has_left_counts_while_its_streams_may_be_taken_up():
    origins = make_origins()
    origins.set_builds({"s": frozenset({"v2"})}, 10.0)
    assert origins.is_mixed("s", 10.0 + MAX_LIFETIME_S - 0.1)
    assert not origins.is_mixed("s", 10.0 + MAX_LIFETIME_S + 0.1)


def test_a_build_that_left_before_the_start_counts_once():
    origins = StreamOrigins("g0")
    builds, recorded = {"s": frozenset({"v2"})}, frozenset({ServiceBuild("s", "v1")})
    origins.set_builds(builds, 10.0, recorded)
    assert origins.is_mixed("s", 10.0 + MAX_LIFETIME_S - 0.1)
    origins.set_builds(builds, 20.0, recorded)
    assert not origins.is_mixed("s", 10.0 + MAX_LIFETIME_S + 0.1)


def test_one_entry_records_a_build():
    everyone = [make_origins(name) for name in ENTRIES]
    for number in range(20):
        item = ServiceBuild("s", f"v{number}")
        assert sum(origins.is_first_holder(item) for origins in everyone) == 1


def test_a_build_that_comes_back_is_the_same():
    origins = make_origins(builds=("v1",))
    origins.set_builds({"s": frozenset()}, 1.0)
    origins.set_builds({"s": frozenset({"v1"})}, 2.0)
    assert not origins.is_mixed("s", 2.0)


def test_all_streams_are_listed_for_other_entries_whatever_their_build():
    origins = make_origins(builds=("v1",))
    origins.record(begin(1), 1.0)
    origins.record(begin(2, build="v2"), 1.0)
    assert [item.stream for item in origins.list_all(3.0)] == [1, 2]


def test_the_only_build_of_a_service_is_known_while_no_other_counts():
    origins = make_origins(builds=("v1",))
    assert origins.find_only_build("s", 1.0) == "v1"
    origins.set_builds({"s": frozenset({"v2"})}, 10.0)
    assert origins.find_only_build("s", 10.0) is None
    assert origins.find_only_build("s", 10.0 + MAX_LIFETIME_S + 0.1) == "v2"


def test_a_stream_is_forgotten_when_its_caller_no_longer_waits():
    origins = make_origins()
    origins.record(begin(1, expires_s=5.0), 1.0)
    assert origins.find(1, 4.0).build == "v1"
    assert origins.find(1, 6.5) is None


def test_the_first_origin_of_a_stream_counts():
    origins = make_origins()
    origins.record(begin(1), 1.0)
    origins.record(begin(1, build="v2"), 2.0)
    assert origins.find(1, 3.0).build == "v1"


def test_what_is_remembered_is_bounded():
    origins = make_origins()
    for stream in range(MAX_STREAMS + 10):
        origins.record(begin(stream, expires_s=500.0), 1.0)
    assert origins.find(9, 1.5) is None
    assert origins.find(10, 1.5) is not None


# An entry behind the registry sees one build, and would take any stream for its own.
def test_a_stream_of_a_build_that_is_not_listed_makes_its_service_mixed():
    origins = make_origins(builds=("v1",))
    assert not origins.is_mixed("s", 1.0)
    origins.record(begin(1, build="v2", expires_s=9.0), 1.0)
    assert origins.is_mixed("s", 8.0)
    assert not origins.is_mixed("s", 9.0)


START = UpstreamStart("u1", 17, 5.0)


# What another start may have begun counted as begun at the build on record, or at the
# only one that was left.
@pytest.mark.parametrize("verdict", StartVerdict)
def test_a_stream_of_a_build_that_is_not_certain_is_forgotten(verdict):
    origins = make_origins()
    origins.record(replace(begin(1), unconfirmed_start=START), 1.0)
    origins.settle(lambda start: verdict)
    assert origins.find(1, 2.0).is_certain == (verdict is StartVerdict.SAME)


# What was certain once stays so when the upstream starts again later.
def test_a_certain_build_is_forgotten_after_a_restart():
    origins = make_origins()
    origins.record(replace(begin(1), unconfirmed_start=START), 1.0)
    origins.record(begin(1), 1.5)
    origins.settle(lambda start: StartVerdict.OTHER)
    assert origins.find(1, 2.0).build == "v1"
