"""A duty that one gateway at a time holds, by a lease and a fencing number."""

import asyncio
import logging
import random
from dataclasses import dataclass

from persimmonferry_core.exceptions import (
    LeaseEnded,
    PlatformAnswerLost,
    PlatformError,
    SwapConflict,
)
from persimmonferry_daemon.periodic import BackgroundTask

from persimmonferry_gateway.clocks import read_boot_clock
from persimmonferry_gateway.interfaces import RENEWALS_PER_LEASE, Registry

__all__ = ["LeaderElection", "Leadership"]

# The holder stops before the registry can have given the duty to another one.
SAFETY_SHARE = 0.25
MAX_STAGGER_S = 0.25
RETRY_S = 0.5

_log = logging.getLogger(__name__)


@dataclass(frozen=True)
class Leadership:
    """
    The duty as its holder has it.

    :param fence: greater than that of each earlier holder.
    :param since_s: when it was acquired, on the boot clock.
    :param until_s: when the holder must stop unless it renews.
    """

    lease: int
    fence: int
    since_s: float
    until_s: float


class LeaderElection:
    """
    Acquires and keeps a duty.

    :param key: in the registry; it exists while somebody holds the duty.
    :param holder: name of this process.
    """

    def __init__(
        self, registry: Registry, key: str, holder: str, lease_s: float
    ) -> None:
        self._registry = registry
        self._key = key
        self._holder = holder
        self._lease_s = lease_s
        self._leadership: Leadership | None = None
        self._has_leader = True
        self._wake = asyncio.Event()
        self._background = BackgroundTask(self._run)

    def find_leadership(self, now: float) -> Leadership | None:
        """
        Return the holding if it is still safe to act on it.

        :param now: on the boot clock.
        """
        leadership = self._leadership
        return (
            leadership if leadership is not None and now < leadership.until_s else None
        )

    def record_leader(self, has_leader: bool) -> None:
        """Note whether the registry shows a holder."""
        self._has_leader = has_leader
        if not has_leader:
            self._wake.set()

    def resign(self) -> None:
        """Act on the duty no more, as another holder has a higher number."""
        self._leadership = None

    def start(self) -> None:
        """Begin to ask for the duty whenever nobody holds it."""
        self._background.start()

    async def stop(self) -> None:
        """Give the duty back."""
        await self._background.stop()
        leadership, self._leadership = self._leadership, None
        if leadership is not None:
            try:
                await self._registry.end_lease(leadership.lease)
            except PlatformError as error:
                _log.warning("duty not given back", extra={"cause": str(error)})

    async def _run(self) -> None:
        while True:
            try:
                if self._leadership is None:
                    await self._acquire()
                else:
                    await self._renew()
            except PlatformError as error:
                _log.warning("duty call failed", extra={"cause": str(error)})
                await asyncio.sleep(random.uniform(RETRY_S / 2, RETRY_S))
            if self._leadership is not None:
                await asyncio.sleep(self._lease_s / RENEWALS_PER_LEASE)

    async def _acquire(self) -> None:
        if self._has_leader:
            self._wake.clear()
            await self._wake.wait()
        await asyncio.sleep(random.uniform(0.0, MAX_STAGGER_S))
        if self._has_leader:
            return
        asked_s = read_boot_clock()
        lease = await self._registry.open_lease(self._lease_s)
        try:
            fence = await self._registry.write(
                self._key, self._holder.encode(), 0, lease
            )
        except SwapConflict:
            self._has_leader = True
            await self._registry.end_lease(lease)
            return
        except (PlatformAnswerLost, LeaseEnded):
            # The key may exist under this lease; its end removes both.
            await self._registry.end_lease(lease)
            raise
        until_s = asked_s + self._lease_s * (1 - SAFETY_SHARE)
        self._leadership = Leadership(lease, fence, read_boot_clock(), until_s)
        self._has_leader = True
        _log.info("duty acquired", extra={"key": self._key, "fence": fence})

    async def _renew(self) -> None:
        leadership = self._leadership
        asked_s = read_boot_clock()
        try:
            await self._registry.renew_lease(leadership.lease)
        except LeaseEnded:
            self._leadership = None
            _log.warning(
                "duty lost", extra={"key": self._key, "fence": leadership.fence}
            )
            return
        until_s = asked_s + self._lease_s * (1 - SAFETY_SHARE)
        if self._leadership is leadership:
            self._leadership = Leadership(
                leadership.lease, leadership.fence, leadership.since_s, until_s
            )
