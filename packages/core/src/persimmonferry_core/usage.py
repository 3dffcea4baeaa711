"""Usage of client accounts: charges in batches for each account and tier."""

from dataclasses import dataclass

from persimmonferry_core.schema import Tier

__all__ = ["UsageBatch", "UsageLine", "UsageMeter"]

MAX_REMEMBERED_REQUESTS = 10_000


@dataclass(frozen=True)
class UsageLine:
    """
    Usage of one client account at one tier.

    :param computed_tokens: prompt tokens that were computed.
    :param cached_tokens: prompt tokens read from cache.
    :param generated_tokens: tokens of answers, each charged once.
    :param price: in the team's currency.
    """

    account: str
    tier: str
    requests: int = 0
    computed_tokens: int = 0
    cached_tokens: int = 0
    generated_tokens: int = 0
    price: float = 0.0


@dataclass(frozen=True)
class UsageBatch:
    """
    Lines to be written to the platform's service once.

    :param batch_id: idempotency key; writing the same batch again has no effect.
    """

    batch_id: str
    lines: tuple[UsageLine, ...]


class UsageMeter:
    """
    Collects charges until they have been written.

    One batch is written at a time. Until its write is confirmed, the same batch is
    returned again under the same id, so a lost reply does not cause a second charge.

    :param writer: name of this incarnation of the process; makes batch ids unique.
    """

    def __init__(self, writer: str) -> None:
        self._writer = writer
        self._number = 0
        self._lines: dict[tuple[str, str], UsageLine] = {}
        self._pending: UsageBatch | None = None
        self._charged: dict[str, None] = {}

    def charge(
        self,
        request_id: str,
        account: str,
        tier: Tier,
        prompt_tokens: int,
        cached_tokens: int,
        generated_tokens: int,
    ) -> float:
        """
        Charge a request and return its price; 0 if it was charged before.

        :param generated_tokens: all tokens of the answer delivered to the caller,
            including those of earlier attempts. ``prompt_tokens`` does not include
            tokens that a resumed run had to recompute.
        """
        if request_id in self._charged:
            return 0.0
        self._charged[request_id] = None
        if len(self._charged) > MAX_REMEMBERED_REQUESTS:
            del self._charged[next(iter(self._charged))]
        cached = min(cached_tokens, prompt_tokens)
        computed = prompt_tokens - cached
        full = (computed + generated_tokens) * tier.price_per_1k_tokens
        price = (full + cached * tier.cached_price_per_1k_tokens) / 1000
        key = (account, tier.name)
        line = self._lines.get(key, UsageLine(account, tier.name))
        self._lines[key] = UsageLine(
            account,
            tier.name,
            line.requests + 1,
            line.computed_tokens + computed,
            line.cached_tokens + cached,
            line.generated_tokens + generated_tokens,
            line.price + price,
        )
        return price

    def open_batch(self) -> UsageBatch | None:
        """Return the batch to write now, or None if there is nothing to write."""
        if self._pending is None and self._lines:
            self._number += 1
            batch_id = f"{self._writer}-{self._number}"
            self._pending = UsageBatch(batch_id, tuple(self._lines.values()))
            self._lines = {}
        return self._pending

    def confirm(self, batch_id: str) -> None:
        """Drop a batch after its write has taken effect."""
        if self._pending is not None and self._pending.batch_id == batch_id:
            self._pending = None
