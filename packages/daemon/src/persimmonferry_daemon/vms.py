"""The process's view of the platform's VM list."""

import logging
import random

from persimmonferry_core.exceptions import PlatformError
from persimmonferry_core.interfaces import VMList
from persimmonferry_core.topology import VM, Role, VMState

from persimmonferry_daemon.periodic import PeriodicTask

__all__ = ["VMListPoller"]

POLL_INTERVAL_S = 1.0
ROW_BYTES = 150
LIST_BYTES_PER_S = 1500

_log = logging.getLogger(__name__)


class VMListPoller:
    """Polls the VM list; during an outage the last list stays."""

    def __init__(self, source: VMList) -> None:
        self._source = source
        self._vms: tuple[VM, ...] = ()
        self._polling = PeriodicTask(self._refresh, self._choose_interval)

    def list_vms(self) -> tuple[VM, ...]:
        """Return the last list that was read."""
        return self._vms

    def list_role(self, role: Role) -> tuple[VM, ...]:
        """Return the VMs of one role."""
        return tuple(vm for vm in self._vms if vm.role is role)

    def is_leaving(self, name: str) -> bool:
        """Return whether the list marks a VM as leaving."""
        return any(vm.name == name and vm.state is VMState.LEAVING for vm in self._vms)

    async def start(self) -> None:
        """Read the list once, and continue in the background."""
        await self._refresh()
        self._polling.start()

    async def stop(self) -> None:
        """Stop reading."""
        await self._polling.stop()

    def _choose_interval(self) -> float:
        """Return the poll interval; a long list is read less often to save traffic."""
        list_s = len(self._vms) * ROW_BYTES / LIST_BYTES_PER_S
        return max(POLL_INTERVAL_S, list_s) * random.uniform(0.8, 1.2)

    async def _refresh(self) -> None:
        try:
            self._vms = await self._source.read()
        except PlatformError as error:
            _log.warning("VM list not read", extra={"code": error.code.number})
