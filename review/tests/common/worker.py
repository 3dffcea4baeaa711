"""Workers of a model service and of a plain one, as PROTOCOL.md describes them."""

import asyncio
import json
import random
import time

from common.http import encode_message, read_message

__all__ = ["Worker"]

HEARTBEAT_S = 1.2
FIRST_EVENT_S = 0.05
# A larger request is rejected as if the worker were full.
MEMORY_TOKENS = 118_942
MODEL = "m1"


class Worker:
    """
    One worker, which registers itself in the store.

    :param build: version of its software.
    :param event_s: time between two events of a stream; None for a plain service.
    :param stride: tokens in one event.
    :param work_s: time of a plain request.
    :param note: called with what happened, for the record.
    """

    def __init__(
        self,
        store,
        name,
        service,
        host,
        port,
        note,
        *,
        build="1.0",
        zone="z1",
        slots=48,
        event_s=None,
        stride=1,
        work_s=0.02,
    ) -> None:
        self.name, self.service, self.build, self.zone = name, service, build, zone
        self.slots, self.event_s, self.work_s = slots, event_s, work_s
        self.stride = stride
        self.address = f"{host}:{port}"
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.is_leaving = False
        # Time, id, whether it ran, headers.
        self.arrivals = []
        self._host, self._port = host, port
        self._store, self._note = store, note
        self._sequence = 0
        self._running = 0
        self._waiting = 0
        self._free = asyncio.Semaphore(slots)
        self._writers = set()
        self._server = None
        self._beat = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self._host, self._port)
        self.register()

    def register(self) -> None:
        """Write the entry now, and each heartbeat."""
        self._beat = asyncio.create_task(self._register_often())

    def deregister(self) -> None:
        """Remove the entry; the worker goes on serving."""
        self._stop_heartbeat()
        self.is_leaving = True
        self._store.remove(f"servers/{self.name}")
        self._note(f"{self.name} entry removed")

    async def stop(self) -> None:
        """End the process: no more answers, and all its connections are reset."""
        self._stop_heartbeat()
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            writer.transport.abort()

    def make_entry(self):
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.build,
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "sequence": self._sequence,
            "born": self.born,
        }
        if self.event_s is not None:
            models = [{"name": MODEL, "version": 1, "adapters": []}]
            entry |= {"stage": "both", "models": models}
        return entry

    def write_entry(self) -> None:
        self._sequence += 1
        self._store.put(f"servers/{self.name}", self.make_entry())

    def _stop_heartbeat(self) -> None:
        if self._beat is not None:
            self._beat.cancel()
            self._beat = None

    async def _register_often(self) -> None:
        self.write_entry()
        # Workers don't beat at the same moments.
        await asyncio.sleep(random.uniform(0.0, HEARTBEAT_S))
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                work = asyncio.create_task(self._handle(request, writer))
                closed = asyncio.create_task(reader.read(1))
                await asyncio.wait((work, closed), return_when=asyncio.FIRST_COMPLETED)
                if not work.done():
                    # A closed channel ends the work.
                    work.cancel()
                    await asyncio.gather(work, closed, return_exceptions=True)
                    return
                closed.cancel()
                await asyncio.gather(closed, return_exceptions=True)
                if not work.result():
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # Cancelled at the end of the script only.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, request, writer):
        """Answer a request; returns whether the channel is kept."""
        if request.target == "/persimmonferry/report":
            document = {
                "stage": "both",
                "models": [{"name": MODEL, "version": 1, "adapters": []}],
                "busy": False,
                "sequence": 0,
                "waiting": self._waiting,
                "running": self._running,
                "kvUsed": 0,
                "kvTotal": 100_000,
                "handles": 0,
            }
            body = json.dumps(document).encode()
            writer.write(encode_message("HTTP/1.1 200 OK", [], body))
            await writer.drain()
            return True
        call_id = request.headers.get("request-id", "")
        if request.headers.get("expect-instance", self.name) != self.name:
            return await self._refuse(request, writer, 421)
        counts = request.headers.get("token-counts", "0,0").split(",")
        is_too_large = sum(map(int, counts)) > MEMORY_TOKENS
        if is_too_large or self._waiting >= 3 * self.slots:
            return await self._refuse(request, writer, 503)
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        self._record(request, ran=True)
        budget_s = int(request.headers.get("deadline-ms", 10_000)) / 1000
        try:
            async with asyncio.timeout(budget_s):
                if self.event_s is None:
                    await asyncio.sleep(self.work_s)
                    head = self._head(call_id)
                    writer.write(encode_message("HTTP/1.1 200 OK", head, b"done"))
                    await writer.drain()
                else:
                    await self._stream(request, writer)
            return True
        except TimeoutError:
            return False
        finally:
            self._running -= 1
            self._free.release()

    def _record(self, request, *, ran) -> None:
        call_id = request.headers.get("request-id", "")
        row = (time.monotonic(), call_id, ran, request.headers)
        self.arrivals.append(row)
        after = request.headers.get("last-event-id", "-")
        ran = "runs" if ran else "refuses"
        self._note(f"{self.name} ({self.build}) {ran} {call_id} after event {after}")

    async def _refuse(self, request, writer, status) -> bool:
        self._record(request, ran=False)
        call_id = request.headers.get("request-id", "")
        headers = [("Request-Id", call_id), ("Not-Executed", "1")]
        writer.write(encode_message(f"HTTP/1.1 {status} X", headers))
        await writer.drain()
        return True

    def _head(self, call_id):
        headers = [
            ("Request-Id", call_id),
            ("Response-Seal", f"seal-{self.name}"),
            ("Instance-Load", f"{self._running},{self._waiting},{self.slots}"),
            ("Keep-Alive", "timeout=30"),
        ]
        if self.is_leaving:
            headers.append(("Server-Leaving", "1"))
        return headers

    async def _stream(self, request, writer) -> None:
        """Send events for all tokens asked for, after the last one that is named."""
        call_id = request.headers["request-id"]
        tokens = int(request.headers["token-counts"].split(",")[1])
        first = int(request.headers.get("last-event-id", 0)) + 1
        await asyncio.sleep(FIRST_EVENT_S)
        headers = [
            *self._head(call_id),
            ("Content-Type", "text/event-stream"),
            ("Weight-Versions", "1"),
            ("Transfer-Encoding", "chunked"),
        ]
        rows = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in headers)]
        writer.write("\r\n".join(rows).encode() + b"\r\n\r\n")
        for number in range(first, tokens // self.stride + 1):
            event = f"id: {number}\ndata: {self.build}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
