"""Requests and grants loans of the accounts' limits between entries."""

import asyncio
import logging
from collections.abc import Callable, Sequence

from persimmonferry_core.limits import (
    AccountLimiter,
    LimitShare,
    LoanGrant,
    LoanRequest,
)
from persimmonferry_wire import PeerClient, PeerRequestFailed, PeerRoute
from persimmonferry_wire.generated.limits.ttypes import (
    LimitAnswer,
    LimitAsk,
    LimitPart,
)

from persimmonferry_daemon.forwarding import EntryPeer
from persimmonferry_daemon.paths import LIMIT_PATH
from persimmonferry_daemon.periodic import PeriodicTask

__all__ = ["LimitLoans"]

CHECK_INTERVAL_S = 0.25
ASK_TIMEOUT_S = 0.5

_log = logging.getLogger(__name__)


class LimitLoans:
    """
    Sends the loan requests of an account limiter, and replies to those of peers.

    :param list_entries: returns the entries believed to be live.
    :param read_clock: the clock of the limiter.
    """

    def __init__(
        self,
        limiter: AccountLimiter,
        peers: PeerClient,
        list_entries: Callable[[], Sequence[EntryPeer]],
        read_clock: Callable[[], float],
    ) -> None:
        self._limiter = limiter
        self._peers = peers
        self._list_entries = list_entries
        self._read_clock = read_clock
        self._sending = PeriodicTask(self._send_requests, lambda: CHECK_INTERVAL_S)
        self._requests: set[asyncio.Task] = set()
        self.routes = (PeerRoute(LIMIT_PATH, LimitAsk, self._answer_request),)

    def start(self) -> None:
        """Start to request loans from peers for limits that are short here."""
        self._sending.start()

    async def stop(self) -> None:
        """Stop sending requests."""
        await self._sending.stop()
        for task in self._requests:
            task.cancel()

    async def _send_requests(self) -> None:
        for peer, ask in self._limiter.make_loan_requests(self._read_clock()):
            task = asyncio.create_task(self._send_request(peer, ask))
            self._requests.add(task)
            task.add_done_callback(self._requests.discard)

    async def _send_request(self, peer: str, ask: LoanRequest) -> None:
        entry = next((item for item in self._list_entries() if item.name == peer), None)
        if entry is None:
            return
        message = LimitAsk(
            ask.asker, ask.sequence, ask.asked_s, _encode_shares(ask.wanted)
        )
        try:
            reply = await self._peers.ask(
                entry.address.url + LIMIT_PATH, message, LimitAnswer, ASK_TIMEOUT_S
            )
        except PeerRequestFailed as error:
            _log.info(
                "limit loan request failed", extra={"peer": peer, "why": str(error)}
            )
            return
        answer = LoanGrant(
            reply.lender, reply.sequence, reply.asked_s, _decode_shares(reply.lent)
        )
        self._limiter.apply_grant(answer, self._read_clock())

    async def _answer_request(self, message: LimitAsk) -> LimitAnswer:
        ask = LoanRequest(
            message.asker,
            message.sequence,
            message.asked_s,
            _decode_shares(message.wanted),
        )
        answer = self._limiter.lend(ask, self._read_clock())
        if answer is None:
            return LimitAnswer(self._limiter.entry, -1, ask.asked_s, [])
        return LimitAnswer(
            answer.lender, answer.sequence, answer.asked_s, _encode_shares(answer.lent)
        )


def _encode_shares(parts: Sequence[LimitShare]) -> list[LimitPart]:
    return [LimitPart(part.account, part.part) for part in parts]


def _decode_shares(parts: Sequence[LimitPart]) -> tuple[LimitShare, ...]:
    return tuple(LimitShare(part.account, part.part) for part in parts)
