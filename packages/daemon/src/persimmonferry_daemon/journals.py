"""Reads and writes journal segments in the platform's service, with an outage gate."""

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

    :param revision: that a write of the next value must find.
    """

    location: SegmentLocation
    segment: Segment
    revision: int


class JournalStore:
    """
    The journal's use of the platform's service.

    When a call fails, further calls are refused at once, and a background probe finds
    out when the service is back: no caller waits for a service that is down.
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
            raise PlatformUnavailable("an outage", LAST_PROBE_DELAY_S)

    async def read(
        self, location: SegmentLocation, base: Segment | None
    ) -> StoredSegment:
        """
        Read a segment.

        :param base: an earlier copy, which saves parsing.
        :raises PlatformUnavailable: no answer, or the value is no segment.
        """
        self.check()
        stored = await self._read(location.platform_key)
        try:
            segment = Segment.parse(stored.value, base)
        except (ValueError, KeyError, TypeError) as error:
            _log.error("damaged journal segment", extra={"key": location.platform_key})
            raise PlatformUnavailable("a damaged segment") from error
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
            raise PlatformAnswerLost("no answer in time") from error
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
            raise PlatformUnavailable("no answer in time") from error
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
        _log.info("the platform's service is back")
        self._probe = None
