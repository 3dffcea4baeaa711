"""Limits that upstreams set on the calls that they take from all entries together."""

from persimmonferry_core.upstream_limits import LimitNotice, UpstreamLimits


def test_an_older_notice_does_not_replace_a_newer_one():
    limits = UpstreamLimits()
    assert limits.record(LimitNotice("u1", 1, 2.0, 10.0))
    assert not limits.record(LimitNotice("u1", 1, None, 9.5))
    assert not limits.record(LimitNotice("u1", 1, 5.0, 9.9))
    assert limits.list_limits() == {"u1": 2.0}
    assert limits.record(LimitNotice("u1", 1, None, 10.5))
    assert limits.find("u1") is None
    assert not limits.record(LimitNotice("u1", 1, 2.0, 10.2))
    assert limits.find("u1") is None


def test_a_limit_ends_with_a_restart():
    limits = UpstreamLimits()
    limits.record(LimitNotice("u1", 1, 2.0, 10.0))
    limits.clear("u1")
    assert limits.list_limits() == {}
