import pytest
from persimmonferry_wire import FrameReader, decode, encode, encode_frame
from persimmonferry_wire.generated.runs.ttypes import RunFrame


def test_frames_are_decoded_for_any_chunking():
    frames = [RunFrame("a", 0, ["rose"]), RunFrame("a", 1, ["tulip", "iris"])]
    stream = b"".join(encode_frame(frame) for frame in frames)
    for cut in range(len(stream)):
        reader = FrameReader(RunFrame)
        received = [*reader.feed(stream[:cut]), *reader.feed(stream[cut:])]
        assert received == frames


def test_decode_of_invalid_bytes_raises_value_error():
    with pytest.raises(ValueError, match="not a RunFrame"):
        decode(RunFrame, b"\x99\x99\x99")


def test_struct_round_trip():
    frame = RunFrame("run", 3, ["çiçek", "vise"])
    assert decode(RunFrame, encode(frame)) == frame
