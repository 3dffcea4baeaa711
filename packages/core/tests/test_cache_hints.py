from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from persimmonferry_core.cache_hints import EVENT_GAP_TIMEOUT_S, EngineCacheHints
from persimmonferry_core.runs import CacheEvent, CacheEventKind

NAMES = ["a", "b"]
names = st.sampled_from(NAMES)


class LateGappyEvents(RuleBasedStateMachine):
    """An engine that publishes events late, loses some, and may restart."""

    def __init__(self):
        super().__init__()
        self.holdings = EngineCacheHints()
        self.now = 0.0
        self.start_engine()

    def start_engine(self):
        self.held = set()
        self.events = []
        self.lost = set()
        self.published = 0

    @rule(
        changes=st.lists(st.tuples(names, st.booleans()), min_size=1, max_size=6),
        late=st.integers(0, 2),
    )
    def change(self, changes, late):
        for name, lost in changes:
            held = name in self.held
            kind = CacheEventKind.REMOVED if held else CacheEventKind.STORED
            self.held ^= {name}
            sequence = len(self.events) + 1
            self.events.append(CacheEvent(sequence, kind, name))
            if lost:
                self.lost.add(sequence)
        self.published = max(self.published, len(self.events) - late)

    @rule()
    def publish_an_event_that_was_late(self):
        self.lost = set(sorted(self.lost)[1:])

    def read(self):
        return [
            event
            for event in self.events[self.holdings.cursor : self.published]
            if event.sequence not in self.lost
        ]

    @rule(step=st.sampled_from([0.1, 1.0, EVENT_GAP_TIMEOUT_S]))
    def poll(self, step):
        self.now += step
        self.holdings.apply(self.read(), self.now)

    @rule()
    def restart_the_engine(self):
        self.start_engine()
        self.holdings.reset()

    @invariant()
    def hints_are_as_true_as_the_events_up_to_the_cursor(self):
        held = set()
        for event in self.events[: self.holdings.cursor]:
            held ^= {event.block_name}
        hinted = {name for name in NAMES if self.holdings.count_prefix([name])}
        assert hinted <= held

    def teardown(self):
        """Once all events are published, polling reaches the last one."""
        self.published = len(self.events)
        for _ in range(4):
            self.poll(EVENT_GAP_TIMEOUT_S)
            self.hints_are_as_true_as_the_events_up_to_the_cursor()
        seen = [e.sequence for e in self.events if e.sequence not in self.lost]
        assert self.holdings.cursor == max(seen, default=0)


LateGappyEvents.TestCase.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=30, deadline=None
)
TestLateGappyEvents = LateGappyEvents.TestCase


def test_a_prefix_ends_at_the_first_block_that_is_not_cached():
    holdings = EngineCacheHints(max_names=2)
    stored = CacheEventKind.STORED
    events = [CacheEvent(i + 1, stored, name) for i, name in enumerate("abc")]
    holdings.apply(events, 0.0)
    assert holdings.count_prefix(["b", "c", "d"]) == 2
    assert holdings.count_prefix(["a", "b"]) == 0
