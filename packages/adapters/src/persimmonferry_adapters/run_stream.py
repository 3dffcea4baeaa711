"""Incremental parser of an engine's response to a run, a stream of JSON lines."""

import json
import logging
from collections.abc import Callable
from typing import Any

from persimmonferry_core.codes import ResultCode
from persimmonferry_core.exceptions import FerryError, OutcomeUnknown
from persimmonferry_core.runs import RunEnd, RunOrder, TokenBatch

from persimmonferry_adapters.http_formats import decode_refusal, decode_run_end

__all__ = ["RunStreamReader"]

_log = logging.getLogger(__name__)


class RunStreamReader:
    """
    Validates the response to one run and delivers its tokens, one batch per chunk.

    :param deliver: called with the tokens in order, never with those of another run.
    """

    def __init__(self, order: RunOrder, deliver: Callable[[TokenBatch], None]) -> None:
        self._order = order
        self._deliver = deliver
        self._buffer = bytearray()
        self._pending: list[str] = []
        self._next_index = len(order.delivered)
        self._end: RunEnd | None = None
        self.failure: FerryError | None = None

    @property
    def end(self) -> RunEnd | None:
        """The end mark, once it has arrived and the stream had no fault."""
        return None if self.failure or self._buffer else self._end

    def feed(self, chunk: bytes) -> None:
        """Process a chunk; the first fault of the stream is stored in ``failure``."""
        if self.failure is not None:
            return
        self._buffer += chunk
        *lines, rest = bytes(self._buffer).split(b"\n")
        self._buffer = bytearray(rest)
        try:
            for line in lines:
                self._read_line(line)
        except FerryError as failure:
            self.failure = failure
        except (ValueError, KeyError, TypeError, AttributeError):
            self.failure = self._mismatch("malformed line")
        try:
            self._flush()
        except Exception:
            _log.exception("failed to deliver tokens: the callback raised an exception")
            detail = "token callback failed"
            self.failure = OutcomeUnknown(ResultCode.INTERNAL_FAULT, detail)

    def _read_line(self, line: bytes) -> None:
        fields: dict[str, Any] = json.loads(line)
        if fields.get("run_id") != self._order.run_id:
            raise self._mismatch("run id does not match the order")
        if "refused" in fields:
            raise self._read_refusal(fields)
        if "tokens" in fields:
            self._read_tokens(int(fields["first"]), fields["tokens"])
        if "end" in fields:
            self._read_end(fields["end"])

    def _read_refusal(self, fields: dict[str, Any]) -> FerryError:
        if self._next_index > len(self._order.delivered):
            return OutcomeUnknown(
                ResultCode.ANSWER_TRUNCATED,
                "stopped by the engine after the first tokens",
            )
        return decode_refusal(fields)

    def _read_tokens(self, first: int, tokens: list[str]) -> None:
        if self._end is not None or first != self._next_index:
            raise self._mismatch("tokens out of order")
        self._pending += [str(token) for token in tokens]
        self._next_index += len(tokens)

    def _read_end(self, fields: dict[str, Any]) -> None:
        end = decode_run_end(self._order.run_id, fields)
        if end.version != self._order.version:
            raise self._mismatch("weight version does not match the order")
        if self._end is not None or end.total_tokens != self._next_index:
            raise self._mismatch("duplicate end mark or wrong token total")
        self._end = end

    def _flush(self) -> None:
        tokens = tuple(self._pending)
        self._pending.clear()
        if tokens:
            first = self._next_index - len(tokens)
            self._deliver(TokenBatch(self._order.run_id, first, tokens))

    def _mismatch(self, detail: str) -> OutcomeUnknown:
        return OutcomeUnknown(ResultCode.ANSWER_MISMATCHED, detail)
