"""Decides which bodies of requests are received, and which callers are refused."""

from collections.abc import Callable
from dataclasses import dataclass

from persimmonferry_core.codes import ResultCode
from persimmonferry_core.held_bytes import HeldBytes, Place

__all__ = ["HeldRequest", "Refusal", "RequestRoom"]

DEFAULT_LIMIT_BYTES = 32 * 1024 * 1024
DEFAULT_BODY_BYTES = 4 * 1024 * 1024
DEFAULT_LINK_BYTES_PER_S = 125_000_000
# Bodies up to this size are received until this share of the limit is held.
SMALL_BODY_BYTES = 16 * 1024
SMALL_BODY_SHARE = 1.5
# A request that brings fewer bytes than this in the time is refused if others wait.
MIN_PROGRESS_BYTES = 4 * 1024
MAX_STALL_S = 0.5
# Clients give up a request that wasn't read for a second.
MAX_WAIT_S = 1.0
MIN_RETRY_S = 0.3
MAX_RETRY_S = 2.0
# Between two checks. After a longer one the process stood still, not its callers.
MAX_CHECK_GAP_S = 1.0


@dataclass(frozen=True)
class Refusal:
    """Why a request is received no further, and after which time it may come again."""

    code: ResultCode
    retry_s: float


class HeldRequest:
    """
    The body of one request, while it is received and until its call has ended.

    :param resume: called when the body may be received again after ``receive`` has
        returned False.
    :param refuse: called if it is received no further.
    """

    def __init__(
        self,
        room: "RequestRoom",
        resume: Callable[[], None],
        refuse: Callable[[Refusal], None],
        now: float,
    ) -> None:
        self.resume = resume
        self.refuse = refuse
        self.size = 0
        self.waits_since_s: float | None = None
        # When the last bytes counted as progress, and the size then; None from the end
        # of a wait to the next check.
        self.progress_s: float | None = now
        self.progress_bytes = 0
        self._room = room

    def receive(self, size: int, now: float) -> bool:
        """Count received bytes, and return whether more may be received now."""
        self.size += size
        if self.size >= self.progress_bytes + MIN_PROGRESS_BYTES:
            self.restart(now)
        return self._room.count(self, size, now)

    def restart(self, now: float) -> None:
        """Measure the progress from now on."""
        self.progress_s = now
        self.progress_bytes = self.size

    def complete(self) -> None:
        """Record that the body was received completely."""
        self._room.complete(self)

    def release(self) -> None:
        """Count the body as held no more."""
        self._room.release(self)


class RequestRoom:
    """
    The bodies of all requests that are being received or served.

    Each body is received while all together hold less than the limit, and requests and
    answers less than theirs; small ones until somewhat more is held. Above it, large
    ones wait, except the oldest: it may be received as far as the limit and the largest
    body together, or completely if nothing but bodies that are being received is held.
    So a single request is always served, and one of many makes progress.

    A request without progress is refused when others wait; so is one that has waited
    for longer than its client does. Both have not run.

    :param held: counts the bytes.
    :ivar body_bytes: size of the largest body.
    :ivar idle_s: longest time without progress while no others wait.
    :ivar are_callers_waiting: whether connections wait for others to be closed.

    >>> room = RequestRoom(HeldBytes(), limit_bytes=100_000)
    >>> def resume(): print("resume")
    >>> first = room.begin(resume, print, now=0.0)
    >>> second = room.begin(resume, print, now=0.0)
    >>> first.receive(90_000, now=0.0), second.receive(30_000, now=0.1)
    (True, False)
    >>> first.receive(20_000, now=0.2)
    True
    >>> room.check(now=0.6)
    >>> room.check(now=0.75)
    resume
    Refusal(code=<ResultCode.CALLER_TOO_SLOW: ...>, retry_s=0.3)
    """

    def __init__(self, held: HeldBytes, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.body_bytes = DEFAULT_BODY_BYTES
        self.link_bytes_per_s = DEFAULT_LINK_BYTES_PER_S
        self.idle_s = float("inf")
        self.are_callers_waiting = False
        self._held = held
        self._checked_s: float | None = None
        # Both in order, of their heads and of the beginning of their wait.
        self._receiving: dict[HeldRequest, None] = {}
        self._waiting: dict[HeldRequest, None] = {}
        self._complete: set[HeldRequest] = set()
        self._complete_bytes = 0

    def begin(
        self,
        resume: Callable[[], None],
        refuse: Callable[[Refusal], None],
        now: float,
    ) -> HeldRequest:
        """Return the account of a request whose body is going to be received."""
        request = HeldRequest(self, resume, refuse, now)
        self._receiving[request] = None
        return request

    def count(self, request: HeldRequest, size: int, now: float) -> bool:
        """Count received bytes, and return whether more may be received now."""
        if request not in self._receiving:
            return True
        self._held.add(Place.REQUEST, size)
        if self._has_room(request):
            return True
        request.waits_since_s = now
        self._waiting[request] = None
        return False

    def complete(self, request: HeldRequest) -> None:
        """Record that a body was received completely."""
        if request in self._receiving:
            self._end_receiving(request)
            self._complete.add(request)
            self._complete_bytes += request.size
            self._resume_waiting()

    def release(self, request: HeldRequest) -> None:
        """Count a body as held no more; others may be received in its place."""
        if request in self._complete:
            self._complete.discard(request)
            self._complete_bytes -= request.size
        elif request in self._receiving:
            self._end_receiving(request)
        else:
            return
        self._held.add(Place.REQUEST, -request.size)
        self._resume_waiting()

    def check(self, now: float) -> None:
        """Refuse requests that have made no progress, or that have waited too long."""
        checked_s, self._checked_s = self._checked_s, now
        has_stood_still = checked_s is not None and now - checked_s > MAX_CHECK_GAP_S
        for request in self._receiving:
            if has_stood_still or request.progress_s is None:
                request.restart(now)
        stall_s = self.idle_s
        if self.are_callers_waiting or self._waiting:
            stall_s = min(stall_s, MAX_STALL_S)
        # The latest first: what they held is room for the others.
        for request in reversed(tuple(self._receiving)):
            code = _find_fault(request, stall_s, now)
            if code is not None:
                self.release(request)
                request.refuse(self.make_refusal(code))
        # Answers may have left room meanwhile.
        self._resume_waiting()

    def make_refusal(self, code: ResultCode) -> Refusal:
        """Return a refusal with the time that what is held takes on the link."""
        drain_s = self._held.find_size(Place.REQUEST) / self.link_bytes_per_s
        return Refusal(code, min(MAX_RETRY_S, max(MIN_RETRY_S, drain_s)))

    def _end_receiving(self, request: HeldRequest) -> None:
        del self._receiving[request]
        self._waiting.pop(request, None)

    def _resume_waiting(self) -> None:
        for request in tuple(self._waiting):
            if request in self._waiting and self._has_room(request):
                del self._waiting[request]
                request.waits_since_s = request.progress_s = None
                request.resume()

    def _has_room(self, request: HeldRequest) -> bool:
        size = self._held.find_size(Place.REQUEST)
        share = SMALL_BODY_SHARE if request.size < SMALL_BODY_BYTES else 1.0
        is_below = size < share * self.limit_bytes
        if is_below and self._held.size < share * self._held.shared_bytes:
            return True
        if request is not next(iter(self._receiving)):
            return False
        return not self._complete_bytes or size < self.limit_bytes + self.body_bytes


def _find_fault(request: HeldRequest, stall_s: float, now: float) -> ResultCode | None:
    """Return why a request must be refused, None if it need not be."""
    if request.waits_since_s is not None:
        is_late = now - request.waits_since_s > MAX_WAIT_S
        return ResultCode.GATEWAY_FULL if is_late else None
    if request.progress_s is None or now - request.progress_s <= stall_s:
        return None
    return ResultCode.CALLER_TOO_SLOW
