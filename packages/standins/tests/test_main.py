import asyncio
import os
import signal
import sys
from contextlib import asynccontextmanager

import pytest
from persimmonferry_adapters import HttpPlainService
from persimmonferry_core.runs import CallOrder
from persimmonferry_core.topology import Address
from persimmonferry_standins import Control, open_session
from persimmonferry_standins.faults import SlowDown

NAMES = ("engine", "plain", "platform", "store", "weights", "vms")


@asynccontextmanager
async def run_process(*arguments):
    """Run a stand-in as a process; yield the process, an HTTP client and its URL."""
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "persimmonferry_standins", *arguments),
        stdout=asyncio.subprocess.PIPE,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
    )
    try:
        line = (await process.stdout.readline()).decode()
        url = Address.parse(line.removeprefix("listening ").strip()).url
        async with open_session() as client:
            yield process, client, url
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


@pytest.mark.parametrize("name", NAMES)
def test_each_stand_in_runs_as_a_process_and_stops_at_sigterm(name):
    async def scenario():
        async with run_process(name, "--port", "0") as (process, client, url):
            control = Control(client, url)
            await control.set_fault(SlowDown(factor=2.0))
            await control.clear_faults()
            assert (await control.read_report()).counters == {}
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0

    asyncio.run(asyncio.wait_for(scenario(), 20))


def test_a_process_answers_open_calls_before_it_stops():
    async def scenario():
        async with run_process("plain", "--delay-s", "1") as (process, client, url):
            adapter = HttpPlainService(client, url)
            order = CallOrder("run", "POST", "/orders", "", b"7")
            call = asyncio.ensure_future(adapter.call(order))
            while not (await adapter.read_load()).running:
                await asyncio.sleep(0.02)
            process.send_signal(signal.SIGTERM)
            assert (await call).body == b"done 7"
            assert await process.wait() == 0

    asyncio.run(asyncio.wait_for(scenario(), 20))
