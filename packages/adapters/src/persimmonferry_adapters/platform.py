"""HTTP adapter to the platform's key-value service."""

from persimmonferry_core.exceptions import (
    PlatformAnswerLost,
    PlatformUnavailable,
    SwapConflict,
)
from persimmonferry_core.interfaces import Lease, Versioned
from tornado.httpclient import AsyncHTTPClient, HTTPResponse

from persimmonferry_adapters.http_client import (
    ConnectionReuse,
    Request,
    RequestFailure,
    fetch_complete,
)
from persimmonferry_adapters.http_formats import (
    JSON_TYPE,
    OCTETS_TYPE,
    REVISION_HEADER,
    decode_json,
    encode_json,
    quote_segment,
)

__all__ = ["HttpPlatform"]

CALL_TIMEOUT_S = 2.0
WATCH_MARGIN_S = 2.0
_NOT_APPLIED_STATUSES = (413, 503)


class HttpPlatform:
    """
    The platform's key-value service over HTTP.

    :param url: base URL without a trailing slash.
    :param call_timeout_s: timeout of a call, not counting the wait of a watch.
    """

    def __init__(
        self,
        client: AsyncHTTPClient,
        url: str,
        call_timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self._client = client
        self._url = url
        self._call_timeout_s = call_timeout_s

    async def read(self, key: str) -> Versioned:
        """
        Return a value.

        :raises PlatformUnavailable: no valid response.
        """
        url = self._value_url(key)
        request = Request(url, timeout_s=self._call_timeout_s)
        return _decode_value(key, await self._fetch(request))

    async def swap(self, key: str, value: bytes, expected: int) -> Versioned:
        """
        Write a value if the key still has the expected revision.

        :raises SwapConflict: the key has another revision.
        :raises PlatformUnavailable: the write provably took no effect.
        :raises PlatformAnswerLost: the write may have taken effect.
        """
        request = Request(
            f"{self._value_url(key)}?expected={expected}",
            method="PUT",
            body=value,
            content_type=OCTETS_TYPE,
            reuse=ConnectionReuse.NEVER,
            timeout_s=self._call_timeout_s,
        )
        match await fetch_complete(self._client, request):
            case RequestFailure.NOT_SENT as failure:
                raise PlatformUnavailable(failure.value)
            case RequestFailure() as failure:
                raise PlatformAnswerLost(failure.value)
            case response if response.code in _NOT_APPLIED_STATUSES:
                raise PlatformUnavailable(f"refused with status {response.code}")
            case response if response.code in (200, 409):
                revision = _read_revision(response)
            case response:
                raise PlatformAnswerLost(f"unexpected status {response.code}")
        if revision is None:
            raise PlatformAnswerLost("response has no revision")
        if response.code == 409:
            raise SwapConflict(key, revision)
        return Versioned(key, value, revision)

    async def watch(self, key: str, after: int, wait_s: float) -> Versioned | None:
        """
        Return the value when its revision is above ``after``, None after ``wait_s``.

        :raises PlatformUnavailable: no valid response.
        """
        request = Request(
            f"{self._value_url(key)}?after={after}&wait_s={wait_s}",
            timeout_s=wait_s + WATCH_MARGIN_S,
        )
        response = await self._fetch(request, 200, 204)
        if response.code == 204:
            return None
        return _decode_value(key, response)

    async def acquire_lease(
        self, name: str, holder: str, duration_s: float, now: float
    ) -> Lease | None:
        """
        Acquire or renew a lease; return None when another holder has it.

        The service counts the duration from when it receives the request, after
        ``now``, so ``expires_s`` is never later than the expiry at the service.

        :raises PlatformUnavailable: no valid response.
        """
        request = Request(
            f"{self._url}/v1/leases/{quote_segment(name)}",
            method="POST",
            body=encode_json({"holder": holder, "duration_s": duration_s}),
            content_type=JSON_TYPE,
            timeout_s=self._call_timeout_s,
        )
        response = await self._fetch(request, 200, 409)
        if response.code == 409:
            return None
        try:
            fencing = decode_json(response.body, lambda fields: int(fields["fencing"]))
        except ValueError as error:
            raise PlatformUnavailable(str(error)) from error
        return Lease(name, holder, fencing, now + duration_s)

    async def release_lease(self, lease: Lease) -> None:
        """
        Release a lease; a lease that has expired is not an error.

        :raises PlatformUnavailable: no valid response.
        """
        query = f"holder={quote_segment(lease.holder)}&fencing={lease.fencing}"
        request = Request(
            f"{self._url}/v1/leases/{quote_segment(lease.name)}?{query}",
            method="DELETE",
            timeout_s=self._call_timeout_s,
        )
        await self._fetch(request)

    def _value_url(self, key: str) -> str:
        return f"{self._url}/v1/values/{quote_segment(key)}"

    async def _fetch(self, request: Request, *expected: int) -> HTTPResponse:
        match await fetch_complete(self._client, request):
            case RequestFailure() as failure:
                raise PlatformUnavailable(failure.value)
            case response if response.code in (expected or (200,)):
                return response
            case response:
                raise PlatformUnavailable(f"unexpected status {response.code}")


def _decode_value(key: str, response: HTTPResponse) -> Versioned:
    revision = _read_revision(response)
    if revision is None:
        raise PlatformUnavailable("response has no revision")
    return Versioned(key, response.body, revision)


def _read_revision(response: HTTPResponse) -> int | None:
    revision = response.headers.get(REVISION_HEADER, "")
    return int(revision) if revision.isdecimal() else None
