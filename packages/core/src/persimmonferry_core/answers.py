"""
Answers to prompts that an agent is generating or has generated.

If an entry fails, a caller that sent a request id can retry through another entry. Only
the agent that runs the prompt still holds the tokens.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from persimmonferry_core.exceptions import FerryError
from persimmonferry_core.runs import RunEnd

__all__ = ["Answer", "AnswerTable"]

ANSWER_RETENTION_S = 120.0
MAX_HELD_TOKENS = 2_000_000


@dataclass
class Answer:
    """
    An answer while it is being generated, and after it.

    :param key: digest of client account, request id and body; empty if the caller sent
        no request id, in which case the answer can't be found by a retry.
    :param tokens: all tokens generated so far.
    :param end: the end mark once the answer is complete.
    :param failure: why the answer will never be complete.
    """

    key: str
    run_id: str
    tokens: list[str] = field(default_factory=list)
    end: RunEnd | None = None
    failure: FerryError | None = None
    ended_at: float | None = None
    _followers: list[Callable[[], None]] = field(default_factory=list)

    @property
    def has_ended(self) -> bool:
        """Whether no more tokens will be added."""
        return self.end is not None or self.failure is not None

    @property
    def is_followed(self) -> bool:
        """Whether a follower waits for more tokens."""
        return bool(self._followers)

    def follow(self, notify: Callable[[], None]) -> None:
        """Call ``notify`` after each change."""
        self._followers.append(notify)

    def unfollow(self, notify: Callable[[], None]) -> None:
        """Stop calling ``notify``."""
        if notify in self._followers:
            self._followers.remove(notify)

    def extend(self, first_index: int, tokens: tuple[str, ...]) -> bool:
        """
        Add tokens, skipping those already held.

        :returns: False if tokens between those held and these are missing.
        """
        if first_index > len(self.tokens):
            return False
        fresh = tokens[len(self.tokens) - first_index :]
        if fresh:
            self.tokens.extend(fresh)
            self._notify()
        return True

    def finish(self, end: RunEnd, now: float) -> None:
        """Set the end mark."""
        self.end = end
        self.ended_at = now
        self._notify()

    def fail(self, failure: FerryError, now: float) -> None:
        """Record that the answer will never be complete."""
        self.failure = failure
        self.ended_at = now
        self._notify()

    def _notify(self) -> None:
        for notify in tuple(self._followers):
            notify()


class AnswerTable:
    """The answers of one agent, bounded by age and by number of tokens."""

    def __init__(self) -> None:
        self._answers: OrderedDict[str, Answer] = OrderedDict()
        self._runs: dict[str, Answer] = {}

    def open(self, key: str, run_id: str, delivered: tuple[str, ...]) -> Answer:
        """Add a new answer; it replaces a failed one with the same key."""
        answer = Answer(key, run_id, list(delivered))
        former = self._answers.get(key or run_id)
        if former is not None:
            del self._runs[former.run_id]
        self._answers[key or run_id] = answer
        self._runs[run_id] = answer
        return answer

    def find(self, key: str) -> Answer | None:
        """Return the answer with a key unless it failed."""
        answer = self._answers.get(key) if key else None
        if answer is None or answer.failure is not None:
            return None
        return answer

    def find_run(self, run_id: str) -> Answer | None:
        """Return the answer of an attempt."""
        return self._runs.get(run_id)

    def trim(self, now: float) -> None:
        """
        Evict ended answers that are old or have no key.

        Above the token limit, other ended answers are evicted too, the oldest first.
        """
        held_tokens = sum(len(answer.tokens) for answer in self._answers.values())
        for name, answer in list(self._answers.items()):
            if answer.ended_at is None:
                continue
            is_old = now - answer.ended_at > ANSWER_RETENTION_S
            if not is_old and held_tokens <= MAX_HELD_TOKENS and answer.key:
                continue
            held_tokens -= len(answer.tokens)
            del self._answers[name]
            del self._runs[answer.run_id]
