from persimmonferry_core.held_bytes import HeldBytes, Place
from persimmonferry_core.returns import ReturnPromise, ReturnPromises
from persimmonferry_core.room import Resource
from persimmonferry_gateway.metrics import CallMetrics, GatewayFigures


def test_outcomes_attempts_limits_and_latencies_are_printed():
    memory = HeldBytes()
    memory.add(Place.UNREAD, 70)
    memory.add(Place.UNREAD, -50)
    memory.add(Place.REQUEST, 30)
    promises = ReturnPromises()
    promises.add(ReturnPromise(7, 3.0, 9.0), 1.0)
    figures = GatewayFigures(
        registry_calls={"kv-watch": 3},
        limits={"e1": 2.5},
        limit_shares={"e1": 0.5},
        quarantined={"00ff": 2},
        retries={"plain": (4, 1)},
        closures={"rate_spent": 2},
        ceilings={"e1": 9},
        cold={"e1": 1.26},
        evacuated=frozenset(("z2",)),
        slowness={"e1": 1.5},
        paces={"e1": 4},
        room={"llm": {Resource.PREFILL: 0.5, Resource.MEMORY: 0.125}},
        promises=promises,
        held_bytes=memory,
        callers={'requests_not_received{code="2030"}': 6},
    )
    metrics = CallMetrics(lambda: figures)
    metrics.record("t1", "ask", "answered", 1, 0, (), 0.1, 0.3)
    metrics.record("t1", "ask", "answered", 2, 1, ("sent",), 0.2, 0.4)
    metrics.record("t1", "ask", "wait_not_kept", 0, 0, (), None, 0.01)
    lines = metrics.render_text().splitlines()
    assert 'calls{route="ask",outcome="answered"} 2' in lines
    assert 'room_free_share{service="llm",resource="memory"} 0.125' in lines
    assert 'room_binds{service="llm",resource="memory"} 1' in lines
    assert 'room_binds{service="llm",resource="prefill"} 0' in lines
    assert {"returns_promised 1", "returns_kept 0"} <= set(lines)
    assert 'calls{route="ask",outcome="wait_not_kept"} 1' in lines
    assert "attempts 3" in lines
    assert "limited_attempts 1" in lines
    assert 'upstream_limit_calls_per_s{upstream="e1"} 2.5' in lines
    assert 'upstream_limit_own_calls_per_s{upstream="e1"} 0.5' in lines
    assert 'upstream_slowness{upstream="e1"} 1.5' in lines
    assert 'upstream_pace{upstream="e1"} 4' in lines
    assert 'lost_attempts{progress="sent"} 1' in lines
    assert 'quarantined_parts{parts="00ff"} 2' in lines
    assert 'retries{service="plain"} 4' in lines
    assert 'retries_refused{service="plain"} 1' in lines
    assert 'upstreams_closed{reason="rate_spent"} 2' in lines
    assert 'upstream_ceiling_calls{upstream="e1"} 9' in lines
    assert 'upstream_cold_s{upstream="e1"} 1.3' in lines
    assert 'evacuated{failure_domain="z2"} 1' in lines
    assert 'answer_bytes{place="unread"} 20' in lines
    assert 'answer_bytes_most{place="unread"} 70' in lines
    assert "request_bytes 30" in lines
    assert "request_bytes_most 30" in lines
    assert 'requests_not_received{code="2030"} 6' in lines
    assert 'registry_calls{kind="kv-watch"} 3' in lines
    assert 'first_token_ms_count{account="t1",route="ask"} 2' in lines
    assert 'whole_answer_ms_count{account="t1",route="ask"} 3' in lines
