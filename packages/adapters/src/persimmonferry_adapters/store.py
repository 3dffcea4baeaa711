"""HTTP adapter to a store VM."""

from collections.abc import Callable
from typing import Any, TypeVar

from persimmonferry_core.codes import ResultCode
from persimmonferry_core.exceptions import StoreError
from persimmonferry_core.interfaces import StoredBlock, StoreUsage
from tornado.httpclient import AsyncHTTPClient, HTTPResponse

from persimmonferry_adapters.http_client import (
    ConnectionReuse,
    Request,
    RequestFailure,
    fetch_complete,
)
from persimmonferry_adapters.http_formats import (
    BLOCK_NAME_HEADER,
    COMMITTED_HEADER,
    GENERATION_HEADER,
    JSON_TYPE,
    OCTETS_TYPE,
    decode_json,
    encode_json,
    quote_segment,
)

__all__ = ["HttpStore"]

Built = TypeVar("Built")

TRANSFER_TIMEOUT_S = 30.0
CALL_TIMEOUT_S = 2.0


class HttpStore:
    """
    A store VM over HTTP; every method raises StoreError when it is unreachable.

    :param url: base URL without a trailing slash.
    :param transfer_timeout_s: timeout of writing or reading one block.
    :param call_timeout_s: timeout of every other call.
    """

    def __init__(
        self,
        client: AsyncHTTPClient,
        url: str,
        transfer_timeout_s: float = TRANSFER_TIMEOUT_S,
        call_timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self._client = client
        self._url = url
        self._transfer_timeout_s = transfer_timeout_s
        self._call_timeout_s = call_timeout_s

    async def write(self, name: str, data: bytes) -> int:
        """
        Write a block without its commit mark and return its generation.

        :raises StoreError: the store is full or unreachable.
        """
        request = Request(
            self._block_url(name),
            method="PUT",
            body=data,
            content_type=OCTETS_TYPE,
            reuse=ConnectionReuse.NEVER,
            timeout_s=self._transfer_timeout_s,
        )
        response = await self._fetch(request)
        return _decode(response, lambda fields: int(fields["generation"]))

    async def commit(self, name: str, generation: int) -> None:
        """
        Set the commit mark.

        :raises StoreError: the generation no longer exists.
        """
        request = Request(
            f"{self._block_url(name)}/commit",
            method="POST",
            body=encode_json({"generation": generation}),
            content_type=JSON_TYPE,
            timeout_s=self._call_timeout_s,
        )
        await self._fetch(request)

    async def read(self, name: str) -> StoredBlock:
        """
        Return a block as stored; its name, commit mark and bytes are not validated.

        :raises StoreError: the block does not exist, or the store is unreachable.
        """
        request = Request(self._block_url(name), timeout_s=self._transfer_timeout_s)
        response = await self._fetch(request)
        headers = response.headers
        try:
            generation = int(headers[GENERATION_HEADER])
            stored_name = headers[BLOCK_NAME_HEADER]
        except (KeyError, ValueError) as error:
            raise StoreError(
                ResultCode.BLOCK_INVALID, "store VM: malformed headers"
            ) from error
        committed = headers.get(COMMITTED_HEADER) == "1"
        return StoredBlock(stored_name, generation, committed, response.body)

    async def read_generation(self, name: str) -> int:
        """Return the current generation of a committed block, 0 if there is none."""
        url = f"{self._block_url(name)}/generation"
        request = Request(url, timeout_s=self._call_timeout_s)
        response = await self._fetch(request)
        return _decode(response, lambda fields: int(fields["generation"]))

    async def remove(self, name: str, generation: int) -> None:
        """Free a block if it still has that generation."""
        request = Request(
            f"{self._block_url(name)}?generation={generation}",
            method="DELETE",
            timeout_s=self._call_timeout_s,
        )
        await self._fetch(request)

    async def list_names(self) -> tuple[str, ...]:
        """Return the names of all blocks."""
        url = f"{self._url}/v1/blocks"
        request = Request(url, timeout_s=self._call_timeout_s)
        response = await self._fetch(request)
        return _decode(response, lambda fields: tuple(map(str, fields["names"])))

    async def read_usage(self) -> StoreUsage:
        """Return how many bytes are used, and the capacity."""
        url = f"{self._url}/v1/usage"
        request = Request(url, timeout_s=self._call_timeout_s)
        response = await self._fetch(request)
        return _decode(response, lambda fields: StoreUsage(**fields))

    def _block_url(self, name: str) -> str:
        return f"{self._url}/v1/blocks/{quote_segment(name)}"

    async def _fetch(self, request: Request) -> HTTPResponse:
        match await fetch_complete(self._client, request):
            case RequestFailure() as failure:
                raise StoreError(ResultCode.STORE_UNAVAILABLE, failure.value)
            case response if response.code == 200:
                return response
            case response if response.code == ResultCode.STORE_FULL.http_status:
                raise StoreError(ResultCode.STORE_FULL)
            case response:
                detail = f"store VM: unexpected status {response.code}"
                raise StoreError(ResultCode.BLOCK_INVALID, detail)


def _decode(response: HTTPResponse, build: Callable[[Any], Built]) -> Built:
    try:
        return decode_json(response.body, build)
    except ValueError as error:
        raise StoreError(ResultCode.BLOCK_INVALID, f"store VM: {error}") from error
