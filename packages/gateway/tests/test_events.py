import random
import time

import pytest
from persimmonferry_gateway.answer_identity import AnswerFinder
from persimmonferry_gateway.events import (
    MAX_EMPTY_EVENTS,
    MAX_EVENT_BYTES,
    MAX_EXCESS_BYTES,
    EndlessStream,
    EventSplitter,
)
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


@pytest.mark.parametrize("ends", [b"\n", b"\r\n"])
@pytest.mark.parametrize("size", [1, 7, 4096])
def test_all_lines_of_events_are_accepted(ends, size):
    lines = [b"weight-versions: 3", b"id: 1", b"event", b"data", b": note", b":", b""]
    long_line = b"data: " + b"x" * 5000
    text = ends.join([*lines, long_line, b"retry:9", b"", b""])
    splitter = EventSplitter(max_tokens=1)
    parts = (text[n : n + size] for n in range(0, len(text), size))
    assert b"".join(splitter.feed(part) for part in parts) + splitter.flush() == text


# Bytes that are no event were relayed until the caller left.
@pytest.mark.parametrize("noise", [b"\x00\xf3\n", b"<p>\n", b"\xfe" * 128, b"a b: c\n"])
@pytest.mark.parametrize("size", [1, 4096])
def test_bytes_of_no_event_are_relayed(noise, size):
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a\n\nid: 2\n") == b"id: 1\ndata: a\n\n"
    with pytest.raises(ValueError, match="no part of an event"):
        for begin in range(0, len(noise), size):
            splitter.feed(noise[begin : begin + size])


# Events without end were relayed until the caller left.
@pytest.mark.parametrize("event", ["id: {}\ndata: a\n\n", "data: a\n\n", ": a\n\n"])
def test_more_events_are_relayed_than_tokens_were_asked_for(event):
    splitter = EventSplitter(max_tokens=5)
    relayed = b""
    with pytest.raises(EndlessStream, match="not asked for"):
        for number in range(1, 100_000):
            relayed += splitter.feed(event.format(number).encode())
    events = 5 + MAX_EMPTY_EVENTS
    assert abs(len(relayed) - MAX_EXCESS_BYTES) < 20 * events


def test_a_stream_may_hold_large_events_and_some_without_tokens():
    splitter = EventSplitter(max_tokens=5)
    text = b"data: " + b"x" * 500_000 + b"\n\n"
    for number in range(5 + MAX_EMPTY_EVENTS):
        event = b"id: %d\n" % number + text
        assert splitter.feed(b": waiting\n\n" + event).endswith(event)


# Events that were refused counted as those of the stream that resumes theirs.
def test_a_refused_stream_uses_up_the_tokens_of_the_next():
    splitter = EventSplitter(max_tokens=2)
    flood = b"".join(b"id: %d\ndata: aaaa\n\n" % number for number in range(2, 9999))
    splitter.feed(b"id: 1\ndata: a\n\n")
    with pytest.raises(EndlessStream):
        splitter.feed(flood)
    splitter.discard_partial()
    event = b"id: 2\ndata: " + b"x" * (2 * MAX_EXCESS_BYTES) + b"\n\n"
    assert splitter.feed(event) == event


# The id, up to 1 MiB, was logged and sent to the next engine.
@pytest.mark.parametrize("first", [b"", b"id: 1\ndata: a\n\n"])
def test_ids_without_end_are_kept(first):
    splitter = EventSplitter()
    with pytest.raises(ValueError, match="id longer than") as raised:
        splitter.feed(first + b"id: " + b"9" * 500_000 + b"\n\n")
    assert len(str(raised.value)) < 100
    assert splitter.last_id is None
