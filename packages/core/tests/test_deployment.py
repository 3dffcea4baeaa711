from persimmonferry_core.deployment import (
    AccountKeys,
    CallerLimits,
    CallKind,
    CallRoute,
    Deployment,
    WeightedTarget,
)


def make_route(name, prefix, kind=CallKind.STREAM, host="h", **changes):
    fields = {
        "timeout_s": 15.0,
        "objective_s": 1.0,
        "rank": 1,
        "targets": (WeightedTarget("s", 1.0),),
        "max_attempts": 1,
        "needs_key": True,
        "is_resumable": False,
        **changes,
    }
    return CallRoute(name, host, prefix, kind, **fields)


def make_deployment(*routes):
    accounts = (AccountKeys("a", frozenset(("k1", "k2")), None, False),)
    return Deployment(1, routes, (), (), CallerLimits(1, 1, 1.0, 1.0), accounts)


def test_the_longest_prefix_of_the_host_wins():
    short, long = make_route("short", "/a/"), make_route("long", "/a/b/")
    other = make_route("other", "/a/b/c/", host="other")
    deployment = make_deployment(short, long, other)
    assert deployment.find_route("h", "/a/b/c/d") is long
    assert deployment.find_route("h", "/a/x") is short
    assert deployment.find_route("h", "/a") is None
    assert deployment.find_route("unknown", "/a/") is None


def test_an_account_is_found_by_each_of_its_keys():
    deployment = make_deployment()
    assert deployment.find_account("k2").name == "a"
    assert deployment.find_account("k3") is None


def test_only_idempotent_and_resumable_calls_may_repeat():
    assert make_route("r", "/", CallKind.IDEMPOTENT).may_repeat
    assert not make_route("r", "/", CallKind.ONCE).may_repeat
    assert not make_route("r", "/").may_repeat
    assert make_route("r", "/", is_resumable=True).may_repeat


def test_what_resumes_streams_does_not_allow_a_call_to_run_twice():
    assert not make_route("r", "/", CallKind.ONCE, is_resumable=True).may_repeat


def test_the_silence_limit_of_a_stream_is_the_longest_of_three_bounds():
    assert make_route("r", "/", objective_s=0.1).silence_limit_s == 2.0
    assert make_route("r", "/", objective_s=1.0).silence_limit_s == 4.0
    assert make_route("r", "/", objective_s=0.4, gap_s=0.3).silence_limit_s == 2.4
    assert make_route("r", "/", CallKind.ONCE).silence_limit_s is None
