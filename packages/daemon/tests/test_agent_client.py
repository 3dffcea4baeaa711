"""Frames of a streamed answer that are lost, duplicated, reordered or mixed up."""

import asyncio

from hypothesis import given, settings, strategies as st
from persimmonferry_adapters.http_client import RequestFailure
from persimmonferry_core.exceptions import FerryError, NotRun, OutcomeUnknown
from persimmonferry_core.runs import RunEnd
from persimmonferry_core.topology import Address
from persimmonferry_daemon.agent_client import AgentClient, AnswerStream
from persimmonferry_standins import open_session
from persimmonferry_standins.heads import SOUND_HEADS, SPOILT_HEADS
from persimmonferry_standins.raw import RawAnswer, RawServer
from persimmonferry_wire import PeerClient, encode_frame
from persimmonferry_wire.generated.runs.ttypes import (
    EndMark,
    Failure,
    RunFrame,
    RunRequest,
)

RIGHT = [f" word{index}" for index in range(8)]
FOREIGN = [f" other{index}" for index in range(8)]
END = EndMark("v1", len(RIGHT), 3, 0, "length", 0, 0, 0.0)


def make_frames(run_id, tokens, sizes, delivered):
    frames = []
    index = delivered
    for size in sizes:
        frames.append(RunFrame(run_id, index, tokens[index : index + size]))
        index = min(len(tokens), index + size)
    frames.append(RunFrame(run_id, index, tokens[index:], end=END))
    return frames


async def receive(data_parts, delivered, end):
    """Feed parts of a stream; return what was delivered and how it ended."""
    request = RunRequest(run_id="mine", delivered=RIGHT[:delivered])
    tokens = list(RIGHT[:delivered])
    answer = AnswerStream(request, tokens.extend)
    for part in data_parts:
        answer.feed(part)
    exchange = asyncio.get_running_loop().create_future()
    exchange.set_result(end)
    answer.close(exchange)
    try:
        return tokens, await answer.wait()
    except FerryError as error:
        return tokens, error


@settings(derandomize=True, max_examples=400, deadline=None)
@given(
    sizes=st.lists(st.integers(0, 4), max_size=6),
    delivered=st.integers(0, 8),
    damage=st.lists(
        st.tuples(
            st.sampled_from(["drop", "double", "cross", "swap"]), st.integers(0, 9)
        ),
        max_size=3,
    ),
    cut=st.integers(0, 2000),
    chunk=st.integers(1, 200),
    end=st.sampled_from(
        [
            RequestFailure.CONNECTION_LOST,
            RequestFailure.TIMED_OUT,
            RequestFailure.TRUNCATED,
            None,
        ]
    ),
)
def test_only_the_whole_right_answer_counts_as_whole(
    sizes, delivered, damage, cut, chunk, end
):
    frames = make_frames("mine", RIGHT, sizes, delivered)
    foreign = make_frames("other", FOREIGN, sizes, delivered)
    for kind, place in damage:
        place %= max(1, len(frames))
        match kind:
            case "drop" if frames:
                del frames[place]
            case "double" if frames:
                frames.insert(place, frames[place])
            case "cross":
                frames.insert(place, foreign[place % len(foreign)])
            case "swap" if frames:
                frames.insert(0, frames.pop(place))
    stream = b"".join(encode_frame(frame) for frame in frames)[:cut]
    parts = [stream[start : start + chunk] for start in range(0, len(stream), chunk)]
    tokens, ending = asyncio.run(receive(parts, delivered, end))
    assert tokens == RIGHT[: len(tokens)]
    if isinstance(ending, FerryError):
        assert isinstance(ending, OutcomeUnknown)
    else:
        assert tokens == RIGHT
        assert ending.run_id == "mine"


def test_an_end_mark_of_another_length_is_not_whole():
    for total in (len(RIGHT) - 1, len(RIGHT) + 1):
        end = EndMark("v1", total, 3, 0, "length", 0, 0, 0.0)
        frame = RunFrame("mine", 0, RIGHT, end=end)
        _, ending = asyncio.run(receive([encode_frame(frame)], 0, None))
        assert isinstance(ending, OutcomeUnknown)


def test_a_refusal_before_the_first_token_says_not_run():
    frame = RunFrame("mine", 0, [], failure=Failure(2011, "agent", 0.5))
    tokens, ending = asyncio.run(receive([encode_frame(frame)], 0, None))
    assert tokens == []
    assert isinstance(ending, NotRun)


def test_a_connection_that_was_refused_says_not_run():
    _, ending = asyncio.run(receive([], 0, RequestFailure.NOT_SENT))
    assert isinstance(ending, NotRun)


async def run_at_agent(head):
    """Return how a run ends whose answer has this head, and what was delivered."""
    frames = make_frames("mine", RIGHT, [4], 0)
    body = b"".join(encode_frame(frame) for frame in frames)
    server = RawServer(lambda request: RawAnswer(head.encode(body)))
    await server.start()
    tokens = []
    async with open_session() as client:
        agent = AgentClient(client, PeerClient(client))
        request = RunRequest(run_id="mine", delivered=[])
        address = Address("127.0.0.1", server.port)
        try:
            end = await agent.run(address, request, tokens.extend)
        except FerryError as error:
            end = error
    await server.stop()
    return type(end), tokens


# An agent's answer with a line that is no field was relayed.
def test_a_run_with_a_spoilt_head_is_relayed():
    async def scenario():
        return [await run_at_agent(head) for head in SPOILT_HEADS.values()]

    found = asyncio.run(asyncio.wait_for(scenario(), 30))
    assert found == [(OutcomeUnknown, [])] * len(SPOILT_HEADS)


def test_a_run_with_a_sound_head_is_refused():
    head = SOUND_HEADS["chunks in other letters"]
    assert asyncio.run(run_at_agent(head)) == (RunEnd, RIGHT)
