"""Stand-ins and an HTTP client for the duration of one test."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import AsyncHTTPClient

from persimmonferry_standins.server import StandIn

__all__ = ["open_session"]

MAX_CLIENTS = 256


@asynccontextmanager
async def open_session(
    *standins: StandIn, max_clients: int = MAX_CLIENTS
) -> AsyncIterator[AsyncHTTPClient]:
    """
    Start stand-ins, yield an HTTP client, and stop the stand-ins on exit.

    :param max_clients: largest number of concurrent requests; others wait.
    """
    async with AsyncExitStack() as stack:
        client = CurlAsyncHTTPClient(force_instance=True, max_clients=max_clients)
        stack.callback(client.close)
        for standin in standins:
            await standin.start()
            stack.push_async_callback(standin.stop)
        yield client
