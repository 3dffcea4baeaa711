import asyncio

import pytest
from persimmonferry_core.deployment import UpstreamRecord
from persimmonferry_core.stream_origins import ServiceBuild
from persimmonferry_gateway.entry_questions import EntryQuestions

RECORD = UpstreamRecord(
    "u1", "s", "10.0.0.1:80", "z1", 8, False, 17, (("m1", 2),), "v2"
)
ITEM = ServiceBuild("s", "v2")
NAMES = ("g1", "g2", "g3")


class Gateways:
    """Gateways that exchange datagrams, of which some have no registry."""

    def __init__(self, cut_off=(), silent=(), unsettled=()):
        self._silent, self._unsettled = silent, unsettled
        self.members = {
            name: self._make(name, name not in cut_off) for name in ("g0", *NAMES)
        }

    def _make(self, name, responds):
        async def catch_up():
            return responds

        def find_record(upstream):
            is_known = upstream == RECORD.name and name not in self._unsettled
            return RECORD if is_known else None

        return EntryQuestions(
            name,
            lambda: NAMES,
            lambda news, names: [self._deliver(news, name, to) for to in names],
            lambda news, address: self._deliver(news, name, address[0]),
            catch_up,
            find_record,
            lambda item: (RECORD,) if item == ITEM else (),
        )

    def _deliver(self, news, sender, to):
        if to not in self._silent:
            self.members[to].receive(news, (sender, 0))


def ask(gateways, question):
    async def scenario():
        return await question(gateways.members["g0"])

    return asyncio.run(scenario())


@pytest.mark.parametrize("silent", [(), NAMES[:2]])
def test_another_gateway_states_an_entry_as_it_is(silent):
    gateways = Gateways(cut_off=("g0",), silent=silent)
    assert ask(gateways, lambda own: own.ask_record("u1")) == RECORD
    assert ask(gateways, lambda own: own.ask_record("u9")) is None
    assert ask(gateways, lambda own: own.ask_serving(ITEM)) == (RECORD,)


# What a gateway remembers may be older than what the one that asks knows.
@pytest.mark.parametrize(
    "trouble", [{"cut_off": NAMES}, {"silent": NAMES}, {"unsettled": NAMES}]
)
def test_gateways_without_the_registry_state_what_they_remember(trouble):
    gateways = Gateways(**trouble)
    assert ask(gateways, lambda own: own.ask_record("u1")) is None


def test_a_gateway_that_has_not_read_the_registry_ends_the_question():
    gateways = Gateways(cut_off=NAMES[:2])
    assert ask(gateways, lambda own: own.ask_record("u1")) == RECORD
