import pytest
from persimmonferry_gateway.answer_identity import Mismatch, find_mismatch
from persimmonferry_gateway.interfaces import ResponseHead


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
