import asyncio
import logging

import pytest
from helpers import find_free_datagram_port, wait_until
from persimmonferry_core.cache_stores import CacheStoreIndex, choose_watchers
from persimmonferry_core.deployment import CacheStore
from persimmonferry_core.dispatch import Dispatcher
from persimmonferry_core.schema import TeamDocument
from persimmonferry_core.topology import Address
from persimmonferry_gateway.clocks import read_boot_clock
from persimmonferry_gateway.peers import PeerExchange
from persimmonferry_gateway.stores import StoreWatch
from persimmonferry_gateway.upstream_client import CancellableClient
from persimmonferry_platform import PlatformCodec
from persimmonferry_standins.repetition import RepeatingProxy, Repetition
from platform_standins import CacheStoreStandIn

GATEWAYS = 8
CALL_LIMIT = 4


class GatewayNode:
    """One gateway's store watch and peer exchange."""

    def __init__(self, name, client):
        self.name = name
        self.address = Address("127.0.0.1", find_free_datagram_port())
        self.kept = CacheStoreIndex()
        self.notified = {}
        document = TeamDocument("", 0, (), (), (), ())
        self.peers = PeerExchange(
            name,
            1,
            self.address,
            Dispatcher(document, entry=name),
            lambda *_: None,
            lambda update: self.watch.apply_update(update),
            lambda *_: False,
            lambda *_: None,
            lambda _: None,
            lambda *_: None,
            lambda *_: None,
        )
        self.watch = StoreWatch(
            self.kept,
            PlatformCodec(),
            client,
            self.note,
            name,
            self.peers.list_alive,
            self.peers.queue_update,
        )

    def note(self, names, is_whole):
        self.notified.update(dict.fromkeys(names, is_whole))

    def has_part(self, part):
        return self.kept.find(part, read_boot_clock()) is not None

    async def stop(self):
        await self.watch.stop()
        self.peers.stop()


class GatewayFleet:
    def __init__(self, call_limit):
        self.store = CacheStoreStandIn(call_limit=call_limit)
        client = CancellableClient()
        self.nodes = [GatewayNode(f"g{number}", client) for number in range(GATEWAYS)]

    async def start(self):
        self.store.start()
        addresses = {node.name: node.address for node in self.nodes}
        for node in self.nodes:
            node.peers.set_peers(addresses)
            node.peers.set_engines(("e1",))
            await node.peers.start()
        self.configure(self.store)

    def configure(self, store):
        """Configure the store "s1" at all gateways."""
        limit = store.call_limit
        shape = CacheStore("s1", store.address, "z1", 100_000, 1e9, 0.0, limit)
        for node in self.nodes:
            node.watch.configure((shape,))

    async def stop(self):
        await asyncio.gather(*(node.stop() for node in self.nodes))
        await self.store.stop()

    async def wait_for_all(self, condition, timeout_s=9.0):
        async with asyncio.timeout(timeout_s):
            while not all(condition(node) for node in self.nodes):
                await asyncio.sleep(0.02)


@pytest.fixture
def run_scenario():
    def run(scenario, call_limit=CALL_LIMIT):
        async def main():
            fleet = GatewayFleet(call_limit)
            await fleet.start()
            try:
                await scenario(fleet)
            finally:
                await fleet.stop()

        asyncio.run(main())

    return run


def test_all_gateways_receive_events_of_a_store_that_limits_calls(run_scenario):
    async def scenario(fleet):
        fleet.store.store_part("1", "aa", 100)
        await fleet.wait_for_all(lambda node: node.has_part("1/aa"))
        fleet.store.store_part("1", "bb", 100)
        await fleet.wait_for_all(lambda node: node.has_part("1/bb"))
        refused = fleet.store.refused
        await asyncio.sleep(2.0)
        assert all(node.has_part("1/bb") for node in fleet.nodes)
        assert fleet.store.refused == refused <= GATEWAYS
        assert fleet.store.lists <= 2 * GATEWAYS

    run_scenario(scenario)


def test_all_gateways_drop_the_parts_of_a_restarted_store(run_scenario):
    async def scenario(fleet):
        fleet.store.store_part("1", "aa", 100)
        await fleet.wait_for_all(lambda node: node.has_part("1/aa"))
        fleet.store.restart()
        await fleet.wait_for_all(lambda node: not node.has_part("1/aa"))
        await fleet.wait_for_all(lambda node: not node.notified["1/aa"])
        fleet.store.store_part("1", "bb", 100)
        await fleet.wait_for_all(lambda node: node.has_part("1/bb"))

    run_scenario(scenario)


def test_other_gateways_watch_a_store_when_its_watchers_stop(run_scenario):
    async def scenario(fleet):
        fleet.store.store_part("1", "aa", 100)
        await fleet.wait_for_all(lambda node: node.has_part("1/aa"))
        names = tuple(node.name for node in fleet.nodes)
        watchers = choose_watchers("s1", names, CALL_LIMIT)
        gone = [node for node in fleet.nodes if node.name in watchers]
        for node in gone:
            await node.stop()
            fleet.nodes.remove(node)
        fleet.store.store_part("1", "bb", 100)
        await fleet.wait_for_all(lambda node: node.has_part("1/bb"))

    run_scenario(scenario)


def test_a_store_that_moved_is_watched_at_its_new_address(run_scenario):
    async def scenario(fleet):
        fleet.store.store_part("1", "aa", 100)
        await fleet.wait_for_all(lambda node: node.has_part("1/aa"))
        moved = CacheStoreStandIn(call_limit=CALL_LIMIT)
        moved.start()
        moved.store_part("1", "bb", 100)
        fleet.configure(moved)
        try:
            await fleet.wait_for_all(lambda node: node.has_part("1/bb"))
            assert not any(node.has_part("1/aa") for node in fleet.nodes)
            assert not any(node.notified["1/aa"] for node in fleet.nodes)
        finally:
            await moved.stop()

    run_scenario(scenario)


def test_loss_and_return_of_a_store_are_logged_once(run_scenario, caplog):
    async def scenario(fleet):
        caplog.set_level(logging.INFO)
        fleet.store.store_part("1", "aa", 100)
        await fleet.wait_for_all(lambda node: node.has_part("1/aa"))
        await fleet.store.stop()
        await fleet.wait_for_all(lambda node: not node.has_part("1/aa"))
        await asyncio.sleep(3.0)

    # The store refuses no call, so only its stop makes it unreachable.
    run_scenario(scenario, call_limit=2 * GATEWAYS)
    events = [record.getMessage() for record in caplog.records]
    assert events.count("store reachable") == GATEWAYS
    assert events.count("store unreachable") == GATEWAYS


class RepeatedStore:
    """
    A store whose answers are sent twice, watched by one gateway.

    :param part: of the requests whose answers are sent twice.
    """

    def __init__(self, repetition, part):
        self._part = part
        self.answered_s = 0.0
        self.store = CacheStoreStandIn()
        self.proxy = RepeatingProxy(self.store.address, repetition, self._check)
        self.node = GatewayNode("g1", CancellableClient(force_instance=True))

    @property
    def view(self):
        return self.node.kept.views["s1"]

    def _check(self, request):
        self.answered_s = read_boot_clock()
        return self._part in request

    async def start(self):
        self.store.start()
        await self.proxy.start()
        self.node.peers.set_peers({"g1": self.node.address})
        await self.node.peers.start()
        shape = CacheStore("s1", self.proxy.address, "z1", 100_000, 1e9, 0.0, 4)
        self.node.watch.configure((shape,))

    async def stop(self):
        await self.node.stop()
        await self.proxy.stop()
        await self.store.stop()


@pytest.fixture(params=Repetition)
def run_repeated(request):
    """Run a coroutine with a store whose answers to some requests are sent twice."""

    def run(scenario, part):
        async def main():
            fleet = RepeatedStore(request.param, part)
            await fleet.start()
            try:
                fleet.store.store_part("1", "aa", 100)
                await wait_until(lambda: fleet.node.has_part("1/aa"))
                await scenario(fleet)
            finally:
                await fleet.stop()

        asyncio.run(main())

    return run


# A view was in use that the store had not confirmed since.
@pytest.mark.parametrize("part", [b"kv-events", b"kv-list"])
def test_a_repeated_answer_does_not_confirm_a_view(run_repeated, part):
    async def scenario(fleet):
        end_s = read_boot_clock() + 2.5
        while read_boot_clock() < end_s:
            assert fleet.view.confirmed_s <= fleet.answered_s
            await asyncio.sleep(0.002)

    run_repeated(scenario, part)


def test_the_parts_of_a_store_that_repeats_answers_stay_in_use(run_repeated):
    async def scenario(fleet):
        end_s = read_boot_clock() + 3.0
        while read_boot_clock() < end_s:
            assert fleet.node.has_part("1/aa")
            await asyncio.sleep(0.02)
        fleet.store.store_part("1", "bb", 100)
        await wait_until(lambda: fleet.node.has_part("1/bb"), 1.2)
        fleet.store.free_part("1", "aa")
        await wait_until(lambda: not fleet.node.has_part("1/aa"), 1.2)

    run_repeated(scenario, b"kv-events")


# The view was dropped when the answer was taken for events.
def test_the_repeated_answer_to_a_call_that_frees_parts_is_ignored(run_repeated):
    async def scenario(fleet):
        await wait_until(fleet.node.watch.find_fetch_deadline)
        await fleet.node.watch.free_obsolete(lambda name: name == "1/aa")
        await wait_until(lambda: not fleet.view.parts)
        await asyncio.sleep(1.5)
        assert fleet.store.lists == 1

    run_repeated(scenario, b"kv-free")
