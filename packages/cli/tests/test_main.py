"""Runs the command line as a subprocess against HTTP handlers in the test's process."""

import asyncio
import os
import sys
import tempfile
from pathlib import Path

from tornado.testing import AsyncHTTPTestCase, gen_test
from tornado.web import Application, RequestHandler

ROOT = Path(__file__).resolve().parents[3]
SOURCES = os.pathsep.join(str(path) for path in ROOT.glob("packages/*/src"))
RUN_MAIN = "from persimmonferry_cli.main import main; main()"
EXAMPLE = ROOT / "examples" / "kovanci.ini"


class Script:
    """Responses that the handlers give, and the requests that they received."""

    def __init__(self):
        self.answers = []
        self.requests = []


class Scripted(RequestHandler):
    def initialize(self, script):
        self.script = script

    def answer(self, *_):
        self.script.requests.append(self.request)
        status, body = self.script.answers.pop(0)
        self.set_status(status)
        self.finish(body)

    get = put = post = answer


class CommandLineTest(AsyncHTTPTestCase):
    def get_app(self):
        self.script = Script()
        return Application([("/.*", Scripted, {"script": self.script})])

    async def run_command(self, *arguments, answers=()):
        self.script.answers = list(answers)
        self.script.requests = []
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            RUN_MAIN,
            *map(str, arguments),
            env={
                "PYTHONPATH": SOURCES,
                "PERSIMMONFERRY_ADMIN": self.get_url("/").rstrip("/"),
                "PERSIMMONFERRY_ENTRY": self.get_url("/").rstrip("/"),
                "PERSIMMONFERRY_KEY": "operator",
                "PERSIMMONFERRY_ACCOUNT_KEY": "account",
            },
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        output, errors = await process.communicate()
        return process.returncode, output.decode(), errors.decode()

    @gen_test(timeout=30)
    async def test_check_needs_no_connection_and_lists_every_fault(self):
        status, output, _ = await self.run_command("check", EXAMPLE)
        assert (status, "no faults, team kovanci" in output) == (0, True)
        status, _, errors = await self.run_command("check", Path(__file__))
        assert (status, "error 5001" in errors) == (1, True)

    @gen_test(timeout=60)
    async def test_apply_sends_revision_of_show_and_retries_unknown_outcome(self):
        shown = {"revision": 7, "text": "[team]\n"}
        _, output, _ = await self.run_command("show", answers=[(200, shown)])
        file = Path(tempfile.gettempdir()) / f"shown-{os.getpid()}.ini"
        file.write_text(output)
        unknown = {"error": {"message": "5004 lost", "ran": "unknown"}}
        answers = [(504, unknown), (200, {"revision": 8})]
        status, output, _ = await self.run_command("apply", file, answers=answers)
        assert (status, output) == (0, "accepted as revision 8\n")
        first, second = self.script.requests
        assert first.body == b"[team]\n"
        assert first.headers["If-Match"] == "7"
        assert first.headers["Change-Id"] == second.headers["Change-Id"]
        conflict = {"message": "5002 changed", "ran": "no", "difference": "-a\n+b\n"}
        answers = [(409, {"error": conflict})]
        status, _, errors = await self.run_command("apply", file, answers=answers)
        assert (status, errors) == (1, "error 5002 changed\n-a\n+b\n")
        file.unlink()

    @gen_test(timeout=60)
    async def test_ask_succeeds_only_with_complete_stream(self):
        part = 'data: {"choices": [{"text": "two roses"}]}\n\n'
        whole = [(200, part + "data: [DONE]\n\n")]
        status, output, _ = await self.run_command("ask", "notes", "x", answers=whole)
        assert (status, output) == (0, "two roses\n")
        status, _, errors = await self.run_command(
            "ask", "notes", "x", answers=[(200, part)]
        )
        assert (status, "cut short" in errors) == (3, True)
        refused = [(503, {"error": {"message": "2010 no upstream", "ran": "no"}})]
        status, _, errors = await self.run_command("ask", "notes", "x", answers=refused)
        assert (status, errors) == (1, "error 2010 no upstream\n")

    @gen_test(timeout=60)
    async def test_order_prints_idempotency_key_and_histograms_prints_rows(self):
        status, output, errors = await self.run_command(
            "order", "orders", "/orders", "roses", answers=[(200, "done")]
        )
        assert (status, output) == (0, "done\n")
        key = self.script.requests[0].headers["Idempotency-Key"]
        assert errors == f"idempotency key {key}\n"
        rows = '[{"account": "drivers", "tier": "urgent", "measure": "first_token",'
        rows += '"count": 3, "p50_ms": 1.5, "p95_ms": 2, "p99_ms": 2, "max_ms": 2}]'
        status, output, _ = await self.run_command("histograms", answers=[(200, rows)])
        assert output.splitlines()[1].split()[:5] == [
            "drivers",
            "urgent",
            "first_token",
            "3",
            "1.50",
        ]
