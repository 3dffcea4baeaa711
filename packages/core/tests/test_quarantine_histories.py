"""Random histories of crashes at many entries, with lost messages and other crashes."""

import heapq
import itertools
import random

import pytest
from persimmonferry_core.quarantine import Crash, Quarantine

# The bounds of the users' rules BUDGET and LOST, for parts and for whole calls.
CRASHES = 5
CALL_CRASHES = 3
CONTACT_S = 3.0
ALLOWED_LATER_PROMPTS = 3
MIN_BEGUN_SHARE = 0.5
DURATION_S = 60.0
REPETITIONS = 6
BAD_PARTS = (1, 2)
COMMON_PARTS = (3, 4)
# Fingerprint of a call that crashes upstreams, and of sound ones that come again.
DEADLY = 5
SOUND_CALLS = range(200, 240)


class History:
    """
    Entries that exchange reports over lossy links.

    One entry is frozen for some seconds: it decides nothing and applies its messages
    once it is resumed. Another one restarts without its state.
    """

    def __init__(self, seed, entries):
        self.draw = random.Random(seed)
        self.names = [f"e{number}" for number in range(entries)]
        self.quarantines = [self.start(name) for name in self.names]
        self.loss = self.draw.choice((0.0, 0.1, 0.4))
        self.frozen = self.draw.randrange(entries)
        self.frozen_s = self.draw.uniform(5.0, 15.0)
        self.resumed_s = self.frozen_s + self.draw.choice((3.0, 8.0))
        self.restart_s = self.draw.uniform(10.0, 50.0)
        self.sent_bad = {part: [] for part in (*BAD_PARTS, DEADLY)}
        self.crashed = {part: [] for part in (*BAD_PARTS, DEADLY)}
        self.sound = []
        self.sound_calls = []
        self.reporters = {}
        self._events = []
        self._order = itertools.count()
        self._upstreams = itertools.count()

    def start(self, name):
        quarantine = Quarantine(name)
        quarantine.set_entries(self.names)
        return quarantine

    def at(self, when_s, act, *arguments):
        heapq.heappush(self._events, (when_s, next(self._order), act, arguments))

    def run(self, prompts_per_s):
        self.at(self.restart_s, self.restart)
        now = 0.0
        while now < DURATION_S:
            now += self.draw.expovariate(prompts_per_s)
            self.at(now, self.send)
            self.at(now, self.send_call)
        while self._events:
            now, _, act, arguments = heapq.heappop(self._events)
            act(now, *arguments)

    def restart(self, now):
        index = self.draw.randrange(len(self.names))
        stored = self.quarantines[index].list_quarantined()
        self.quarantines[index] = self.start(self.names[index])
        for item in stored:
            self.quarantines[index].restore(item, now)

    def send(self, now):
        index = self.draw.randrange(len(self.names))
        if index == self.frozen and self.frozen_s <= now < self.resumed_s:
            return
        cause = self.draw.choice(BAD_PARTS)
        common = COMMON_PARTS[cause - 1]
        subject = self.draw.randrange(100, 140)
        bad = self.draw.random() < 0.06
        parts = frozenset((common, 10 + cause, cause) if bad else (common, subject))
        is_sent = self.quarantines[index].find_wait(parts, now) is None
        if not bad:
            self.sound.append((now, is_sent))
        if not is_sent:
            return
        self.quarantines[index].record_sent(parts, now)
        if bad:
            self.sent_bad[cause].append(now)
        is_lost = bad or self.draw.random() < 0.005
        answered_s = now + self.draw.uniform(0.1, 0.6)
        self.at(answered_s, self.answer, index, parts, is_lost, cause if bad else None)

    def send_call(self, now):
        """Send a call without a prompt; some crash their upstream with others on it."""
        index = self.draw.randrange(len(self.names))
        if index == self.frozen and self.frozen_s <= now < self.resumed_s:
            return
        is_deadly = self.draw.random() < 0.06
        fingerprint = DEADLY if is_deadly else self.draw.choice(SOUND_CALLS)
        parts = frozenset((fingerprint,))
        is_sent = self.quarantines[index].find_wait(parts, now) is None
        if not is_deadly:
            self.sound_calls.append((now, is_sent))
        if not is_sent:
            return
        self.quarantines[index].record_sent(parts, now)
        answered_s = now + self.draw.uniform(0.02, 0.1)
        if not is_deadly:
            is_lost = self.draw.random() < 0.02
            self.at(answered_s, self.answer, index, parts, is_lost, None)
            return
        self.sent_bad[DEADLY].append(now)
        self.at(answered_s, self.answer, index, parts, True, DEADLY)
        for _ in range(5):
            index = self.draw.randrange(len(self.names))
            parts = frozenset((self.draw.choice(SOUND_CALLS),))
            self.at(answered_s, self.answer, index, parts, True, None)

    def answer(self, now, index, parts, is_lost, cause):
        if not is_lost:
            sound = self.quarantines[index].record_answer(parts, now)
            if sound:
                self.announce(now, index, sound)
            return
        if cause is not None:
            self.crashed[cause].append(now)
        lost = Crash(f"u{next(self._upstreams)}", 1, parts, now)
        crash = self.quarantines[index].drop_answered(lost)
        if not self.quarantines[index].record_crash(crash, now):
            return
        self.reporters[crash] = index
        for other in range(len(self.names)):
            arrivals = (
                now + 0.01 + repetition
                for repetition in range(REPETITIONS)
                if self.draw.random() >= self.loss
            )
            for arrival_s in arrivals:
                self.at(self.delay(other, arrival_s), self.receive, other, crash)

    def announce(self, now, sender, sound):
        for other in range(len(self.names)):
            if other != sender and self.draw.random() >= self.loss:
                arrival_s = self.delay(other, now + 0.01)
                self.at(arrival_s, self.apply_sound, other, sound)

    def delay(self, index, arrival_s):
        is_frozen = self.frozen_s <= arrival_s < self.resumed_s
        return self.resumed_s if index == self.frozen and is_frozen else arrival_s

    def receive(self, now, index, crash):
        if index != self.reporters[crash]:
            self.quarantines[index].record_crash(crash, now)

    def apply_sound(self, now, index, sound):
        self.quarantines[index].record_sound(sound, now)


@pytest.mark.parametrize("entries", [1, 5, 22, 68])
@pytest.mark.parametrize("seed", range(6))
def test_random_histories_keep_the_bounds(entries, seed):
    history = History(seed, entries)
    history.run(prompts_per_s=15.0 + entries)
    for cause, crashed_s in history.crashed.items():
        crashes = CALL_CRASHES if cause == DEADLY else CRASHES
        if len(crashed_s) >= crashes:
            bound_s = crashed_s[crashes - 1] + CONTACT_S
            later = [at_s for at_s in history.sent_bad[cause] if at_s > bound_s]
            assert len(later) <= ALLOWED_LATER_PROMPTS
    for sound in (history.sound, history.sound_calls):
        later = [is_sent for at_s, is_sent in sound if at_s > 2 * CONTACT_S]
        assert sum(later) / len(later) >= MIN_BEGUN_SHARE
