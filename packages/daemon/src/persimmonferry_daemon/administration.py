"""The administration API of a process, for the team's operators."""

import dataclasses
import json
import logging
import uuid
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Any

from persimmonferry_core.accounts import find_operator
from persimmonferry_core.codes import ResultCode
from persimmonferry_core.document import parse_document
from persimmonferry_core.exceptions import (
    ConfigurationFaulty,
    FerryError,
    NotRun,
    RevisionConflict,
)
from persimmonferry_core.revisions import read_text_at
from persimmonferry_core.schema import Operator, TeamDocument

from persimmonferry_daemon.configuration import ConfigurationReplicator
from persimmonferry_daemon.documents import Proposal, check_text
from persimmonferry_daemon.histograms import HistogramRow
from persimmonferry_daemon.servers import ErrorHandler, describe_error

__all__ = ["Administration", "UsageRow", "administration_routes"]

_log = logging.getLogger(__name__)

MAX_NOTE_CHARACTERS = 200


@dataclass(frozen=True)
class UsageRow:
    """
    What one client account used of one tier today, over all entries.

    :param charge: in the team's currency.
    """

    account: str
    tier: str
    requests: int
    prompt_tokens: int
    cached_tokens: int
    generated_tokens: int
    charge: float


@dataclass(frozen=True)
class Administration:
    """
    Dependencies of the operators' handlers.

    :param role: of the process, in one word.
    :param drain: makes the process refuse new work.
    :param undrain: makes it accept new work again.
    :param is_draining: returns whether it refuses new work.
    :param read_clock: the time in seconds since 1970.
    """

    configuration: ConfigurationReplicator
    role: str
    drain: Callable[[], Awaitable[None]]
    undrain: Callable[[], Awaitable[None]]
    is_draining: Callable[[], bool]
    list_histograms: Callable[[], Iterable[HistogramRow]]
    list_usage: Callable[[], Awaitable[Iterable[UsageRow]]]
    read_clock: Callable[[], float]


def administration_routes(administration: Administration) -> list[tuple]:
    """Return Tornado's rules of the administration API."""
    shared = {"administration": administration}
    handlers = {
        "document": _DocumentHandler,
        "check": _CheckHandler,
        "history": _HistoryHandler,
        "rollback": _RollbackHandler,
        "in-force": _InForceHandler,
        "status": _StatusHandler,
        "drain": _DrainHandler,
        "undrain": _UndrainHandler,
        "histograms": _HistogramsHandler,
        "usage": _UsageHandler,
    }
    return [
        (f"/admin/v1/{name}", handler, shared) for name, handler in handlers.items()
    ]


class _OperatorHandler(ErrorHandler):
    """Base of the operators' handlers."""

    def initialize(self, administration: Administration) -> None:
        self._administration = administration
        self._configuration = administration.configuration

    async def get(self) -> None:
        await self._answer(self.show)

    async def post(self) -> None:
        await self._answer(self.act)

    async def show(self, operator: Operator) -> Any:
        raise NotRun(ResultCode.NOT_FOUND)

    async def act(self, operator: Operator) -> Any:
        raise NotRun(ResultCode.NOT_FOUND)

    def authenticate(self) -> Operator:
        """Return the operator of the request's key."""
        document = self._configuration.document
        if document is None:
            raise NotRun(ResultCode.NO_CONFIGURATION)
        return _find_operator(document, self.read_key())

    def read_key(self) -> str:
        """Return the key of the request, empty when there is none."""
        scheme, _, key = self.request.headers.get("Authorization", "").partition(" ")
        return key.strip() if scheme.lower() == "bearer" else ""

    def read_text(self) -> str:
        """Return the body as text."""
        try:
            return self.request.body.decode()
        except UnicodeDecodeError:
            raise NotRun(ResultCode.MALFORMED_REQUEST, "not UTF-8") from None

    def read_expected(self) -> int:
        """Return the revision that the operator read, from ``If-Match``."""
        return _read_number(self.request.headers.get("If-Match", ""), "If-Match")

    async def _answer(self, respond: Callable[[Operator], Awaitable[Any]]) -> None:
        try:
            body = await respond(self.authenticate())
        except FerryError as error:
            self.send_failure(error)
            return
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(body))

    def send_failure(self, error: FerryError) -> None:
        """Respond with the error, with its faults or the difference of revisions."""
        body = describe_error(error)
        match error:
            case ConfigurationFaulty():
                body["error"]["faults"] = list(error.faults)
            case RevisionConflict():
                body["error"]["revision"] = error.revision
                body["error"]["difference"] = error.difference
        self.set_status(error.code.http_status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(body))

    async def apply(self, text: str, operator: Operator, note: str) -> dict[str, Any]:
        """Submit a text and return the response body for the operator."""
        proposal = Proposal(
            text=text,
            expected=self.read_expected(),
            change_id=self.request.headers.get("Change-Id", "") or uuid.uuid4().hex,
            operator=operator.name,
            time_s=self._administration.read_clock(),
            note=note[:MAX_NOTE_CHARACTERS],
        )
        applied = await self._configuration.apply(proposal)
        _log.info(
            "document accepted",
            extra={"revision": applied.revision, "operator": operator.name},
        )
        return {"revision": applied.revision}


class _DocumentHandler(_OperatorHandler):
    """The accepted document, or an earlier revision of it; accepts a changed one."""

    async def show(self, operator: Operator) -> Any:
        accepted = await self._configuration.record.read()
        wanted = self.get_query_argument("revision", "")
        if not wanted:
            return {"revision": accepted.revision, "text": accepted.text}
        revision = _read_number(wanted, "revision")
        text = read_text_at(accepted.checkpoint, revision)
        if text is None:
            raise NotRun(
                ResultCode.NOT_FOUND, f"revision {revision} is not in the history"
            )
        return {"revision": revision, "text": text}

    async def put(self) -> None:
        """Accept the body as the new document."""
        await self._answer(self._put)

    async def _put(self, operator: Operator) -> Any:
        note = self.request.headers.get("Change-Note", "")
        return await self.apply(self.read_text(), operator, note)

    def authenticate(self) -> Operator:
        """Return the operator; a first document is checked against its operators."""
        if self.request.method != "PUT" or self._configuration.document is not None:
            return super().authenticate()
        # A conflict would disclose the accepted document before authentication.
        if self.read_expected() != 0:
            raise NotRun(ResultCode.NO_CONFIGURATION)
        document = parse_document(self.read_text(), self._configuration.team)
        return _find_operator(document, self.read_key())

    def send_failure(self, error: FerryError) -> None:
        """Hide the difference from an operator whom no accepted document names."""
        if isinstance(error, RevisionConflict) and self._configuration.document is None:
            error = FerryError(ResultCode.NO_CONFIGURATION)
        super().send_failure(error)


class _CheckHandler(_OperatorHandler):
    """Checks a document without accepting it."""

    async def act(self, operator: Operator) -> Any:
        check_text(self.read_text(), self._configuration.team)
        return {"faults": []}


class _HistoryHandler(_OperatorHandler):
    """The accepted revisions in the stored history, the newest first."""

    async def show(self, operator: Operator) -> Any:
        accepted = await self._configuration.record.read()
        return [
            {
                "revision": change.revision,
                "operator": change.operator,
                "time_s": change.time_s,
                "note": change.note,
                "digest": change.digest,
            }
            for change in reversed(accepted.checkpoint.past)
        ]


class _RollbackHandler(_OperatorHandler):
    """Submits the text of an earlier revision as a new one."""

    async def act(self, operator: Operator) -> Any:
        revision = _read_number(self.get_query_argument("to", ""), "to")
        accepted = await self._configuration.record.read()
        text = read_text_at(accepted.checkpoint, revision)
        if text is None:
            raise NotRun(
                ResultCode.NOT_FOUND, f"revision {revision} is not in the history"
            )
        return await self.apply(text, operator, f"rollback to {revision}")


class _InForceHandler(_OperatorHandler):
    """The document in force in this process; available in outages of the platform."""

    async def show(self, operator: Operator) -> Any:
        document = self._configuration.document
        return {"revision": document.revision, "text": self._configuration.text}


class _StatusHandler(_OperatorHandler):
    """Identity and state of this process."""

    async def show(self, operator: Operator) -> Any:
        replicator = self._configuration
        return {
            "name": replicator.own.name,
            "role": self._administration.role,
            "failure_domain": replicator.own.failure_domain.name,
            "team": replicator.team,
            "revision_in_force": replicator.document.revision,
            "revision_held": replicator.revision,
            "draining": self._administration.is_draining(),
            "watcher": replicator.is_watcher,
            "platform_calls": dict(replicator.platform.calls),
        }


class _DrainHandler(_OperatorHandler):
    """Makes the process refuse new work; work in progress continues."""

    async def act(self, operator: Operator) -> Any:
        await self._administration.drain()
        return {"draining": True}


class _UndrainHandler(_OperatorHandler):
    """Makes the process accept new work again."""

    async def act(self, operator: Operator) -> Any:
        await self._administration.undrain()
        return {"draining": False}


class _HistogramsHandler(_OperatorHandler):
    """Latency histograms for each client account and tier."""

    async def show(self, operator: Operator) -> Any:
        rows = self._administration.list_histograms()
        return [dataclasses.asdict(row) for row in rows]


class _UsageHandler(_OperatorHandler):
    """Usage of each client account and tier."""

    async def show(self, operator: Operator) -> Any:
        rows = await self._administration.list_usage()
        return [dataclasses.asdict(row) for row in rows]


def _find_operator(document: TeamDocument, key: str) -> Operator:
    operator = find_operator(document, key)
    if operator is None:
        raise NotRun(ResultCode.OPERATOR_DENIED)
    return operator


def _read_number(text: str, name: str) -> int:
    digits = text.strip().strip('"')
    if not digits.isdecimal() or len(digits) > 18:
        raise NotRun(ResultCode.MALFORMED_REQUEST, f"{name} must be a revision")
    return int(digits)
