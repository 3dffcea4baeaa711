import asyncio
import logging

import pytest
from helpers import find_free_datagram_port
from persimmonferry_core.cache_stores import CacheStoreIndex, choose_watchers
from persimmonferry_core.deployment import CacheStore
from persimmonferry_core.dispatch import Dispatcher
from persimmonferry_core.schema import TeamDocument
from persimmonferry_core.topology import Address
from persimmonferry_gateway.clocks import read_boot_clock
from persimmonferry_gateway.exchange import CancellableClient
from persimmonferry_gateway.peers import PeerExchange
from persimmonferry_gateway.stores import StoreWatch
from persimmonferry_platform import PlatformDialect
from platform_standins import KeptStoreStandIn

GATEWAYS = 8
CALL_LIMIT = 4


class Member:
    """One gateway's view of the stores and its line to the others."""

    def __init__(self, name, client):
        self.name = name
        self.address = Address("127.0.0.1", find_free_datagram_port())
        self.kept = CacheStoreIndex()
        self.told = {}
        document = TeamDocument("", 0, (), (), (), ())
        self.peers = PeerExchange(
            name,
            1,
            self.address,
            Dispatcher(document, entry=name),
            lambda *_: None,
            lambda update: self.watch.take_update(update),
        )
        self.watch = StoreWatch(
            self.kept,
            PlatformDialect(),
            client,
            self.note,
            name,
            self.peers.list_alive,
            self.peers.announce_update,
        )

    def note(self, names, is_whole):
        self.told.update(dict.fromkeys(names, is_whole))

    def finds(self, part):
        return self.kept.find(part, read_boot_clock()) is not None

    async def stop(self):
        await self.watch.stop()
        self.peers.stop()


class Fleet:
    def __init__(self, call_limit):
        self.store = KeptStoreStandIn(call_limit=call_limit)
        client = CancellableClient()
        self.members = [Member(f"g{number}", client) for number in range(GATEWAYS)]

    async def start(self):
        self.store.start()
        addresses = {member.name: member.address for member in self.members}
        for member in self.members:
            member.peers.set_peers(addresses)
            member.peers.set_engines(("e1",))
            await member.peers.start()
        self.configure(self.store)

    def configure(self, store):
        """Tell all gateways where the store "s1" is."""
        limit = store.call_limit
        shape = CacheStore("s1", store.address, "z1", 100_000, 1e9, 0.0, limit)
        for member in self.members:
            member.watch.configure((shape,))

    async def stop(self):
        await asyncio.gather(*(member.stop() for member in self.members))
        await self.store.stop()

    async def wait_for_all(self, condition, timeout_s=9.0):
        async with asyncio.timeout(timeout_s):
            while not all(condition(member) for member in self.members):
                await asyncio.sleep(0.02)


@pytest.fixture
def play():
    def run(scene, call_limit=CALL_LIMIT):
        async def main():
            fleet = Fleet(call_limit)
            await fleet.start()
            try:
                await scene(fleet)
            finally:
                await fleet.stop()

        asyncio.run(main())

    return run


def test_all_learn_of_a_part_though_the_store_holds_few_calls(play):
    async def scene(fleet):
        fleet.store.keep("1", "aa", 100)
        await fleet.wait_for_all(lambda member: member.finds("1/aa"))
        fleet.store.keep("1", "bb", 100)
        await fleet.wait_for_all(lambda member: member.finds("1/bb"))
        refused = fleet.store.refused
        await asyncio.sleep(2.0)
        assert all(member.finds("1/bb") for member in fleet.members)
        assert fleet.store.refused == refused <= GATEWAYS
        assert fleet.store.lists <= 2 * GATEWAYS

    play(scene)


def test_nobody_names_what_a_restarted_store_has_lost(play):
    async def scene(fleet):
        fleet.store.keep("1", "aa", 100)
        await fleet.wait_for_all(lambda member: member.finds("1/aa"))
        fleet.store.restart()
        await fleet.wait_for_all(lambda member: not member.finds("1/aa"))
        await fleet.wait_for_all(lambda member: not member.told["1/aa"])
        fleet.store.keep("1", "bb", 100)
        await fleet.wait_for_all(lambda member: member.finds("1/bb"))

    play(scene)


def test_others_take_over_from_a_gateway_that_is_gone(play):
    async def scene(fleet):
        fleet.store.keep("1", "aa", 100)
        await fleet.wait_for_all(lambda member: member.finds("1/aa"))
        names = tuple(member.name for member in fleet.members)
        followers = choose_watchers("s1", names, CALL_LIMIT)
        gone = [member for member in fleet.members if member.name in followers]
        for member in gone:
            await member.stop()
            fleet.members.remove(member)
        fleet.store.keep("1", "bb", 100)
        await fleet.wait_for_all(lambda member: member.finds("1/bb"))

    play(scene)


def test_a_store_that_moved_is_followed_at_its_new_address(play):
    async def scene(fleet):
        fleet.store.keep("1", "aa", 100)
        await fleet.wait_for_all(lambda member: member.finds("1/aa"))
        moved = KeptStoreStandIn(call_limit=CALL_LIMIT)
        moved.start()
        moved.keep("1", "bb", 100)
        fleet.configure(moved)
        try:
            await fleet.wait_for_all(lambda member: member.finds("1/bb"))
            assert not any(member.finds("1/aa") for member in fleet.members)
            assert not any(member.told["1/aa"] for member in fleet.members)
        finally:
            await moved.stop()

    play(scene)


def test_a_store_is_told_lost_and_regained_once(play, caplog):
    async def scene(fleet):
        caplog.set_level(logging.INFO)
        fleet.store.keep("1", "aa", 100)
        await fleet.wait_for_all(lambda member: member.finds("1/aa"))
        await fleet.store.stop()
        await fleet.wait_for_all(lambda member: not member.finds("1/aa"))
        await asyncio.sleep(3.0)

    # No call is refused, so nothing but the stop loses the store.
    play(scene, call_limit=2 * GATEWAYS)
    events = [record.getMessage() for record in caplog.records]
    assert events.count("store regained") == GATEWAYS
    assert events.count("store lost") == GATEWAYS
