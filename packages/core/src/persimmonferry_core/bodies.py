"""Parses and validates the bodies of callers' prompt requests."""

import json
from dataclasses import dataclass
from typing import Any

from persimmonferry_core.codes import ResultCode
from persimmonferry_core.exceptions import NotRun

__all__ = ["PromptBody", "parse_chat", "parse_completion"]

DEFAULT_MAX_TOKENS = 256
MAX_MAX_TOKENS = 32_768
MAX_MESSAGES = 4096


@dataclass(frozen=True)
class PromptBody:
    """
    A validated prompt request.

    :param service: name of the service; callers send it as ``model``.
    :param tier: name of the tier, empty for the first tier of the document.
    :param prompt: the text that the engine continues.
    :param max_tokens: maximum length of the answer.
    :param stream: whether tokens are sent as they are generated.
    """

    service: str
    tier: str
    prompt: str
    max_tokens: int
    stream: bool


def parse_completion(data: bytes) -> PromptBody:
    """
    Parse the body of a completion request.

    :raises NotRun: with MALFORMED_REQUEST and the name of the invalid field.

    >>> parse_completion(b'{"model": "notes", "prompt": "two roses"}').max_tokens
    256
    >>> parse_completion(b'{"model": "notes"}')
    Traceback (most recent call last):
        ...
    persimmonferry_core.exceptions.NotRun: 2001 the request is malformed: \
'prompt' must be a non-empty string
    """
    fields = _read_object(data)
    prompt = _read_text(fields, "prompt")
    return _build(fields, prompt)


def parse_chat(data: bytes) -> PromptBody:
    """
    Parse the body of a chat completion request; the messages are joined into a prompt.

    :raises NotRun: with MALFORMED_REQUEST and the name of the invalid field.
    """
    fields = _read_object(data)
    messages = fields.get("messages")
    if not isinstance(messages, list) or not 0 < len(messages) <= MAX_MESSAGES:
        raise _refuse(f"'messages' must be a list of 1 to {MAX_MESSAGES} messages")
    lines = [_read_message(message) for message in messages]
    return _build(fields, "\n".join((*lines, "assistant:")))


def _read_object(data: bytes) -> dict[str, Any]:
    try:
        fields = json.loads(data)
    except (ValueError, RecursionError):
        raise _refuse("the body is not JSON") from None
    if not isinstance(fields, dict):
        raise _refuse("the body is not a JSON object")
    return fields


def _read_message(message: Any) -> str:
    if not isinstance(message, dict):
        raise _refuse("a message must be an object")
    role = _read_text(message, "role")
    content = _read_text(message, "content")
    return f"{role}: {content}"


def _build(fields: dict[str, Any], prompt: str) -> PromptBody:
    return PromptBody(
        service=_read_text(fields, "model"),
        tier=_read_text(fields, "service_tier", default=""),
        prompt=prompt,
        max_tokens=_read_max_tokens(fields),
        stream=_read_flag(fields, "stream"),
    )


def _read_text(fields: dict[str, Any], name: str, default: str | None = None) -> str:
    value = fields.get(name)
    if value is None and default is not None:
        return default
    if not isinstance(value, str) or not value.strip():
        raise _refuse(f"'{name}' must be a non-empty string")
    try:
        value.encode()
    except UnicodeEncodeError:
        raise _refuse(f"'{name}' is not valid Unicode") from None
    return value


def _read_max_tokens(fields: dict[str, Any]) -> int:
    value = fields.get("max_tokens", DEFAULT_MAX_TOKENS)
    is_count = isinstance(value, int) and not isinstance(value, bool)
    if not is_count or not 0 < value <= MAX_MAX_TOKENS:
        raise _refuse(f"'max_tokens' must be from 1 to {MAX_MAX_TOKENS}")
    return value


def _read_flag(fields: dict[str, Any], name: str) -> bool:
    value = fields.get(name, False)
    if not isinstance(value, bool):
        raise _refuse(f"'{name}' must be true or false")
    return value


def _refuse(detail: str) -> NotRun:
    return NotRun(ResultCode.MALFORMED_REQUEST, detail)
