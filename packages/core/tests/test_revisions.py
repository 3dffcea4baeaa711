from persimmonferry_core.revisions import (
    Advanced,
    Change,
    ChangesUpdate,
    Gap,
    Replica,
    WholeUpdate,
    advance,
    compose_update,
    digest_text,
    make_delta,
)

TEXTS = [
    f"[team]\nname = {number}\n" + "[link a b]\n" + "# rose\n" * 99
    for number in range(4)
]


def make_change(revision):
    text = TEXTS[revision]
    delta = make_delta(TEXTS[revision - 1], text)
    return Change(revision, f"c{revision}", "demo", 0.0, "", digest_text(text), delta)


def test_changes_that_do_not_follow_the_replicas_revision_are_a_gap():
    outcome = advance(Replica(), WholeUpdate(make_change(1), TEXTS[1]))
    assert isinstance(outcome, Advanced)
    # The change replaces the section, so the digest alone would not reveal the gap.
    skipping = ChangesUpdate(2, (make_change(3),))
    assert isinstance(advance(outcome.replica, skipping), Gap)


def test_a_peer_gets_the_missing_changes_or_else_the_whole_text():
    replica = advance(Replica(), WholeUpdate(make_change(1), TEXTS[1])).replica
    longer = ChangesUpdate(1, (make_change(2), make_change(3)))
    replica = advance(replica, longer).replica
    assert compose_update(replica, 3) is None
    assert compose_update(replica, 2).changes == (make_change(3),)
    assert compose_update(replica, 0) == WholeUpdate(make_change(3), TEXTS[3])
