"""Paths of the messages between processes."""

__all__ = [
    "ANSWER_PATH",
    "ATTEMPT_PATH",
    "CALL_PATH",
    "CANCEL_PATH",
    "INTRODUCTION_PATH",
    "LIMIT_PATH",
    "REPORT_PATH",
    "RUN_PATH",
]

ANSWER_PATH = "/peer/answer"
ATTEMPT_PATH = "/peer/attempt"
CALL_PATH = "/peer/call"
CANCEL_PATH = "/peer/cancel"
INTRODUCTION_PATH = "/peer/introduction"
LIMIT_PATH = "/peer/limits"
REPORT_PATH = "/peer/report"
RUN_PATH = "/peer/run"
