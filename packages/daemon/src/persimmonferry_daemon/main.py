"""The binary ``persimmonferryd``: one process, an entry or an agent."""

import asyncio
import gc
import logging
import signal
import sys
from pathlib import Path

import defopt
from persimmonferry_core.exceptions import ConfigurationFaulty, FerryError
from persimmonferry_core.settings import (
    AgentSettings,
    EntrySettings,
    ProcessSettings,
    parse_settings,
)
from tornado.httpclient import AsyncHTTPClient

from persimmonferry_daemon.agent import Agent
from persimmonferry_daemon.allocation import return_freed_blocks
from persimmonferry_daemon.entry import Entry
from persimmonferry_daemon.logs import set_up_logs

__all__ = ["main"]

MAX_CONNECTIONS = 4096
GC_THRESHOLD_OBJECTS = 20_000
EXIT_FAULTY_SETTINGS = 2

_log = logging.getLogger(__name__)


def main() -> None:
    """Parse the command line and run until a signal stops the process."""
    sys.exit(defopt.run(run))


def run(settings: Path, *, check: bool = False) -> int:
    """
    Run one process of persimmonferry.

    :param settings: INI file with the settings of the process.
    :param check: only check the settings.
    """
    try:
        process = parse_settings(settings.read_text())
    except ConfigurationFaulty as error:
        for fault in error.faults:
            print(f"{settings}: {fault}", file=sys.stderr)
        return EXIT_FAULTY_SETTINGS
    except OSError as error:
        print(f"{settings}: {error.strerror}", file=sys.stderr)
        return EXIT_FAULTY_SETTINGS
    if check:
        print(f"{settings}: no faults")
        return 0
    set_up_logs(process.name, process.log_level)
    return_freed_blocks()
    asyncio.run(_serve(process))
    return 0


async def _serve(settings: ProcessSettings) -> None:
    AsyncHTTPClient.configure(
        "tornado.curl_httpclient.CurlAsyncHTTPClient", max_clients=MAX_CONNECTIONS
    )
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        # Further signals are ignored: a graceful stop must complete its requests.
        loop.add_signal_handler(number, stop_requested.set)
    process = _build(settings, AsyncHTTPClient())
    await process.start()
    # Excludes objects that live as long as the process from garbage collection.
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_OBJECTS)
    print(process.describe_addresses(), flush=True)
    await stop_requested.wait()
    try:
        await process.stop()
    except FerryError:
        _log.exception("graceful stop failed")


def _build(settings: ProcessSettings, client: AsyncHTTPClient) -> Agent | Entry:
    match settings.role:
        case EntrySettings():
            return Entry(settings, client)
        case AgentSettings():
            return Agent(settings, client)
