import pytest
from persimmonferry_wire import FrameReader, decode, encode, encode_frame
from persimmonferry_wire.generated.runs.ttypes import RunFrame


def test_frames_come_out_whole_for_every_cut_of_the_stream():
    frames = [RunFrame("a", 0, ["rose"]), RunFrame("a", 1, ["tulip", "iris"])]
    stream = b"".join(encode_frame(frame) for frame in frames)
    for cut in range(len(stream)):
        reader = FrameReader(RunFrame)
        received = [*reader.feed(stream[:cut]), *reader.feed(stream[cut:])]
        assert received == frames


def test_bytes_of_another_kind_are_refused():
    with pytest.raises(ValueError, match="not a RunFrame"):
        decode(RunFrame, b"\x99\x99\x99")


def test_a_struct_survives_the_round_trip():
    frame = RunFrame("run", 3, ["çiçek", "vise"])
    assert decode(RunFrame, encode(frame)) == frame
