"""Runs the command line against the processes of a small deployment."""

import asyncio
import os
import sys
from dataclasses import replace
from pathlib import Path

from persimmonferry_standins.deployments import plan_kovanci
from persimmonferry_standins.fleet import Fleet
from tornado.httpclient import AsyncHTTPClient

ROOT = Path(__file__).resolve().parents[3]
SOURCES = os.pathsep.join(str(path) for path in ROOT.glob("packages/*/src"))
RUN_MAIN = "from persimmonferry_cli.main import main; main()"


async def run_command(fleet, process, *arguments):
    started = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        RUN_MAIN,
        *map(str, arguments),
        env={
            "PYTHONPATH": SOURCES,
            "PERSIMMONFERRY_ADMIN": fleet.processes[process].addresses["peers"].url,
            "PERSIMMONFERRY_ENTRY": fleet.callers_url("entry-1"),
            "PERSIMMONFERRY_KEY": "demo-operator-key",
            "PERSIMMONFERRY_ACCOUNT_KEY": "demo-key-drivers",
        },
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, errors = await started.communicate()
    return started.returncode, output.decode(), errors.decode()


async def operate(folder):
    AsyncHTTPClient.configure("tornado.curl_httpclient.CurlAsyncHTTPClient")
    plan = plan_kovanci(ROOT / "examples" / "kovanci.ini", entries=1)
    plan = replace(plan, models=plan.models[:1], plains=plan.plains[:1], stores=())
    async with Fleet(plan, AsyncHTTPClient(force_instance=True)) as fleet:
        _, shown, _ = await run_command(fleet, "entry-1", "show")
        file = folder / "team.ini"
        file.write_text(shown.replace("weight = 8", "weight = 9"))
        status, output, errors = await run_command(fleet, "entry-1", "apply", file)
        assert (status, errors) == (0, "")
        revision = output.split()[-1]
        await wait_in_force(fleet, "notes-0", revision)
        status, _, errors = await run_command(fleet, "entry-1", "apply", file)
        assert (status, "error 5002" in errors) == (1, True)

        command = ("ask", "notes", "three red roses", "--max-tokens", 4)
        status, answer, errors = await run_command(fleet, "entry-1", *command)
        assert (status, errors) == (0, "")
        assert len(answer.split()) == 4
        status, _, errors = await run_command(
            fleet, "entry-1", "order", "orders", "/orders", "7"
        )
        assert (status, errors.startswith("idempotency key")) == (0, True)
        _, table, _ = await run_command(fleet, "entry-1", "histograms")
        assert "first_token" in table
        _, table, _ = await run_command(fleet, "entry-1", "usage")
        assert "drivers" in table

        status, _, _ = await run_command(fleet, "notes-0", "drain")
        assert status == 0
        _, output, _ = await run_command(fleet, "notes-0", "status")
        assert "draining: True" in output
        status, _, errors = await run_command(fleet, "entry-1", *command)
        assert (status, "error 2" in errors) == (1, True)
        await run_command(fleet, "notes-0", "undrain")
        status, _, errors = await run_command(fleet, "entry-1", *command)
        assert (status, errors) == (0, "")


async def wait_in_force(fleet, process, revision):
    async def is_in_force():
        _, output, _ = await run_command(fleet, process, "status")
        return f"revision_in_force: {revision}\n" in output

    await fleet.wait_until(is_in_force, f"revision {revision} at {process}")


def test_operators_and_callers_work_with_real_processes(tmp_path):
    asyncio.run(operate(tmp_path))
