import asyncio

from fakeregistry import FakeRegistry
from helpers import wait_until
from persimmonferry_gateway.mirror import Mirror


class Copy:
    def __init__(self):
        self.items = {}
        self.snapshots = 0
        self.contacts = []

    def take(self, snapshot):
        self.snapshots += 1
        self.items = {item.key: item.value for item in snapshot.items}

    def change(self, changes):
        for item in changes.items:
            if item.value is None:
                self.items.pop(item.key, None)
            else:
                self.items[item.key] = item.value


def play(scene):
    async def main():
        registry, copy = FakeRegistry(), Copy()
        registry.put("a", b"1")
        mirror = Mirror(registry, copy.take, copy.change, copy.contacts.append)
        mirror.start()
        try:
            await wait_until(lambda: copy.items == {"a": b"1"})
            await scene(registry, copy, mirror)
        finally:
            await mirror.stop()

    asyncio.run(main())


def test_changes_and_removals_are_followed_by_watches():
    async def scene(registry, copy, mirror):
        registry.put("b", b"2")
        await wait_until(lambda: "b" in copy.items)
        registry.put("a", None)
        await wait_until(lambda: copy.items == {"b": b"2"})
        assert copy.snapshots == 1

    play(scene)


def test_a_lost_history_is_made_up_for_by_a_list():
    async def scene(registry, copy, mirror):
        registry.history.clear()
        registry.put("b", b"2")
        registry.history.clear()
        registry.oldest = registry.revision
        await wait_until(lambda: "b" in copy.items)
        assert copy.snapshots == 2

    play(scene)


def test_contact_is_told_when_it_is_lost_and_found_again():
    async def scene(registry, copy, mirror):
        registry.is_away = True
        await wait_until(lambda: copy.contacts == [False])
        assert mirror.measure_silence() < 5.0
        registry.is_away = False
        registry.put("b", b"2")
        await wait_until(lambda: "b" in copy.items)
        assert copy.contacts == [False, True]

    play(scene)


def test_heartbeats_do_not_make_a_call_each():
    async def scene(registry, copy, mirror):
        before = registry.calls.count("watch")
        for beat in range(50):
            registry.put("beat", str(beat).encode())
            await asyncio.sleep(0.02)
        assert registry.calls.count("watch") - before <= 8

    play(scene)
