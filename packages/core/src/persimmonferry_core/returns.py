"""Callers that were refused and come back at the time they were told."""

from dataclasses import dataclass

__all__ = ["ReturnPromise", "ReturnPromises"]

# Callers and messages between entries take some time, in either direction.
TOLERANCE_S = 0.05
MAX_PROMISES = 4096


@dataclass(frozen=True)
class ReturnPromise:
    """
    A refused prompt, and when it may come back.

    :param fingerprint: of the call, equal when it comes back.
    :param due_s: from when on it is expected.
    :param expires_s: when its caller gives up.
    """

    fingerprint: int
    due_s: float
    expires_s: float


class ReturnPromises:
    """
    The promises of all entries, as far as this entry knows them.

    ``added`` and ``taken`` count the promises so far, and the calls that came back to
    this entry as promised.

    Load pattern: callers that repeat at once, among others that wait as they were told.
    A call that comes early is a new one, and changes nothing about its promise.

    >>> promises = ReturnPromises()
    >>> promises.add(ReturnPromise(7, 3.0, 9.0), 1.0)
    True
    >>> promises.add(ReturnPromise(7, 5.0, 9.0), 2.0)
    False
    >>> promises.take(7, 2.0), promises.take(7, 3.0), promises.take(7, 3.1)
    (False, True, False)
    """

    def __init__(self) -> None:
        self._promises: dict[int, ReturnPromise] = {}
        self._kept: set[int] = set()
        self.added = 0
        self.taken = 0

    def add(self, promise: ReturnPromise, now: float) -> bool:
        """
        Add a promise.

        :returns: False if the call has one already, kept or not.
        """
        self._drop_expired(now)
        if promise.fingerprint in self._promises:
            return False
        if len(self._promises) >= MAX_PROMISES:
            return False
        self._promises[promise.fingerprint] = promise
        self.added += 1
        return True

    def take(self, fingerprint: int, now: float) -> bool:
        """Whether a call comes back as promised; each promise is kept once."""
        promise = self._promises.get(fingerprint)
        if promise is None or fingerprint in self._kept:
            return False
        if not promise.due_s - TOLERANCE_S <= now < promise.expires_s:
            return False
        self._kept.add(fingerprint)
        self.taken += 1
        return True

    def _drop_expired(self, now: float) -> None:
        gone = [
            fingerprint
            for fingerprint, promise in self._promises.items()
            if promise.expires_s <= now
        ]
        for fingerprint in gone:
            del self._promises[fingerprint]
            self._kept.discard(fingerprint)
