"""Client of the stand-ins' control interface."""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from persimmonferry_adapters.http_formats import encode_json
from persimmonferry_core.topology import VM
from tornado.httpclient import AsyncHTTPClient

from persimmonferry_standins.faults import Fault, encode_fault
from persimmonferry_standins.vms import encode_vm

__all__ = ["Control", "ControlReport", "OrderRuns"]


@dataclass(frozen=True)
class ControlReport:
    """
    Counters and state that a stand-in reports.

    :param counters: by name; see the class of each stand-in.
    :param state: further values of that stand-in.
    """

    counters: Mapping[str, int]
    state: Mapping[str, Any]


@dataclass(frozen=True)
class OrderRuns:
    """Number of runs at a plain service by order number and by run id."""

    by_order: Mapping[str, int]
    by_run_id: Mapping[str, int]


class Control:
    """
    Injects faults into one stand-in and reads its counters and state.

    :param url: base URL of the stand-in.
    """

    def __init__(self, client: AsyncHTTPClient, url: str) -> None:
        self._client = client
        self._url = f"{url}/control"

    async def set_fault(self, fault: Fault) -> None:
        """Inject a fault."""
        body = encode_json(encode_fault(fault))
        await self._client.fetch(f"{self._url}/faults", method="POST", body=body)

    async def clear_faults(self) -> None:
        """Remove all faults and resume the requests that hang."""
        await self._client.fetch(f"{self._url}/faults", method="DELETE")

    async def read_report(self) -> ControlReport:
        """Return the counters and the state."""
        response = await self._client.fetch(f"{self._url}/state")
        fields = json.loads(response.body)
        return ControlReport(fields["counters"], fields["state"])

    async def read_order_runs(self) -> OrderRuns:
        """Return the runs that a plain service counted."""
        state = (await self.read_report()).state
        return OrderRuns(state["runs_by_order"], state["runs_by_id"])

    async def evict_blocks(self) -> None:
        """Make an engine evict all its cache blocks."""
        await self._change({"evict": True})

    async def set_vms(self, vms: tuple[VM, ...]) -> None:
        """Replace the list of VMs."""
        await self._change({"vms": [encode_vm(vm) for vm in vms]})

    async def _change(self, values: dict[str, Any]) -> None:
        body = encode_json(values)
        await self._client.fetch(f"{self._url}/state", method="POST", body=body)
