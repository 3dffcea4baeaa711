import asyncio

from helpers import find_free_datagram_port, wait_until
from persimmonferry_core.admission import PromptRequest
from persimmonferry_core.cache_stores import PartEvent, StoreUpdate
from persimmonferry_core.dispatch import Dispatcher
from persimmonferry_core.quarantine import Crash
from persimmonferry_core.returns import ReturnPromise
from persimmonferry_core.schema import Service, ServiceKind, TeamDocument, Tier
from persimmonferry_core.topology import Address
from persimmonferry_core.upstreams import PeerWork, UpstreamReport
from persimmonferry_core.upstreams.limits import LimitNotice
from persimmonferry_core.upstreams.subsets import UpstreamSubsets
from persimmonferry_gateway.clocks import read_boot_clock
from persimmonferry_gateway.peers import (
    LIMIT_INTERVAL_S,
    LOADING_EXPIRY_INTERVALS,
    LOADING_INTERVAL_S,
    PEER_TIMEOUT_S,
    PeerExchange,
)
from persimmonferry_wire.generated.peers.ttypes import WantedWeights, WeightsNews

REPORT = UpstreamReport(
    "u0", 1, 1, "z1", "s", "m", "1", 0, 0, 0, 8, 0.0, 100.0, memory_tokens=100_000
)


def make_dispatcher(entry):
    service = Service("s", ServiceKind.MODEL, "m", "1", slots_per_upstream=8)
    document = TeamDocument("", 1, (service,), (Tier("t", 1.0, 0, 0),), (), ())
    dispatcher = Dispatcher(document, entry=entry)
    dispatcher.report(REPORT, 0.0)
    return dispatcher


class PeerNode:
    def __init__(self, name, incarnation=1):
        self.address = Address("127.0.0.1", find_free_datagram_port())
        self.dispatcher = make_dispatcher(name)
        self.versions = {}
        self.updates = []
        self.crashes = []
        self.streams = []
        self.entries = []
        self.weights = []
        self.exchange = PeerExchange(
            name,
            incarnation,
            self.address,
            self.dispatcher,
            lambda upstream, version, _: self.versions.update({upstream: version}),
            self.updates.append,
            self.record_limit,
            lambda *news: self.crashes.append(news),
            lambda news, _: self.streams.append(news),
            lambda *news: self.weights.append(news),
            lambda *news: self.entries.append(news),
        )

    def record_limit(self, notice, sender):
        now = asyncio.get_running_loop().time()
        return self.dispatcher.availability.limits.record(notice, now)

    def state_limit(self, calls_per_s, *, is_changed):
        """Receive an answer of the engine that states a limit, or none."""
        notice = LimitNotice("u0", 1, calls_per_s, asyncio.get_running_loop().time())
        assert self.record_limit(notice, "its answer")
        self.exchange.announce_limit(notice, is_changed=is_changed)

    def has_limit(self, calls_per_s):
        return self.dispatcher.availability.limits.find("u0") == calls_per_s

    def offer(self, name, tokens):
        request = PromptRequest(
            name, "a", "t", "s", tokens, 10, 0.0, caller_deadline_s=9.0
        )
        self.dispatcher.offer(request, 0.0)
        return len(self.dispatcher.assign(0.0))


def run_scenario(scenario):
    async def main():
        nodes = (PeerNode("g1"), PeerNode("g2"))
        addresses = {"g1": nodes[0].address, "g2": nodes[1].address}
        for node in nodes:
            node.exchange.set_peers(addresses)
            node.exchange.set_engines(("u0",))
            await node.exchange.start()
        try:
            await scenario(*nodes)
        finally:
            for node in nodes:
                node.exchange.stop()

    asyncio.run(main())


def test_work_of_a_peer_counts_against_the_capacity_of_an_engine():
    async def scenario(one, other):
        assert one.offer("r1", 60_000) == 1
        await asyncio.sleep(0.2)
        assert other.offer("r2", 60_000) == 0
        one.dispatcher.cancel("r1", 0.3)
        await wait_until(lambda: len(other.dispatcher.assign(0.4)) == 1)

    run_scenario(scenario)


# One error in a periodic message was the last thing that the others heard.
def test_an_error_in_one_message_ends_all_later_ones(monkeypatch):
    async def scenario(one, other):
        failures = []

        def fail(now):
            failures.append(now)
            raise OverflowError("unforeseen")

        with monkeypatch.context() as patch:
            patch.setattr(one.dispatcher, "summarise_own_work", fail)
            await wait_until(lambda: len(failures) >= 2)
        assert one.offer("r1", 60_000) == 1
        await asyncio.sleep(0.2)
        assert other.offer("r2", 60_000) == 0

    run_scenario(scenario)


def test_work_is_sent_together_with_new_blocks_of_the_same_engine():
    async def scenario(one, other):
        assert one.offer("r1", 60_000) == 1
        one.exchange.queue_held("u0", ("1/a",), (500,))
        await wait_until(lambda: other.dispatcher.count_cached_tokens("u0") == 500)
        # No later message repeats the work.
        one.exchange.stop()
        assert other.offer("r2", 60_000) == 0

    run_scenario(scenario)


def test_a_caller_that_one_gateway_refused_is_known_at_another_when_it_returns():
    async def scenario(one, other):
        now = asyncio.get_running_loop().time()
        one.exchange.announce_return(ReturnPromise(-7, now + 0.3, now + 9.0))
        promises = other.dispatcher.promises
        await wait_until(lambda: promises.added)
        assert not promises.take(-7, now + 0.1)
        assert promises.take(-7, now + 0.5)

    run_scenario(scenario)


def test_a_changed_limit_and_its_end_are_sent_at_once():
    async def scenario(one, other):
        one.state_limit(1.5, is_changed=True)
        await wait_until(lambda: other.has_limit(1.5), timeout_s=0.3)
        other.state_limit(2.5, is_changed=True)
        await wait_until(lambda: one.has_limit(2.5), timeout_s=0.3)
        one.state_limit(None, is_changed=True)
        await wait_until(lambda: other.has_limit(None), timeout_s=0.3)

    run_scenario(scenario)


def test_a_limit_is_sent_again_after_its_first_message_was_lost():
    async def scenario(one, other):
        # The first repetition has nothing to announce yet.
        await asyncio.sleep(0.1)
        one.state_limit(1.5, is_changed=False)
        await asyncio.sleep(0.1)
        assert other.has_limit(None)
        await wait_until(lambda: other.has_limit(1.5), LIMIT_INTERVAL_S + 0.3)
        one.state_limit(None, is_changed=False)
        await wait_until(lambda: other.has_limit(None), LIMIT_INTERVAL_S + 0.3)

    run_scenario(scenario)


def test_only_the_gateway_with_the_newest_notice_repeats_it():
    async def scenario(one, other):
        one.state_limit(1.5, is_changed=True)
        await wait_until(lambda: other.has_limit(1.5))
        other.state_limit(1.5, is_changed=True)
        await asyncio.sleep(0.1)
        sent = []
        one.exchange._send = lambda data, names: sent.append(data)
        one.exchange._repeat_limits()
        assert sent == []

    run_scenario(scenario)


def test_work_of_a_silent_peer_expires():
    async def scenario(one, other):
        one.offer("r1", 60_000)
        await asyncio.sleep(0.2)
        one.exchange.stop()
        assert other.offer("r2", 60_000) == 0
        await wait_until(lambda: len(other.dispatcher.assign(1.0)) == 1)

    run_scenario(scenario)


def test_new_blocks_loading_engines_and_versions_are_sent():
    async def scenario(one, other):
        one.exchange.queue_held("u0", ("1/a",), (500,))
        one.exchange.announce_loading(frozenset(("u0",)), {"u0": 2}, is_leader=True)
        await wait_until(lambda: other.dispatcher.count_cached_tokens("u0") == 500)
        await wait_until(lambda: other.versions == {"u0": 2})
        assert other.offer("r1", 100) == 0
        assert read_boot_clock() - other.exchange.find_last_loading() < 1.0
        one.exchange.announce_loading(frozenset(), {"u0": 2}, is_leader=True)
        await asyncio.sleep(0.3)
        assert other.offer("r2", 100) == 1

    run_scenario(scenario)


def test_malformed_messages_change_nothing():
    async def scenario(one, other):
        for data in (b"", b"\xff" * 40, b"\x00"):
            other.exchange.datagram_received(data, ("127.0.0.1", 1))
        assert other.offer("r1", 100) == 1

    run_scenario(scenario)


def test_large_store_updates_are_received_completely():
    async def scenario(one, other):
        events = tuple(PartEvent(f"1/{number:x}", number, True) for number in range(90))
        one.exchange.queue_update(StoreUpdate("s1", "h:1", 7, 2.5, events))
        one.exchange.queue_update(StoreUpdate("s2", "h:2", 8, 2.6, ()))
        await wait_until(lambda: len(other.updates) >= 4)
        received = [event for item in other.updates for event in item.events]
        assert tuple(received) == events
        assert {
            (item.store, item.address, item.epoch, item.clock_s)
            for item in other.updates
        } == {
            ("s1", "h:1", 7, 2.5),
            ("s2", "h:2", 8, 2.6),
        }

    run_scenario(scenario)


def test_a_gateway_without_work_is_alive_until_it_stops():
    async def scenario(one, other):
        await asyncio.sleep(PEER_TIMEOUT_S + 0.5)
        assert set(one.exchange.list_alive()) == {"g1", "g2"}
        other.exchange.stop()
        await wait_until(lambda: one.exchange.list_alive() == ("g1",))

    run_scenario(scenario)


def test_loading_engines_are_released_when_the_leader_falls_silent():
    async def scenario(one, other):
        one.exchange.announce_loading(frozenset(("u0",)), {}, is_leader=True)
        await asyncio.sleep(0.2)
        assert other.offer("r1", 100) == 0
        one.exchange.stop()
        limit_s = (LOADING_EXPIRY_INTERVALS + 2) * LOADING_INTERVAL_S
        await wait_until(lambda: other.offer("r1", 100) == 1, limit_s)

    run_scenario(scenario)


def test_work_is_sent_only_to_gateways_that_use_the_engine():
    """With 60 gateways and 40 engines, each gateway uses only some of the engines."""

    async def main():
        names = [f"g{number}" for number in range(60)]
        engines = tuple(f"u{number}" for number in range(40))
        node = PeerNode("g0")
        groups = UpstreamSubsets("g0")
        groups.set_entries(names)
        groups.set_upstreams(engines)
        sent = []
        exchange = node.exchange
        exchange.set_peers({name: Address("127.0.0.1", 9) for name in names})
        exchange.set_engines(engines)
        exchange._send = lambda data, users: sent.append(frozenset(users))
        assert not exchange.announces_every_dispatch
        engine = next(iter(groups.subset))
        exchange.announce_started({engine: PeerWork(1, 100, ((0, 100),))})
        assert sent == [groups.list_users(engine)]
        assert len(sent[0]) < len(names) / 2

    asyncio.run(main())


def test_a_dispatch_is_announced_before_the_next_periodic_message():
    async def scenario(one, other):
        one.exchange.set_peers({"g2": other.address})
        await asyncio.sleep(0.1)
        # No periodic message with all work is sent any more.
        one.exchange._timers["work"].cancel()
        assert one.offer("r1", 60_000) == 1
        work = one.dispatcher.summarise_own_work(0.0)
        one.exchange.announce_started(work)
        await asyncio.sleep(0.1)
        assert other.offer("r2", 60_000) == 0

    run_scenario(scenario)


def test_a_crash_is_sent_again_after_its_first_message_was_lost():
    async def scenario(one, other):
        # The first repetition has nothing to announce yet.
        await asyncio.sleep(0.1)
        now = asyncio.get_running_loop().time()
        crash = Crash("u1", 4, frozenset((-7, 8)), now)
        one.exchange.announce_crash(crash)
        await wait_until(lambda: other.crashes, timeout_s=0.3)
        other.crashes.clear()
        await wait_until(lambda: other.crashes, LIMIT_INTERVAL_S + 0.3)
        ((received,), sound, sender) = other.crashes[0]
        assert (received.upstream, received.incarnation) == ("u1", 4)
        assert received.parts == crash.parts
        assert abs(received.lost_s - now) < 0.1
        assert (sound, sender) == (frozenset(), "g1")
        one.exchange.announce_sound(frozenset((8,)))
        await wait_until(lambda: other.crashes[-1][:2] == ((), frozenset((8,))))

    run_scenario(scenario)


# Load pattern: an upstream is lost with a hundred calls, which others then answer.
def test_crashes_and_answers_at_the_same_time_share_datagrams():
    async def scenario(one, other):
        now = asyncio.get_running_loop().time()
        crashes = [Crash("u1", 4, frozenset((part,)), now) for part in range(100)]
        for crash in crashes:
            one.exchange.announce_crash(crash)
        await wait_until(lambda: sum(len(news[0]) for news in other.crashes) == 100)
        assert len(other.crashes) <= 10
        other.crashes.clear()
        for crash in crashes:
            one.exchange.announce_sound(crash.parts)
        await wait_until(lambda: sum(len(news[1]) for news in other.crashes) == 100)
        assert len(other.crashes) == 1
        assert not one.exchange._own_crashes

    run_scenario(scenario)


def test_a_gateway_that_is_not_listed_is_answered_about_weights():
    async def scenario(first, second):
        first.exchange.set_peers({"g1": first.address})
        second.exchange.send_weights(WeightsNews("g2", 5, True, []), ["g1"])
        await wait_until(lambda: first.weights)
        news, address = first.weights[0]
        assert (news.question, address[1]) == (5, second.address.port)
        wanted = [WantedWeights("m1", 3, 1500)]
        first.exchange.reply_weights(WeightsNews("g1", 5, False, wanted), address)
        await wait_until(lambda: second.weights)
        assert second.weights[0][0].wanted == wanted

    run_scenario(scenario)
