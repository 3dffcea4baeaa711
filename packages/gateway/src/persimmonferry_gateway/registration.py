"""Registers a gateway in the registry, so that the others find it."""

import asyncio
import logging

from persimmonferry_core.exceptions import (
    LeaseEnded,
    PlatformAnswerLost,
    PlatformError,
    SwapConflict,
)
from persimmonferry_daemon.periodic import BackgroundTask

from persimmonferry_gateway.interfaces import RENEWALS_PER_LEASE, Registry

__all__ = ["Registration"]

RETRY_S = 0.5

_log = logging.getLogger(__name__)


class Registration:
    """
    A key that exists while its process renews a lease.

    :param lease_s: time after which the key of a dead process is removed.
    """

    def __init__(
        self, registry: Registry, key: str, value: bytes, lease_s: float
    ) -> None:
        self._registry = registry
        self._key = key
        self._value = value
        self._lease_s = lease_s
        self._lease: int | None = None
        self._known_revision = 0
        self._background = BackgroundTask(self._run)

    def start(self) -> None:
        """Start registering and renewing the lease."""
        self._background.start()

    async def stop(self) -> None:
        """Remove the key."""
        await self._background.stop()
        if self._lease is not None:
            try:
                await self._registry.end_lease(self._lease)
            except PlatformError as error:
                _log.warning("registration not removed", extra={"cause": str(error)})

    async def _run(self) -> None:
        while True:
            pause_s = self._lease_s / RENEWALS_PER_LEASE
            try:
                if self._lease is None:
                    await self._register()
                else:
                    await self._registry.renew_lease(self._lease)
            except LeaseEnded:
                self._lease = None
                pause_s = 0.0
            except SwapConflict as conflict:
                # An earlier process of this name left the key, or a write took
                # effect whose response was lost.
                self._known_revision = conflict.revision
                pause_s = 0.0
            except PlatformError as error:
                _log.warning("registration call failed", extra={"cause": str(error)})
                pause_s = RETRY_S
            await asyncio.sleep(pause_s)

    async def _register(self) -> None:
        lease = await self._registry.open_lease(self._lease_s)
        try:
            await self._registry.write(
                self._key, self._value, self._known_revision, lease
            )
        except (SwapConflict, PlatformAnswerLost):
            await self._registry.end_lease(lease)
            raise
        self._lease = lease
