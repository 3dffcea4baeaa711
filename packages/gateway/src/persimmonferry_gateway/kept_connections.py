"""Detects kept connections on which an upstream has sent more than its answers."""

import select

__all__ = ["ConnectionAddresses", "KeptConnections"]

# Remote and local address, remote and local port.
ConnectionAddresses = tuple[str, str, int, int]


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

    def has_waiting_bytes(self, addresses: ConnectionAddresses) -> bool:
        """Return whether bytes or the end of an open connection wait to be read."""
        descriptor = self._descriptors.get(addresses)
        if descriptor is None:
            return False
        poll = select.poll()
        poll.register(descriptor, select.POLLIN)
        return bool(poll.poll(0))
