"""Whether the process that took a connection is the one that an entry describes."""

import enum
from dataclasses import dataclass

__all__ = [
    "ENTRY_DELAY_S",
    "MAX_ENTRY_DELAY_S",
    "StartVerdict",
    "UpstreamStart",
    "judge_start",
]

# Between the first connection that an upstream takes and its entry in the registry.
ENTRY_DELAY_S = 0.1
# The same where the registry refuses the upstream for a moment.
MAX_ENTRY_DELAY_S = 1.5


class StartVerdict(enum.Enum):
    """Which process of an upstream took a connection."""

    SAME = "same"
    OTHER = "other"
    UNDECIDED = "undecided"


@dataclass(frozen=True)
class UpstreamStart:
    """
    The process of an upstream that is expected at the other end of a connection.

    An upstream may start again under its name and address, and with another build. Its
    former connections end then, so a connection belongs to one process.

    :param incarnation: of the entry by which the upstream was chosen.
    :param connected_s: when the connection had been made, on the boot clock.

    >>> start = UpstreamStart("e1", 17, 50.0)
    >>> judge_start(start, 17, 49.0), judge_start(start, 17, 51.0)
    (<StartVerdict.UNDECIDED: 'undecided'>, <StartVerdict.SAME: 'same'>)
    >>> judge_start(start, 23, 49.0), judge_start(start, 23, 51.0)
    (<StartVerdict.UNDECIDED: 'undecided'>, <StartVerdict.OTHER: 'other'>)
    """

    upstream: str
    incarnation: int
    connected_s: float

    @property
    def registered_by_s(self) -> float:
        """When the process that was connected has usually written its entry."""
        return self.connected_s + ENTRY_DELAY_S


def judge_start(
    start: UpstreamStart, incarnation: int | None, current_s: float
) -> StartVerdict:
    """
    Return whether the process that was connected is the expected one.

    :param incarnation: of the upstream's entry, None if there is none.
    :param current_s: until when the registry's changes are known, on the boot clock.
    """
    if incarnation is None or current_s < start.registered_by_s:
        return StartVerdict.UNDECIDED
    is_same = incarnation == start.incarnation
    return StartVerdict.SAME if is_same else StartVerdict.OTHER
