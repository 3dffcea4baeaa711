"""
A minimal Tornado relay: the baseline for an entry's cost of a streamed token.

``python -m bench.relay URL`` forwards each POST to URL and its response back.
"""

import asyncio
import sys

from persimmonferry_adapters.http_client import ConnectionReuse, Request, fetch
from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

MAX_CLIENTS = 1000


class RelayHandler(RequestHandler):
    """Forwards one request and its response, chunk by chunk."""

    def initialize(self, client: AsyncHTTPClient, target: str) -> None:
        self._client = client
        self._target = target

    async def post(self) -> None:
        self.request.connection.stream.set_nodelay(True)
        request = Request(
            self._target + self.request.path,
            method="POST",
            body=self.request.body,
            content_type="application/json",
            reuse=ConnectionReuse.NO_RESEND,
            timeout_s=0,
            streaming_callback=self._forward_chunk,
        )
        await fetch(self._client, request)

    def _forward_chunk(self, chunk: bytes) -> None:
        self.write(chunk)
        self.flush()


async def serve(target: str) -> None:
    AsyncHTTPClient.configure(
        "tornado.curl_httpclient.CurlAsyncHTTPClient", max_clients=MAX_CLIENTS
    )
    rule = (".*", RelayHandler, {"client": AsyncHTTPClient(), "target": target})
    sockets = bind_sockets(0, "127.0.0.1")
    HTTPServer(Application([rule])).add_sockets(sockets)
    print(f"listening 127.0.0.1:{sockets[0].getsockname()[1]}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1]))
