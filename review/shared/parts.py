"""Stand-ins of the users' platform, and the gateway as a process, for the cases."""

import asyncio
import base64
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from urllib.parse import parse_qs, unquote

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
KEY = "jnbanfqasnmgkcuyj8pj"
MODEL = "daka510000"
HOST = "nylo40.example"
# Ends by themselves of each of two processes that break the rule Fault.
ENDS = 3


def is_troubled() -> bool:
    """Whether the disruption of the case is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


def find_ports(count: int) -> list[int]:
    """Return free ports."""
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind((LOOPBACK, 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


class Record:
    """Writes what was sent, answered and run to ``record.txt`` of the case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began_s = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        now_s = time.monotonic() - self._began_s
        print(f"{now_s:8.3f} {text}", file=self._file, flush=True)


class Message:
    """A request or a response: its first line, headers and body."""

    def __init__(self, line: str, fields: dict[str, str], body: bytes) -> None:
        self.line = line
        self.fields = fields
        self.body = body


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a first line and headers."""
    head = await reader.readuntil(b"\r\n\r\n")
    line, *rows = head.decode("latin-1").split("\r\n")
    fields = {}
    for row in rows:
        name, colon, value = row.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return Message(line, fields, b"")


async def read_request(reader: asyncio.StreamReader) -> Message:
    """Read a request whose body has a length."""
    message = await read_head(reader)
    length = int(message.fields.get("content-length", 0))
    message.body = await reader.readexactly(length)
    return message


def encode_answer(
    status: int, fields: dict[str, str], body: bytes, reason: str = "X"
) -> bytes:
    """Return a response with a length."""
    rows = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}"]
    rows += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(rows).encode("latin-1") + b"\r\n\r\n" + body


class Server:
    """A server on a loopback address; a subclass answers its requests."""

    def __init__(self) -> None:
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        """Listen on a port."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, port)
        self.address = f"{LOOPBACK}:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Stop listening, and close all channels."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while not writer.is_closing():
                request = await read_request(reader)
                await self.answer(request, reader, writer)
                await writer.drain()
        except (
            asyncio.IncompleteReadError,
            ConnectionError,
            asyncio.LimitOverrunError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer a request."""
        raise NotImplementedError


def send_json(
    writer: asyncio.StreamWriter, document: object, status: int = 200
) -> None:
    """Send a JSON response."""
    fields = {"Content-Type": "application/json"}
    writer.write(encode_answer(status, fields, json.dumps(document).encode()))


class Store(Server):
    """The platform's metadata store, with leases that end."""

    def __init__(self) -> None:
        super().__init__()
        self.rows: dict[str, dict] = {}
        self.history: list[dict] = []
        self.rev = 100
        self.leases: dict[int, tuple[float, float]] = {}
        self._changed = asyncio.Event()
        self._task: asyncio.Task | None = None

    async def start(self, port: int = 0) -> None:
        """Listen, and end leases."""
        await super().start(port)
        self._task = asyncio.create_task(self._expire())

    async def stop(self) -> None:
        """Stop."""
        self._task.cancel()
        await super().stop()

    def put(self, key: str, value: object, lease: int = 0) -> int:
        """Write a key."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.rev += 1
        row = self.rows.get(key)
        self.rows[key] = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "rev": self.rev,
            "createRev": row["createRev"] if row else self.rev,
            "lease": lease,
        }
        self._publish(dict(self.rows[key]))
        return self.rev

    def remove(self, key: str) -> None:
        """Remove a key."""
        self.rev += 1
        del self.rows[key]
        self._publish({"key": key, "rev": self.rev, "removed": True})

    def _publish(self, event: dict) -> None:
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _end(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [key for key, row in self.rows.items() if row["lease"] == lease]:
            self.remove(key)

    async def _expire(self) -> None:
        while True:
            now = time.monotonic()
            for lease, (end_s, _) in tuple(self.leases.items()):
                if now >= end_s:
                    self._end(lease)
            await asyncio.sleep(0.02)

    async def answer(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer a call after 4 ms."""
        await asyncio.sleep(0.004)
        _, target, _ = request.line.split(" ")
        path, _, text = target.partition("?")
        query = {name: rows[0] for name, rows in parse_qs(text).items()}
        call = path.removeprefix("/persimmonferry/")
        if call == "kv-range":
            self._range(writer, query)
        elif call == "kv-watch":
            await self._watch(writer, query)
        elif call == "kv-txn":
            self._write(writer, json.loads(request.body))
        elif call == "kv-lease":
            ttl_ms = max(1000, json.loads(request.body)["ttlMs"])
            self.rev += 1
            ttl_s = ttl_ms / 1000
            self.leases[self.rev] = (time.monotonic() + ttl_s, ttl_s)
            send_json(writer, {"lease": self.rev, "ttlMs": ttl_ms})
        elif call.startswith("kv-keep/"):
            lease = int(call.partition("/")[2])
            if lease in self.leases:
                ttl_s = self.leases[lease][1]
                self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
                send_json(writer, {"ttlMs": int(ttl_s * 1000)})
            else:
                send_json(writer, {}, 404)
        elif call.startswith("kv-lease-end/"):
            self._end(int(call.partition("/")[2]))
            send_json(writer, {})
        else:
            send_json(writer, {}, 404)

    def _range(self, writer: asyncio.StreamWriter, query: dict[str, str]) -> None:
        prefix, after = unquote(query.get("prefix", "")), query.get("after", "")
        keys = [key for key in sorted(self.rows) if key.startswith(prefix)]
        keys = [key for key in keys if key > after]
        items = [self.rows[key] for key in keys[:500]]
        more = len(keys) > 500
        send_json(
            writer, {"items": items, "morePages": more, "storeRevision": self.rev}
        )

    async def _watch(self, writer: asyncio.StreamWriter, query: dict[str, str]) -> None:
        prefix, after = query.get("prefix", ""), int(query["after"])
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query["waitMs"]) / 1000):
                while not self._find(prefix, after):
                    await self._changed.wait()
        events = self._find(prefix, after)
        send_json(writer, {"events": events, "storeRevision": self.rev})

    def _find(self, prefix: str, after: int) -> list[dict]:
        return [
            event
            for event in self.history
            if event["rev"] > after and event["key"].startswith(prefix)
        ]

    def _write(self, writer: asyncio.StreamWriter, document: dict) -> None:
        expected = document["expected"]
        known = {row["key"]: self.rows.get(row["key"]) for row in expected}
        for row in expected:
            item = known[row["key"]]
            if (item["rev"] if item else 0) != row["rev"]:
                items = [item for item in known.values() if item]
                send_json(writer, {"items": items}, 412)
                return
        for row in document["setKeys"]:
            if row.get("lease", 0) and row["lease"] not in self.leases:
                send_json(writer, {}, 404)
                return
        for row in document["setKeys"]:
            value = base64.b64decode(row["value"])
            self.put(row["key"], value, row.get("lease", 0))
        for key in document["deleteKeys"]:
            if key in self.rows:
                self.remove(key)
        send_json(writer, {"rev": self.rev})


class Worker(Server):
    """
    A sound worker that registers itself.

    :param model: version of its weights, None for a plain worker.
    :param zone: of its entry.
    """

    def __init__(
        self,
        store: Store,
        record: Record,
        name: str,
        service: str,
        *,
        version: int | None = None,
        zone: str = "gt-zona-1",
    ) -> None:
        super().__init__()
        self.name = name
        self.service = service
        self.version = version
        self.zone = zone
        self.slots = 64 if version else 6
        self.ran: list[str] = []
        self.orders: list[dict] = []
        self.fence = 0
        self.is_busy = False
        self.running = 0
        self._store = store
        self._record = record
        self._sequence = 0
        self._born = time.time_ns() // 1_000_000
        self._beats: asyncio.Task | None = None

    async def start(self, port: int = 0) -> None:
        """Listen and register."""
        await super().start(port)
        self.write_entry()
        self._beats = asyncio.create_task(self._beat())

    async def stop(self) -> None:
        """End."""
        self._beats.cancel()
        await super().stop()

    def describe(self) -> dict:
        """Return the entry."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldLeftMs": 0,
            "sequence": self._sequence,
            "born": self._born,
        }
        if self.version is not None:
            entry["stage"] = "both"
            entry["models"] = self._models()
        return entry

    def write_entry(self) -> None:
        """Write the entry to the store."""
        self._sequence += 1
        self._store.put(f"servers/{self.name}", self.describe())

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(1.2)
            self.write_entry()

    def _models(self) -> list[dict]:
        return [{"name": MODEL, "version": self.version, "adapters": []}]

    async def answer(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer a call or run a request."""
        _, target, _ = request.line.split(" ")
        fields = request.fields
        call_id = fields.get("request-id", "")
        if fields.get("expect-instance", self.name) != self.name:
            writer.write(encode_answer(421, {"Request-Id": call_id}, b""))
        elif target == "/persimmonferry/report":
            await self.report(writer)
        elif target == "/persimmonferry/order":
            await self.order(json.loads(request.body), writer)
        elif not call_id:
            writer.write(encode_answer(400, {"Not-Executed": "1"}, b""))
        elif self.version is None:
            await self._run_plain(request, call_id, writer)
        else:
            await self._run_prompt(request, call_id, writer)

    async def report(self, writer: asyncio.StreamWriter) -> None:
        """Answer a call for the report."""
        document = {
            "stage": "both",
            "models": self._models(),
            "busy": self.is_busy,
            "sequence": len(self.orders),
            "waiting": 0,
            "running": self.running,
            "kvUsed": 0,
            "kvTotal": 80011,
            "handles": 0,
            "born": self._born,
        }
        send_json(writer, document)

    async def order(self, order: dict, writer: asyncio.StreamWriter) -> None:
        """Answer an order, and carry it out."""
        self._record.write(f"order at {self.name}: {json.dumps(order)}")
        if order["fence"] < self.fence:
            send_json(writer, {}, 412)
            return
        self.fence = order["fence"]
        expected = order.get("expected", len(self.orders))
        if self.is_busy or expected != len(self.orders):
            send_json(writer, {}, 409)
            return
        if order["version"] == self.version:
            send_json(writer, {}, 200)
            return
        self.orders.append(order)
        self.is_busy = True
        asyncio.get_running_loop().call_later(0.76, self._load, order["version"])
        send_json(writer, {}, 202)

    def _load(self, version: int) -> None:
        self.version = version
        self.is_busy = False
        self.write_entry()

    def _seal(self, call_id: str) -> dict[str, str]:
        fields = {
            "Request-Id": call_id,
            "Response-Seal": f"seal.{self.name}.{call_id}",
            "Instance-Load": f"{self.running},0,{self.slots}",
        }
        if self.version is not None:
            fields["Weight-Versions"] = str(self.version)
        return fields

    async def _run_plain(
        self, request: Message, call_id: str, writer: asyncio.StreamWriter
    ) -> None:
        self.ran.append(call_id)
        self._record.write(f"run of {call_id} at {self.name}: {request.line}")
        self.running += 1
        await asyncio.sleep(0.05)
        self.running -= 1
        writer.write(encode_answer(200, self._seal(call_id), b"x" * 800, "OK"))

    async def _run_prompt(
        self, request: Message, call_id: str, writer: asyncio.StreamWriter
    ) -> None:
        fields = request.fields
        expected = fields.get("expect-version")
        if self.is_busy or (expected and expected != str(self.version)):
            status = 503 if self.is_busy else 421
            refusal = {"Request-Id": call_id, "Not-Executed": "1"}
            writer.write(encode_answer(status, refusal, b""))
            return
        self.ran.append(call_id)
        self._record.write(
            f"run of {call_id} at {self.name}, version {self.version}: {request.line}"
        )
        rows = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        seal = self._seal(call_id)
        rows += [f"{name}: {value}" for name, value in seal.items()]
        rows.append("Transfer-Encoding: chunked")
        writer.write("\r\n".join(rows).encode() + b"\r\n\r\n")
        self.running += 1
        try:
            for number in range(int(fields.get("last-event-id", 0)) + 1, 6):
                await asyncio.sleep(0.02)
                event = f"id: {number}\ndata: t{number}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
        finally:
            self.running -= 1
        writer.write(b"0\r\n\r\n")


class Gateway:
    """
    A gateway of the project, started with the command of the deploy file.

    :param folder: for its settings file and its output.
    """

    def __init__(
        self, store: Store, folder: Path, name: str, settings: str, zone: str
    ) -> None:
        self.name = name
        front, ready, internal = find_ports(3)
        self.front = front
        self.ready = ready
        self._path = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        self._path.write_text(
            settings.format(
                name=name,
                zone=zone,
                front=front,
                ready=ready,
                internal=internal,
                store=store.address,
            )
        )
        self.process: asyncio.subprocess.Process | None = None
        # Set when the platform is to start the process no more.
        self.is_over = False

    async def start(self) -> None:
        """Start the process."""
        kept = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        kept["PYTHONPATH"] = str(ROOT / "target" / "deps")
        kept["PERSIMMONFERRY_BOOT"] = str(self._path)
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "persimmonferry_platform",
                cwd=ROOT,
                env=kept,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def end(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Ask as the platform does whether it is ready."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(LOOPBACK, self.ready)
                writer.write(
                    b"GET /persimmonferry/ready HTTP/1.1\r\nHost: ready\r\n"
                    b"Connection: close\r\n\r\n"
                )
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return line.split(b" ")[1:2] == [b"200"]

    async def wait_until_ready(self, limit_s: float = 20.0) -> None:
        """
        Wait until it is ready.

        :raises TimeoutError: it is not within the limit.
        """
        async with asyncio.timeout(limit_s):
            while not await self.is_ready():
                await asyncio.sleep(0.1)


def read_memory(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    try:
        rows = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0
    found = [int(row.split()[1]) for row in rows if row.startswith("VmRSS")]
    return 1024 * found[0] if found else 0


async def play_platform(
    gateway: Gateway, record: Record, ends: list[float], limit: int
) -> None:
    """Kill the process if it exceeds ``memoryMb``, and start it again."""
    most, noted_s = 0, time.monotonic()
    while not gateway.is_over:
        await asyncio.sleep(0.005)
        memory = read_memory(gateway.process.pid)
        most = max(most, memory)
        if time.monotonic() > noted_s + 1.0:
            record.write(f"memory of {gateway.name}: {most / 2**20:.0f} MiB at most")
            most, noted_s = 0, time.monotonic()
        if memory > limit:
            text = f"{gateway.name} killed over the memory limit"
            record.write(f"{text}: {memory / 2**20:.0f} MiB")
            ends.append(time.monotonic())
            await gateway.end()
            await asyncio.sleep(0.5)
            await gateway.start()


async def end_all(
    gateways: list[Gateway],
    watches: list[asyncio.Task],
    workers: list[Worker],
    store: Store,
) -> None:
    """End all processes and stand-ins; the watches are those of ``play_platform``."""
    for gateway in gateways:
        gateway.is_over = True
    await asyncio.gather(*watches, return_exceptions=True)
    for gateway in gateways:
        await gateway.end()
    for worker in workers:
        await worker.stop()
    await store.stop()


async def serve_clients(
    gateway: Gateway,
    prefix: str,
    for_s: float,
    record: Record,
    results: list[dict],
    sizes: dict[str, int] | None = None,
) -> None:
    """
    Run the clients of a gateway as a process, and record their answers.

    :param sizes: of the bodies, by kind of request; 600 bytes for the others.
    """
    clients = await asyncio.create_subprocess_exec(
        sys.executable,
        str(Path(__file__).with_name("clients.py")),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
    )
    try:
        job = {"port": gateway.front, "for_s": for_s, "prefix": prefix}
        job["sizes"] = sizes or {}
        clients.stdin.write(json.dumps(job).encode() + b"\n")
        while line := await clients.stdout.readline():
            record.write(f"{gateway.name} answered: {line.decode().strip()}")
            results.append(json.loads(line))
    finally:
        if clients.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                clients.kill()
            await clients.wait()


def judge_ends(
    results: list[dict],
    workers: list[Worker],
    ends: dict[str, list[float]],
    record: Record,
) -> int:
    """
    Return 1 if each process has ended by itself three times, 0 if not.

    Counted as lost are requests that a sound worker ran and that got no answer, as the
    gateway closed their channel, which had carried answers before.
    """
    ran = {call_id for worker in workers for call_id in worker.ran}
    lost = [
        item["id"]
        for item in results
        if item["end"] == "the gateway closed the channel"
        and item["kept"]
        and not item["status"]
        and item["id"] in ran
    ]
    whole = sum(item["end"] == "whole" and item["status"] == 200 for item in results)
    counts = {name: len(times) for name, times in ends.items()}
    text = (
        f"{len(results)} requests, {whole} answered whole; processes that ended over"
        f" the memory limit: {counts}; lost: {len(lost)}"
    )
    record.write(text)
    record.write(f"lost: {lost}")
    print(text)
    if not whole:
        return 2
    return 1 if all(count >= ENDS for count in counts.values()) else 0


class Answer:
    """What a client got: status 0 without an answer."""

    def __init__(self) -> None:
        self.status = 0
        self.fields: dict[str, str] = {}
        self.body = b""
        self.is_whole = False


async def call(
    port: int, request: bytes, limit_s: float, *, channel: object = None
) -> Answer:
    """Send a request on a new channel and read the answer."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            writer.write(request)
            head = await read_head(reader)
            answer.status = int(head.line.split(" ")[1])
            answer.fields = head.fields
            if head.fields.get("transfer-encoding") == "chunked":
                while size := int(await reader.readuntil(b"\r\n"), 16):
                    answer.body += (await reader.readexactly(size + 2))[:-2]
                await reader.readexactly(2)
            else:
                length = int(head.fields.get("content-length", 0))
                answer.body = await reader.readexactly(length)
            answer.is_whole = True
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return answer


def encode_call(
    call_id: str,
    path: str,
    *,
    method: str = "POST",
    body: bytes = b"",
    budget_ms: int = 3000,
    parts: str = "",
    tokens: str = "",
) -> bytes:
    """Return a client's request; with parts it is a prompt."""
    rows = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Request-Id: {call_id}",
        f"Deadline-Ms: {budget_ms}",
        f"X-Api-Key: {KEY}",
    ]
    if body or method == "POST":
        rows.append(f"Content-Length: {len(body)}")
    if parts:
        rows += [f"Model: {MODEL}", f"Token-Counts: {tokens}", f"Prefix-Hash: {parts}"]
    return "\r\n".join(rows).encode() + b"\r\n\r\n" + body


def run_case(body: Callable[[Path, Record], Awaitable[int]]) -> None:
    """Run a case and exit with its result; 2 if it could not run."""
    folder = Path(sys.argv[1]).resolve()
    record = Record(folder)

    async def limited(path: Path) -> int:
        task = asyncio.current_task()
        # The processes that were started are ended also then.
        loop = asyncio.get_running_loop()

        def stop() -> None:
            loop.add_signal_handler(signal.SIGTERM, lambda: None)
            task.cancel()

        loop.add_signal_handler(signal.SIGTERM, stop)
        async with asyncio.timeout(115.0):
            return await body(path, record)

    with tempfile.TemporaryDirectory() as name:
        try:
            result = asyncio.run(limited(Path(name)))
        except (Exception, asyncio.CancelledError) as error:
            record.write(f"the case could not run: {error!r}")
            print(f"the case could not run: {error!r}")
            result = 2
    sys.exit(result)
