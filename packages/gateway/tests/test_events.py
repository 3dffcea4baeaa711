import random
import time

import pytest
from persimmonferry_gateway.answer_identity import AnswerFinder
from persimmonferry_gateway.events import MAX_EVENT_BYTES, EventSplitter
from persimmonferry_platform import PlatformCodec

EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\n"
FINDER = AnswerFinder(PlatformCodec().decode_response_head)


# The events before the fault were left out when another upstream resumed the stream.
@pytest.mark.parametrize(
    "fault",
    [EVENTS, b"id: 2\ndata: b\n\n", HEAD, b"id: 3\ndata: c" + HEAD, b"id: x\n\n" * 2],
)
def test_events_that_were_not_returned_count_as_received(fault):
    splitter = EventSplitter("1", FINDER.has_answer)
    assert splitter.feed(EVENTS[-16:]) == EVENTS[-16:]
    with pytest.raises(ValueError, match=r"event|answer"):
        splitter.feed(b"id: 3\ndata: c\n\n" + fault)
    assert splitter.last_id == "2"


def test_documents_may_have_examples_of_answers():
    example = b"id: 3\ndata: HTTP/1.1 200 OK\ndata: Request-Id: a\ndata:\n\n"
    splitter = EventSplitter("2", FINDER.has_answer)
    assert splitter.feed(example) == example
    assert not FINDER.has_answer(b"HTTP/1.1 200 OK\r\nDate: today\r\n\r\n")


# The line after an empty id was taken for the id, and the next event was refused.
def test_an_event_with_an_empty_id_has_none():
    splitter = EventSplitter()
    events = b"id:\ndata:a\n\n" * 2
    assert (splitter.feed(events), splitter.last_id) == (events, None)


# A stray head without an id and a seal was relayed as an event.
def test_a_head_that_states_no_call_is_relayed_as_an_event():
    splitter = EventSplitter("1", FINDER.has_answer)
    with pytest.raises(ValueError, match="another answer"):
        splitter.feed(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")


# The time to read an event grew with the square of its size: seconds for 1 MiB.
@pytest.mark.parametrize("line", [b": " + b"c" * 400 + b"\n", b"data: " + b"t" * 400])
def test_an_event_in_many_parts_delays_all_calls(line):
    splitter = EventSplitter()
    count = MAX_EVENT_BYTES // len(line)
    began_s = time.process_time()
    for _ in range(count):
        assert splitter.feed(line) == b""
    assert time.process_time() - began_s < 0.4
    assert splitter.buffered_bytes == len(line) * count


@pytest.mark.parametrize("seed", range(20))
def test_events_are_split_alike_in_parts_of_any_size(seed):
    source = random.Random(seed)
    lines = [b"data: a", b"id:", b":", b"", b""]
    ends = [b"\n", b"\r\n"]
    text = b"".join(source.choice(lines) + source.choice(ends) for _ in range(60))
    whole = EventSplitter()
    expected = whole.feed(text), whole.partial_bytes, whole.flush()
    parts = EventSplitter()
    events, rest = b"", text
    while rest:
        size = source.randint(1, 9)
        events += parts.feed(rest[:size])
        rest = rest[size:]
    found = events, parts.partial_bytes, parts.flush()
    assert (found[0] + found[2], found[1]) == (expected[0] + expected[2], expected[1])
