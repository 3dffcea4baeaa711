import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from persimmonferry_core.schema import Tier
from persimmonferry_core.usage import UsageMeter

TIERS = (Tier("door", 1.0, 4.0, 0.4), Tier("dawn", 60.0, 0.5, 0.05))


class UsageMachine(RuleBasedStateMachine):
    """The platform stores each batch by its id; its replies may be lost."""

    def __init__(self):
        super().__init__()
        self.meter = UsageMeter("e0-1")
        self.charged = {}
        self.written = {}

    @rule(
        number=st.integers(0, 40),
        account=st.sampled_from("ab"),
        tier=st.sampled_from(TIERS),
        prompt=st.integers(1, 5000),
        cached=st.integers(0, 6000),
        generated=st.integers(0, 300),
    )
    def charge(self, number, account, tier, prompt, cached, generated):
        price = self.meter.charge(
            f"r{number}", account, tier, prompt, cached, generated
        )
        if number in self.charged:
            assert price == 0.0
            return
        self.charged[number] = (prompt + generated, price)
        assert price <= (prompt + generated) * tier.price_per_1k_tokens / 1000 + 1e-9

    @rule(outcome=st.sampled_from(("written", "answer lost", "not written")))
    def write(self, outcome):
        batch = self.meter.open_batch()
        if batch is None or outcome == "not written":
            return
        assert self.written.get(batch.batch_id, batch) == batch
        self.written[batch.batch_id] = batch
        if outcome == "written":
            self.meter.confirm(batch.batch_id)

    @precondition(lambda self: self.written)
    @rule()
    def confirm_late(self):
        self.meter.confirm(next(iter(self.written)))

    @invariant()
    def written_batches_hold_no_charge_twice(self):
        lines = [line for batch in self.written.values() for line in batch.lines]
        tokens = sum(
            x.computed_tokens + x.cached_tokens + x.generated_tokens for x in lines
        )
        assert tokens <= sum(tokens for tokens, _ in self.charged.values())

    def teardown(self):
        while (batch := self.meter.open_batch()) is not None:
            self.written[batch.batch_id] = batch
            self.meter.confirm(batch.batch_id)
        lines = [line for batch in self.written.values() for line in batch.lines]
        tokens = sum(
            x.computed_tokens + x.cached_tokens + x.generated_tokens for x in lines
        )
        price = sum(line.price for line in lines)
        assert tokens == sum(tokens for tokens, _ in self.charged.values())
        assert abs(price - sum(price for _, price in self.charged.values())) < 1e-6


UsageMachine.TestCase.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)
TestUsage = UsageMachine.TestCase


def test_cached_prompt_tokens_are_cheaper_and_tokens_are_not_charged_twice():
    meter = UsageMeter("e0-1")
    assert meter.charge("r1", "a", TIERS[0], 3000, 2000, 500) == 4.0 * 1.5 + 0.4 * 2
    assert meter.charge("r1", "a", TIERS[0], 3000, 2000, 500) == 0.0
