import asyncio

import pytest
from fakeregistry import FakeRegistry
from helpers import wait_until
from persimmonferry_gateway import registry_watch
from persimmonferry_gateway.clocks import read_boot_clock
from persimmonferry_gateway.registry_watch import WATCH_WAIT_S, RegistryWatch

# Between the reading of an answer and its application.
TOLERANCE_S = 0.01


class RecordedItems:
    def __init__(self):
        self.items = {}
        self.snapshots = 0
        self.restored = []
        self.contacts = []
        self.changed_s = 0.0

    def take(self, snapshot):
        self.snapshots += 1
        self.restored.append(snapshot.is_restored)
        self.items = {item.key: item.value for item in snapshot.items}

    def change(self, changes):
        self.changed_s = read_boot_clock()
        for item in changes.items:
            if item.value is None:
                self.items.pop(item.key, None)
            else:
                self.items[item.key] = item.value


def run_scenario(scenario):
    async def main():
        registry, recorded = FakeRegistry(), RecordedItems()
        registry.put("a", b"1")
        watch = RegistryWatch(
            registry, recorded.take, recorded.change, recorded.contacts.append
        )
        watch.start()
        try:
            await wait_until(lambda: recorded.items == {"a": b"1"})
            await scenario(registry, recorded, watch)
        finally:
            await watch.stop()

    asyncio.run(main())


def test_changes_and_removals_are_received_by_watches():
    async def scenario(registry, recorded, watch):
        registry.put("b", b"2")
        await wait_until(lambda: "b" in recorded.items)
        registry.put("a", None)
        await wait_until(lambda: recorded.items == {"b": b"2"})
        assert recorded.snapshots == 1

    run_scenario(scenario)


def test_items_are_listed_again_when_the_history_is_unavailable():
    async def scenario(registry, recorded, watch):
        registry.history.clear()
        registry.put("b", b"2")
        registry.history.clear()
        registry.oldest = registry.revision
        await wait_until(lambda: "b" in recorded.items)
        assert recorded.snapshots == 2

    run_scenario(scenario)


def test_loss_and_return_of_the_registry_are_notified():
    async def scenario(registry, recorded, watch):
        registry.is_unavailable = True
        await wait_until(lambda: recorded.contacts == [False])
        assert watch.measure_silence() < 5.0
        registry.is_unavailable = False
        registry.put("b", b"2")
        await wait_until(lambda: "b" in recorded.items)
        assert recorded.contacts == [False, True]

    run_scenario(scenario)


def test_heartbeats_are_batched_into_few_watch_calls():
    async def scenario(registry, recorded, watch):
        before = registry.calls.count("watch")
        for beat in range(50):
            registry.put("beat", str(beat).encode())
            await asyncio.sleep(0.02)
        assert registry.calls.count("watch") - before <= 8

    run_scenario(scenario)


# Items that an older copy lacks counted as removed for good.
def test_the_items_of_a_restored_registry_are_marked_and_read_once_more(monkeypatch):
    monkeypatch.setattr(registry_watch, "REREAD_AFTER_S", 0.1)

    async def scenario(registry, recorded, watch):
        registry.restore()
        await wait_until(lambda: recorded.snapshots == 2)
        registry.put("b", b"2")
        await wait_until(lambda: recorded.snapshots == 3)
        assert recorded.restored == [False, True, False]

    run_scenario(scenario)


# A rise that only the list after an outage showed was taken for none.
def test_a_rise_of_the_era_that_a_list_detects_is_marked():
    async def scenario(registry, recorded, watch):
        registry.oldest = registry.revision + 1
        registry.put("b", b"2")
        registry.era += 1
        await wait_until(lambda: recorded.snapshots == 2)
        assert recorded.restored == [False, True]

    run_scenario(scenario)


def test_two_rises_are_marked_one_after_the_other():
    async def scenario(registry, recorded, watch):
        for _ in range(2):
            before = recorded.snapshots
            registry.is_unavailable = True
            registry.restore()
            registry.restore()
            await asyncio.sleep(0.2)
            registry.is_unavailable = False
            await wait_until(lambda before=before: recorded.snapshots == before + 1)
        assert recorded.restored == [False, True, True]

    run_scenario(scenario)


# A change made during the outage came into force when the next watch had ended.
def test_the_first_watch_after_an_outage_does_not_wait():
    async def scenario(registry, recorded, watch):
        registry.is_unavailable = True
        await wait_until(lambda: recorded.contacts == [False])
        registry.is_unavailable = False
        await wait_until(lambda: recorded.contacts == [False, True], timeout_s=1.2)

    run_scenario(scenario)


# Changes made while an answer waited to be read were dated from its reading.
@pytest.mark.parametrize("call", ["list", "watch"])
def test_changes_made_while_an_answer_waits_are_as_old_as_its_call(call):
    async def scenario(registry, recorded, watch):
        if call == "list":
            registry.oldest = registry.revision + 1
        registry.delay_s = 0.6
        registry.put("b", b"2")
        await wait_until(lambda: registry.calls[-1] in ("list", "watch ends"))
        made_s = read_boot_clock()
        registry.put("c", b"3")
        await wait_until(lambda: "c" in recorded.items, timeout_s=4.0)
        assert watch.gap_s >= recorded.changed_s - made_s - TOLERANCE_S
        assert watch.measure_silence() >= registry.delay_s

    run_scenario(scenario)


def test_a_watch_without_changes_is_current_until_its_end():
    async def scenario(registry, recorded, watch):
        watches = registry.calls.count("watch ends")
        await wait_until(lambda: registry.calls.count("watch ends") > watches)
        await wait_until(lambda: watch.measure_silence() < WATCH_WAIT_S / 2)

    run_scenario(scenario)


# Between two watch calls, what has not been heard of was taken for what is not there.
def test_catching_up_returns_before_the_changes_are_applied():
    async def scenario(registry, recorded, watch):
        await wait_until(lambda: registry.calls.count("watch") == 1)
        registry.put("b", b"2")
        await wait_until(lambda: "b" in recorded.items)
        # The watch pauses now.
        registry.put("c", b"3")
        assert "c" not in recorded.items
        until_s = read_boot_clock()
        assert await watch.catch_up(until_s)
        assert recorded.items["c"] == b"3"
        assert until_s <= watch.current_s <= read_boot_clock()

    run_scenario(scenario)


@pytest.mark.parametrize("failure", ["is_unavailable", "is_silent"])
def test_catching_up_succeeds_without_the_registry(failure):
    async def scenario(registry, recorded, watch):
        match failure:
            case "is_unavailable":
                registry.is_unavailable = True
            case "is_silent":
                registry.delay_s = 60.0
        begun_s = read_boot_clock()
        assert not await watch.catch_up(begun_s)
        assert read_boot_clock() - begun_s < 2 * registry_watch.CATCH_UP_TIMEOUT_S

    run_scenario(scenario)


def test_a_late_answer_to_a_watch_takes_back_what_catching_up_has_applied():
    async def scenario(registry, recorded, watch):
        await wait_until(lambda: registry.calls.count("watch") == 1)
        registry.delay_s = 0.2
        registry.put("b", b"1")
        await wait_until(lambda: "watch ends" in registry.calls)
        registry.delay_s = 0.0
        registry.put("b", b"2")
        assert await watch.catch_up(read_boot_clock())
        assert recorded.items["b"] == b"2"
        await asyncio.sleep(0.3)
        assert recorded.items["b"] == b"2"

    run_scenario(scenario)


def test_many_that_catch_up_share_calls_to_the_registry():
    async def scenario(registry, recorded, watch):
        before = len(registry.calls)
        until_s = read_boot_clock()
        found = await asyncio.gather(*(watch.catch_up(until_s) for _ in range(50)))
        assert all(found)
        assert len(registry.calls) - before <= 4

    run_scenario(scenario)


# The call that waited for it was answered with an internal fault.
def test_an_answer_that_cannot_be_read_ends_the_call_that_catches_up():
    async def scenario(registry, recorded, watch):
        await wait_until(lambda: registry.calls.count("watch") == 1)

        async def watch_malformed(*arguments):
            raise ValueError("no storeRevision")

        registry.watch = watch_malformed
        assert not await watch.catch_up(read_boot_clock())

    run_scenario(scenario)
