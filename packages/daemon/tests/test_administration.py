import json
from pathlib import Path

from persimmonferry_core.dissemination import Member
from persimmonferry_core.exceptions import PlatformUnavailable, SwapConflict
from persimmonferry_core.interfaces import Versioned
from persimmonferry_core.topology import FailureDomain
from persimmonferry_daemon.administration import (
    Administration,
    UsageRow,
    administration_routes,
)
from persimmonferry_daemon.configuration import ConfigurationReplicator
from tornado.testing import AsyncHTTPTestCase
from tornado.web import Application

TEXT = (Path(__file__).resolve().parents[3] / "examples" / "kovanci.ini").read_text()
OTHER_TEAM = TEXT.replace("name = kovanci", "name = abrazadera")


class MemoryPlatform:
    def __init__(self):
        self.values = {}
        self.is_down = False

    async def read(self, key):
        if self.is_down:
            raise PlatformUnavailable("down")
        return Versioned(key, *self.values.get(key, (b"", 0)))

    async def swap(self, key, value, expected):
        stored = await self.read(key)
        if stored.revision != expected:
            raise SwapConflict(key, stored.revision)
        self.values[key] = (value, expected + 1)
        return await self.read(key)


class AdministrationTest(AsyncHTTPTestCase):
    def get_app(self):
        self.platform = MemoryPlatform()
        domain = FailureDomain("izmir", "izmir-a")
        own = Member("entry-1", "http://entry-1", domain)
        self.replicator = ConfigurationReplicator(
            self.platform, None, own, "kovanci", tuple
        )
        self.draining = False
        administration = Administration(
            self.replicator,
            "entry",
            self.drain,
            self.undrain,
            lambda: self.draining,
            tuple,
            self.list_usage,
            lambda: 5.0,
        )
        return Application(administration_routes(administration))

    async def list_usage(self):
        return [UsageRow("drivers", "urgent", 2, 30, 10, 8, 0.5)]

    async def drain(self):
        self.draining = True

    async def undrain(self):
        self.draining = False

    def ask(self, method, path, body=None, key="demo-operator-key", **headers):
        headers = {name.replace("_", "-"): value for name, value in headers.items()}
        response = self.fetch(
            f"/admin/v1/{path}",
            method=method,
            body=body,
            headers={"Authorization": f"Bearer {key}", **headers},
            allow_nonstandard_methods=True,
        )
        answer = json.loads(response.body)
        error = answer.get("error", {}) if isinstance(answer, dict) else {}
        return error.get("code", 0), error or answer

    def put(self, text, expected, **headers):
        return self.ask("PUT", "document", text, If_Match=str(expected), **headers)

    def test_document_change_history_and_rollback(self):
        assert self.put(TEXT, 0) == (0, {"revision": 1})
        changed = TEXT.replace("weight = 8", "weight = 9")
        assert self.put(changed, 1) == (0, {"revision": 2})
        code, error = self.put(TEXT, 1)
        assert (code, error["revision"]) == (5002, 2)
        assert "+weight = 9" in error["difference"]
        assert self.ask("GET", "document?revision=1")[1]["text"] == TEXT
        revisions = [row["revision"] for row in self.ask("GET", "history")[1]]
        assert revisions == [2, 1]
        code, answer = self.ask("POST", "rollback?to=1", "", If_Match="2")
        assert (code, answer) == (0, {"revision": 3})
        assert self.ask("GET", "document")[1] == {"revision": 3, "text": TEXT}
        assert self.replicator.document.revision == 3

    def test_a_faulty_document_is_refused_with_its_faults(self):
        self.put(TEXT, 0)
        faulty = TEXT.replace("kind = plain", "kind = other")
        for code, error in (self.put(faulty, 1), self.ask("POST", "check", faulty)):
            assert code == 5001
            assert error["faults"] == ["[service orders] kind: must be model or plain"]
        assert self.ask("POST", "check", TEXT) == (0, {"faults": []})
        assert self.put(OTHER_TEAM, 1)[0] == 5001
        assert self.ask("POST", "check", OTHER_TEAM)[0] == 5001
        assert self.replicator.revision == 1

    def test_requests_without_an_operator_key_are_denied(self):
        first = self.put(TEXT, 0, key="someone")
        assert first[0] == 5005
        self.put(TEXT, 0)
        for method, path in (
            ("GET", "document"),
            ("PUT", "document"),
            ("POST", "check"),
            ("GET", "history"),
            ("POST", "rollback?to=1"),
            ("GET", "in-force"),
            ("GET", "status"),
            ("POST", "drain"),
            ("POST", "undrain"),
            ("GET", "histograms"),
            ("GET", "usage"),
        ):
            body = None if method == "GET" else TEXT
            for key in ("", "someone", "demo-key-drivers"):
                assert self.ask(method, path, body, key=key)[0] == 5005
        assert not self.draining

    def test_a_process_without_a_document_does_not_disclose_the_accepted_one(self):
        self.put(TEXT, 0)
        self.forget_document()
        own = TEXT.replace("demo", "stranger")
        for expected in (0, 1):
            code, error = self.put(own, expected)
            assert code == 2018
            assert "difference" not in error

    def forget_document(self):
        self.replicator.document = None
        self.replicator._replica = type(self.replicator._replica)()

    def test_drain_status_and_usage_answer_while_the_platform_is_down(self):
        self.put(TEXT, 0)
        self.platform.is_down = True
        assert self.ask("GET", "document")[0] == 5003
        assert self.put(TEXT + "\n", 1)[0] == 5003
        assert self.ask("GET", "in-force")[1]["revision"] == 1
        assert self.ask("POST", "drain", "")[1] == {"draining": True}
        status = self.ask("GET", "status")[1]
        assert (status["draining"], status["revision_in_force"]) == (True, 1)
        self.ask("POST", "undrain", "")
        assert not self.draining
        assert self.ask("GET", "usage")[1][0]["account"] == "drivers"
        assert self.ask("GET", "histograms")[1] == []
