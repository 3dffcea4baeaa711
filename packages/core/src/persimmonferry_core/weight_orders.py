"""Decides which engines are ordered to load new weights, and in which order."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

__all__ = [
    "EngineState",
    "WeightOrder",
    "choose_loads",
    "find_replacement_time",
    "find_start_limits",
    "is_loading",
    "is_order_lost",
    "may_read_stored",
]

# An engine that has not reported the wanted weights this long after an order gets
# another one: the order may be lost, or be carried out seconds late.
ORDER_TIMEOUT_S = 6.0
# Reports of engines lag by some hundred milliseconds; an order that an engine has not
# counted after this time was lost on the way, or is delayed at the engine.
ORDER_ACCEPT_TIMEOUT_S = 1.0
# During a rollout, prompts on replaced weights may still read the parts that are stored
# for these weights, until this long after the newer weights were named.
REPLACED_READ_GRACE_S = 3.5
# Share of the engines that load at the same time. The others serve the load meanwhile,
# and concurrent weight loads slow each other down.
MAX_LOADING_RATIO = 1 / 3


@dataclass(frozen=True)
class WeightOrder:
    """
    An order to an engine to load other weights.

    :param holder: the leader that gives it.
    :param fence: fencing token, which grows with each new leader.
    :param expected_orders: orders that the engine has accepted before; it refuses this
        one if the count differs. None skips this check.
    """

    model: str
    version: int
    holder: str
    fence: int
    expected_orders: int | None = None


@dataclass(frozen=True)
class EngineState:
    """
    The leader's view of an engine.

    :param version: of its weights, as last reported.
    :param ordered_version: of the last order, 0 for none.
    :param ordered_s: when that order was sent.
    :param cached_tokens: in its cache, which a weight load discards.
    :param asked_s: when the last order for the wanted version was sent, even if it is
        considered lost; minus infinity for none.
    """

    name: str
    version: int
    ordered_version: int
    ordered_s: float
    cached_tokens: int
    asked_s: float = float("-inf")


def choose_loads(
    engines: Sequence[EngineState], wanted: int, now: float
) -> tuple[str, ...]:
    """
    Return the engines that are to get an order now.

    Load pattern: a rollout at full load. A share of the engines loads at a time: first
    those with the oldest version, and of these the ones that lose the least cache. If
    orders get no reply and are carried out seconds late, engines without an order go
    before those with one, so that the delayed orders are pending concurrently.

    >>> engines = [EngineState(name, 1, 0, 0.0, 10 - index)
    ...            for index, name in enumerate("abcdef")]
    >>> choose_loads(engines, 2, 100.0)
    ('f', 'e')
    """
    behind = [engine for engine in engines if engine.version < wanted]
    loading = [engine for engine in behind if is_loading(engine, now)]
    room = max(1, round(MAX_LOADING_RATIO * len(engines))) - len(loading)
    idle = [engine for engine in behind if engine not in loading]
    idle.sort(key=_load_order)
    return tuple(engine.name for engine in idle[: max(0, room)])


def _load_order(engine: EngineState) -> tuple[int, float, int, str]:
    return engine.version, engine.asked_s, engine.cached_tokens, engine.name


def is_loading(engine: EngineState, now: float) -> bool:
    """Whether an engine is expected to be carrying out an order."""
    is_ordered = engine.version < engine.ordered_version
    return is_ordered and now < engine.ordered_s + ORDER_TIMEOUT_S


def may_read_stored(version: int, named: Mapping[int, float], now: float) -> bool:
    """
    Whether a prompt may read parts that are stored for its weight version.

    Load pattern: a rollout at full load. For seconds most engines still have the
    previous weights, and would compute all shared parts again unless they may read
    them. Parts are freed some time after their weights were replaced, so reads have to
    end before that.

    :param version: of the weights on which the prompt runs.
    :param named: when each version was named, as far as known.

    >>> may_read_stored(1, {2: 10.0}, 13.0), may_read_stored(1, {2: 10.0}, 13.5)
    (True, False)
    >>> may_read_stored(2, {2: 10.0}, 99.0)
    True
    """
    replaced_s = find_replacement_time(version, named)
    return replaced_s is None or now < replaced_s + REPLACED_READ_GRACE_S


def find_replacement_time(version: int, named: Mapping[int, float]) -> float | None:
    """
    Return when the first newer version of the weights was named, None if none was.

    :param named: when each version was named, as far as known.

    >>> find_replacement_time(1, {2: 10.0, 3: 14.0})
    10.0
    """
    newer = (named_s for other, named_s in named.items() if other > version)
    return min(newer, default=None)


def is_order_lost(
    order_age_s: float, accepted_before: int | None, accepted_orders: int, *, busy: bool
) -> bool:
    """
    Whether the engine's report shows that an order has to be given again.

    Load pattern: engines that don't reply to orders and carry them out seconds late.
    The next order expects the same count, so the engine carries out only one of both.

    :param accepted_before: orders that the engine had accepted before this one, None
        if unknown.
    :param accepted_orders: orders that the engine has accepted by now.

    >>> is_order_lost(1.2, 3, 3, busy=False), is_order_lost(1.2, 3, 4, busy=False)
    (True, False)
    """
    if busy or accepted_before is None or order_age_s < ORDER_ACCEPT_TIMEOUT_S:
        return False
    return accepted_orders == accepted_before


def find_start_limits(
    versions: Mapping[str, int], named: Mapping[int, float], limit_s: float
) -> dict[str, float]:
    """
    Return until when runs may start, for the engines whose weights were replaced.

    These may be all engines. Callers are then refused at once with a time to retry
    after, by which the engines have been ordered to load the newer weights.

    :param versions: of the weights of each engine.
    :param named: when each version was named, as far as known.
    :param limit_s: time after which replaced weights may no longer be used.

    >>> find_start_limits({"a": 1, "b": 2, "c": 3}, {2: 0.0, 3: 8.0}, 9.0)
    {'a': 9.0, 'b': 17.0}
    """
    replaced = {
        name: find_replacement_time(held, named) for name, held in versions.items()
    }
    return {
        name: replaced_s + limit_s
        for name, replaced_s in replaced.items()
        if replaced_s is not None
    }
