"""VMs, failure domains, links and addresses."""

import enum
from dataclasses import dataclass

__all__ = ["MAX_PORT", "VM", "Address", "FailureDomain", "Link", "Role", "VMState"]

MAX_PORT = 65_535


@dataclass(frozen=True, order=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @property
    def url(self) -> str:
        """The base URL of an HTTP server at this address."""
        return f"http://{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> "Address":
        """
        Parse ``host:port``.

        :raises ValueError: the text has another form.

        >>> Address.parse("127.0.0.1:80")
        Address(host='127.0.0.1', port=80)
        >>> Address.parse("127.0.0.1:65536")
        Traceback (most recent call last):
            ...
        ValueError: port 65536 is out of range
        """
        host, separator, port = text.rpartition(":")
        if not separator or not host:
            raise ValueError(f"{text!r} is not of the form host:port")
        if not 0 <= int(port) <= MAX_PORT:
            raise ValueError(f"port {port} is out of range")
        return cls(host, int(port))


@dataclass(frozen=True, order=True)
class FailureDomain:
    """A set of VMs within a region that can fail together."""

    region: str
    name: str


@dataclass(frozen=True)
class Link:
    """
    Network link from one failure domain to another.

    :param latency_s: one-way latency, in seconds.
    :param bytes_per_s: bandwidth.
    :param price_per_gb: price of 10^9 bytes, in the team's currency.
    :param loss: packet loss rate, 0 to 1.
    """

    source: str
    target: str
    latency_s: float
    bytes_per_s: float
    price_per_gb: float
    loss: float = 0.0


class Role(enum.Enum):
    """Role of a VM."""

    ENTRY = "entry"
    UPSTREAM = "upstream"
    STORE = "store"


class VMState(enum.Enum):
    """State of a VM in the platform's VM list, which lags behind the actual state."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class VM:
    """
    An entry of the platform's VM list.

    :param address: control port of the persimmonferry process on the VM, or address of
        the store for a store VM.
    """

    name: str
    role: Role
    address: Address
    failure_domain: FailureDomain
    state: VMState = VMState.LIVE
