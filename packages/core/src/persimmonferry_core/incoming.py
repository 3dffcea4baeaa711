"""A caller's call as an entry receives it, before it is placed."""

from dataclasses import dataclass

__all__ = ["IncomingCall", "PromptPart", "PromptShape"]


@dataclass(frozen=True)
class PromptPart:
    """
    A part of a prompt whose text the entry does not see.

    :param name: equal parts have equal names.
    """

    name: str
    tokens: int


@dataclass(frozen=True)
class PromptShape:
    """
    What an entry knows of a prompt.

    :param max_tokens: most tokens of the answer.
    :param parts: in order; the last one belongs to the call or its session.
    """

    model: str
    prompt_tokens: int
    max_tokens: int
    parts: tuple[PromptPart, ...]

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other calls may have too."""
        return self.parts[:-1]


@dataclass(frozen=True)
class IncomingCall:
    """
    One attempt of a caller.

    :param call_id: made by the caller, another one for each of its attempts.
    :param target: path and query, exactly as sent.
    :param headers: that go on to the upstream unchanged.
    :param budget_s: how long the caller waits, None when it does not say.
    :param resumes_after: last event of a stream that the caller has, or None.
    """

    call_id: str
    method: str
    target: str
    host: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: str | None
    budget_s: float | None
    prompt: PromptShape | None
    resumes_after: str | None
