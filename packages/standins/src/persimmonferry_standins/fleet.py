"""
A deployment as real processes on loopback: stand-ins, agents and entries.

Used by the demo, by tests that kill, suspend and stop processes, and by benchmarks.
"""

import asyncio
import os
import signal
import sys
import tempfile
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from persimmonferry_adapters import HttpPlatform
from persimmonferry_core.topology import VM, Address, FailureDomain, Role, VMState
from persimmonferry_daemon.documents import DocumentRecord, Proposal
from tornado.httpclient import AsyncHTTPClient

from persimmonferry_standins.control import Control

__all__ = [
    "EntryPlan",
    "Fleet",
    "FleetPlan",
    "FleetProcess",
    "ModelPlan",
    "PlainPlan",
    "StorePlan",
]

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0
READY_TIMEOUT_S = 20.0
READY_POLL_S = 0.05
LOOPBACK = "127.0.0.1"


@dataclass(frozen=True)
class ModelPlan:
    """
    A model engine with its agent.

    :param options: command line options of the engine stand-in.
    """

    name: str
    failure_domain: str
    service: str
    options: tuple[str, ...] = ()


@dataclass(frozen=True)
class PlainPlan:
    """A plain service with its agent; options are those of the stand-in."""

    name: str
    failure_domain: str
    service: str
    options: tuple[str, ...] = ()


@dataclass(frozen=True)
class StorePlan:
    """A store VM; options are those of the stand-in."""

    name: str
    failure_domain: str
    options: tuple[str, ...] = ()


@dataclass(frozen=True)
class EntryPlan:
    """An entry VM."""

    name: str
    failure_domain: str


@dataclass(frozen=True)
class FleetPlan:
    """Plan of one team's deployment."""

    team: str
    region: str
    document: str
    entries: tuple[EntryPlan, ...]
    models: tuple[ModelPlan, ...] = ()
    plains: tuple[PlainPlan, ...] = ()
    stores: tuple[StorePlan, ...] = ()


@dataclass
class FleetProcess:
    """
    A started process.

    :param addresses: listening addresses that it printed at start, by name.
    :param log: file that receives its standard error.
    """

    name: str
    process: asyncio.subprocess.Process
    addresses: dict[str, Address]
    log: Path

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process.returncode is None

    @property
    def url(self) -> str:
        """The base URL of a process with one address."""
        return next(iter(self.addresses.values())).url

    def send(self, number: signal.Signals) -> None:
        """Send a signal unless the process has ended."""
        if self.is_running:
            self.process.send_signal(number)

    async def stop(self) -> int:
        """
        Send SIGTERM and return the exit status.

        :raises TimeoutError: the process is running after ``STOP_TIMEOUT_S``.
        """
        self.send(signal.SIGTERM)
        return await asyncio.wait_for(self.process.wait(), STOP_TIMEOUT_S)

    async def kill(self) -> None:
        """Send SIGKILL and wait for the exit."""
        self.send(signal.SIGKILL)
        await self.process.wait()

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.send(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume a suspended process with SIGCONT."""
        self.send(signal.SIGCONT)


@dataclass
class Fleet:
    """
    Starts, changes and stops the processes of a plan.

    :param client: HTTP client of the test or demo.
    """

    plan: FleetPlan
    client: AsyncHTTPClient
    processes: dict[str, FleetProcess] = field(default_factory=dict)
    vms: dict[str, VM] = field(default_factory=dict)
    _started: list[asyncio.subprocess.Process] = field(default_factory=list)

    async def __aenter__(self) -> "Fleet":
        self._folder = tempfile.TemporaryDirectory()
        try:
            await self._start()
        except BaseException:
            await self.end()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.end()

    async def end(self) -> None:
        """Kill every process that is running and remove the temporary files."""
        for process in self._started:
            if process.returncode is None:
                process.kill()
        for process in self._started:
            await process.wait()
        self._folder.cleanup()

    @property
    def platform(self) -> HttpPlatform:
        """A client of the platform stand-in."""
        return HttpPlatform(self.client, self.processes["platform"].url)

    def control(self, name: str) -> Control:
        """Return a client of a stand-in's control interface."""
        return Control(self.client, self.processes[name].url)

    def callers_url(self, entry: str) -> str:
        """Return the base URL at which an entry takes callers' requests."""
        return self.processes[entry].addresses["callers"].url

    def read_log(self, name: str) -> str:
        """Return the standard error of a process so far."""
        return self.processes[name].log.read_text()

    async def apply(self, document: str) -> int:
        """Apply a configuration document and return its revision."""
        record = DocumentRecord(self.platform, self.plan.team)
        accepted = await record.read()
        proposal = Proposal(document, accepted.revision, uuid.uuid4().hex, "fleet", 0.0)
        return (await record.apply(proposal)).revision

    async def start_entry(self, plan: EntryPlan) -> FleetProcess:
        """Start an entry and add its VM to the list; ``list_vms`` publishes it."""
        settings = self._describe_process("entry", plan.name, plan.failure_domain)
        settings += f"[listen]\ncallers = {LOOPBACK}:0\npeers = {LOOPBACK}:0\n"
        settings += "[entry]\nreadiness_grace_s = 0.2\nbody_timeout_s = 2\n"
        return await self._start_daemon(
            plan.name, plan.failure_domain, Role.ENTRY, settings
        )

    async def start_agent(self, plan: ModelPlan | PlainPlan) -> FleetProcess:
        """Start the agent of a running upstream and add its VM to the list."""
        kind = "model" if isinstance(plan, ModelPlan) else "plain"
        url = self.processes[f"{plan.name}-upstream"].url
        settings = self._describe_process("agent", plan.name, plan.failure_domain)
        settings += f"[listen]\npeers = {LOOPBACK}:0\n"
        settings += f"[upstream]\nkind = {kind}\nservice = {plan.service}\n"
        settings += f"url = {url}\n"
        return await self._start_daemon(
            plan.name, plan.failure_domain, Role.UPSTREAM, settings
        )

    async def start_helper(self, name: str, module: str, *options: str) -> FleetProcess:
        """Start another Python module that prints its listening address."""
        return await self._spawn(name, ["-m", module, *options])

    async def list_vms(self) -> None:
        """Publish the current VM list."""
        await self.control("vms").set_vms(tuple(self.vms.values()))

    def mark_leaving(self, name: str) -> None:
        """Mark a VM as leaving; ``list_vms`` publishes it."""
        vm = self.vms[name]
        self.vms[name] = VM(
            vm.name, vm.role, vm.address, vm.failure_domain, VMState.LEAVING
        )

    async def wait_until(self, check: Callable[[], object], what: str) -> None:
        """
        Wait until an async check returns true.

        :param what: the condition, named in the error.
        :raises TimeoutError: it is still false after ``READY_TIMEOUT_S``.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + READY_TIMEOUT_S
        while not await check():
            if loop.time() > deadline:
                raise TimeoutError(
                    f"condition not met within {READY_TIMEOUT_S} s: {what}"
                )
            await asyncio.sleep(READY_POLL_S)

    async def is_ready(self, entry: str) -> bool:
        """Return whether an entry answers ``/ready`` with 200."""
        url = self.callers_url(entry) + "/ready"
        response = await self.client.fetch(url, raise_error=False)
        return response.code == 200

    async def _start(self) -> None:
        await self._start_standin("platform", "platform")
        await self._start_standin("vms", "vms")
        await self.apply(self.plan.document)
        await asyncio.gather(*(self._start_store(plan) for plan in self.plan.stores))
        upstreams = (*self.plan.models, *self.plan.plains)
        await asyncio.gather(*(self._start_upstream(plan) for plan in upstreams))
        await asyncio.gather(*(self.start_agent(plan) for plan in upstreams))
        await asyncio.gather(*(self.start_entry(plan) for plan in self.plan.entries))
        await self.list_vms()
        for entry in self.plan.entries:
            await self.wait_until(
                lambda name=entry.name: self.is_ready(name), f"{entry.name} ready"
            )

    async def _start_store(self, plan: StorePlan) -> None:
        process = await self._start_standin(plan.name, "store", *plan.options)
        address = next(iter(process.addresses.values()))
        domain = FailureDomain(self.plan.region, plan.failure_domain)
        self.vms[plan.name] = VM(plan.name, Role.STORE, address, domain)

    async def _start_upstream(self, plan: ModelPlan | PlainPlan) -> None:
        kind = "engine" if isinstance(plan, ModelPlan) else "plain"
        await self._start_standin(f"{plan.name}-upstream", kind, *plan.options)

    async def _start_standin(self, name: str, kind: str, *options: str) -> FleetProcess:
        command = ["-m", "persimmonferry_standins", kind, *options]
        return await self._spawn(name, command)

    async def _start_daemon(
        self, name: str, failure_domain: str, role: Role, settings: str
    ) -> FleetProcess:
        path = Path(self._folder.name) / f"{name}-{uuid.uuid4().hex}.ini"
        path.write_text(settings)
        command = ["-m", "persimmonferry_daemon", str(path)]
        process = await self._spawn(name, command)
        domain = FailureDomain(self.plan.region, failure_domain)
        self.vms[name] = VM(name, role, process.addresses["peers"], domain)
        return process

    def _describe_process(self, role: str, name: str, failure_domain: str) -> str:
        platform = self.processes["platform"].url
        vms = self.processes["vms"].url
        return (
            f"[process]\nrole = {role}\nname = {name}\nteam = {self.plan.team}\n"
            f"region = {self.plan.region}\nfailure_domain = {failure_domain}\n"
            f"[platform]\nurl = {platform}\nvm_list_url = {vms}\n"
        )

    async def _spawn(self, name: str, command: list[str]) -> FleetProcess:
        log = Path(self._folder.name) / f"{name}-{uuid.uuid4().hex}.log"
        environment = os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)}
        with log.open("wb") as errors:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *command,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE,
                stderr=errors,
                env=environment,
            )
        # Registered before the wait, so that a failed start is cleaned up, too.
        self._started.append(process)
        line = await asyncio.wait_for(process.stdout.readline(), START_TIMEOUT_S)
        if not line:
            raise RuntimeError(
                f"{name} printed no address at start; end of its log:"
                f" {log.read_text()[-2000:]}"
            )
        addresses = _read_addresses(line.decode())
        self.processes[name] = FleetProcess(name, process, addresses, log)
        return self.processes[name]


def _read_addresses(line: str) -> dict[str, Address]:
    """
    Parse the line that a process prints once it listens.

    >>> sorted(_read_addresses("listening peers=127.0.0.1:5 callers=127.0.0.1:6"))
    ['callers', 'peers']
    >>> _read_addresses("listening 127.0.0.1:7")
    {'peers': Address(host='127.0.0.1', port=7)}
    """
    addresses = {}
    for word in line.split()[1:]:
        name, separator, address = word.rpartition("=")
        addresses[name if separator else "peers"] = Address.parse(address)
    return addresses
