"""Stand-in for the platform's list of VMs."""

import asyncio
from dataclasses import dataclass
from typing import Any

from persimmonferry_core.topology import VM, Address, FailureDomain, Role, VMState

from persimmonferry_standins.server import LOOPBACK, Handler, Route, StandIn

__all__ = ["VMListStandIn", "decode_vm", "encode_vm"]


@dataclass(frozen=True)
class _Listing:
    since_s: float
    vms: tuple[VM, ...]


def encode_vm(vm: VM) -> dict[str, Any]:
    """Return a row of the list as JSON fields."""
    return {
        "name": vm.name,
        "role": vm.role.value,
        "host": vm.address.host,
        "port": vm.address.port,
        "region": vm.failure_domain.region,
        "failure_domain": vm.failure_domain.name,
        "state": vm.state.value,
    }


def decode_vm(fields: dict[str, Any]) -> VM:
    """Read a row of the list from JSON fields."""
    return VM(
        fields["name"],
        Role(fields["role"]),
        Address(fields["host"], fields["port"]),
        FailureDomain(fields["region"], fields["failure_domain"]),
        VMState(fields["state"]),
    )


class VMListStandIn(StandIn):
    """
    A list of VMs that publishes each change with a lag.

    :param lag_s: time from a change to its publication.
    """

    def __init__(self, lag_s: float = 0.0, port: int = 0, host: str = LOOPBACK) -> None:
        super().__init__(port, host)
        self._lag_s = lag_s
        self._listings: list[_Listing] = []

    def make_routes(self) -> list[Route]:
        """Return the routes of the VM list."""
        return [(r"/v1/vms", _ListHandler, {"standin": self})]

    def make_state(self) -> dict[str, Any]:
        """Return the newest list, whether it is published yet or not."""
        vms = self._listings[-1].vms if self._listings else ()
        return {"vms": [encode_vm(vm) for vm in vms]}

    def change_state(self, values: dict[str, Any]) -> None:
        """Replace the list by that under the key ``vms``."""
        vms = tuple(decode_vm(fields) for fields in values["vms"])
        self.set_vms(vms, asyncio.get_running_loop().time())

    def set_vms(self, vms: tuple[VM, ...], now: float) -> None:
        """Replace the list; the first one is published without lag."""
        lag_s = self._lag_s if self._listings else 0.0
        self._listings.append(_Listing(now + lag_s, vms))

    def read(self, now: float) -> tuple[VM, ...]:
        """Return the list that is published at ``now``."""
        shown = [listing for listing in self._listings if listing.since_s <= now]
        return shown[-1].vms if shown else ()


class _ListHandler(Handler):
    standin: VMListStandIn

    async def get(self) -> None:
        now = asyncio.get_running_loop().time()
        rows = [encode_vm(vm) for vm in self.standin.read(now)]
        await self.answer_json({"vms": rows})
