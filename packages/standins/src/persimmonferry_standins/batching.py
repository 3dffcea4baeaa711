"""Simulated continuous batching of the engine stand-in, advanced tick by tick."""

from collections.abc import Callable
from dataclasses import dataclass, field

from persimmonferry_core.runs import RunOrder

from persimmonferry_standins.cache import PrefixCache, digest_prefixes
from persimmonferry_standins.tokens import answer_tokens

__all__ = ["Batch", "Rates", "Run"]


@dataclass(frozen=True)
class Rates:
    """
    Concurrency and rates of the engine.

    :param slots: largest number of batched runs.
    :param prefill_tokens_per_s: prefill rate, which the batched runs share.
    :param decode_tokens_per_s: decode rate of each batched run.
    """

    slots: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float


@dataclass(eq=False)
class Run:
    """
    A run that waits or is batched.

    :param emit: called with each group of tokens and whether it is the last one.
    :param arrival: sequence number in order of arrival.
    :param digests: digest of the prefix that each block stands for.
    :param prefill_left: tokens that are not prefilled yet.
    :param decoded: decoded tokens, with a fraction, that are not emitted yet.
    :param next_index: index in the answer of the next token to emit.
    """

    order: RunOrder
    emit: Callable[["Run", tuple[str, ...], bool], None]
    arrival: int
    prompt_tokens: int
    digests: tuple[str, ...]
    cached_tokens: int = 0
    prefill_left: float = 0.0
    decoded: float = 0.0
    next_index: int = 0
    prefilled: bool = field(default=False)

    @property
    def done(self) -> bool:
        """Whether all tokens are generated."""
        return self.next_index >= self.order.max_tokens


class Batch:
    """Waiting and batched runs, and how they share each tick."""

    def __init__(self, rates: Rates, cache: PrefixCache) -> None:
        self._rates = rates
        self._cache = cache
        self._arrivals = 0
        self.waiting: list[Run] = []
        self.running: list[Run] = []

    @property
    def runs(self) -> tuple[Run, ...]:
        """All runs, batched ones first."""
        return (*self.running, *self.waiting)

    @property
    def waiting_prefill_tokens(self) -> int:
        """Prompt tokens of waiting and batched runs that are not computed yet."""
        waiting = sum(run.prompt_tokens for run in self.waiting)
        return waiting + int(sum(run.prefill_left for run in self.running))

    def submit(
        self, order: RunOrder, emit: Callable[[Run, tuple[str, ...], bool], None]
    ) -> Run:
        """Queue a run by priority, then by arrival."""
        self._arrivals += 1
        run = Run(
            order=order,
            emit=emit,
            arrival=self._arrivals,
            prompt_tokens=len(order.prompt.split()),
            digests=digest_prefixes(order),
            next_index=len(order.delivered),
        )
        self.waiting.append(run)
        self.waiting.sort(key=_rank)
        return run

    def remove(self, run: Run) -> None:
        """Remove a run, whether it waits or is batched."""
        if run in self.waiting:
            self.waiting.remove(run)
        if run in self.running:
            self.running.remove(run)

    def advance(self, elapsed_s: float, now: float) -> None:
        """Admit waiting runs, then prefill and decode for the elapsed time."""
        self._admit()
        self._prefill(elapsed_s, now)
        for run in tuple(self.running):
            if run.prefilled:
                self._decode(run, elapsed_s)

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self._rates.slots:
            run = self.waiting.pop(0)
            hits = self._cache.use_prefix(run.order.block_names, run.digests)
            cached = min(hits * run.order.block_tokens, run.prompt_tokens)
            run.cached_tokens = cached
            recomputed = len(run.order.delivered)
            run.prefill_left = run.prompt_tokens - cached + recomputed
            self.running.append(run)

    def _prefill(self, elapsed_s: float, now: float) -> None:
        budget = self._rates.prefill_tokens_per_s * elapsed_s
        unfilled = [run for run in self.running if not run.prefilled]
        # Chunked prefill: a more urgent run overtakes one that is partly prefilled.
        for run in sorted(unfilled, key=_rank):
            share = min(budget, run.prefill_left)
            run.prefill_left -= share
            budget -= share
            if run.prefill_left > 0:
                break
            run.prefilled = True
            # Prefill also yields the first token.
            run.decoded = 1.0
            for name, digest in zip(run.order.block_names, run.digests, strict=True):
                self._cache.store(name, digest, now)

    def _decode(self, run: Run, elapsed_s: float) -> None:
        run.decoded += self._rates.decode_tokens_per_s * elapsed_s
        count = min(int(run.decoded), run.order.max_tokens - run.next_index)
        run.decoded -= int(run.decoded)
        first = run.next_index
        run.next_index += max(count, 0)
        order = run.order
        tokens = answer_tokens(order.prompt, order.version, run.next_index, first)
        if run.done:
            self.running.remove(run)
        if tokens or run.done:
            run.emit(run, tokens, run.done)


def _rank(run: Run) -> tuple[int, int]:
    return run.order.priority, run.arrival
