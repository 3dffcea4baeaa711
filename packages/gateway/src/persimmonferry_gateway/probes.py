"""Polls engines for their reports."""

import logging

from persimmonferry_adapters.http_client import (
    MAX_SHORT_RESPONSE_BYTES,
    ConnectionReuse,
    Request,
    RequestFailure,
    fetch_complete,
)
from persimmonferry_core.deployment import UpstreamRecord

from persimmonferry_gateway.interfaces import Codec, EngineReport
from persimmonferry_gateway.upstream_client import CancellableClient

__all__ = ["Prober"]

REPORT_CALL_TIMEOUT_S = 0.5

_log = logging.getLogger(__name__)


class Prober:
    """
    Polls engines, with at most one call to each engine at a time.

    Reports don't state to which call they belong, so each call has its own connection.
    """

    def __init__(self, codec: Codec, client: CancellableClient) -> None:
        self._codec = codec
        self._client = client
        self._in_flight: set[str] = set()

    async def ask(self, record: UpstreamRecord) -> EngineReport | None:
        """Return an engine's report, None without one or while it is being polled."""
        if record.name in self._in_flight:
            return None
        self._in_flight.add(record.name)
        try:
            return await self._ask(record)
        finally:
            self._in_flight.discard(record.name)

    async def _ask(self, record: UpstreamRecord) -> EngineReport | None:
        request = Request(
            f"http://{record.address}{self._codec.report_path}",
            headers=dict(self._codec.encode_expected_upstream(record.name)),
            reuse=ConnectionReuse.NEVER,
            timeout_s=REPORT_CALL_TIMEOUT_S,
            max_response_bytes=MAX_SHORT_RESPONSE_BYTES,
        )
        result = await fetch_complete(self._client, request)
        if isinstance(result, RequestFailure) or result.code != 200:
            cause = result.value if isinstance(result, RequestFailure) else result.code
            _log.info(
                "engine report unavailable",
                extra={"upstream": record.name, "cause": cause},
            )
            return None
        try:
            return self._codec.decode_report(result.body)
        except ValueError as error:
            cause = {"upstream": record.name, "cause": str(error)}
            _log.warning("engine report malformed", extra=cause)
            return None
