import json

import pytest
from hypothesis import given, settings, strategies as st
from persimmonferry_core.bodies import PromptBody, parse_chat, parse_completion
from persimmonferry_core.codes import ResultCode
from persimmonferry_core.exceptions import NotRun

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)
FIELDS = st.sampled_from(
    ["model", "prompt", "messages", "max_tokens", "stream", "service_tier", "x"]
)
BODIES = st.one_of(
    st.binary(max_size=64),
    JSON_VALUES.map(lambda value: json.dumps(value).encode()),
    st.dictionaries(FIELDS, JSON_VALUES).map(lambda value: json.dumps(value).encode()),
)


@settings(derandomize=True, max_examples=400, deadline=None)
@given(BODIES, st.sampled_from([parse_completion, parse_chat]))
def test_any_body_is_either_typed_or_refused_as_malformed(data, parse):
    try:
        body = parse(data)
    except NotRun as error:
        assert error.code is ResultCode.MALFORMED_REQUEST
    else:
        assert body.prompt.strip() and body.service and body.max_tokens > 0


def test_chat_messages_are_joined_into_one_prompt():
    data = {
        "model": "notes",
        "messages": [{"role": "user", "content": "two roses?"}],
        "stream": True,
    }
    body = parse_chat(json.dumps(data).encode())
    assert body == PromptBody("notes", "", "user: two roses?\nassistant:", 256, True)


@pytest.mark.parametrize("value", [0, -1, 40_000, True, "8", 1.5, None])
def test_max_tokens_out_of_range_is_refused(value):
    data = {"model": "notes", "prompt": "roses", "max_tokens": value}
    with pytest.raises(NotRun, match="max_tokens"):
        parse_completion(json.dumps(data).encode())


def test_a_prompt_with_a_lone_surrogate_is_refused():
    with pytest.raises(NotRun, match="Unicode"):
        parse_completion(b'{"model": "notes", "prompt": "\\ud800"}')
