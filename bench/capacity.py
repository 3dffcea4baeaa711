"""
Slopes for docs/CAPACITY.md: memory, processor time and bytes per added item.

Each slope is a least-squares fit to at least three sizes.
"""

import asyncio
import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence
from pathlib import Path

from persimmonferry_core.accounts import hash_key
from persimmonferry_core.answers import AnswerTable
from persimmonferry_core.blocks import name_blocks
from persimmonferry_core.dispatch import Dispatcher, PromptRequest, Queued
from persimmonferry_core.document import format_document, parse_document
from persimmonferry_core.membership import UpstreamTable
from persimmonferry_core.routing import UpstreamReport
from persimmonferry_core.topology import Address
from persimmonferry_daemon.histograms import Histograms, Measure
from persimmonferry_daemon.paths import REPORT_PATH
from persimmonferry_wire import PeerClient, PeerHandler, PeerRoute, decode, encode
from persimmonferry_wire.generated.membership.ttypes import (
    AgentReport,
    CacheReport,
    LoadReport,
    ReportReply,
)
from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.netutil import bind_sockets
from tornado.web import Application

from bench.tables import print_table

EXAMPLE = Path(__file__).resolve().parent.parent / "examples" / "kovanci.ini"
UPSTREAMS = (13, 100, 300)
ACCOUNTS = (10, 100, 630)
SERIES = (30, 300, 1500)
BLOCKS = (1000, 10_000, 50_000)
QUEUED = (50, 200, 800)
REPEATS = 20
US_PER_S = 1_000_000


def fit(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """
    Return the fixed part and the slope of a line through points.

    >>> fit([(0, 1.0), (1, 3.0), (2, 5.0)])
    (1.0, 2.0)
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return mean_y - slope * mean_x, slope


def measure_memory(build: Callable[[], object]) -> int:
    """Return the bytes that a built object occupies."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size


def measure_time(act: Callable[[], object], repeats: int = REPEATS) -> float:
    """Return the shortest time of a call, in microseconds."""
    shortest = float("inf")
    for _ in range(repeats):
        started = time.perf_counter()
        act()
        shortest = min(shortest, time.perf_counter() - started)
    return shortest * US_PER_S


def make_report(number: int, sequence: int = 1) -> UpstreamReport:
    """Return the report of one of many upstreams."""
    return UpstreamReport(
        name=f"notes-{number}",
        incarnation=1,
        sequence=sequence,
        failure_domain=f"izmir-{'abcd'[number % 4]}",
        service="notes",
        model="route-notes",
        version="v1",
        running=0,
        waiting=0,
        waiting_prefill_tokens=0,
        slots=8,
        prefill_tokens_per_s=20_000.0,
        decode_tokens_per_s=50.0,
    )


def make_message(number: int, sequence: int = 1) -> AgentReport:
    """Return the same report as a Thrift struct."""
    return AgentReport(
        name=f"notes-{number}",
        incarnation=1_800_000_000_000,
        sequence=sequence,
        host="127.0.0.1",
        port=10_000 + number,
        failure_domain="izmir-a",
        service_name="notes",
        is_model=True,
        model="route-notes",
        version="v1",
        leaving=False,
        load=LoadReport(3, 1, 900, 8, 20_000.0, 50.0),
        configuration_revision=12,
        cache=CacheReport([], [], False),
    )


def make_document(accounts: int) -> str:
    """Return Kovanci's document with another number of client accounts."""
    head, _, _ = EXAMPLE.read_text().partition("[account")
    sections = [
        f"[account florist-{number}]\n"
        f"key_digests = {hash_key(f'key-{number}')}\n"
        f"cache_secret = {hash_key(f'secret-{number}')[:32]}\n"
        "weight = 1\nservices = notes, orders\n"
        for number in range(accounts)
    ]
    operator = f"[operator ana]\nkey_digests = {hash_key('operator')}\n"
    return head + "\n".join((*sections, operator))


def build_entry_state(upstreams: int) -> tuple[UpstreamTable, Dispatcher]:
    """Return table and dispatcher of an entry with many upstreams."""
    table = UpstreamTable()
    dispatcher = Dispatcher(parse_document(make_document(10), "kovanci", 1))
    for number in range(upstreams):
        report = make_report(number)
        table.observe(report, Address("127.0.0.1", number), 0.0)
        dispatcher.report(report, 0.0)
    return table, dispatcher


def take_report(state: tuple[UpstreamTable, Dispatcher], sequence: int) -> None:
    """Process one report as an entry does, including its encoding and decoding."""
    table, dispatcher = state
    decode(AgentReport, encode(make_message(0, sequence)))
    report = make_report(0, sequence)
    table.observe(report, Address("127.0.0.1", 0), 0.0)
    dispatcher.report(report, 0.0)


def measure_upstreams() -> list[tuple]:
    """Return the rows on an entry's upstreams."""
    memory = [(n, measure_memory(lambda n=n: build_entry_state(n))) for n in UPSTREAMS]
    report_us = []
    decision_us = []
    for count in UPSTREAMS:
        state = build_entry_state(count)
        numbers = iter(range(2, 10_000))
        taken = measure_time(lambda s=state, i=numbers: take_report(s, next(i)))
        report_us.append((count, taken))
        decision_us.append((count, measure_decision(state[1])))
    return [
        ("entry: memory, bytes for each upstream", memory),
        ("entry: taking a report, µs", report_us),
        ("entry: offer, assign and finish of a prompt, µs", decision_us),
    ]


def measure_decision(dispatcher: Dispatcher) -> float:
    """Return the time of the dispatcher's decisions on one prompt."""
    names = name_blocks("5ec7e7", "route-notes", "v1", "", ["w"] * 6000)
    numbers = iter(range(10_000_000))

    def decide() -> None:
        name = f"r{next(numbers)}"
        request = PromptRequest(name, "florist-1", "urgent", "notes", 6000, 64, 0.0)
        request = PromptRequest(
            name, "florist-1", "urgent", "notes", 6000, 64, 0.0, names, 64_000
        )
        if not isinstance(dispatcher.offer(request, 0.0), Queued):
            raise RuntimeError("refused")
        if len(dispatcher.assign(0.0)) != 1:
            raise RuntimeError("not assigned")
        dispatcher.cancel(name, 0.0)

    return measure_time(decide, 200)


def measure_accounts() -> list[tuple]:
    """Return the rows on the team's document."""
    texts = {count: make_document(count) for count in ACCOUNTS}

    def parse(count: int) -> object:
        return parse_document(texts[count], "kovanci", 1)

    memory = [(n, measure_memory(lambda n=n: parse(n))) for n in ACCOUNTS]
    parsing = [(n, measure_time(lambda n=n: parse(n), 5)) for n in ACCOUNTS]
    size = [(n, len(texts[n].encode())) for n in ACCOUNTS]
    found = []
    for count in ACCOUNTS:
        document = parse(count)
        digest = hash_key(f"key-{count - 1}")
        taken = measure_time(lambda d=document, k=digest: d.find_account(k))
        found.append((count, taken))
    if format_document(parse(10)) == "":
        raise RuntimeError("the document can't be formatted")
    return [
        ("document: bytes of text for each account", size),
        ("document: memory, bytes for each account", memory),
        ("document: parsing, µs for each account", parsing),
        ("document: finding the last account by its key, µs", found),
    ]


def build_histograms(series: int) -> Histograms:
    """Return histograms of many accounts and tiers."""
    histograms = Histograms()
    for number in range(series):
        account = f"florist-{number // 3}"
        tier = ("urgent", "standard", "dawn")[number % 3]
        for value in (0.001, 0.01, 0.1):
            histograms.record(account, tier, Measure.FIRST_TOKEN, value)
    return histograms


def build_answers(runs: int) -> AnswerTable:
    """Return the answers that an agent holds for callers that reconnect."""
    table = AnswerTable()
    for number in range(runs):
        answer = table.open(f"key-{number}" * 4, f"run-{number}", ())
        answer.extend(0, tuple(f" token{number % 50}" for _ in range(420)))
    return table


def build_blocks(count: int) -> Dispatcher:
    """Return a dispatcher with hints on which upstreams hold many blocks."""
    _, dispatcher = build_entry_state(13)
    for number in range(count):
        name = f"{number:012x}-0-{number:048x}"
        dispatcher.record_held(f"notes-{number % 13}", (name,))
    return dispatcher


def measure_state() -> list[tuple]:
    """Return the rows on histograms, answers and block hints."""
    return [
        (
            "histograms: memory, bytes for each series",
            [(n, measure_memory(lambda n=n: build_histograms(n))) for n in SERIES],
        ),
        (
            "agent: memory, bytes for each held answer of 420 tokens",
            [(n, measure_memory(lambda n=n: build_answers(n))) for n in QUEUED],
        ),
        (
            "entry: memory, bytes for each block that an engine holds",
            [(n, measure_memory(lambda n=n: build_blocks(n))) for n in BLOCKS],
        ),
    ]


async def measure_report_bytes() -> int:
    """Return the bytes of one report and its reply on a reused connection."""
    seen = 0
    read = IOStream.read_from_fd
    write = IOStream.write_to_fd

    def count_read(stream, buffer):
        nonlocal seen
        size = read(stream, buffer)
        seen += size or 0
        return size

    def count_write(stream, data):
        nonlocal seen
        size = write(stream, data)
        seen += size
        return size

    async def answer(message):
        return ReportReply(12, 0.25)

    route = PeerRoute(REPORT_PATH, AgentReport, answer)
    server = HTTPServer(Application([(route.path, PeerHandler, {"route": route})]))
    sockets = bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    url = f"http://127.0.0.1:{sockets[0].getsockname()[1]}{REPORT_PATH}"
    AsyncHTTPClient.configure("tornado.curl_httpclient.CurlAsyncHTTPClient")
    peers = PeerClient(AsyncHTTPClient(force_instance=True))
    IOStream.read_from_fd = count_read
    IOStream.write_to_fd = count_write
    try:
        await peers.ask(url, make_message(1), ReportReply, 1.0)
        seen = 0
        for sequence in range(10):
            await peers.ask(url, make_message(1, sequence), ReportReply, 1.0)
    finally:
        IOStream.read_from_fd = read
        IOStream.write_to_fd = write
        server.stop()
    return seen // 10


def main() -> None:
    """Print every slope with the sizes of its fit."""
    rows = []
    measured = (*measure_upstreams(), *measure_accounts(), *measure_state())
    for title, points in measured:
        fixed, slope = fit(points)
        sizes = ", ".join(f"{x:g}: {y:,.0f}" for x, y in points)
        rows.append((title, sizes, fixed, slope))
    header = ("slope", "measured (size: value)", "fixed part", "for each more")
    print_table("Slopes", header, rows)
    print(
        f"\nreport and reply on the wire: {asyncio.run(measure_report_bytes())} bytes"
    )


if __name__ == "__main__":
    main()
