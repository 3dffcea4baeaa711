"""Reads and writes journal segments in the platform, behind a circuit breaker."""

import asyncio
import logging
from dataclasses import dataclass

from persimmonferry_core.exceptions import (
    FerryError,
    PlatformAnswerLost,
    PlatformUnavailable,
)
from persimmonferry_core.interfaces import Platform, Versioned
from persimmonferry_core.journal import Segment, SegmentLocation

__all__ = ["JournalStore", "StoredSegment"]

PLATFORM_TIMEOUT_S = 0.5
FIRST_PROBE_DELAY_S = 0.05
LAST_PROBE_DELAY_S = 1.0
PROBE_KEY = "claims/probe"

_log = logging.getLogger(__name__)


@dataclass(frozen=True)
class StoredSegment:
    """
    A segment as the platform's service holds it.

    :param revision: expected by the compare-and-swap of the next value.
    """

    location: SegmentLocation
    segment: Segment
    revision: int


class JournalStore:
    """
    The journal's access to the platform's service, through a circuit breaker.

    After a failed call, further calls are refused until a background probe succeeds, so
    that no caller waits for a service that is down.
    """

    def __init__(self, platform: Platform) -> None:
        self._platform = platform
        self._probe: asyncio.Task[None] | None = None

    def check(self) -> None:
        """
        Return when calls may be made.

        :raises PlatformUnavailable: the service was down when last tried.
        """
        if self._probe is not None:
            raise PlatformUnavailable("the last call failed", LAST_PROBE_DELAY_S)

    async def read(
        self, location: SegmentLocation, base: Segment | None
    ) -> StoredSegment:
        """
        Read a segment.

        :param base: an earlier copy, which saves parsing.
        :raises PlatformUnavailable: no reply, or the value is not a segment.
        """
        self.check()
        stored = await self._read(location.platform_key)
        try:
            segment = Segment.parse(stored.value, base)
        except (ValueError, KeyError, TypeError) as error:
            _log.error("corrupt journal segment", extra={"key": location.platform_key})
            raise PlatformUnavailable("corrupt journal segment") from error
        return StoredSegment(location, segment, stored.revision)

    async def swap(self, stored: StoredSegment, segment: Segment) -> StoredSegment:
        """
        Write the next value of a segment.

        :raises SwapConflict: another writer was first.
        :raises PlatformUnavailable: the write took no effect.
        :raises PlatformAnswerLost: the write may have taken effect.
        """
        self.check()
        key = stored.location.platform_key
        try:
            async with asyncio.timeout(PLATFORM_TIMEOUT_S):
                written = await self._platform.swap(key, segment.value, stored.revision)
        except TimeoutError as error:
            raise PlatformAnswerLost("no reply within the timeout") from error
        except PlatformUnavailable:
            self._start_probe()
            raise
        return StoredSegment(stored.location, segment, written.revision)

    async def _read(self, key: str) -> Versioned:
        try:
            async with asyncio.timeout(PLATFORM_TIMEOUT_S):
                return await self._platform.read(key)
        except TimeoutError as error:
            self._start_probe()
            raise PlatformUnavailable("no reply within the timeout") from error
        except PlatformUnavailable:
            self._start_probe()
            raise

    def _start_probe(self) -> None:
        if self._probe is None:
            _log.warning("the platform's service is down")
            self._probe = asyncio.create_task(self._probe_until_up())

    async def _probe_until_up(self) -> None:
        delay_s = FIRST_PROBE_DELAY_S
        while True:
            await asyncio.sleep(delay_s)
            delay_s = min(2 * delay_s, LAST_PROBE_DELAY_S)
            try:
                async with asyncio.timeout(PLATFORM_TIMEOUT_S):
                    await self._platform.read(PROBE_KEY)
            except (TimeoutError, FerryError):
                continue
            except Exception:
                _log.exception("the probe of the platform's service failed")
                continue
            break
        _log.info("the platform's service is available again")
        self._probe = None
