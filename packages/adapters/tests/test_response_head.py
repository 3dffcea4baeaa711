"""The grammar of response heads."""

import pytest
from hypothesis import given, settings, strategies as st
from persimmonferry_adapters.response_head import (
    MAX_HEAD_BYTES,
    Framing,
    ResponseLines,
)
from persimmonferry_standins.heads import SOUND_HEADS, SPOILT_HEADS
from tornado.httputil import HTTPHeaders

STATUS = b"HTTP/1.1 200 OK\r\n"
FRAMINGS = {
    "chunks in other letters": Framing.CHUNKS,
    "length and chunks": Framing.CHUNKS,
    "chunks and another length": Framing.CHUNKS,
    "no length": Framing.CONNECTION,
    "no coding": Framing.CONNECTION,
}


def feed(data):
    """Return the lines of a head, fed as libcurl does if it changes none of them."""
    lines = ResponseLines()
    for line in data.splitlines(keepends=True):
        if not lines.is_whole:
            lines.feed(line)
    return lines


def feed_head(head):
    """Feed a head with a body up to its end; only line feeds end its lines."""
    lines = ResponseLines()
    for line in head.encode(b"x" * 800).split(b"\n"):
        lines.feed(line + b"\n")
        if lines.is_whole:
            break
    return lines


@pytest.mark.parametrize("name", SPOILT_HEADS)
def test_a_spoilt_head_is_accepted(name):
    with pytest.raises(ValueError):
        feed_head(SPOILT_HEADS[name])


@pytest.mark.parametrize("name", SOUND_HEADS)
def test_a_sound_head_is_not_accepted(name):
    lines = feed_head(SOUND_HEADS[name])
    assert lines.status == 200
    assert lines.framing is FRAMINGS.get(name, Framing.LENGTH)


# An exception for a field that can't be sent on ended calls with 500.
@settings(derandomize=True, max_examples=2000, deadline=None)
@given(
    name=st.text(st.sampled_from("aZ09-_!~ \t:(\x00\x1f\x7f\xe4"), max_size=4),
    colon=st.sampled_from([":", ": ", " :", ""]),
    value=st.text(st.characters(max_codepoint=255), max_size=6),
)
def test_a_field_is_accepted_that_can_not_be_sent_on(name, colon, value):
    lines = ResponseLines()
    lines.feed(STATUS)
    try:
        lines.feed((name + colon + value).encode("latin-1") + b"\r\n")
        lines.feed(b"\r\n")
    except ValueError:
        return
    fields = HTTPHeaders()
    for found in lines.fields:
        fields.add(*found)


# Python's white space includes two bytes outside ASCII.
def test_bytes_at_the_end_of_a_value_are_lost():
    lines = feed(STATUS + b"A: \t\x85a\xa0 \r\n\r\n")
    assert lines.fields == [("A", "\x85a\xa0")]


# libcurl joins it to the line before, and the body has no length.
@pytest.mark.parametrize("space", [b" ", b"\t"])
def test_a_joined_line_hides_the_length(space):
    with pytest.raises(ValueError):
        feed(STATUS + b"A: 1" + space + b"Content-Length: 800\r\n\r\n")


@pytest.mark.parametrize("length", [b"0", b"800", b"9" * 18, b"0" * 15 + b"800"])
def test_a_length_that_fits_is_not_accepted(length):
    lines = feed(STATUS + b"Content-Length: " + length + b"\r\n\r\n")
    assert lines.framing is Framing.LENGTH


@pytest.mark.parametrize(
    "length", [b"9" * 19, b"\xb2", b"-1", b"1 2", b"1_0", b"0x1", b"1,1", b"1;1"]
)
def test_a_length_that_libcurl_may_read_otherwise_is_accepted(length):
    with pytest.raises(ValueError):
        feed(STATUS + b"Content-Length: " + length + b"\r\n\r\n")


@pytest.mark.parametrize("status", [b"100", b"102", b"103", b"199", b"204"])
@pytest.mark.parametrize("line", [b"Content-Length: 1", b"Transfer-Encoding: chunked"])
def test_a_response_without_a_body_states_its_length(status, line):
    with pytest.raises(ValueError):
        feed(b"HTTP/1.1 " + status + b" X\r\n" + line + b"\r\n\r\n")


def test_the_length_of_an_interim_response_is_that_of_the_next():
    interim = b"HTTP/1.1 103 X\r\nLink: x\r\n\r\n"
    assert feed(interim).is_whole is False
    lines = feed(interim + STATUS + b"\r\n")
    assert (lines.is_whole, lines.framing) == (True, Framing.CONNECTION)


@pytest.mark.parametrize("begin", [b"", b"A: 1\r\n"])
def test_a_head_begins_without_its_status(begin):
    with pytest.raises(ValueError):
        feed(begin + b"\r\n")


def test_a_response_that_broke_off_in_a_line_is_whole():
    for size in range(len(STATUS + b"A: 1\r\n\r\n")):
        assert not feed((STATUS + b"A: 1\r\n\r\n")[:size]).is_whole


def test_a_head_without_end_is_accepted():
    lines = feed(STATUS)
    with pytest.raises(ValueError):
        for _ in range(MAX_HEAD_BYTES):
            lines.feed(b"A: 1\r\n")


@pytest.mark.parametrize(
    "line", [b": x", b"A : x", b"A: \x01", b"A", b"Content-Length: 1", b" A: 1"]
)
def test_a_spoilt_trailer_is_accepted(line):
    lines = feed(STATUS + b"Transfer-Encoding: chunked\r\n\r\n")
    assert lines.parse_trailer(b"A: 1\r\n") == [("A", "1")]
    with pytest.raises(ValueError):
        lines.parse_trailer(line + b"\r\n")
