"""Counts the bytes that a process holds for others, and bounds those of answers."""

import enum
from collections import Counter
from collections.abc import Callable, Mapping

__all__ = ["HeldAnswer", "HeldBytes", "Place"]

# Each answer may hold this many bytes, however many others hold. A stream that waits
# for its caller holds fewer, so it is never the one that all others wait for.
MIN_ANSWER_BYTES = 128 * 1024
DEFAULT_LIMIT_BYTES = 32 * 1024 * 1024


class Place(enum.StrEnum):
    """Where a process holds bytes; all but those of requests belong to answers."""

    REQUEST = "request"
    UNREAD = "unread"
    EVENT = "event"
    BODY = "body"
    UNSENT = "unsent"


class HeldAnswer:
    """
    The bytes of one answer that are held.

    :param memory: of the process, which counts them.
    :param resume: called when the answer may be received again after ``may_grow`` has
        returned False.
    """

    def __init__(self, memory: "HeldBytes", resume: Callable[[], None]) -> None:
        self.resume = resume
        self.size = 0
        self.is_receiving = True
        self._memory = memory
        self._sizes: Counter[Place] = Counter()

    def find_size(self, place: Place) -> int:
        """Return the number of bytes that are held in one place."""
        return self._sizes[place]

    def set_size(self, place: Place, size: int) -> None:
        """Set the number of bytes that are held in one place."""
        change = size - self._sizes[place]
        if not change:
            return
        self._sizes[place] = size
        self.size += change
        self._memory.update(self, place, change)

    def may_grow(self) -> bool:
        """Return whether more may be received; if not, ``resume`` is called later."""
        return self._memory.may_grow(self)

    def end_receiving(self) -> None:
        """Record that no more of the answer will be received."""
        self.is_receiving = False
        self._memory.discard(self)

    def release(self) -> None:
        """Count the answer as held no more."""
        self.end_receiving()
        for place in tuple(self._sizes):
            self.set_size(place, 0)


class HeldBytes:
    """
    The bytes of all requests and answers that were received and are not passed on yet.

    ``RequestRoom`` bounds those of requests. Small answers are always received. While
    all answers together hold the limit or more, only the oldest of the large ones is
    received further, until it is complete, cut off or out of time: so one answer makes
    progress, and the others wait in their connections. So they do while requests and
    answers hold the limit of both. While callers have not read the limit or more, none
    of the large ones is; nor while what they have not read and requests hold that of
    both.

    >>> memory = HeldBytes(400_000)
    >>> first = HeldAnswer(memory, lambda: print("resume the first"))
    >>> second = HeldAnswer(memory, lambda: print("resume the second"))
    >>> first.set_size(Place.BODY, 200_000)
    >>> second.set_size(Place.BODY, 200_000)
    >>> first.may_grow(), second.may_grow()
    (True, False)
    >>> first.release()
    resume the second
    >>> second.may_grow()
    True
    """

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.shared_bytes = 2 * limit_bytes
        self._present: Counter[Place] = Counter()
        self._most: Counter[Place] = Counter()
        # In the order in which they became large.
        self._large: dict[HeldAnswer, None] = {}
        self._waiting: dict[HeldAnswer, None] = {}

    @property
    def present(self) -> Mapping[Place, int]:
        """Return the bytes that are held now, by place."""
        return dict(self._present)

    @property
    def most(self) -> Mapping[Place, int]:
        """Return the most bytes that were held at one time, by place."""
        return dict(self._most)

    @property
    def size(self) -> int:
        """Return the bytes that are held now."""
        return self._present.total()

    def find_size(self, place: Place) -> int:
        """Return the number of bytes that are held in one place."""
        return self._present[place]

    def may_grow(self, answer: HeldAnswer) -> bool:
        """Return whether more of an answer may be received; if not, it waits."""
        if self._has_room(answer):
            return True
        self._waiting[answer] = None
        return False

    def update(self, answer: HeldAnswer, place: Place, change: int) -> None:
        """Record that an answer holds more bytes than before, or fewer."""
        if answer.size < MIN_ANSWER_BYTES:
            if self._large:
                self._large.pop(answer, None)
        elif answer.is_receiving:
            self._large.setdefault(answer)
        self.add(place, change)

    def add(self, place: Place, change: int) -> None:
        """Count bytes that are held from now on; fewer if negative."""
        if not change:
            return
        present = self._present[place] = self._present[place] + change
        if present > self._most[place]:
            self._most[place] = present
        if change < 0 and self._waiting:
            self._resume_waiting()

    def discard(self, answer: HeldAnswer) -> None:
        """Let others be received in the place of an answer that has ended."""
        self._waiting.pop(answer, None)
        self._large.pop(answer, None)
        self._resume_waiting()

    def _resume_waiting(self) -> None:
        for waiting in tuple(self._waiting):
            if waiting in self._waiting and self._has_room(waiting):
                del self._waiting[waiting]
                waiting.resume()

    def _has_room(self, answer: HeldAnswer) -> bool:
        if answer.size < MIN_ANSWER_BYTES:
            return True
        answers = self.size - self._present[Place.REQUEST]
        if answers < self.limit_bytes and self.size < self.shared_bytes:
            return True
        unsent = self._present[Place.UNSENT]
        is_crowded = unsent + self._present[Place.REQUEST] >= self.shared_bytes
        if unsent >= self.limit_bytes or (unsent and is_crowded):
            return False
        return answer is next(iter(self._large), answer)
