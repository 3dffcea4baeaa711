from dataclasses import replace

import pytest
from persimmonferry_core.configuration_check import check_deployment, check_document
from persimmonferry_core.configuration_findings import (
    Changed,
    Contradiction,
    Duplicate,
    Ineffective,
    NotNewer,
    Presence,
    Severity,
    Shadowed,
    SharedKey,
    Unknown,
    Unmatchable,
    Unreadable,
    describe_finding,
    encode_finding,
    find_severity,
    has_errors,
)
from persimmonferry_core.deployment import (
    AccountKeys,
    CallerLimits,
    CallKind,
    CallRoute,
    Deployment,
    EngineCapacity,
    UpstreamService,
    WeightedTarget,
)
from persimmonferry_core.schema import (
    ClientAccount,
    Limits,
    Service,
    ServiceKind,
    TeamDocument,
    Tier,
)

ROUTE = CallRoute(
    "r", "h", "/a/", CallKind.STREAM, 5.0, 1.0, 0, (WeightedTarget("s", 1.0),), 2, True,
    True,
)  # fmt: skip
PLAIN, ENGINE = UpstreamService("s", None), EngineCapacity(8, 100, 1.0, ("m",))
ACCOUNT = AccountKeys("a", frozenset(("k1",)), None, False)
KEYLESS = replace(ACCOUNT, keys=frozenset())
SOUND = Deployment(3, (ROUTE,), (PLAIN,), (), CallerLimits(99, 9, 1.0, 1.0), (ACCOUNT,))


def list_kinds(**changes):
    return [type(each) for each in check_deployment(replace(SOUND, **changes))]


def change_route(**changes):
    return {"routes": (replace(ROUTE, **changes),)}


def change_engine(**changes):
    return {"services": (UpstreamService("s", replace(ENGINE, **changes)),)}


def test_a_sound_deployment_has_no_findings():
    assert check_deployment(SOUND, None, 10) == ()
    assert check_deployment(SOUND, replace(SOUND, version=2), 10) == ()


@pytest.mark.parametrize(
    ("changes", "kinds"),
    [
        ({"routes": (ROUTE, replace(ROUTE, name="q"))}, [Shadowed]),
        ({"routes": (ROUTE, replace(ROUTE, prefix="/a/b/"))}, [Duplicate]),
        ({"accounts": (ACCOUNT, replace(ACCOUNT, name="b"))}, [SharedKey]),
        ({"accounts": (KEYLESS,)}, [Ineffective, Unmatchable]),
        ({"services": (PLAIN, UpstreamService("t", None))}, [Ineffective]),
        ({"limits": CallerLimits(0, 9, 1.0, 1.0)}, [Contradiction]),
        (change_route(host="h:80"), [Unmatchable]),
        (change_route(prefix="a/"), [Unmatchable]),
        (change_route(prefix="/a"), [Contradiction]),
        (change_route(timeout_s=0.5), [Contradiction]),
        (change_route(timeout_s=0.0), [Contradiction]),
        (change_route(gap_s=6.0), [Contradiction]),
        (change_route(kind=CallKind.ONCE), [Ineffective]),
        (change_route(needs_key=False), [Ineffective]),
        (change_route(targets=(WeightedTarget("s", 0.0),)), [Contradiction]),
        (change_route(targets=ROUTE.targets * 2), [Contradiction]),
        (change_engine(), []),
        (change_engine(models=()), [Unmatchable]),
        (change_engine(slots=0), [Contradiction]),
        (change_engine(cache_tokens=0), [Contradiction]),
    ],
)  # fmt: skip
def test_what_is_wrong_is_found(changes, kinds):
    assert list_kinds(**changes) == kinds


def test_each_service_of_a_split_is_checked():
    targets = tuple(
        WeightedTarget(name, weight)
        for name, weight in (("s", 1.0), ("engines", 0.0), ("gone", 1.0))
    )
    changes = change_route(targets=targets)
    services = (PLAIN, UpstreamService("engines", ENGINE))
    found = check_deployment(replace(SOUND, services=services, **changes))
    assert [type(each) for each in found] == [Unknown, Ineffective, Contradiction]
    assert found[0] == Unknown("route r", "service", "gone")


def test_bodies_must_fit_the_memory_of_a_gateway():
    (finding,) = check_deployment(SOUND, None, 8)
    assert find_severity(finding) is Severity.ERROR
    assert "9 bytes exceed" in describe_finding(finding)


def test_differences_name_what_was_added_removed_and_changed_but_no_key():
    later = replace(
        SOUND,
        version=3,
        routes=(replace(ROUTE, timeout_s=6.0), replace(ROUTE, name="n", prefix="/n/")),
        accounts=(replace(ACCOUNT, keys=frozenset(("secret", "k1"))),),
        limits=replace(SOUND.limits, body_bytes=10),
    )
    found = check_deployment(later, SOUND)
    assert found == (
        NotNewer(3, 3),
        Changed("route r", Presence.CHANGED, ("timeout_s 5 -> 6",)),
        Changed("route n", Presence.ADDED),
        Changed("account a", Presence.CHANGED, ("keys: 1 added, 0 removed",)),
        Changed("limits", Presence.CHANGED, ("body_bytes 9 -> 10",)),
    )
    removed = check_deployment(replace(SOUND, version=4), later)
    assert Changed("route n", Presence.REMOVED) in removed
    assert not has_errors(removed)
    assert "secret" not in str([encode_finding(each) for each in found])


def test_a_document_is_searched_for_parts_without_effect():
    service = Service("s", ServiceKind.MODEL, safe_paths=("/x",))
    tiers = (Tier("fast", 1.0, 1.0, 2.0), Tier("slow", 9.0, 3.0, 1.0))
    account = ClientAccount("a", ("d",), "c", 1.0, (), Limits(9.0, 3.0))
    document = TeamDocument("t", 1, (service,), tiers, (account,), ())
    found = check_document(document)
    kinds = [Unmatchable, Ineffective, Contradiction, Ineffective, Contradiction]
    assert [type(each) for each in found] == kinds
    renamed = replace(
        document, team="u", accounts=(replace(account, cache_secret="e"),)
    )
    differences = check_document(renamed, document)[len(found) :]
    changed = Changed("account a", Presence.CHANGED, ("cache_secret differs",))
    assert [type(each) for each in differences] == [Contradiction, Changed]
    assert differences[1] == changed


def test_an_unreadable_configuration_is_an_error():
    assert has_errors([Unreadable("not valid JSON")])
    assert encode_finding(Unreadable("x"))["fields"] == {"cause": "x"}
