import time

import pytest
from persimmonferry_gateway.answer_identity import (
    AnswerFinder,
    Mismatch,
    find_mismatch,
)
from persimmonferry_gateway.interfaces import ResponseHead
from persimmonferry_platform import PlatformCodec

FINDER = AnswerFinder(PlatformCodec().decode_response_head)
LINE = b"HTTP/1.1 200 OK"


@pytest.mark.parametrize(
    ("call_id", "status", "is_genuine", "expected"),
    [
        ("a", 200, True, None),
        ("a", 500, False, None),
        ("b", 200, True, Mismatch.OTHER_CALL),
        ("A", 503, False, Mismatch.OTHER_CALL),
        ("", 503, False, Mismatch.OTHER_CALL),
        (None, 200, True, Mismatch.NO_CALL_ID),
        (None, 503, False, Mismatch.NO_CALL_ID),
        ("a", 200, False, Mismatch.NO_SEAL),
        ("a", 299, False, Mismatch.NO_SEAL),
    ],
)
def test_mismatch_of_an_answer_to_call_a(call_id, status, is_genuine, expected):
    head = ResponseHead(status, "", (), call_id, False, is_genuine)
    assert find_mismatch(head, "a") is expected


# The gateway stood still for 17 s on 136 kB; the time grew with the square of the size.
@pytest.mark.parametrize(
    "content",
    [
        (LINE + b"; ") * 8_000 + b"\n",
        (LINE + b"\r\na: ") * 8_000 + b"\n",
        (LINE + b"\r\n") * 8_000 + b"\n",
        LINE + b"\r\n" + b"a" * 136_000 + b"\n",
    ],
)
@pytest.mark.parametrize("is_framed", [True, False])
def test_the_search_in_a_large_body_blocks_all_calls(content, is_framed):
    begin_s = time.process_time()
    FINDER.has_answer(content, is_framed=is_framed)
    assert time.process_time() - begin_s < 1.0


@pytest.mark.parametrize(
    ("content", "framed", "unframed"),
    [
        (b"", False, False),
        (b"own", False, False),
        # The begin of a second answer may fill up the length of one that was cut.
        (LINE, True, True),
        (b"own" + LINE + b"\r\nDate: to", True, True),
        (b"own" + LINE + b"\r\nRequest-Id: o", True, True),
        (LINE + b"\r\nRequest-Id: o\r\n\r\nown", True, True),
        (LINE + b"\r\nResponse-Seal: o\r\n\r\nown", True, True),
        (LINE + b"\r\nDate: today\r\n\r\nown", False, True),
        (LINE + b"\r\nA: 1" + LINE + b"\r\nRequest-Id: o\r\n\r\n", True, True),
        (LINE + b"\nDate: today\n\n", False, False),
        (b'{"log": "' + LINE + b'"}', False, False),
        (b"said " + LINE + b": all is well.", False, False),
        (LINE + b"\r\nRequest-Id is a field\r\n", False, False),
        (LINE + b"\r\nwords\r\n" + LINE + b"\r\nRequest-Id: o\r\n\r\n", True, True),
    ],
)
def test_other_answers_in_content(content, framed, unframed):
    assert FINDER.has_answer(content) is framed
    assert FINDER.has_answer(content, is_framed=False) is unframed
