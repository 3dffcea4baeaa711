"""Gateways as the platform starts them, and its balancer."""

import asyncio
import os
import signal
import socket
import time
import tomllib
import zlib
from pathlib import Path

from common.http import encode_message, read_message

__all__ = ["Balancer", "Gateway", "Ports"]

ROOT = Path(__file__).resolve().parents[3]
POLL_S = 1.0
MISSES = 2
RESTART_S = 0.5
KEPT_VARIABLES = ("PATH", "HOME", "LANG")


class Ports:
    """Free ports on all the loopback addresses that a script uses."""

    def __init__(self, hosts) -> None:
        self._hosts = hosts
        self._next = 21_000 + os.getpid() % 5000

    def take(self):
        while True:
            self._next += 1
            if all(_is_free(host, self._next) for host in self._hosts):
                return self._next


def _is_free(host, port) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


class Gateway:
    """
    A process of the deploy file on its own loopback address.

    :param ports: of callers, readiness and other gateways.
    :param bounds: of the site.
    """

    def __init__(
        self, name, host, ports, store_address, folder, note, bounds, **limits
    ) -> None:
        self.name, self.host = name, host
        self.front, self.ready, self.internal = ports
        self.started_s = float("inf")
        self.process = None
        self._note = note
        self._log = folder / f"{name}.log"
        self._settings = folder / f"{name}.toml"
        limits = {
            "cpuShare": 0.817,
            "cores": 1,
            "memoryMb": 300,
            "maxFds": 4200,
        } | limits
        rows = [
            f'nodeName = "{name}"',
            'role = "gateway"',
            'machineClass = "edge"',
            'serves = ["edge"]',
            f'ip = "{host}"',
            'zone = "z1"',
            'region = "r1"',
            f"internalPorts = [{self.internal}, {self.internal}]",
            "seeds = []",
            "bootstrap = true",
            'discovery = "platform"',
            'entry = "vip"',
            "heartbeatMs = 1200",
            "[zones]",
            'z1 = "r1"',
            "[listen]",
            f'front = "{host}:{self.front}"',
            f'readinessAddr = "{host}:{self.ready}"',
            "[limits]",
            *(f"{key} = {value}" for key, value in limits.items()),
            "linkMbps = 1000.0",
            "[bounds]",
            *(f"{key} = {str(value).lower()}" for key, value in bounds.items()),
            "[platform]",
            f'address = "{store_address}"',
            'form = "kv"',
            "writesPerS = 400",
            "readsPerS = 2000",
            "historyS = 20",
            "valueBytes = 1048576",
            "ttlMinMs = 1000",
        ]
        self._settings.write_text("\n".join(rows) + "\n")

    async def start(self) -> None:
        """Start the process; it needs some time to be ready."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split()
        environment = {
            name: os.environ[name] for name in KEPT_VARIABLES if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PERSIMMONFERRY_BOOT"] = str(self._settings)
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, stdout=log, stderr=log, env=environment, cwd=ROOT
            )
        self.started_s = time.monotonic()
        self._note(f"{self.name} started")

    async def wait_until_ready(self, timeout_s=20.0) -> None:
        async with asyncio.timeout(timeout_s):
            while not await self.is_ready():
                if self.process.returncode is not None:
                    raise RuntimeError(f"{self.name} ended by itself")
                await asyncio.sleep(0.05)
        self._note(f"{self.name} ready")

    async def kill(self) -> None:
        """Send SIGKILL and wait for the end."""
        self._note(f"{self.name} killed")
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()
        self.started_s = float("inf")

    async def terminate(self, grace_s=8.0) -> None:
        """Send SIGTERM, and SIGKILL at the end of the grace period."""
        self._note(f"{self.name} gets SIGTERM")
        self.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(grace_s):
                await self.process.wait()
        except TimeoutError:
            await self.kill()
        self.started_s = float("inf")
        self._note(f"{self.name} ended")

    async def restart(self) -> None:
        """Start again after the platform's short delay."""
        await asyncio.sleep(RESTART_S)
        await self.start()

    async def close(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def read_log(self):
        return self._log.read_text(errors="replace")

    async def is_ready(self):
        try:
            async with asyncio.timeout(0.9):
                reader, writer = await asyncio.open_connection(self.host, self.ready)
                try:
                    path = "GET /persimmonferry/ready HTTP/1.1"
                    writer.write(encode_message(path, [("Host", self.host)]))
                    return (await read_message(reader)).status == 200
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False


class Balancer:
    """Chooses a gateway for each new channel of a client, as PROTOCOL.md says."""

    def __init__(self, gateways) -> None:
        self.gateways = gateways
        self._misses = dict.fromkeys((item.name for item in gateways), 0)
        self._task = None

    def start(self) -> None:
        self._task = asyncio.create_task(self._poll())

    def stop(self) -> None:
        self._task.cancel()

    def list_rotation(self):
        """Return the gateways that get channels; all if fewer than half are ready."""
        found = [item for item in self.gateways if self._misses[item.name] < MISSES]
        return found if 2 * len(found) >= len(self.gateways) else self.gateways

    def choose(self, client, attempt):
        """Return a gateway by a hash of the client; a retry reaches another one."""
        rotation = self.list_rotation()
        return rotation[(zlib.crc32(client.encode()) + attempt) % len(rotation)]

    async def _poll(self) -> None:
        while True:
            answers = await asyncio.gather(*(item.is_ready() for item in self.gateways))
            for gateway, is_ready in zip(self.gateways, answers, strict=True):
                misses = 0 if is_ready else self._misses[gateway.name] + 1
                self._misses[gateway.name] = misses
            await asyncio.sleep(POLL_S)
