import socket

import pytest
from persimmonferry_gateway.kept_connections import KeptConnections


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
    kept.record_opened(own.fileno(), addresses)
    assert not kept.has_waiting_bytes(addresses)
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
    assert kept.has_waiting_bytes(addresses)


def test_a_descriptor_that_is_used_again_belongs_to_its_new_connection(connection):
    own, other = connection
    other.send(b"x")
    kept = KeptConnections()
    former = ("127.0.0.1", "127.0.0.1", 1, 2)
    kept.record_opened(own.fileno(), former)
    kept.record_opened(own.fileno(), find_addresses(own))
    assert not kept.has_waiting_bytes(former)
    assert kept.has_waiting_bytes(find_addresses(own))
