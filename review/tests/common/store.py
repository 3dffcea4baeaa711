"""The platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from common.http import encode_message, read_message

__all__ = ["Store"]

ANSWER_S = 0.004
PAGE_ITEMS = 500
LEASE_CHECK_S = 0.02


class Store:
    """Keys, revisions, watches, conditional writes and leases; loses nothing."""

    def __init__(self, host, port) -> None:
        self.address = f"{host}:{port}"
        self._host, self.port = host, port
        self.rows = {}
        self.rev = 100
        self._history = []
        # Time of the end and duration of each lease.
        self._leases = {}
        self._changed = asyncio.Event()
        self._server = None
        self._expiry = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self._host, self.port)
        self._expiry = asyncio.create_task(self._expire())

    async def stop(self) -> None:
        self._expiry.cancel()
        self._server.close()

    def put(self, key, value, lease=0):
        """Write as the operator and the workers do, and return the revision."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.rev += 1
        known = self.rows.get(key)
        self.rows[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "rev": self.rev,
            "createRev": known["createRev"] if known else self.rev,
            "lease": lease,
        }
        self._publish(self.rows[key])
        return self.rev

    def remove(self, key) -> None:
        if self.rows.pop(key, None) is not None:
            self.rev += 1
            self._publish({"key": key, "rev": self.rev, "removed": True})

    def _publish(self, event) -> None:
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            now = time.monotonic()
            for lease, (end_s, _) in tuple(self._leases.items()):
                if end_s <= now:
                    self._end_lease(lease)

    def _end_lease(self, lease) -> None:
        self._leases.pop(lease, None)
        for key in [key for key, row in self.rows.items() if row["lease"] == lease]:
            self.remove(key)

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                request = await read_message(reader)
                await asyncio.sleep(ANSWER_S)
                status, document = await self._answer(request)
                body = json.dumps(document).encode()
                headers = [("Content-Type", "application/json")]
                writer.write(encode_message(f"HTTP/1.1 {status} X", headers, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # Cancelled at the end of the script only.
            pass
        finally:
            writer.close()

    async def _answer(self, request):
        parts = urlsplit(request.target)
        query = {
            name: values[0] for name, values in parse_qs(parts.query, True).items()
        }
        call, _, rest = parts.path.removeprefix("/persimmonferry/").partition("/")
        match request.method, call:
            case "GET", "kv-key":
                row = self.rows.get(query["key"])
                return (200, row) if row else (404, {})
            case "GET", "kv-range":
                return 200, self._list(query["prefix"], query.get("after", ""))
            case "GET", "kv-watch":
                return await self._watch(query)
            case "POST", "kv-txn":
                return self._write(json.loads(request.body))
            case "POST", "kv-lease":
                ttl_s = json.loads(request.body)["ttlMs"] / 1000
                self.rev += 1
                self._leases[self.rev] = (time.monotonic() + ttl_s, ttl_s)
                return 200, {"lease": self.rev, "ttlMs": int(ttl_s * 1000)}
            case "POST", "kv-keep":
                return self._keep(int(rest))
            case "DELETE", "kv-lease-end":
                self._end_lease(int(rest))
                return 200, {}
        return 404, {}

    def _list(self, prefix, after):
        keys = [key for key in sorted(self.rows) if key.startswith(prefix)]
        keys = [key for key in keys if key > after]
        return {
            "items": [self.rows[key] for key in keys[:PAGE_ITEMS]],
            "morePages": len(keys) > PAGE_ITEMS,
            "storeRevision": self.rev,
        }

    async def _watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        if after > self.rev:
            return 410, {}

        def find():
            return [
                event
                for event in self._history
                if event["rev"] > after and event["key"].startswith(prefix)
            ]

        try:
            async with asyncio.timeout(int(query["waitMs"]) / 1000):
                while not find():
                    await self._changed.wait()
        except TimeoutError:
            pass
        return 200, {"events": find(), "storeRevision": self.rev}

    def _write(self, document):
        known = {row["key"]: self.rows.get(row["key"]) for row in document["expected"]}
        for row in document["expected"]:
            present = known[row["key"]]
            if (present["rev"] if present else 0) != row["rev"]:
                return 412, {"items": [item for item in known.values() if item]}
        for row in document["setKeys"]:
            if row.get("lease") and row["lease"] not in self._leases:
                return 404, {}
        for row in document["setKeys"]:
            value = base64.b64decode(row["value"])
            self.put(row["key"], value, row.get("lease", 0))
        for key in document["deleteKeys"]:
            self.remove(key)
        return 200, {"rev": self.rev}

    def _keep(self, lease):
        if lease not in self._leases:
            return 404, {}
        _, ttl_s = self._leases[lease]
        self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return 200, {"lease": lease, "ttlMs": int(ttl_s * 1000)}
