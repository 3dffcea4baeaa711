"""
Time budgets of attempts at upstreams.

An upstream ends its work at the time budget of an attempt. It need not notice that the
connection was closed, so the close alone does not show that it has ended.
"""

from dataclasses import dataclass

__all__ = [
    "AnswerTimeEstimator",
    "AttemptBudget",
    "choose_prompt_budget",
    "find_resend_time",
]

# Time for which an upstream may still work on a prompt that goes on at another one.
MAX_OVERLAP_S = 0.2
# Between the end of the time budget and the limit on replaced weights. The budget
# counts from the arrival at the upstream, after a connection has been made.
REPLACED_WEIGHTS_MARGIN_S = 0.5
# An answer may take this many times its expected longest time.
ANSWER_TIME_MARGIN = 2.0
# Assumed until answers were observed.
ASSUMED_TOKEN_S = 0.01
EWMA_ALPHA = 0.05


@dataclass(frozen=True)
class AttemptBudget:
    """
    The limits on the time of one attempt.

    :param work_s: time budget of the upstream.
    :param answer_s: time after which the attempt is ended unless an answer has begun,
        None for the whole budget.
    """

    work_s: float
    answer_s: float | None


def choose_prompt_budget(
    left_s: float,
    answer_timeout_s: float | None,
    stream_s: float,
    wait_left_s: float,
    weights_left_s: float | None,
    weights_limit_s: float,
    begin_left_s: float,
) -> AttemptBudget:
    """
    Return the limits on the time of an attempt at a model engine.

    Load pattern: engines that hang, or are slow to begin, and work on prompts whose
    connection was closed. A prompt that is to go on elsewhere gets a time budget by
    which the engine has ended it. Without the time to go on elsewhere afterwards, it
    stays where it is.

    Newer weights may be named just after the prompt was sent, and nothing but the time
    budget ends it if this process stands still then. So it ends before replaced weights
    may no longer be used, unless that might cut off an answer that its caller waits
    for.

    :param left_s: until the caller's deadline.
    :param answer_timeout_s: after which the prompt may go on elsewhere, None if it may
        not.
    :param stream_s: longest expected time from the first to the last event.
    :param wait_left_s: time for which the caller may still wait for an engine.
    :param weights_left_s: time for which prompts may still begin on the engine's
        weights, None if these are wanted.
    :param weights_limit_s: time after which replaced weights may no longer be used.
    :param begin_left_s: until the caller leaves if no answer has begun.

    >>> choose_prompt_budget(3.0, 1.2, 0.1, 1.8, None, 8.0, 2.4)
    AttemptBudget(work_s=1.4, answer_s=1.2)
    >>> choose_prompt_budget(15.0, None, 1.0, 3.0, None, 8.0, 4.0)
    AttemptBudget(work_s=7.5, answer_s=None)
    >>> choose_prompt_budget(15.0, 2.4, 3.0, 3.0, None, 8.0, 4.0)
    AttemptBudget(work_s=15.0, answer_s=None)
    >>> choose_prompt_budget(15.0, None, 3.0, 3.0, 4.0, 8.0, 4.0)
    AttemptBudget(work_s=3.5, answer_s=None)
    """
    work_s, answer_s = left_s, None
    if answer_timeout_s is not None:
        ended_s = answer_timeout_s + max(stream_s, MAX_OVERLAP_S)
        if find_resend_time(0.0, ended_s) <= wait_left_s:
            work_s, answer_s = min(left_s, ended_s), answer_timeout_s
    if weights_left_s is not None:
        work_s = min(work_s, max(0.0, weights_left_s - REPLACED_WEIGHTS_MARGIN_S))
        return AttemptBudget(work_s, answer_s)
    bound_s = weights_limit_s - REPLACED_WEIGHTS_MARGIN_S
    if begin_left_s + ANSWER_TIME_MARGIN * stream_s <= bound_s:
        work_s = min(work_s, bound_s)
    return AttemptBudget(work_s, answer_s)


def find_resend_time(sent_s: float, work_s: float) -> float:
    """
    Return from when a prompt may go on at another engine.

    :param sent_s: when it was sent to the engine before.
    :param work_s: time budget of that engine.
    """
    return sent_s + work_s - MAX_OVERLAP_S


class AnswerTimeEstimator:
    """
    Estimates the time from the first to the last event of an answer.

    >>> times = AnswerTimeEstimator()
    >>> for _ in range(200):
    ...     times.record(50, 200, 0.5)
    >>> round(times.estimate_mean(200), 1), round(times.estimate_longest(200), 1)
    (0.5, 2.0)
    """

    def __init__(self) -> None:
        self._token_s = ASSUMED_TOKEN_S
        self._allowed_token_s = ASSUMED_TOKEN_S

    def record(self, tokens: int, max_tokens: int, seconds: float) -> None:
        """
        Add a complete answer.

        :param max_tokens: for which the prompt had asked.
        :param seconds: from its first to its last event.
        """
        self._token_s += EWMA_ALPHA * (seconds / max(1, tokens) - self._token_s)
        self._allowed_token_s += EWMA_ALPHA * (
            seconds / max(1, max_tokens) - self._allowed_token_s
        )

    def estimate_mean(self, max_tokens: int) -> float:
        """Return the expected time of an answer of an average length."""
        return max_tokens * self._allowed_token_s

    def estimate_longest(self, max_tokens: int) -> float:
        """Return the expected time of an answer that has all tokens."""
        return max_tokens * self._token_s
