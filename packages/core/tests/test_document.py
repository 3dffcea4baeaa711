from pathlib import Path

import hypothesis.strategies as st
import pytest
from hypothesis import given, settings
from persimmonferry_core.accounts import (
    find_account,
    find_operator,
    hash_key,
    rotate_key,
)
from persimmonferry_core.document import format_document, parse_document
from persimmonferry_core.exceptions import ConfigurationFaulty

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"

FAULTY = """
[team]
name = somebody
[service notes]
kind = model
model = m
slots_per_upstream = many
fenced = perhaps
colour = red
[service orders]
kind = plain
model = m
[tier urgent]
promised_wait_s = nan
price_per_1k_tokens = 1
cached_price_per_1k_tokens = 0
[tier dear]
promised_wait_s = 1
price_per_1k_tokens = 1
cached_price_per_1k_tokens = 2
[account a]
key_digests = {digest}
cache_secret = {secret}
services = orders, nowhere
[account b]
key_digests = {digest}
cache_secret = {secret}
services = orders
[account B]
key_digests = short
cache_secret = 00
services = orders
[link x x]
latency_s = 1
bytes_per_s = 0
[DEFAULT]
weight = 9
[account a]
weight = 2
"""


def read_example(team):
    return (EXAMPLES / f"{team}.ini").read_text()


@pytest.mark.parametrize("team", ["kovanci", "abrazadera"])
def test_a_formatted_example_parses_to_the_same_document(team):
    document = parse_document(read_example(team), team, 7)
    assert parse_document(format_document(document), team, 7) == document
    assert len(document.accounts) == 10
    for account in document.accounts:
        assert find_account(document, f"demo-key-{account.name}") == account
    assert find_operator(document, "demo-operator-key").name == "demo"


def test_every_fault_is_listed_with_its_section_and_key():
    text = FAULTY.format(digest="ab" * 32, secret="cd" * 16)
    with pytest.raises(ConfigurationFaulty) as caught:
        parse_document(text, "kovanci")
    listed = "\n".join(caught.value.faults)
    for expected in (
        "[account a]: defined twice",
        "[DEFAULT]: no such kind of section",
        "[team] name: must be kovanci",
        "[service notes] slots_per_upstream: must be a number",
        "[service notes] fenced: must be yes or no",
        "[service notes] colour: no such key",
        "[service orders] model: is for services of kind model",
        "[tier urgent] promised_wait_s: must be above 0",
        "[tier dear] cached_price_per_1k_tokens: must not be above",
        "[account a] services: no service nowhere",
        "[account b] key_digests: [account a] has the same key",
        "[account b] cache_secret: [account a] has the same secret",
        "[account B]: 'B' is not a name",
        "[account B] key_digests: must be hex",
        "[account B] cache_secret: must be at least 32",
        "[link x x] bytes_per_s: must be above 0",
        "[operator]: the document has no such section",
    ):
        assert expected in listed


@pytest.mark.parametrize("text", ["", "loose = 1", "[team\nname", "[team]\n???"])
def test_text_that_is_no_document_is_refused_as_faulty(text):
    with pytest.raises(ConfigurationFaulty):
        parse_document(text, "kovanci")


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    position=st.integers(0, 5000),
    cut=st.integers(0, 30),
    text=st.text("[]=: \n\t\x0c\r#;aé0\u2028", max_size=8),
)
def test_any_text_is_a_document_or_is_refused_as_faulty(position, cut, text):
    whole = read_example("kovanci")
    changed = whole[:position] + text + whole[position + cut :]
    try:
        document = parse_document(changed, "kovanci")
    except ConfigurationFaulty as error:
        assert all(error.faults)
    else:
        assert parse_document(format_document(document), "kovanci") == document


def test_two_keys_are_valid_during_a_rotation_and_the_third_drops_the_first():
    document = parse_document(read_example("kovanci"), "kovanci")
    account = document.accounts[0]
    second = rotate_key(account, "second")
    assert second.key_digests == (*account.key_digests, hash_key("second"))
    third = rotate_key(second, "third")
    assert third.key_digests == (hash_key("second"), hash_key("third"))
    assert rotate_key(third, "third") == third
