"""The things that the system meets: VMs, failure domains, links, addresses."""

import enum
from dataclasses import dataclass

__all__ = ["VM", "Address", "FailureDomain", "Link", "Role", "VMState"]


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
        Read ``host:port``.

        :raises ValueError: when the text has another form.

        >>> Address.parse("127.0.0.1:80")
        Address(host='127.0.0.1', port=80)
        """
        host, separator, port = text.rpartition(":")
        if not separator or not host:
            raise ValueError(f"{text!r} is not host:port")
        return cls(host, int(port))


@dataclass(frozen=True, order=True)
class FailureDomain:
    """A set of VMs that can fail together, within a region."""

    region: str
    name: str


@dataclass(frozen=True)
class Link:
    """
    The path from one failure domain to another.

    :param latency_s: one way, in seconds.
    :param bytes_per_s: capacity.
    :param price_per_gb: price of 10^9 bytes, in the team's currency.
    :param loss: share of packets lost, 0 to 1.
    """

    source: str
    target: str
    latency_s: float
    bytes_per_s: float
    price_per_gb: float
    loss: float = 0.0


class Role(enum.Enum):
    """What a VM is there for."""

    ENTRY = "entry"
    UPSTREAM = "upstream"
    STORE = "store"


class VMState(enum.Enum):
    """What the platform's VM list says; it lags."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class VM:
    """
    One row of the platform's VM list.

    :param address: of the process of the system on the VM (its control port), or of
        the store itself for a store VM.
    """

    name: str
    role: Role
    address: Address
    failure_domain: FailureDomain
    state: VMState = VMState.LIVE
