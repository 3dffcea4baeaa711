"""Usage of a team's accounts as stored in the platform's key-value service."""

import json
from dataclasses import asdict, dataclass

from persimmonferry_core.usage import UsageBatch, UsageLine

__all__ = ["Ledger", "add_batch", "decode_ledger", "encode_ledger"]

MAX_BATCH_IDS = 500


@dataclass(frozen=True)
class Ledger:
    """
    Usage of one day and one shard.

    :param lines: totals, one for each account and tier.
    :param batches: ids of the last batches added, oldest first.
    """

    lines: tuple[UsageLine, ...] = ()
    batches: tuple[str, ...] = ()


def add_batch(ledger: Ledger, batch: UsageBatch) -> Ledger:
    """
    Return the ledger with a batch added, unless its id is already in the ledger.

    >>> batch = UsageBatch("entry-1", (UsageLine("florist", "dawn", 1, 10, 0, 5, 0.1),))
    >>> once = add_batch(Ledger(), batch)
    >>> add_batch(once, batch) == once
    True
    """
    if batch.batch_id in ledger.batches:
        return ledger
    totals = {(line.account, line.tier): line for line in ledger.lines}
    for line in batch.lines:
        key = (line.account, line.tier)
        totals[key] = _add_lines(totals.get(key), line)
    lines = tuple(totals[key] for key in sorted(totals))
    return Ledger(lines, (*ledger.batches, batch.batch_id)[-MAX_BATCH_IDS:])


def encode_ledger(ledger: Ledger) -> bytes:
    """Return the value to be stored."""
    return json.dumps(asdict(ledger), separators=(",", ":")).encode()


def decode_ledger(value: bytes) -> Ledger:
    """
    Parse a stored value; an empty value gives an empty ledger.

    :raises ValueError: the value is not a ledger.

    >>> decode_ledger(encode_ledger(Ledger((UsageLine("a", "dawn"),), ("x-1",))))
    ... # doctest: +NORMALIZE_WHITESPACE
    Ledger(lines=(UsageLine(account='a', tier='dawn', requests=0, computed_tokens=0,
        cached_tokens=0, generated_tokens=0, price=0.0),), batches=('x-1',))
    """
    if not value:
        return Ledger()
    try:
        fields = json.loads(value)
        lines = tuple(UsageLine(**line) for line in fields["lines"])
        return Ledger(lines, tuple(fields["batches"]))
    except (KeyError, TypeError) as error:
        raise ValueError("stored value is not a ledger") from error


def _add_lines(total: UsageLine | None, line: UsageLine) -> UsageLine:
    if total is None:
        return line
    return UsageLine(
        line.account,
        line.tier,
        total.requests + line.requests,
        total.computed_tokens + line.computed_tokens,
        total.cached_tokens + line.cached_tokens,
        total.generated_tokens + line.generated_tokens,
        total.price + line.price,
    )
