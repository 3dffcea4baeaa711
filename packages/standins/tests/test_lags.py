from persimmonferry_core.runs import CacheEventKind, EngineLoad
from persimmonferry_core.topology import VM, Address, FailureDomain, Role
from persimmonferry_standins import PlatformStandIn, VMListStandIn
from persimmonferry_standins.cache import CacheLog
from persimmonferry_standins.load import LaggedLoad


def test_an_expired_lease_is_granted_to_another_holder_with_a_higher_fencing_token():
    platform = PlatformStandIn()
    assert platform.acquire("slot", "one", 10.0, 0.0).fencing == 1
    assert platform.acquire("slot", "one", 10.0, 5.0).fencing == 1
    assert platform.acquire("slot", "two", 10.0, 14.9) is None
    assert platform.acquire("slot", "two", 10.0, 15.0).fencing == 2
    assert platform.acquire("slot", "two", 10.0, 30.0).fencing == 3


def test_changes_of_the_vm_list_are_published_after_the_lag():
    listing = VMListStandIn(lag_s=5.0)
    first = VM("a", Role.STORE, Address("127.0.0.1", 1), FailureDomain("r", "d"))
    listing.set_vms((first,), 0.0)
    listing.set_vms((), 1.0)
    assert listing.read(5.9) == (first,)
    assert listing.read(6.0) == ()


def test_the_load_is_reported_after_the_lag():
    reported = LaggedLoad(lag_s=2.0)
    loads = [EngineLoad("m", "v", n, 0, 0, 8, 1.0, 1.0) for n in range(5)]
    for second, load in enumerate(loads):
        reported.append(load, float(second))
    assert reported.read(4.0) == loads[2]
    assert reported.read(4.9) == loads[2]
    assert reported.read(5.0) == loads[3]


def test_cache_events_are_published_after_the_lag():
    log = CacheLog(lag_s=2.0)
    log.append(CacheEventKind.STORED, "a", 0.0)
    log.append(CacheEventKind.STORED, "b", 1.0)
    assert [event.block_name for event in log.read(0, 1.9)] == []
    assert [event.block_name for event in log.read(0, 2.0)] == ["a"]
    assert [event.block_name for event in log.read(1, 3.0)] == ["b"]
