import itertools
import json

import pytest
from hypothesis import given, settings, strategies as st
from persimmonferry_adapters.run_stream import RunStreamReader
from persimmonferry_core.codes import ResultCode
from persimmonferry_core.exceptions import NotRun, OutcomeUnknown
from persimmonferry_core.runs import RunOrder

TOKENS = ("a", " rose", " çiçek", "\n", " d", "e")
ORDER = RunOrder("run", "model", "v1", "", "prompt", len(TOKENS), 0)


def encode(fields, run_id="run"):
    return json.dumps({"run_id": run_id, **fields}, ensure_ascii=False).encode() + b"\n"


def encode_tokens(first, *tokens, run_id="run"):
    return encode({"first": first, "tokens": tokens}, run_id)


def encode_end(total=6, version="v1", run_id="run"):
    end = {
        "version": version,
        "total_tokens": total,
        "prompt_tokens": 1,
        "cached_tokens": 0,
        "finish_reason": "length",
    }
    return encode({"end": end}, run_id)


LINES = (
    encode({"heartbeat": True}),
    encode_tokens(0, *TOKENS[:1]),
    encode_tokens(1, *TOKENS[1:4]),
    encode({"heartbeat": True}),
    encode_tokens(4, *TOKENS[4:]),
    encode_end(),
)
STRANGE_LINES = (
    *LINES,
    encode({"heartbeat": True}, run_id="other"),
    encode_tokens(1, *TOKENS[1:4], run_id="other"),
    encode_end(run_id="other"),
    encode_end(version="v2"),
    encode_end(total=5),
    encode_tokens(3, "x"),
    encode({"refused": {"code": 2013, "reason": ""}}),
    encode({"tokens": ["x"]}),
    encode({"end": {}}),
    b"[]\n",
    b"\n",
    b"<html>\n",
)


def read(stream, cuts=()):
    """Feed a stream in chunks; return the reader and the delivered tokens."""
    delivered = []

    def deliver(batch):
        assert batch.run_id == "run"
        assert batch.first_index == len(delivered)
        delivered.extend(batch.tokens)

    reader = RunStreamReader(ORDER, deliver)
    bounds = sorted({0, len(stream), *cuts})
    for start, end in itertools.pairwise(bounds):
        reader.feed(stream[start:end])
    return reader, tuple(delivered)


@settings(derandomize=True, max_examples=200)
@given(cuts=st.sets(st.integers(0, len(b"".join(LINES)))))
def test_a_whole_answer_is_read_however_it_is_cut_into_chunks(cuts):
    reader, delivered = read(b"".join(LINES), cuts)
    assert delivered == TOKENS
    assert reader.failure is None
    assert reader.end.total_tokens == len(TOKENS)


def test_bytes_after_end_mark_make_stream_incomplete():
    reader, delivered = read(b"".join(LINES) + b"{")
    assert delivered == TOKENS
    assert reader.end is None


def test_stream_fails_when_deliver_callback_raises():
    def fail(batch):
        raise RuntimeError

    reader = RunStreamReader(ORDER, fail)
    reader.feed(b"".join(LINES))
    assert reader.failure.code is ResultCode.INTERNAL_FAULT
    assert reader.end is None


@settings(derandomize=True, max_examples=1000)
@given(data=st.data())
def test_only_the_whole_answer_in_order_has_an_end(data):
    """Lines are dropped, repeated, exchanged and mixed with another run's."""
    lines = list(LINES)
    for _ in range(data.draw(st.integers(1, 3))):
        place = data.draw(st.integers(0, len(lines)))
        removed = data.draw(st.integers(0, 2))
        added = data.draw(st.lists(st.sampled_from(STRANGE_LINES), max_size=2))
        lines[place : place + removed] = added
    reader, delivered = read(b"".join(lines))
    assert delivered == TOKENS[: len(delivered)]
    heartbeat = LINES[0]
    core = [line for line in lines if line != heartbeat]
    whole = core == [line for line in LINES if line != heartbeat]
    assert (reader.end is not None) is whole
    if isinstance(reader.failure, NotRun):
        assert not delivered


@pytest.mark.parametrize(
    ("lines", "code"),
    [
        ((LINES[1], encode_end(total=1, version="v2")), ResultCode.ANSWER_MISMATCHED),
        ((LINES[1], encode_end(total=2)), ResultCode.ANSWER_MISMATCHED),
        ((LINES[1], LINES[1]), ResultCode.ANSWER_MISMATCHED),
        ((LINES[1], STRANGE_LINES[12]), ResultCode.ANSWER_TRUNCATED),
        ((encode_tokens(0, run_id="other"),), ResultCode.ANSWER_MISMATCHED),
    ],
)
def test_faulty_stream_sets_result_code(lines, code):
    reader, _ = read(b"".join(lines))
    assert isinstance(reader.failure, OutcomeUnknown)
    assert reader.failure.code is code
    assert reader.end is None
