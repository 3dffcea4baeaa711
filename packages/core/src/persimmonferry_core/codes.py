"""
Numbered result codes of the responses to callers and operators.

The first digit gives the class: 1xxx answered, 2xxx not run, 3xxx outcome unknown,
4xxx run under an earlier call, 5xxx operators' requests. See docs/RESULT-CODES.md.
"""

import enum
from dataclasses import dataclass

__all__ = ["Ran", "ResultCode"]


class Ran(enum.Enum):
    """Whether the request ran at an upstream."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class _Meaning:
    number: int
    http_status: int
    ran: Ran
    text: str
    earlier_unknown: bool = False


class ResultCode(enum.Enum):
    """
    Result of a request: its number, HTTP status, and whether the request ran.

    >>> ResultCode.NO_UPSTREAM.number, ResultCode.NO_UPSTREAM.ran.value
    (2010, 'no')
    """

    ANSWERED = _Meaning(1000, 200, Ran.YES, "answered")

    MALFORMED_REQUEST = _Meaning(2001, 400, Ran.NO, "the request is malformed")
    UNKNOWN_SERVICE = _Meaning(2002, 404, Ran.NO, "no such service")
    UNKNOWN_TIER = _Meaning(2003, 400, Ran.NO, "no such tier")
    BODY_TOO_LARGE = _Meaning(2004, 413, Ran.NO, "the body is too large")
    INVALID_KEY = _Meaning(2005, 401, Ran.NO, "the key is not valid")
    ACCESS_DENIED = _Meaning(2006, 403, Ran.NO, "the account may not use this service")
    IDEMPOTENCY_KEY_MISSING = _Meaning(2007, 400, Ran.NO, "Idempotency-Key is missing")
    WAIT_NOT_KEPT = _Meaning(2008, 503, Ran.NO, "the promised wait would be exceeded")
    LIMIT_EXCEEDED = _Meaning(2009, 429, Ran.NO, "the account's limit is exceeded")
    NO_UPSTREAM = _Meaning(2010, 503, Ran.NO, "no upstream accepts new work")
    STOPPING = _Meaning(2011, 503, Ran.NO, "this process is stopping")
    PLATFORM_UNAVAILABLE = _Meaning(
        2012, 503, Ran.NO, "the claim can't be recorded", earlier_unknown=True
    )
    UPSTREAM_REFUSED = _Meaning(2013, 503, Ran.NO, "the upstream refused")
    IDEMPOTENCY_KEY_EXPIRED = _Meaning(
        2014,
        409,
        Ran.NO,
        "the idempotency key is older than the retention period",
        earlier_unknown=True,
    )
    IDEMPOTENCY_KEY_REUSED = _Meaning(
        2015,
        422,
        Ran.NO,
        "the idempotency key was already used for a different request",
        earlier_unknown=True,
    )
    RETRIES_EXHAUSTED = _Meaning(2016, 503, Ran.NO, "the retry budget is exhausted")
    CALLER_TOO_SLOW = _Meaning(2017, 408, Ran.NO, "the body was received too slowly")
    NO_CONFIGURATION = _Meaning(2018, 503, Ran.NO, "no configuration is in force yet")
    WRONG_VERSION = _Meaning(2019, 503, Ran.NO, "the upstream has a different version")
    NOT_FOUND = _Meaning(2020, 404, Ran.NO, "not found")
    UPSTREAM_BUSY = _Meaning(2022, 503, Ran.NO, "the upstream has no free slot")
    HEAD_TOO_LARGE = _Meaning(2023, 431, Ran.NO, "the head of the request is too large")
    UNKNOWN_ROUTE = _Meaning(2024, 404, Ran.NO, "no such route")
    CALL_QUARANTINED = _Meaning(
        2025, 503, Ran.NO, "upstreams crashed on this call or on parts of its prompt"
    )
    BUILD_GONE = _Meaning(
        2026, 503, Ran.NO, "no upstream has the software version that began the stream"
    )
    STREAM_UNKNOWN = _Meaning(
        2027, 503, Ran.NO, "which software version began the stream is not known"
    )
    GATEWAY_FULL = _Meaning(2030, 503, Ran.NO, "the gateway has no room for the body")
    FENCING_REFUSED = _Meaning(2021, 409, Ran.NO, "the fencing token is outdated")

    UPSTREAM_LOST = _Meaning(3001, 502, Ran.UNKNOWN, "the upstream was lost")
    UPSTREAM_TIMEOUT = _Meaning(3002, 504, Ran.UNKNOWN, "the upstream did not answer")
    ANSWER_TRUNCATED = _Meaning(3003, 502, Ran.UNKNOWN, "the answer was truncated")
    ANSWER_MISMATCHED = _Meaning(
        3004, 502, Ran.UNKNOWN, "the answer belongs to a different run"
    )
    DUPLICATE_RUN = _Meaning(3006, 409, Ran.UNKNOWN, "this attempt was already started")
    WEIGHTS_REPLACED = _Meaning(
        3007, 504, Ran.UNKNOWN, "the engine did not start before its weights expired"
    )
    INTERNAL_FAULT = _Meaning(3005, 500, Ran.UNKNOWN, "internal error")

    ANSWER_NOT_HELD = _Meaning(
        4001, 409, Ran.YES, "the request already ran, but its answer is no longer held"
    )
    STILL_RUNNING = _Meaning(4002, 409, Ran.UNKNOWN, "the request is still running")

    CONFIGURATION_FAULTY = _Meaning(5001, 422, Ran.NO, "the document has faults")
    REVISION_CONFLICT = _Meaning(
        5002, 409, Ran.NO, "the document was changed by another writer"
    )
    PLATFORM_DOWN = _Meaning(5003, 503, Ran.NO, "the platform's service is unavailable")
    WRITE_UNKNOWN = _Meaning(
        5004, 504, Ran.UNKNOWN, "the outcome of the write is unknown"
    )
    OPERATOR_DENIED = _Meaning(5005, 401, Ran.NO, "the operator's key is not valid")
    SETTINGS_FAULTY = _Meaning(5006, 422, Ran.NO, "the settings have faults")
    BLOCK_INVALID = _Meaning(5007, 404, Ran.NO, "the cache block is missing or invalid")
    STORE_FULL = _Meaning(5008, 507, Ran.NO, "the store VM is full")
    STORE_UNAVAILABLE = _Meaning(5020, 503, Ran.NO, "the store VM is unreachable")

    @property
    def number(self) -> int:
        """The number that callers and logs see."""
        return self.value.number

    @property
    def http_status(self) -> int:
        """The HTTP status sent with the code."""
        return self.value.http_status

    @property
    def ran(self) -> Ran:
        """Whether the request ran, under this call."""
        return self.value.ran

    @property
    def earlier_unknown(self) -> bool:
        """Whether an earlier call with the same idempotency key may have run."""
        return self.value.earlier_unknown

    @property
    def text(self) -> str:
        """Short description for the caller."""
        return self.value.text

    @classmethod
    def from_number(cls, number: int) -> "ResultCode":
        """
        Return the code with a number that another process sent.

        A number unknown to this version gives INTERNAL_FAULT: the request may have run.

        >>> ResultCode.from_number(2010).name, ResultCode.from_number(7).name
        ('NO_UPSTREAM', 'INTERNAL_FAULT')
        """
        return next((code for code in cls if code.number == number), cls.INTERNAL_FAULT)
