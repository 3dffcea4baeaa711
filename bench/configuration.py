"""
Time until a change of a team's document is in force in 50 real processes.

The baseline is the same number of processes that each watch the platform directly.
``python -m bench.configuration slopes`` prints the cost of a change by size instead.
"""

import asyncio
import json
import os
import resource
import signal
import sys
import time
import uuid
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from persimmonferry_adapters import HttpPlatform, HttpVMList
from persimmonferry_core.accounts import hash_key
from persimmonferry_core.dissemination import Member, count_levels, rank_members
from persimmonferry_core.document import parse_document
from persimmonferry_core.exceptions import PlatformError
from persimmonferry_core.revisions import (
    Change,
    ChangesUpdate,
    Head,
    Replica,
    WholeUpdate,
    advance,
    digest_text,
    make_delta,
)
from persimmonferry_core.topology import VM, Address, FailureDomain, Role
from persimmonferry_daemon.configuration import ConfigurationReplicator
from persimmonferry_daemon.documents import Proposal
from persimmonferry_daemon.revision_messages import encode_head, write_update
from persimmonferry_daemon.servers import Listener, list_peer_rules
from persimmonferry_daemon.vms import VMListPoller
from persimmonferry_standins.control import Control
from persimmonferry_wire import PeerClient, encode
from tornado.httpclient import AsyncHTTPClient
from tornado.iostream import IOStream

from bench.tables import print_table, take_percentile

EXAMPLE = Path(__file__).resolve().parent.parent / "examples" / "kovanci.ini"
TEAM = "kovanci"
DOMAINS = 5
NODES = 50
CHANGES = 30
CHANGES_IN_OUTAGE = 6
PAUSE_S = 0.4
OUTAGE_S = 4.0
IDLE_S = 10.0
DEADLINE_S = 30.0
TARGET_S = 3.0
AFTER_OUTAGE_S = 1.0
MS_PER_S = 1000.0
KB = 1024
ACCOUNTS = (10, 100, 630)
SIZES = (4, 18, 100, 353)
REPEATS = 10


class ByteCounter:
    """Counts the bytes of all connections that this process's servers accept."""

    def __init__(self):
        self.bytes = 0
        read, write = IOStream.read_from_fd, IOStream.write_to_fd

        def count_read(stream, buffer):
            size = read(stream, buffer)
            self.bytes += size or 0
            return size

        def count_write(stream, data):
            size = write(stream, data)
            self.bytes += size
            return size

        IOStream.read_from_fd = count_read
        IOStream.write_to_fd = count_write


@dataclass
class Sample:
    """Counters that one process reports; totals since its start."""

    calls: dict
    messages: int
    bytes: int
    processor_s: float
    memory_mb: float


class Node:
    """One process: its configuration replicator and its server."""

    def __init__(self, name, domain, platform_url, vms_url):
        client = AsyncHTTPClient()
        self.streams = ByteCounter()
        self.listener = Listener(Address("127.0.0.1", 0), lambda: True)
        self.vms = VMListPoller(HttpVMList(client, vms_url))
        own = Member(name, self.listener.address.url, FailureDomain("bench", domain))
        self.platform = HttpPlatform(client, platform_url)
        self.replicator = ConfigurationReplicator(
            self.platform, PeerClient(client), own, TEAM, self.vms.list_vms
        )

    async def start(self):
        await self.vms.start()
        self.listener.start(list_peer_rules(self.replicator.routes))
        self.replicator.start()

    async def watch_platform(self):
        """Watch the document at the platform, as the baseline does."""
        key, revision = self.replicator.record.key, 0
        while True:
            try:
                value = await self.platform.watch(key, revision, 30.0)
            except PlatformError:
                await asyncio.sleep(1.0)
                continue
            if value is not None:
                revision = value.revision
                print(f"revision {revision} {time.monotonic()}", flush=True)

    def sample(self):
        return Sample(
            dict(self.replicator.platform.calls),
            self.replicator.messages_sent,
            self.streams.bytes,
            time.process_time(),
            resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / KB,
        )


def report_revision(document):
    print(f"revision {document.revision} {time.monotonic()}", flush=True)


async def run_node(name, domain, platform_url, vms_url, mode):
    configure_client()
    node = Node(name, domain, platform_url, vms_url)
    node.replicator.on_change.append(report_revision)
    print(f"listening {node.listener.address}", flush=True)
    if mode == "alone":
        await node.watch_platform()
    await node.start()
    loop = asyncio.get_running_loop()
    asked = asyncio.Event()
    loop.add_signal_handler(signal.SIGUSR1, asked.set)
    while True:
        await asked.wait()
        asked.clear()
        print("sample " + json.dumps(vars(node.sample())), flush=True)


def configure_client():
    AsyncHTTPClient.configure(
        "tornado.curl_httpclient.CurlAsyncHTTPClient", max_clients=500
    )


@dataclass
class Child:
    """A process that this bench started."""

    name: str
    process: asyncio.subprocess.Process
    address: Address | None = None
    times: dict = field(default_factory=dict)
    samples: list = field(default_factory=list)

    async def follow(self):
        """Parse and store what the process prints."""
        while line := (await self.process.stdout.readline()).decode():
            kind, _, rest = line.partition(" ")
            match kind:
                case "listening":
                    self.address = Address.parse(rest.split("=")[-1].strip())
                case "revision":
                    revision, at = rest.split()
                    self.times[int(revision)] = float(at)
                case "sample":
                    self.samples.append(Sample(**json.loads(rest)))


class Bench:
    """The platform, the VM list and the processes of one run."""

    def __init__(self):
        self.children = []
        self.followers = []
        self.nodes = []
        self.client = AsyncHTTPClient()

    async def start(self, mode):
        platform = await self.spawn("platform", "-m", "persimmonferry_standins")
        vms = await self.spawn("vms", "-m", "persimmonferry_standins")
        self.platform, self.vms = platform, vms
        self.control = Control(self.client, platform.address.url)
        # Operators' changes are sent to a process of the fleet, as in production.
        self.accepting = Node(
            "d0-accepting", "d0", platform.address.url, vms.address.url
        )
        self.nodes = list(
            await asyncio.gather(*(self.start_node(n, mode) for n in range(NODES)))
        )
        listed = tuple(
            VM(
                node.name,
                Role.UPSTREAM,
                node.address,
                FailureDomain("bench", node.name[:2]),
            )
            for node in self.nodes
        )
        own = self.accepting.replicator.own
        address = self.accepting.listener.address
        own_vm = VM(own.name, Role.UPSTREAM, address, own.failure_domain)
        await Control(self.client, vms.address.url).set_vms((*listed, own_vm))
        await self.accepting.start()
        await asyncio.sleep(2.0)

    async def start_node(self, number, mode):
        domain = f"d{number % DOMAINS}"
        name = f"{domain}-{number}"
        urls = (self.platform.address.url, self.vms.address.url)
        return await self.spawn(
            name, "-m", "bench.configuration", "node", name, domain, *urls, mode
        )

    async def spawn(self, name, *command):
        if command[1] == "persimmonferry_standins":
            command = (*command, name)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *command,
            stdout=asyncio.subprocess.PIPE,
            env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
        )
        child = Child(name, process)
        self.children.append(child)
        self.followers.append(asyncio.ensure_future(child.follow()))
        while child.address is None:
            await asyncio.sleep(0.02)
        return child

    async def end(self):
        await self.accepting.replicator.stop()
        await self.accepting.vms.stop()
        self.accepting.listener.stop()
        for child in self.children:
            if child.process.returncode is None:
                child.process.send_signal(signal.SIGCONT)
                child.process.kill()
        for child in self.children:
            await child.process.wait()

    async def change(self, number):
        """Change one weight; return the revision and the time of the start."""
        text = EXAMPLE.read_text().replace("weight = 8", f"weight = {number + 9}")
        replicator = self.accepting.replicator
        accepted = await replicator.record.read()
        proposal = Proposal(
            text, accepted.revision, uuid.uuid4().hex, "bench", time.time()
        )
        start = time.monotonic()
        return (await replicator.apply(proposal)).revision, start

    async def wait_for_nodes(self, revision, start, nodes=None):
        """Return how long each process took to have the revision or a later one."""
        nodes = nodes or self.nodes
        deadline = start + DEADLINE_S
        while not all(max(node.times, default=0) >= revision for node in nodes):
            if time.monotonic() > deadline:
                raise TimeoutError("the change did not reach every process in time")
            await asyncio.sleep(0.02)
        return [
            min(at for held, at in node.times.items() if held >= revision) - start
            for node in nodes
        ]

    async def change_with_frozen_domain(self, first, count):
        """Freeze a failure domain, change the document, and resume the domain."""
        lost = [node for node in self.nodes if node.name.startswith("d1")]
        left = [node for node in self.nodes if node not in lost]
        others, resumed = [], []
        for number in range(first, first + count):
            for node in lost:
                node.process.send_signal(signal.SIGSTOP)
            try:
                revision, start = await self.change(number)
                others += await self.wait_for_nodes(revision, start, left)
            finally:
                for node in lost:
                    node.process.send_signal(signal.SIGCONT)
            resumed += await self.wait_for_nodes(revision, time.monotonic(), lost)
            await asyncio.sleep(PAUSE_S)
        return others, resumed

    async def change_many(self, first, count):
        times = []
        for number in range(first, first + count):
            times += await self.wait_for_nodes(*await self.change(number))
            await asyncio.sleep(PAUSE_S)
        return times

    async def change_in_outages(self, first, count):
        """Freeze the platform as soon as it has accepted each change."""
        times, returns = [], []
        for number in range(first, first + count):
            revision, start = await self.change(number)
            self.platform.process.send_signal(signal.SIGSTOP)
            try:
                times += await self.wait_for_nodes(revision, start)
                await asyncio.sleep(max(0, start + OUTAGE_S - time.monotonic()))
            finally:
                self.platform.process.send_signal(signal.SIGCONT)
            before = await self.count_calls()
            await asyncio.sleep(AFTER_OUTAGE_S)
            returns.append(sum((await self.count_calls() - before).values()))
            await asyncio.sleep(PAUSE_S)
        return times, returns

    async def count_calls(self):
        return Counter((await self.control.read_report()).counters)

    async def take_samples(self):
        count = len(self.nodes[0].samples)
        for node in self.nodes:
            node.process.send_signal(signal.SIGUSR1)
        while not all(len(node.samples) > count for node in self.nodes):
            await asyncio.sleep(0.02)
        return [node.samples[-1] for node in self.nodes]


def subtract(after, before, name):
    """Return the increase of a counter for each process."""
    pairs = zip(after, before, strict=True)
    return [getattr(new, name) - getattr(old, name) for new, old in pairs]


def describe(title, times):
    """Return a row of percentiles in milliseconds."""
    shares = [take_percentile(times, share) * MS_PER_S for share in (50, 95, 99)]
    kept = "yes" if take_percentile(times, 99) < TARGET_S else "NO"
    return [title, len(times), *shares, max(times) * MS_PER_S, kept]


async def measure_baseline():
    bench = Bench()
    try:
        await bench.start("alone")
        await bench.change(0)
        await asyncio.sleep(1.0)
        before = await bench.count_calls()
        times = await bench.change_many(1, CHANGES)
        calls = await bench.count_calls() - before
        return times, calls["watch"] / CHANGES
    finally:
        await bench.end()


async def measure():
    bench = Bench()
    try:
        await bench.start("keeper")
        await bench.wait_for_nodes(*await bench.change(0))
        before = await bench.count_calls()
        up = await bench.change_many(1, CHANGES)
        calls = await bench.count_calls() - before
        outage, returns = await bench.change_in_outages(CHANGES + 1, CHANGES_IN_OUTAGE)
        lost = await bench.change_with_frozen_domain(60, CHANGES_IN_OUTAGE)
        await asyncio.sleep(3.0)
        idle_calls = await bench.count_calls()
        first = await bench.take_samples()
        await asyncio.sleep(IDLE_S)
        second = await bench.take_samples()
        idle_calls = await bench.count_calls() - idle_calls
        for number in range(100, 100 + CHANGES):
            await bench.wait_for_nodes(*await bench.change(number))
        third = await bench.take_samples()
        return up, outage, lost, returns, calls, idle_calls, (first, second, third)
    finally:
        await bench.end()


def print_cost(samples):
    """Print the cost of one process when idle, and of each change."""
    first, second, third = samples
    rows = []
    for title, after, before, per in (
        (f"idle, each second ({NODES} processes)", second, first, IDLE_S),
        ("each change (idle part included)", third, second, CHANGES),
    ):
        messages = subtract(after, before, "messages")
        # Bytes are counted only at the process that accepts the connection.
        moved = [2 * size / per for size in subtract(after, before, "bytes")]
        processor = subtract(after, before, "processor_s")
        rows.append(
            [
                title,
                sum(messages) / NODES / per,
                max(messages) / per,
                sum(moved) / NODES,
                max(processor) * MS_PER_S / per,
            ]
        )
    header = ["", "messages sent, mean", "most", "bytes in and out, mean"]
    print_table("Cost for each process", [*header, "processor ms, most"], rows)
    print(f"\nmemory of a process, most: {max(s.memory_mb for s in third):.0f} MB")


async def main():
    configure_client()
    alone, alone_calls = await measure_baseline()
    up, outage, lost, returns, calls, idle_calls, samples = await measure()
    rows = [
        describe("every process watches (baseline)", alone),
        describe("platform up", up),
        describe("platform frozen in mid-change", outage),
        describe("a failure domain frozen: the others", lost[0]),
        describe("a failure domain frozen: itself, once it wakes", lost[1]),
    ]
    header = ["", "samples", "p50 ms", "p95 ms", "p99 ms", "max ms", "under 3 s"]
    print_table(f"Change in force in {NODES} processes", header, rows)
    changes = [[kind, count / CHANGES] for kind, count in sorted(calls.items())]
    changes.append(["watch, baseline", alone_calls])
    print_table("Platform calls for each change", ["kind", "calls"], changes)
    idle = [[kind, count / IDLE_S] for kind, count in sorted(idle_calls.items())]
    print_table("Platform calls a second, idle", ["kind", "calls/s"], idle)
    print(f"\ncalls in the first second after each outage: {returns}")
    print_cost(samples)


def write_large(accounts):
    """Return a document with that many client accounts."""
    sections = (
        f"[account shop-{number}]\n"
        f"key_digests = {hash_key(f'key-{number}')}\n"
        f"cache_secret = {hash_key(f'secret-{number}')[:32]}\n"
        "services = notes, orders\nrequests_per_s = 20\n\n"
        for number in range(accounts)
    )
    return EXAMPLE.read_text() + "\n" + "".join(sections)


def make_change(revision, before, after):
    """Return a change as the platform would have accepted it."""
    delta = make_delta(before, after)
    digest = digest_text(after)
    return Change(revision, uuid.uuid4().hex, "demo", time.time(), "", digest, delta)


def measure_change(accounts):
    """Return the sizes of one change of one account, and the time to apply it."""
    before = write_large(accounts)
    after = before.replace("requests_per_s = 20", "requests_per_s = 30", 1)
    first = make_change(1, "", before)
    replica = advance(Replica(), WholeUpdate(first, before)).replica
    update = ChangesUpdate(1, (make_change(2, before, after),))
    head = Head(1, 1, update.changes)
    start = time.process_time()
    for _ in range(REPEATS):
        taken = advance(replica, update)
        parse_document(taken.replica.text, TEAM, 2)
    taking_s = (time.process_time() - start) / REPEATS
    whole = write_update(TEAM, WholeUpdate(first, before))
    return [
        accounts,
        len(before),
        len(encode_head(head)),
        len(encode(write_update(TEAM, update))),
        len(encode(whole)),
        taking_s * MS_PER_S,
    ]


def count_messages(size):
    """Return how many messages a failure domain of that size sends for a change."""
    domain = FailureDomain("bench", "d")
    vms = tuple(
        VM(f"vm-{number}", Role.UPSTREAM, Address("127.0.0.1", number), domain)
        for number in range(size)
    )
    owns = (Member(vm.name, vm.address.url, domain) for vm in vms)
    sent = []
    for own in owns:
        members = rank_members(own, vms, TEAM)
        roots = members.list_roots() if members.is_watcher(frozenset()) else ()
        sent.append(len(members.list_children()) + len(roots))
    return [size, count_levels(size), sum(sent) / size, max(sent)]


def print_slopes():
    rows = [measure_change(accounts) for accounts in ACCOUNTS]
    header = ["accounts", "text bytes", "head bytes", "update bytes"]
    header += ["whole text to a newcomer, bytes", "processor ms to take it"]
    print_table("One change of one account", header, rows)
    rows = [count_messages(size) for size in SIZES]
    header = ["processes", "messages in a row", "sent by each, mean", "most"]
    print_table("One change in one failure domain", header, rows)


if __name__ == "__main__":
    match sys.argv[1:]:
        case ["node", *arguments]:
            asyncio.run(run_node(*arguments))
        case ["slopes"]:
            print_slopes()
        case _:
            asyncio.run(main())
