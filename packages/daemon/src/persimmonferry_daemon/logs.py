"""Structured logs: one JSON object a line on standard error, by ``logging``."""

import json
import logging
import sys
from typing import TextIO

__all__ = ["set_up_logs"]

_PLAIN_FIELDS = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


class _JSONFormatter(logging.Formatter):
    """Formats a record with the fields given as ``extra``."""

    def __init__(self, process: str) -> None:
        super().__init__()
        self._process = process

    def format(self, record: logging.LogRecord) -> str:
        fields = {
            "time": round(record.created, 3),
            "level": record.levelname,
            "process": self._process,
            "logger": record.name,
            "event": record.getMessage(),
        }
        for name, value in vars(record).items():
            if name not in _PLAIN_FIELDS:
                fields[name] = value
        if record.exc_info:
            # The traceback without the exception's text: it might quote a prompt.
            kind, _, traceback = record.exc_info
            fields["error"] = kind.__name__ if kind else ""
            fields["at"] = _locate(traceback)
        return json.dumps(fields, ensure_ascii=False, default=str)


def _locate(traceback: object) -> str:
    places = []
    while traceback is not None:
        code = traceback.tb_frame.f_code
        places.append(f"{code.co_name}:{traceback.tb_lineno}")
        traceback = traceback.tb_next
    return " > ".join(places)


def set_up_logs(process: str, level: str, stream: TextIO | None = None) -> None:
    """
    Send all records to a stream.

    :param process: name of this process.
    :param level: lowest level that is written.
    :param stream: standard error when left out.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(_JSONFormatter(process))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # Tornado's access log would write a line for each request, with its address.
    logging.getLogger("tornado.access").setLevel(logging.CRITICAL)
