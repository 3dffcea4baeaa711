"""The process's view of the platform's VM list."""

import asyncio
import logging
import random

from persimmonferry_core.exceptions import PlatformError
from persimmonferry_core.interfaces import VMList
from persimmonferry_core.world import VM, Role

__all__ = ["VMWatch"]

POLL_INTERVAL_S = 1.0
ROW_BYTES = 150
LIST_BYTES_PER_S = 1500

_log = logging.getLogger(__name__)


class VMWatch:
    """Reads the VM list now and then; in an outage the last list stays."""

    def __init__(self, source: VMList) -> None:
        self._source = source
        self._vms: tuple[VM, ...] = ()
        self._task: asyncio.Task | None = None

    def list_vms(self) -> tuple[VM, ...]:
        """Return the last list that was read."""
        return self._vms

    def list_role(self, role: Role) -> tuple[VM, ...]:
        """Return the VMs of one role."""
        return tuple(vm for vm in self._vms if vm.role is role)

    async def start(self) -> None:
        """Read the list once and go on in the background."""
        await self._refresh()
        self._task = asyncio.create_task(self._poll())

    async def stop(self) -> None:
        """Stop reading."""
        if self._task is not None:
            self._task.cancel()

    async def _poll(self) -> None:
        while True:
            await asyncio.sleep(self._choose_interval())
            await self._refresh()

    def _choose_interval(self) -> float:
        """Return when to read again: a long list is read less often, in few bytes."""
        list_s = len(self._vms) * ROW_BYTES / LIST_BYTES_PER_S
        return max(POLL_INTERVAL_S, list_s) * random.uniform(0.8, 1.2)

    async def _refresh(self) -> None:
        try:
            self._vms = await self._source.read()
        except PlatformError as error:
            _log.warning("VM list not read", extra={"code": error.code.number})
