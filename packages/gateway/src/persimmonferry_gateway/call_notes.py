"""What a gateway notes of a call and of its attempts, for the log."""

import enum
from dataclasses import dataclass, field

from persimmonferry_adapters.http_client import RequestFailure

from persimmonferry_gateway.upstream_client import Framing

__all__ = [
    "AnswerEnd",
    "AttemptNote",
    "AttemptProgress",
    "CallNotes",
    "OriginSource",
    "to_ms",
]

MS_PER_S = 1000


class AttemptProgress(enum.Enum):
    """How far an attempt at an upstream got."""

    SENT = "sent"
    ANSWER_BEGUN = "answer begun"
    CONTENT_RECEIVED = "content received"


class OriginSource(enum.Enum):
    """How it was found out which build began a stream that its caller takes up."""

    REMEMBERED = "remembered"
    OTHER_GATEWAY = "other gateway"
    ONLY_BUILD = "only build"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class AnswerEnd:
    """
    How the answer of an upstream ended.

    :param framing: what was to mark its end.
    :param partial_bytes: received of a stream's last event, if it is not complete.
    :param failure: why the answer is not complete, None if it is.
    """

    framing: Framing
    partial_bytes: int
    failure: RequestFailure | None

    def describe(self) -> dict[str, object]:
        """Return the fields for the log."""
        return {
            "framing": self.framing.value,
            "partial_bytes": self.partial_bytes,
            "failure": self.failure and self.failure.value,
        }


@dataclass
class AttemptNote:
    """
    One attempt at an upstream.

    :param sent_s: when it was sent.
    :param version: of the weights at the engine, None at a plain service.
    :param replaced_s: for how long newer weights had been wanted when it was sent, None
        if none were.
    :param first_s: when the first event of its stream arrived.
    :param received_bytes: of the body of its answer.
    :param end: how it ended, empty if the call ended before it.
    :param budget_s: time that the upstream was given.
    :param is_cut_off: whether the gateway closed its connection, so that the upstream
        may work on it until that time has passed.
    :param local_port: own port of its connection, None if it was not sent.
    :param head_s: when the head of its answer had arrived.
    :param refused_s: for how long the upstream takes no calls, by its answer.
    :param build: version of the upstream's software.
    :param incarnation: of the upstream's entry by which it was chosen.
    :param registry_age_s: for how long changes of that entry may not have been received
        when it was sent.
    """

    upstream: str
    sent_s: float
    version: int | None = None
    replaced_s: float | None = None
    first_s: float | None = None
    received_bytes: int = 0
    end: str = ""
    budget_s: float = 0.0
    is_cut_off: bool = False
    local_port: int | None = None
    head_s: float | None = None
    refused_s: float | None = None
    build: str = ""
    incarnation: int = 0
    registry_age_s: float = 0.0

    def describe(self, arrival_s: float) -> dict[str, object]:
        """
        Return the fields for the log.

        :param arrival_s: when the call arrived.

        >>> note = AttemptNote("e1", 10.5, 3, 8.25, 11.0, 40, "answered")
        >>> note.describe(10.0)["first_ms"], note.describe(10.0)["replaced_ms"]
        (1000, 8250)
        """
        fields = {
            "upstream": self.upstream,
            "build": self.build,
            "incarnation": self.incarnation,
            "registry_age_ms": to_ms(self.registry_age_s),
            "sent_ms": to_ms(self.sent_s - arrival_s),
            "received_bytes": self.received_bytes,
            "end": self.end or "call ended",
            "budget_ms": to_ms(self.budget_s),
            "cut_off": self.is_cut_off,
            "local_port": self.local_port,
        }
        if self.head_s is not None:
            fields["head_ms"] = to_ms(self.head_s - arrival_s)
        if self.refused_s is not None:
            fields["refused_ms"] = to_ms(self.refused_s)
        if self.version is not None:
            fields["version"] = self.version
        if self.replaced_s is not None:
            fields["replaced_ms"] = to_ms(self.replaced_s)
        if self.first_s is not None:
            fields["first_ms"] = to_ms(self.first_s - arrival_s)
        return fields


@dataclass
class CallNotes:
    """
    What is logged of a call when it has ended.

    :param started_s: when it was first sent to an upstream.
    :param first_s: when its first event or its complete answer arrived.
    :param limited_attempts: number of attempts at upstreams with a known limit.
    :param kept_connections: number of attempts on connections that were already open.
    :param losses: of attempts whose answer was not received whole, how far each got.
    :param answer_ends: of attempts whose answer had begun, how it ended.
    :param fetched_tokens: of its shared parts that the engine was to fetch.
    :param saved_tokens: of its shared parts that the engine was to store.
    :param origin: of a stream that its caller takes up, None for other calls.
    """

    upstreams: list[str] = field(default_factory=list)
    attempts: list[AttemptNote] = field(default_factory=list)
    started_s: float | None = None
    first_s: float | None = None
    outcome: str = ""
    cause: str = ""
    version: int | None = None
    limited_attempts: int = 0
    kept_connections: int = 0
    losses: list[AttemptProgress] = field(default_factory=list)
    answer_ends: list[AnswerEnd] = field(default_factory=list)
    fetched_tokens: int = 0
    saved_tokens: int = 0
    origin: OriginSource | None = None


def to_ms(seconds: float) -> int:
    """Return whole milliseconds."""
    return round(seconds * MS_PER_S)
