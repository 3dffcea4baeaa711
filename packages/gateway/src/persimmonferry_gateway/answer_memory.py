"""Counts the bytes of answers that a gateway holds in memory."""

from collections import Counter
from collections.abc import Mapping

__all__ = ["AnswerMemory", "Holding"]


class Holding:
    """
    The bytes of one answer in one place.

    :param memory: of the gateway, which counts them.
    :param place: where they are held, as named in the metrics.
    """

    def __init__(self, memory: "AnswerMemory", place: str) -> None:
        self.size = 0
        self._memory = memory
        self._place = place

    def set_size(self, size: int) -> None:
        """Set the number of bytes that are held now."""
        self._memory.add(self._place, size - self.size)
        self.size = size


class AnswerMemory:
    """
    The bytes of all answers that were received and are not passed on yet, by place.

    >>> memory = AnswerMemory()
    >>> first, second = Holding(memory, "unread"), Holding(memory, "unread")
    >>> first.set_size(5), second.set_size(7), first.set_size(0)
    (None, None, None)
    >>> memory.present, memory.most
    ({'unread': 7}, {'unread': 12})
    """

    def __init__(self) -> None:
        self._present: Counter[str] = Counter()
        self._most: Counter[str] = Counter()

    @property
    def present(self) -> Mapping[str, int]:
        """Return the bytes that are held now, by place."""
        return dict(self._present)

    @property
    def most(self) -> Mapping[str, int]:
        """Return the most bytes that were held at one time, by place."""
        return dict(self._most)

    def add(self, place: str, size: int) -> None:
        """Count bytes that are held from now on; fewer if negative."""
        self._present[place] += size
        self._most[place] = max(self._most[place], self._present[place])
