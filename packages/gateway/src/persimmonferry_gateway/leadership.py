"""Leader election among gateways, by a lease and a fencing token."""

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

# Share of the lease before whose end the leader stops acting, so that it has stopped
# when the registry lets another gateway become the leader.
SAFETY_SHARE = 0.25
MAX_STAGGER_S = 0.25
RETRY_S = 0.5

_log = logging.getLogger(__name__)


@dataclass(frozen=True)
class Leadership:
    """
    The leadership of this gateway.

    :param fence: fencing token, greater than that of each earlier leader.
    :param since_s: when it was acquired, on the boot clock.
    :param until_s: when the leader must stop acting unless it renews the lease.
    """

    lease: int
    fence: int
    since_s: float
    until_s: float


class LeaderElection:
    """
    Acquires and renews the leadership.

    :param key: in the registry; it exists while there is a leader.
    :param holder: name of this gateway.
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
        self._act_from_s = float("-inf")
        self._wake = asyncio.Event()
        self._background = BackgroundTask(self._run)

    def find_leadership(self, now: float) -> Leadership | None:
        """
        Return the leadership if it is still safe to act on it, or None.

        :param now: on the boot clock.
        """
        leadership = self._leadership
        if leadership is None or not self._act_from_s <= now < leadership.until_s:
            return None
        return leadership

    def record_history_replaced(self, now: float) -> None:
        """
        Record that the registry has come back from an older copy.

        A leader of the lost history acts until its lease ends, although the registry
        has no entry of it any more and lets another gateway become the leader.

        :param now: on the boot clock.
        """
        self._act_from_s = now + self._lease_s

    def record_leader(self, has_leader: bool) -> None:
        """Record whether the registry has an entry of a leader."""
        self._has_leader = has_leader
        if not has_leader:
            self._wake.set()

    def resign(self) -> None:
        """Stop acting as the leader, as another one has a greater fencing token."""
        self._leadership = None

    def start(self) -> None:
        """Start to request the leadership whenever there is no leader."""
        self._background.start()

    async def stop(self) -> None:
        """Release the leadership."""
        await self._background.stop()
        leadership, self._leadership = self._leadership, None
        if leadership is not None:
            try:
                await self._registry.end_lease(leadership.lease)
            except PlatformError as error:
                _log.warning("leadership not released", extra={"cause": str(error)})

    async def _run(self) -> None:
        while True:
            try:
                if self._leadership is None:
                    await self._acquire()
                else:
                    await self._renew()
            except PlatformError as error:
                _log.warning("leader election call failed", extra={"cause": str(error)})
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
            # The key may exist under this lease; ending the lease removes both.
            await self._registry.end_lease(lease)
            raise
        until_s = asked_s + self._lease_s * (1 - SAFETY_SHARE)
        self._leadership = Leadership(lease, fence, read_boot_clock(), until_s)
        self._has_leader = True
        _log.info("leadership acquired", extra={"key": self._key, "fence": fence})

    async def _renew(self) -> None:
        leadership = self._leadership
        asked_s = read_boot_clock()
        try:
            await self._registry.renew_lease(leadership.lease)
        except LeaseEnded:
            self._leadership = None
            _log.warning(
                "leadership lost", extra={"key": self._key, "fence": leadership.fence}
            )
            return
        until_s = asked_s + self._lease_s * (1 - SAFETY_SHARE)
        if self._leadership is leadership:
            self._leadership = Leadership(
                leadership.lease, leadership.fence, leadership.since_s, until_s
            )
