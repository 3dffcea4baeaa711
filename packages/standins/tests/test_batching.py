from collections import Counter
from dataclasses import replace

from persimmonferry_core.runs import CacheEventKind, RunOrder
from persimmonferry_standins.batching import Batch, Rates
from persimmonferry_standins.cache import CacheLog, PrefixCache
from persimmonferry_standins.tokens import answer_tokens

ORDER = RunOrder(
    run_id="run",
    model="model",
    version="v1",
    adapter="",
    prompt="one two three four five six",
    max_tokens=4,
    priority=0,
    block_names=("a", "b", "c"),
    block_tokens=2,
)


class Bench:
    """A batch, the prefix cache that it uses, and the tokens that its runs emitted."""

    def __init__(self, slots=1, capacity=8):
        self.counters = Counter()
        self.log = CacheLog(0.0)
        self.cache = PrefixCache(capacity, self.log, self.counters)
        self.batch = Batch(Rates(slots, 100.0, 10.0), self.cache)
        self.tokens = {}
        self.done = []

    def submit(self, **changes):
        return self.batch.submit(replace(ORDER, **changes), self._emit)

    def advance(self, seconds):
        for _ in range(round(seconds * 20)):
            self.batch.advance(0.05, 0.0)

    def _emit(self, run, tokens, done):
        run_id = run.order.run_id
        self.tokens[run_id] = self.tokens.get(run_id, ()) + tokens
        if done:
            self.done.append(run_id)


def test_waiting_runs_start_by_priority_then_arrival():
    bench = Bench()
    bench.submit(run_id="first", priority=5)
    bench.advance(0.1)
    bench.submit(run_id="patient", priority=9)
    bench.submit(run_id="urgent", priority=1)
    bench.submit(run_id="urgent too", priority=1)
    bench.advance(5)
    assert bench.done == ["first", "urgent", "urgent too", "patient"]
    assert bench.tokens["urgent"] == answer_tokens(ORDER.prompt, "v1", 4)


def test_batched_runs_decode_concurrently_and_share_the_prefill_rate():
    bench = Bench(slots=2)
    prompt = " ".join(["word"] * 50)
    orders = [bench.submit(run_id=name, prompt=prompt) for name in "abc"]
    bench.advance(0.5)
    assert [run.prefilled for run in orders] == [True, False, False]
    bench.advance(0.5)
    assert bench.done == ["a"]
    bench.advance(0.5)
    assert bench.done == ["a", "b"]


def test_a_run_reuses_the_longest_cached_prefix_of_its_block_names():
    bench = Bench()
    bench.submit(run_id="first")
    bench.advance(1)
    other = bench.submit(run_id="other", block_names=("a", "x", "c"))
    bench.advance(1)
    same = bench.submit(run_id="same")
    bench.advance(1)
    assert (other.cached_tokens, same.cached_tokens) == (2, 6)
    assert bench.counters["wrong_block_hits"] == 0


def test_a_block_reused_for_another_prefix_version_or_adapter_is_counted():
    bench = Bench()
    bench.submit(run_id="first")
    bench.advance(1)
    bench.submit(run_id="prefix", prompt="ONE two three four five six")
    bench.submit(run_id="version", version="v2")
    bench.submit(run_id="adapter", adapter="notes")
    bench.advance(5)
    assert bench.counters["wrong_block_hits"] == 9


def test_the_least_recently_used_block_is_evicted_first_with_an_event():
    bench = Bench(capacity=3)
    for name in "abc":
        bench.cache.store(name, "", 0.0)
    assert bench.cache.use_prefix(("a",), ("",)) == 1
    bench.cache.store("d", "", 0.0)
    assert bench.cache.names == ("c", "a", "d")
    last = bench.log.read(4, 0.0)
    assert [(event.kind, event.block_name) for event in last] == [
        (CacheEventKind.REMOVED, "b")
    ]
