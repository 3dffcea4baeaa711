import asyncio
import os
import signal
import sys

import pytest
from persimmonferry_core.world import Address
from persimmonferry_standins import Control, open_session
from persimmonferry_standins.faults import SlowDown

NAMES = ("engine", "plain", "platform", "store", "weights", "vms")


@pytest.mark.parametrize("name", NAMES)
def test_each_stand_in_runs_as_a_process_and_stops_at_sigterm(name):
    async def scenario():
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "persimmonferry_standins", name, "--port", "0"),
            stdout=asyncio.subprocess.PIPE,
            env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
        )
        try:
            line = (await process.stdout.readline()).decode()
            url = Address.parse(line.removeprefix("listening ").strip()).url
            async with open_session() as client:
                control = Control(client, url)
                await control.set_fault(SlowDown(factor=2.0))
                await control.clear_faults()
                assert (await control.read_report()).counters == {}
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()

    asyncio.run(asyncio.wait_for(scenario(), 20))
