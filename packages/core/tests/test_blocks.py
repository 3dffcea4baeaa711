from dataclasses import replace

import pytest
from hypothesis import given, settings, strategies as st
from persimmonferry_core.blocks import name_blocks, open_block, seal
from persimmonferry_core.codes import ResultCode
from persimmonferry_core.exceptions import StoreError
from persimmonferry_core.interfaces import StoredBlock

texts = st.text(alphabet="ab\0é\ud800", max_size=3)
scopes = st.tuples(st.sampled_from(["s1", "s2"]), texts, texts, texts)
prompts = st.lists(texts, max_size=9)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(scopes, scopes, prompts, prompts)
def test_names_are_equal_only_for_an_equal_account_scope_and_prefix(
    scope, other_scope, tokens, other_tokens
):
    names = name_blocks(*scope, tokens, block_tokens=2)
    other_names = name_blocks(*other_scope, other_tokens, block_tokens=2)
    assert len(names) == len(tokens) // 2
    for index, pair in enumerate(zip(names, other_names, strict=False)):
        end = 2 * index + 2
        same = scope == other_scope and tokens[:end] == other_tokens[:end]
        assert (pair[0] == pair[1]) is same


def test_changing_any_part_of_the_scope_changes_the_names():
    scopes = [("s", "m", "v", "a"), ("t", "m", "v", "a"), ("s", "n", "v", "a")]
    scopes += [("s", "m", "w", "a"), ("s", "m", "v", "b"), ("s", "mv", "", "a")]
    names = {name_blocks(*scope, ["x", "y"], block_tokens=2) for scope in scopes}
    names |= {name_blocks(*scopes[0], ["xy", ""], block_tokens=2)}
    names |= {name_blocks(*scopes[0], ["x"], block_tokens=1)}
    assert len(names) == len(scopes) + 2


def test_an_account_without_secret_gets_no_names():
    with pytest.raises(ValueError, match="no cache secret"):
        name_blocks("", "m", "v", "", ["a"] * 1000)


def test_a_sealed_block_opens_and_truncated_or_corrupted_ones_are_refused():
    name, data = "c-0-aa", b"cached keys and values"
    whole = StoredBlock(name, 1, True, seal(name, data))
    assert open_block(name, whole) == data
    damaged = [replace(whole, data=whole.data[:end]) for end in range(len(whole.data))]
    for index, byte in enumerate(whole.data):
        torn = whole.data[:index] + bytes([byte ^ 1]) + whole.data[index + 1 :]
        damaged.append(replace(whole, data=torn))
    damaged.append(replace(whole, data=whole.data + b"x"))
    damaged.append(replace(whole, committed=False))
    damaged.append(replace(whole, name="c-0-ab"))
    damaged.append(replace(whole, data=seal("c-0-ab", data)))
    for stored in damaged:
        with pytest.raises(StoreError) as caught:
            open_block(name, stored)
        assert caught.value.code is ResultCode.BLOCK_INVALID
