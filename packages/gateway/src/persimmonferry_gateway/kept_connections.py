"""Detects kept connections on which an upstream has sent more than its answers."""

import select
import socket

__all__ = ["ConnectionAddresses", "KeptConnections", "has_unread_bytes"]

# Remote and local address, remote and local port.
ConnectionAddresses = tuple[str, str, int, int]


def has_unread_bytes(descriptor: int) -> bool:
    """Return whether bytes wait to be read on a connection, not only its end."""
    opened = socket.socket(fileno=descriptor)
    try:
        return bool(opened.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        # None wait, or the connection is reset, which the transfer reports.
        return False
    finally:
        opened.detach()


class KeptConnections:
    """
    Descriptors of connections, by their addresses.

    libcurl looks for waiting bytes only on connections that were idle for a second.
    Bytes that wait before a request is sent belong to no request, or the connection has
    ended.
    """

    def __init__(self) -> None:
        self._descriptors: dict[ConnectionAddresses, int] = {}
        self._addresses: dict[int, ConnectionAddresses] = {}

    def record_opened(self, descriptor: int, addresses: ConnectionAddresses) -> None:
        """Record a new connection; descriptors of closed ones are used again."""
        former = self._addresses.get(descriptor)
        if former is not None and self._descriptors.get(former) == descriptor:
            del self._descriptors[former]
        self._addresses[descriptor] = addresses
        self._descriptors[addresses] = descriptor

    def find(self, addresses: ConnectionAddresses) -> int | None:
        """Return the descriptor of an open connection, None if it is not known."""
        return self._descriptors.get(addresses)

    def has_waiting_bytes(self, addresses: ConnectionAddresses) -> bool:
        """Return whether bytes or the end of an open connection wait to be read."""
        descriptor = self.find(addresses)
        if descriptor is None:
            return False
        poll = select.poll()
        poll.register(descriptor, select.POLLIN)
        return bool(poll.poll(0))
