import socket

import pytest
from persimmonferry_gateway.kept_connections import MAX_CALLS, KeptConnections


@pytest.fixture
def connection():
    """Return both ends of a connection, of which the first is recorded."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        own = socket.create_connection(server.getsockname())
        other, _ = server.accept()
    yield own, other
    own.close()
    other.close()


def find_addresses(opened):
    remote, local = opened.getpeername(), opened.getsockname()
    return remote[0], local[0], remote[1], local[1]


@pytest.mark.parametrize("event", ["bytes", "end", "reset"])
def test_waiting_bytes_and_the_end_of_a_connection(connection, event):
    own, other = connection
    kept = KeptConnections()
    addresses = find_addresses(own)
    kept.record_opened(own.fileno(), addresses, 0.0)
    assert kept.may_carry(addresses, "c2")
    match event:
        case "bytes":
            other.send(b"x")
        case "end":
            other.shutdown(socket.SHUT_WR)
        case "reset":
            other.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0" + bytes(4)
            )
            other.close()
    assert not kept.may_carry(addresses, "c2")


def test_a_descriptor_that_is_used_again_belongs_to_its_new_connection(connection):
    own, other = connection
    kept = KeptConnections()
    former = ("127.0.0.1", "127.0.0.1", 1, 2)
    kept.record_opened(own.fileno(), former, 0.0)
    kept.record_call(own.fileno(), "c1")
    kept.record_opened(own.fileno(), find_addresses(own), 0.0)
    assert not kept.may_carry(former, "c1")
    assert kept.may_carry(find_addresses(own), "c1")
    other.send(b"x")
    assert not kept.may_carry(find_addresses(own), "c1")


# A call came again on the connection that could carry a copy of its refusal.
def test_a_call_is_sent_twice_on_one_connection(connection):
    own, _ = connection
    kept = KeptConnections()
    addresses = find_addresses(own)
    kept.record_opened(own.fileno(), addresses, 0.0)
    for number in range(MAX_CALLS):
        assert kept.may_carry(addresses, f"c{number}")
        kept.record_call(own.fileno(), f"c{number}")
        assert not kept.may_carry(addresses, "c0")
    assert not kept.may_carry(addresses, "another")


# Bytes of no request hid on other connections that an upstream wanted no calls.
def test_the_connections_of_an_upstream_that_sent_other_bytes_are_used_again():
    kept = KeptConnections()
    opened = [("u1", "own", 80, 1), ("u1", "own", 80, 2), ("u1", "own", 81, 3)]
    for descriptor, addresses in enumerate(opened, start=1000):
        kept.record_opened(descriptor, addresses, 0.0)
    kept.retire_upstream(opened[1])
    assert [kept.find(addresses) for addresses in opened] == [None, None, 1002]
