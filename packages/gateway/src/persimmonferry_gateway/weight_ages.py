"""Asks other gateways since when weights are wanted, and answers them."""

import asyncio
import logging
import random
from collections.abc import Callable, Sequence
from math import ceil

from persimmonferry_core.named_weights import NamedWeights
from persimmonferry_wire.generated.peers.ttypes import WantedWeights, WeightsNews

from persimmonferry_gateway.clocks import read_boot_clock

__all__ = ["WeightAges"]

# Some of the gateways that are listed may have ended, and datagrams may be lost.
ASKED_GATEWAYS = 3
ROUNDS = 5
ROUND_S = 0.1
QUESTION_BITS = 62
# Versions in one datagram; the newest ones are sent.
MAX_VERSIONS_SENT = 20
MS_PER_S = 1000

_log = logging.getLogger(__name__)


class WeightAges:
    """
    Finds out since when weights are wanted of which this gateway has heard late.

    :param list_peers: returns the other gateways.
    :param send: sends a question to the named gateways.
    :param reply: sends an answer to an address. The registry may not have told this
        gateway yet of one that asks as it has just started.
    :param find_assumed: returns since when weights count as wanted if no gateway
        answers.
    :param apply: called when more is known.
    """

    def __init__(
        self,
        name: str,
        named: NamedWeights,
        list_peers: Callable[[], Sequence[str]],
        send: Callable[[WeightsNews, Sequence[str]], None],
        reply: Callable[[WeightsNews, tuple[str, int]], None],
        find_assumed: Callable[[], float],
        apply: Callable[[], None],
    ) -> None:
        self._name = name
        self._named = named
        self._list_peers = list_peers
        self._send = send
        self._reply = reply
        self._find_assumed = find_assumed
        self._apply = apply
        self._rounds_left = 0
        # When each open question was sent, on the boot clock.
        self._questions: dict[int, float] = {}
        self._timer: asyncio.TimerHandle | None = None

    def check(self) -> None:
        """Ask if this gateway has just heard of weights that may be old."""
        if self._named.uncertain and self._timer is None:
            self._rounds_left = ROUNDS
            self._ask()

    def stop(self) -> None:
        """Ask no more."""
        if self._timer is not None:
            self._timer.cancel()

    def receive(self, news: WeightsNews, address: tuple[str, int]) -> None:
        """Answer a question of another gateway, or apply its answer to one."""
        if news.is_question:
            self._answer(news, address)
            return
        asked_s = self._questions.get(news.question)
        if asked_s is None:
            return
        # The answer was written after the question was sent, and may have waited since.
        for item in news.wanted:
            if item.model in self._named.uncertain:
                earliest_s = asked_s - item.age_ms / MS_PER_S
                self._named.learn(item.model, item.version, earliest_s)
        for model in {item.model for item in news.wanted}:
            self._settle(model, news.sender)

    def _settle(self, model: str, sender: str) -> None:
        if model not in self._named.uncertain:
            return
        self._named.settle(model)
        if model in self._named.uncertain:
            return
        now = read_boot_clock()
        ages = {
            version: round(now - earliest_s, 3)
            for version, earliest_s in self._named.find(model).items()
        }
        _log.info(
            "age of weights learned",
            extra={"model": model, "by": sender, "ages_s": ages},
        )
        self._apply()

    def _ask(self) -> None:
        self._timer = None
        if not self._named.uncertain:
            self._questions.clear()
            return
        peers = self._list_peers()
        if not peers or not self._rounds_left:
            self._give_up()
            return
        self._rounds_left -= 1
        question = random.getrandbits(QUESTION_BITS)
        self._questions[question] = read_boot_clock()
        news = WeightsNews(self._name, question, True, [])
        self._timer = asyncio.get_running_loop().call_later(ROUND_S, self._ask)
        self._send(news, random.sample(peers, min(ASKED_GATEWAYS, len(peers))))

    def _give_up(self) -> None:
        self._questions.clear()
        models = sorted(self._named.uncertain)
        _log.info("age of weights not learned", extra={"models": models})
        self._named.assume(self._find_assumed())
        self._apply()

    def _answer(self, question: WeightsNews, address: tuple[str, int]) -> None:
        now = read_boot_clock()
        wanted = [
            WantedWeights(model, version, ceil((now - earliest_s) * MS_PER_S))
            for model in self._named.models
            for version, earliest_s in self._named.list_known(model).items()
        ]
        if wanted:
            wanted = wanted[-MAX_VERSIONS_SENT:]
            news = WeightsNews(self._name, question.question, False, wanted)
            self._reply(news, address)
