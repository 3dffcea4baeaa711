"""Which connections of callers are closed, and which new ones are served."""

from persimmonferry_gateway.open_connections import (
    MAX_LINE_S,
    OpenConnections,
    limit_connections,
)


def open_connections(count, limit):
    connections = OpenConnections(limit)
    for number in range(count):
        connections.open(number, now=float(number))
    return connections


def test_the_oldest_without_a_head_gives_way_before_those_that_had_one():
    connections = open_connections(3, limit=3)
    connections.record_busy(0)
    connections.record_idle(0, now=1.0)
    assert connections.find_replaced() == 1
    connections.drop(1)
    connections.drop(2)
    assert connections.find_replaced() == 0


def test_a_connection_in_use_does_not_give_way():
    connections = open_connections(2, limit=2)
    for number in range(2):
        connections.record_busy(number)
    assert connections.is_full
    assert connections.find_replaced() is None


def test_the_line_is_short_and_its_latest_is_served_next():
    connections = open_connections(16, limit=16)
    late = [connections.queue(name, now=0.0) for name in "abc"]
    assert late == [None, None, "a"]
    assert connections.take_next() is None
    connections.drop(0)
    assert connections.take_next() == "c"


def test_the_line_does_not_keep_connections_for_long():
    connections = open_connections(16, limit=16)
    connections.queue("a", now=0.0)
    connections.queue("b", now=1.0)
    assert connections.take_late(MAX_LINE_S + 0.5) == ["a"]


def test_connections_without_a_request_are_listed_after_the_limit():
    connections = open_connections(3, limit=3)
    connections.record_busy(0)
    assert connections.list_silent(now=18.5, limit_s=17.0) == [1]


def test_a_machine_with_few_descriptors_has_fewer_connections():
    callers, upstreams = limit_connections(552_000_000, 400)
    assert callers + callers // 8 + upstreams < 200
