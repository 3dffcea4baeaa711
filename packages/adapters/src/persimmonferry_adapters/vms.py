"""HTTP adapter to the platform's list of VMs."""

from typing import Any

from persimmonferry_core.exceptions import PlatformUnavailable
from persimmonferry_core.topology import VM, Address, FailureDomain, Role, VMState
from tornado.httpclient import AsyncHTTPClient

from persimmonferry_adapters.http_client import Request, RequestFailure, fetch_complete
from persimmonferry_adapters.http_formats import decode_json

__all__ = ["HttpVMList"]

CALL_TIMEOUT_S = 2.0


class HttpVMList:
    """
    The platform's list of live and leaving VMs over HTTP.

    :param url: base URL without a trailing slash.
    """

    def __init__(self, client: AsyncHTTPClient, url: str) -> None:
        self._client = client
        self._url = url

    async def read(self) -> tuple[VM, ...]:
        """
        Return the list.

        :raises PlatformUnavailable: no valid response.
        """
        request = Request(f"{self._url}/v1/vms", timeout_s=CALL_TIMEOUT_S)
        match await fetch_complete(self._client, request):
            case RequestFailure() as failure:
                raise PlatformUnavailable(failure.value)
            case response if response.code == 200:
                return _decode_vms(response.body)
            case response:
                raise PlatformUnavailable(f"unexpected status {response.code}")


def _decode_vms(body: bytes) -> tuple[VM, ...]:
    try:
        return decode_json(body, lambda fields: tuple(map(_decode_vm, fields["vms"])))
    except ValueError as error:
        raise PlatformUnavailable("malformed list of VMs") from error


def _decode_vm(fields: dict[str, Any]) -> VM:
    return VM(
        name=fields["name"],
        role=Role(fields["role"]),
        address=Address(fields["host"], int(fields["port"])),
        failure_domain=FailureDomain(fields["region"], fields["failure_domain"]),
        state=VMState(fields["state"]),
    )
