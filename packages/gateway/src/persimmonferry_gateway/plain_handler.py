"""Handles calls to plain services: sent by load, repeated only where allowed."""

import asyncio

from persimmonferry_core.codes import ResultCode
from persimmonferry_core.deployment import UpstreamRecord
from persimmonferry_core.exceptions import NotRun

from persimmonferry_gateway.call_handler import AttemptFailed, CallHandler

__all__ = ["PlainHandler"]

NO_UPSTREAM_RETRY_S = 0.5


class PlainHandler(CallHandler):
    """Handles a call to a plain service."""

    async def _serve(self) -> None:
        context = self._context
        await self._find_origin()
        context.dispatcher.plain_offered(self._service, self._arrival_s)
        while True:
            self._check_quarantine()
            now = context.read_clock()
            avoid = self._avoid | self._list_other_builds()
            name = context.dispatcher.choose_plain(self._service, now, avoid)
            if name:
                await self._prepare_continuation(name)
            record = context.cluster.find_record(name) if name else None
            if record is not None and self._build not in ("", record.build):
                # It has started again; the next choice leaves it out.
                continue
            if record is None:
                wait_s = context.dispatcher.find_return_wait(self._service, now)
                wait_s = wait_s or NO_UPSTREAM_RETRY_S
                raise NotRun(ResultCode.NO_UPSTREAM, "", wait_s)
            context.dispatcher.plain_started(self._id, record.name, now)
            context.announce_call(record.name)
            context.quarantine.record_sent(self._find_parts(), now)
            try:
                await self._attempt(record, None)
            except AttemptFailed as failure:
                self._report_crash(record, failure)
                await self._fail(failure, record)
                continue
            context.dispatcher.plain_finished(self._id, context.read_clock())
            return

    def _list_other_builds(self) -> frozenset[str]:
        """Return the upstreams that may not continue the stream."""
        if not self._build:
            return frozenset()
        return self._context.cluster.list_other_builds(self._service, self._build)

    async def _fail(self, failure: AttemptFailed, record: UpstreamRecord) -> None:
        self._record_loss(failure)
        context = self._context
        now = context.read_clock()
        self._avoid |= {record.name}
        if not failure.arrived:
            self._attempts -= 1
            context.dispatcher.plain_unreachable(self._id, now)
            return
        if failure.is_upstream_sound:
            context.dispatcher.plain_abandoned(self._id, now)
        else:
            context.dispatcher.plain_finished(
                self._id, now, whole=False, refused=not failure.ran
            )
        if failure.ran and not self._can_repeat():
            raise failure.error
        self._check_quarantine()
        delay_s = context.dispatcher.allow_plain_retry(
            self._service, self._attempts, now, ran=failure.ran
        )
        if delay_s is None:
            raise failure.error
        await asyncio.sleep(delay_s)

    def _release(self) -> None:
        now, dispatcher = self._context.read_clock(), self._context.dispatcher
        if self._has_upstream_timed_out(now):
            dispatcher.plain_finished(self._id, now, whole=False)
        else:
            dispatcher.plain_abandoned(self._id, now)
