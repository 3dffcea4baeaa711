"""Stand-in for the platform's key-value service."""

import asyncio
import json
from dataclasses import dataclass
from typing import Any

from persimmonferry_adapters.http_formats import OCTETS_TYPE, REVISION_HEADER

from persimmonferry_standins.server import LOOPBACK, Handler, Route, StandIn

__all__ = ["PlatformSettings", "PlatformStandIn"]

MAX_VALUE_BYTES = 1_000_000


@dataclass(frozen=True)
class PlatformSettings:
    """
    Parameters of the simulated service.

    :param latency_s: time before each call takes effect.
    """

    latency_s: float = 0.0


@dataclass(frozen=True)
class _Value:
    data: bytes
    revision: int


@dataclass(frozen=True)
class _Grant:
    holder: str
    fencing: int
    expires_s: float


class PlatformStandIn(StandIn):
    """
    Values with compare-and-swap and watches, and leases with fencing tokens.

    Counters of calls by kind: ``read``, ``swap``, ``watch``, ``acquire_lease``,
    ``release_lease``. A watch counts once, however long it waits. Values survive
    ``stop``.
    """

    def __init__(
        self,
        settings: PlatformSettings | None = None,
        port: int = 0,
        host: str = LOOPBACK,
    ) -> None:
        super().__init__(port, host)
        self.settings = settings or PlatformSettings()
        self._values: dict[str, _Value] = {}
        self._changes: dict[str, asyncio.Event] = {}
        self._grants: dict[str, _Grant] = {}

    def make_routes(self) -> list[Route]:
        """Return the routes of the service."""
        options = {"standin": self}
        return [
            (r"/v1/values/([^/]+)", _ValueHandler, options),
            (r"/v1/leases/([^/]+)", _LeaseHandler, options),
        ]

    def make_state(self) -> dict[str, Any]:
        """Return the revision of each key and the holder of each lease."""
        revisions = {key: value.revision for key, value in self._values.items()}
        holders = {name: grant.holder for name, grant in self._grants.items()}
        return {"revisions": revisions, "holders": holders}

    def read(self, key: str) -> _Value:
        """Return a value; a missing key is empty at revision 0."""
        return self._values.get(key, _Value(b"", 0))

    def swap(self, key: str, data: bytes, expected: int) -> bool:
        """Write a value and wake its watches if the key has the expected revision."""
        if self.read(key).revision != expected:
            return False
        self._values[key] = _Value(data, expected + 1)
        change = self._changes.pop(key, None)
        if change is not None:
            change.set()
        return True

    async def wait(self, key: str, after: int, wait_s: float) -> _Value | None:
        """Return a value newer than a revision, or None after ``wait_s``."""
        loop = asyncio.get_running_loop()
        limit = loop.time() + wait_s
        while self.read(key).revision <= after:
            change = self._changes.setdefault(key, asyncio.Event())
            left = limit - loop.time()
            try:
                await asyncio.wait_for(change.wait(), left)
            except TimeoutError:
                return None
        return self.read(key)

    def acquire(
        self, name: str, holder: str, duration_s: float, now: float
    ) -> _Grant | None:
        """Grant or renew a lease; None while another holder has it."""
        grant = self._grants.get(name, _Grant("", 0, 0.0))
        live = grant.expires_s > now
        if live and grant.holder != holder:
            return None
        fencing = grant.fencing if live else grant.fencing + 1
        self._grants[name] = _Grant(holder, fencing, now + duration_s)
        return self._grants[name]

    def release(self, name: str, holder: str, fencing: int) -> None:
        """Release a lease if its holder and fencing token still match."""
        grant = self._grants.get(name)
        if grant is not None and (grant.holder, grant.fencing) == (holder, fencing):
            self._grants[name] = _Grant("", fencing, 0.0)


class _PlatformHandler(Handler):
    standin: PlatformStandIn

    async def count(self, kind: str) -> None:
        """Count a call and wait for the latency of the service."""
        self.standin.counters[kind] += 1
        latency_s = self.standin.settings.latency_s * self.standin.slow_factor
        if latency_s:
            await asyncio.sleep(latency_s)


class _ValueHandler(_PlatformHandler):
    async def get(self, key: str) -> None:
        after = self.get_query_argument("after", "")
        if not after:
            await self.count("read")
            await self._answer_value(self.standin.read(key))
            return
        await self.count("watch")
        wait_s = float(self.get_query_argument("wait_s"))
        value = await self.standin.wait(key, int(after), wait_s)
        if value is None:
            await self.answer(status=204)
        else:
            await self._answer_value(value)

    async def put(self, key: str) -> None:
        await self.count("swap")
        if len(self.request.body) > MAX_VALUE_BYTES:
            await self.answer(status=413)
            return
        expected = int(self.get_query_argument("expected"))
        done = self.standin.swap(key, self.request.body, expected)
        self.set_header(REVISION_HEADER, str(self.standin.read(key).revision))
        await self.answer(status=200 if done else 409)

    async def _answer_value(self, value: _Value) -> None:
        self.set_header("Content-Type", OCTETS_TYPE)
        self.set_header(REVISION_HEADER, str(value.revision))
        await self.answer(value.data)


class _LeaseHandler(_PlatformHandler):
    async def post(self, name: str) -> None:
        await self.count("acquire_lease")
        fields = json.loads(self.request.body)
        holder, duration_s = fields["holder"], float(fields["duration_s"])
        now = asyncio.get_running_loop().time()
        grant = self.standin.acquire(name, holder, duration_s, now)
        if grant is None:
            await self.answer(status=409)
        else:
            await self.answer_json({"fencing": grant.fencing})

    async def delete(self, name: str) -> None:
        await self.count("release_lease")
        holder = self.get_query_argument("holder")
        fencing = int(self.get_query_argument("fencing"))
        self.standin.release(name, holder, fencing)
        await self.answer()
