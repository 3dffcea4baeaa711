"""Stand-ins and a client of their own for the time of one test."""

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
    Start stand-ins, give out a client, and stop them at the end.

    :param max_clients: exchanges that the client makes at a time; the others wait.
    """
    async with AsyncExitStack() as stack:
        client = CurlAsyncHTTPClient(force_instance=True, max_clients=max_clients)
        stack.callback(client.close)
        for standin in standins:
            await standin.start()
            stack.push_async_callback(standin.stop)
        yield client
