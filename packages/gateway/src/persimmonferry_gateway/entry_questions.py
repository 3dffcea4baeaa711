"""Asks other gateways for upstreams' entries while the registry does not respond."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

from persimmonferry_core.deployment import UpstreamRecord
from persimmonferry_core.stream_origins import ServiceBuild
from persimmonferry_wire.generated.peers.ttypes import EntryNews, KnownUpstream

__all__ = ["EntryQuestions"]

ASKED_GATEWAYS = 3
# The question is asked again after the first time, as datagrams may be lost.
ANSWER_TIMEOUTS_S = (0.1, 0.15)
QUESTION_BITS = 62
# Upstreams in one datagram.
MAX_UPSTREAMS_SENT = 4


@dataclass
class _Question:
    """
    A question that other gateways were asked.

    :param open: the gateways that have not answered.
    :param records: entries that the first gateway stated which has read the registry.
    """

    open: set[str]
    records: tuple[UpstreamRecord, ...] = ()
    is_answered: asyncio.Event = field(default_factory=asyncio.Event)


class EntryQuestions:
    """
    Asks a few other gateways for entries, and answers them.

    Load pattern: the registry refuses some of the gateways while upstreams start, and
    their callers take streams up there. A gateway answers only after it has read the
    registry, so what it states is newer than what the one that asks knows.

    :param list_peers: returns the other gateways.
    :param send: sends news to the named gateways.
    :param reply: sends news to an address.
    :param catch_up: receives the changes of the registry until now, and returns whether
        this worked.
    :param find_record: returns an upstream's entry, None if it may lack the last one.
    :param list_serving: returns the upstreams of a build that take calls.
    """

    def __init__(
        self,
        name: str,
        list_peers: Callable[[], Sequence[str]],
        send: Callable[[EntryNews, Sequence[str]], None],
        reply: Callable[[EntryNews, tuple[str, int]], None],
        catch_up: Callable[[], Awaitable[bool]],
        find_record: Callable[[str], UpstreamRecord | None],
        list_serving: Callable[[ServiceBuild], Sequence[UpstreamRecord]],
    ) -> None:
        self._name = name
        self._list_peers = list_peers
        self._send = send
        self._reply = reply
        self._catch_up = catch_up
        self._find_record = find_record
        self._list_serving = list_serving
        self._questions: dict[int, _Question] = {}
        self._tasks: set[asyncio.Task] = set()

    async def ask_record(self, upstream: str) -> UpstreamRecord | None:
        """Return an upstream's entry, None if nobody knows it."""
        return next(iter(await self._ask(upstream, "", "")), None)

    async def ask_serving(self, item: ServiceBuild) -> tuple[UpstreamRecord, ...]:
        """Return some upstreams of a build that take calls."""
        return await self._ask("", item.service, item.build)

    async def _ask(
        self, upstream: str, service: str, build: str
    ) -> tuple[UpstreamRecord, ...]:
        peers = self._list_peers()
        asked = set(random.sample(peers, min(ASKED_GATEWAYS, len(peers))))
        if not asked:
            return ()
        number = random.getrandbits(QUESTION_BITS)
        question = self._questions[number] = _Question(asked)
        news = EntryNews(self._name, number, True, False, upstream, service, build, [])
        try:
            for timeout_s in ANSWER_TIMEOUTS_S:
                self._send(news, tuple(question.open))
                try:
                    async with asyncio.timeout(timeout_s):
                        await question.is_answered.wait()
                    break
                except TimeoutError:
                    continue
        finally:
            del self._questions[number]
        return question.records

    def receive(self, news: EntryNews, address: tuple[str, int]) -> None:
        """Answer a question of another gateway, or record its answer to one."""
        if news.is_question:
            task = asyncio.create_task(self._answer(news, address))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            return
        question = self._questions.get(news.question)
        if question is None:
            return
        question.open.discard(news.sender)
        if news.is_present and news.known:
            question.records = tuple(_decode_record(item) for item in news.known)
        if question.records or not question.open:
            question.is_answered.set()

    async def _answer(self, news: EntryNews, address: tuple[str, int]) -> None:
        is_present = await self._catch_up()
        records = self._find_records(news) if is_present else ()
        known = [_encode_record(record) for record in records]
        answer = EntryNews(
            self._name, news.question, False, is_present, "", "", "", known
        )
        self._reply(answer, address)

    def _find_records(self, news: EntryNews) -> tuple[UpstreamRecord, ...]:
        if not news.upstream:
            item = ServiceBuild(news.service_name, news.build)
            return tuple(self._list_serving(item)[:MAX_UPSTREAMS_SENT])
        record = self._find_record(news.upstream)
        return () if record is None else (record,)


def _encode_record(record: UpstreamRecord) -> KnownUpstream:
    return KnownUpstream(
        record.name,
        record.service,
        record.address,
        record.failure_domain,
        record.slots,
        record.is_leaving,
        record.incarnation,
        dict(record.weights),
        record.build,
    )


def _decode_record(item: KnownUpstream) -> UpstreamRecord:
    return UpstreamRecord(
        name=item.name,
        service=item.service_name,
        address=item.address,
        failure_domain=item.failure_domain,
        slots=item.slots,
        is_leaving=item.is_leaving,
        incarnation=item.incarnation,
        weights=tuple(item.weights.items()),
        build=item.build,
    )
