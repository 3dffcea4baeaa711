"""Runs the entry's dispatcher and resumes the requests that it decides on."""

import asyncio
from collections.abc import Callable

from persimmonferry_core.dispatch import (
    Assignment,
    Dispatcher,
    PromptRequest,
    Queued,
    Refused,
)
from persimmonferry_core.exceptions import FerryError, make_error
from persimmonferry_core.runs import RunEnd

__all__ = ["Scheduler"]


class Scheduler:
    """
    Runs the dispatcher on the event loop.

    :param read_clock: monotonic seconds.
    """

    def __init__(self, dispatcher: Dispatcher, read_clock: Callable[[], float]) -> None:
        self.dispatcher = dispatcher
        self._read_clock = read_clock
        self._futures: dict[str, asyncio.Future[Assignment]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._dispatch_scheduled = False

    async def admit(self, request: PromptRequest) -> Assignment:
        """
        Queue a request and return its first assignment.

        :raises NotRun: refused at once, or later if its promised wait can't be met.
        """
        answer = self.dispatcher.offer(request, self._read_clock())
        return await self._wait(request.request_id, answer)

    async def retry(self, request_id: str, *, ran: bool) -> Assignment:
        """
        Return the next assignment of a request whose attempt failed.

        :param ran: whether the attempt may have run.
        :raises NotRun: it is not retried.
        """
        answer = self.dispatcher.failed(request_id, ran, self._read_clock())
        return await self._wait(request_id, answer)

    async def requeue(self, request_id: str) -> Assignment:
        """
        Return the next assignment of a request whose upstream had no free slot.

        :raises NotRun: its promised wait can no longer be met.
        """
        answer = self.dispatcher.requeue(request_id, self._read_clock())
        return await self._wait(request_id, answer)

    def record_progress(self, request_id: str, tokens: int, *, first: bool) -> None:
        """Report received tokens to the dispatcher."""
        now = self._read_clock()
        if first:
            self.dispatcher.started(request_id, now)
        self.dispatcher.progressed(request_id, tokens, now)

    def record_import(
        self, source: str, target: str, total_bytes: int, elapsed_s: float
    ) -> None:
        """Report blocks imported over a link to the dispatcher."""
        self.dispatcher.record_import(
            source, target, total_bytes, elapsed_s, self._read_clock()
        )

    def finish(self, request_id: str, end: RunEnd) -> None:
        """Report a complete answer to the dispatcher."""
        self.dispatcher.finished(request_id, end, self._read_clock())
        self.schedule_dispatch()

    def cancel(self, request_id: str) -> None:
        """Remove a request."""
        self._futures.pop(request_id, None)
        self.dispatcher.cancel(request_id, self._read_clock())
        self.schedule_dispatch()

    def schedule_dispatch(self) -> None:
        """Schedule a dispatch for after the current callback."""
        if not self._dispatch_scheduled:
            self._dispatch_scheduled = True
            asyncio.get_running_loop().call_soon(self._dispatch)

    async def _wait(self, request_id: str, answer: Queued | Refused) -> Assignment:
        match answer:
            case Refused():
                raise make_error(answer.code, "", answer.retry_after_s)
            case Queued():
                future = asyncio.get_running_loop().create_future()
                self._futures[request_id] = future
                # Dispatch at once: a request that can start now must not count as
                # waiting when the next one is admitted.
                self._dispatch()
                return await future

    def _dispatch(self) -> None:
        self._dispatch_scheduled = False
        now = self._read_clock()
        for refused in self.dispatcher.expire(now):
            error = make_error(refused.code, "", refused.retry_after_s)
            self._resolve(refused.request_id, error)
        for assignment in self.dispatcher.assign(now):
            self._resolve(assignment.request.request_id, assignment)
        self._schedule_timer(now)

    def _resolve(self, request_id: str, result: Assignment | FerryError) -> None:
        future = self._futures.pop(request_id, None)
        if future is None or future.done():
            return
        match result:
            case FerryError():
                future.set_exception(result)
            case Assignment():
                future.set_result(result)

    def _schedule_timer(self, now: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        next_event = self.dispatcher.next_event(now)
        if next_event is not None:
            delay_s = max(0.0, next_event - now)
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_s, self.schedule_dispatch)
