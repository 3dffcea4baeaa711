import random

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from persimmonferry_core.limits import BURST_S, LEASE_S, AccountLimiter
from persimmonferry_core.schema import Limits

ENTRIES = ("e0", "e1", "e2")
RATE = 10.0
CONCURRENCY = 6


class LimitMachine(RuleBasedStateMachine):
    """Messages are delayed, lost, duplicated and reordered; entries are partitioned."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.books = {name: AccountLimiter(name) for name in ENTRIES}
        for book in self.books.values():
            book.set_entries(ENTRIES)
            book.set_limits("a", Limits(requests_per_s=RATE), self.now)
        self.mail = []
        self.admitted = []

    @rule(seconds=st.floats(0.01, 3.0))
    def advance(self, seconds):
        self.now += seconds

    @rule(name=st.sampled_from(ENTRIES), count=st.integers(1, 30))
    def demand(self, name, count):
        for _ in range(count):
            if self.books[name].admit("a", 1, self.now) is None:
                self.admitted.append(self.now)

    @rule(name=st.sampled_from(ENTRIES))
    def ask(self, name):
        self.mail += self.books[name].make_loan_requests(self.now)

    @precondition(lambda self: self.mail)
    @rule(data=st.data(), again=st.booleans())
    def deliver(self, data, again):
        index = data.draw(st.integers(0, len(self.mail) - 1))
        target, message = self.mail[index] if again else self.mail.pop(index)
        if hasattr(message, "asker"):
            answer = self.books[target].lend(message, self.now)
            if answer is not None:
                self.mail.append((message.asker, answer))
        else:
            self.books[target].apply_grant(message, self.now)

    @precondition(lambda self: self.mail)
    @rule()
    def lose(self):
        self.mail.clear()

    @invariant()
    def shares_never_exceed_the_limit(self):
        shares = [book.find_share("a", self.now) for book in self.books.values()]
        assert sum(shares) <= 1.0 + 1e-9

    @invariant()
    def admitted_requests_stay_within_the_documented_bound(self):
        extra = RATE * BURST_S + len(ENTRIES)
        for index, start in enumerate(self.admitted):
            count = len(self.admitted) - index
            assert count <= RATE * (self.now - start) + extra + 1e-6


LimitMachine.TestCase.settings = settings(
    derandomize=True, max_examples=80, stateful_step_count=50, deadline=None
)
TestLimits = LimitMachine.TestCase


def make_books(limits):
    books = {name: AccountLimiter(name) for name in ENTRIES}
    for book in books.values():
        book.set_entries(ENTRIES)
        book.set_limits("a", limits, 0.0)
    return books


def exchange(books, now, names=ENTRIES):
    for name in names:
        for peer, ask in books[name].make_loan_requests(now):
            if peer in names:
                grant = books[peer].lend(ask, now)
                if grant is not None:
                    books[name].apply_grant(grant, now)


def test_one_busy_entry_gets_nearly_the_whole_limit_until_it_is_partitioned():
    books = make_books(Limits(requests_per_s=RATE))
    generator = random.Random(1)
    admitted = {"joined": 0, "cut": 0}
    for step in range(2000):
        now = step * 0.02
        cut = now >= 20.0
        exchange(books, now, ("e0",) if cut else ENTRIES)
        if generator.random() < 0.8 and books["e0"].admit("a", 1, now) is None:
            if 10.0 <= now < 20.0:
                admitted["joined"] += 1
            if now >= 20.0 + LEASE_S + BURST_S:
                admitted["cut"] += 1
    assert admitted["joined"] >= 0.9 * RATE * 10.0
    assert admitted["cut"] <= RATE / 3 * (20.0 - LEASE_S - BURST_S) + 1


def test_the_concurrency_limit_holds_and_shifts_to_the_busy_entry():
    books = make_books(Limits(concurrency=CONCURRENCY))
    running = 0
    for step in range(100):
        exchange(books, step * 0.1)
        if books["e1"].admit("a", 100, step * 0.1) is None:
            running += 1
        assert running <= CONCURRENCY
    assert running >= CONCURRENCY - 1


def test_a_smaller_second_loan_does_not_free_the_first_before_it_expires():
    books = make_books(Limits(requests_per_s=RATE))
    for wanted_now, demand in ((0.0, 30), (1.0, 0)):
        for _ in range(demand):
            books["e0"].admit("a", 1, wanted_now)
        if demand:
            exchange(books, wanted_now)
    # The demand of e0 has fallen, so it requests a smaller loan; the grant is lost.
    later = 2.0
    ask = dict(books["e0"].make_loan_requests(later))["e1"]
    books["e1"].lend(ask, later)
    for _ in range(60):
        books["e2"].admit("a", 1, later)
    exchange(books, later, ("e1", "e2"))
    shares = [book.find_share("a", later) for book in books.values()]
    assert sum(shares) <= 1.0 + 1e-9


def test_moving_a_share_between_entries_grants_no_extra_burst():
    books = make_books(Limits(requests_per_s=RATE))
    admitted = 0
    duration_s = 120.0
    now = 0.0
    while now < duration_s:
        busy = ENTRIES[int(now / (LEASE_S + 1.0)) % 3]
        while books[busy].admit("a", 1, now) is None:
            admitted += 1
        exchange(books, now)
        now += 0.1
    assert admitted <= RATE * (duration_s + BURST_S) + len(ENTRIES)


def test_loan_requests_of_an_earlier_incarnation_are_ignored():
    books = make_books(Limits(requests_per_s=RATE))
    restarted = AccountLimiter("e0", first_sequence=1 << 32)
    restarted.set_entries(ENTRIES)
    restarted.set_limits("a", Limits(requests_per_s=RATE), 0.0)
    for book in (books["e0"], restarted):
        for _ in range(40):
            book.admit("a", 1, 0.0)
    old = dict(books["e0"].make_loan_requests(1.0))["e1"]
    new = dict(restarted.make_loan_requests(1.0))["e1"]
    assert books["e1"].lend(new, 1.0) is not None
    assert books["e1"].lend(old, 1.0) is None


def test_a_lender_accrues_no_tokens_for_the_share_it_lent():
    books = make_books(Limits(requests_per_s=30.0))
    for _ in range(60):
        books["e0"].admit("a", 1, 0.0)
    for step in range(3):
        exchange(books, 1.0 + step)
        for _ in range(60):
            books["e0"].admit("a", 1, 1.0 + step)
    assert books["e1"].find_share("a", 3.0) < 0.1
    lapsed = 3.0 + LEASE_S + 0.001
    assert books["e1"].find_share("a", lapsed) > 0.3
    admitted = [books["e1"].admit("a", 1, lapsed) is None for _ in range(10)]
    assert sum(admitted) <= 1 + 30.0 / 3 * BURST_S / 4


def test_no_share_is_requested_of_a_peer_without_unmet_demand():
    book = AccountLimiter("e0", 0)
    book.set_entries(("e0", "e1"))
    book.set_limits("a", Limits(requests_per_s=10.0), 0.0)
    assert book._compute_wanted_share("e1", book._accounts["a"], 3.0) == 0.0
