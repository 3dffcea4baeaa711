"""Finds kept connections on which a call could get an answer that is not its own."""

import select
import socket
from array import array

__all__ = ["ConnectionAddresses", "KeptConnections", "has_unread_bytes"]

# Remote and local address, remote and local port.
ConnectionAddresses = tuple[str, str, int, int]
# A connection that has carried this many calls is closed, as their ids take memory.
MAX_CALLS = 256


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
    Descriptors of connections and the calls that they have carried, by their addresses.

    libcurl looks for waiting bytes only on connections that were idle for a second.
    Bytes that wait before a request is sent belong to no request, or the connection has
    ended.

    An upstream may send an answer twice. The id in it names a call, not an attempt, so
    a call that is sent again needs a connection that has not carried it before.
    """

    def __init__(self) -> None:
        self._descriptors: dict[ConnectionAddresses, int] = {}
        self._addresses: dict[int, ConnectionAddresses] = {}
        # When each was recorded, on the boot clock.
        self._opened_s: dict[int, float] = {}
        # Hashes of the ids of calls, as ids may be long.
        self._calls: dict[int, array[int]] = {}

    def record_opened(
        self, descriptor: int, addresses: ConnectionAddresses, opened_s: float
    ) -> None:
        """
        Record a new connection; descriptors of closed ones are used again.

        :param opened_s: on the boot clock.
        """
        former = self._addresses.get(descriptor)
        if former is not None and self._descriptors.get(former) == descriptor:
            del self._descriptors[former]
        self._addresses[descriptor] = addresses
        self._descriptors[addresses] = descriptor
        self._opened_s[descriptor] = opened_s
        self._calls[descriptor] = array("q")

    def record_call(self, descriptor: int, call_id: str) -> None:
        """Record that a call is sent on a connection."""
        self._calls[descriptor].append(hash(call_id))

    def retire_upstream(self, addresses: ConnectionAddresses) -> None:
        """
        Use no connection again that is open now to the remote address of this one.

        Bytes of no request on one connection of an upstream may wait on others, too.
        """
        remote_ip, _, remote_port, _ = addresses
        for other in self._addresses.values():
            if (other[0], other[2]) == (remote_ip, remote_port):
                self._descriptors.pop(other, None)

    def find(self, addresses: ConnectionAddresses) -> int | None:
        """Return the descriptor of an open connection, None if it is not known."""
        return self._descriptors.get(addresses)

    def find_opening_time(self, descriptor: int) -> float:
        """Return when a connection was recorded, on the boot clock."""
        return self._opened_s[descriptor]

    def may_carry(self, addresses: ConnectionAddresses, call_id: str) -> bool:
        """Return whether no answer but its own can follow a call on a connection."""
        descriptor = self.find(addresses)
        if descriptor is None:
            return False
        calls = self._calls[descriptor]
        if len(calls) >= MAX_CALLS or hash(call_id) in calls:
            return False
        return not _has_waiting_bytes(descriptor)


def _has_waiting_bytes(descriptor: int) -> bool:
    """Return whether bytes or the end of a connection wait to be read."""
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))
